package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// explainTimeout bounds the time of one explanation.
const explainTimeout = 20 * time.Second

// DecisionPage is a part of the decisions that this VM remembers, oldest first. Where Truncated is
// set, changes and refusals were preferred; ask for a shorter time to see the rest.
type DecisionPage struct {
	Items     []*review.Record `json:"items"`
	Truncated bool             `json:"truncated"`
}

func (h *handler) decisions(r *http.Request) (any, *problem.Problem) {
	p, wrong := parse(r.URL.RawQuery, h.options.Now(), "service", "team", "from", "to", "limit")
	if wrong != nil {
		return nil, wrong
	}
	services, wrong := h.servicesOf(p.team)
	if wrong != nil {
		return nil, wrong
	}
	if h.options.Decisions == nil {
		return nil, unavailable("decisions")
	}
	if p.service != "" {
		if services != nil && !slices.Contains(services, p.service) {
			return &DecisionPage{Items: []*review.Record{}}, nil
		}
		services = []steering.ServiceName{p.service}
	}
	return h.decisionsOf(services, &p), nil
}

// decisionsOf returns the decisions of services; nil stands for all.
func (h *handler) decisionsOf(services []steering.ServiceName, p *parameters) *DecisionPage {
	if services == nil {
		services = []steering.ServiceName{""}
	}
	result := &DecisionPage{Items: []*review.Record{}}
	seen := make(map[review.ID]bool)
	for _, service := range services {
		records, truncated := h.options.Decisions.Range(service, p.from, p.to, p.limit)
		result.Truncated = result.Truncated || truncated
		for _, record := range records {
			if !seen[record.ID] {
				seen[record.ID] = true
				result.Items = append(result.Items, record)
			}
		}
	}
	slices.SortStableFunc(result.Items, func(a, b *review.Record) int { return a.At.Compare(b.At) })
	if len(result.Items) > p.limit {
		result.Items, result.Truncated = result.Items[:p.limit], true
	}
	return result
}

func (h *handler) decision(r *http.Request) (any, *problem.Problem) {
	if _, wrong := parse(r.URL.RawQuery, h.options.Now()); wrong != nil {
		return nil, wrong
	}
	if h.options.Decisions == nil {
		return nil, unavailable("decisions")
	}
	id := review.ID(mux.Vars(r)["id"])
	if _, err := id.Parse(); err != nil {
		return nil, problem.Parameter("id", err.Error())
	}
	record := h.options.Decisions.Find(id)
	if record == nil {
		return nil, problem.New(problem.KindNotFound, http.StatusNotFound,
			"this VM does not remember the decision; /v1/explain?id= asks the others as well")
	}
	return record, nil
}

// story is what both kinds of explanation can do.
type story interface{ WriteText(w io.Writer) error }

func (h *handler) explanation(w http.ResponseWriter, r *http.Request) {
	p, wrong := parse(r.URL.RawQuery, h.options.Now(), "id", "service", "team", "from", "to", "format")
	if wrong != nil {
		problem.Write(w, wrong)
		return
	}
	select {
	case h.explain <- struct{}{}:
		defer func() { <-h.explain }()
	default:
		w.Header().Set("Retry-After", "1")
		problem.Write(w, problem.New(problem.KindBusy, http.StatusTooManyRequests, "enough explanations are under way"))
		return
	}
	told, wrong := h.tell(r.Context(), &p)
	if wrong != nil {
		problem.Write(w, wrong)
		return
	}
	if p.format == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = told.WriteText(w)
		return
	}
	writeJSON(w, told)
}

func (h *handler) tell(ctx context.Context, p *parameters) (story, *problem.Problem) {
	if h.options.ExplainSources == nil {
		return nil, unavailable("decisions")
	}
	services, wrong := h.servicesOf(p.team)
	if wrong != nil {
		return nil, wrong
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if p.id != "" {
		return tellDecision(ctx, h.options.ExplainSources(), review.ID(p.id), services)
	}
	if services != nil && !slices.Contains(services, p.service) {
		return nil, problem.Parameter("service", "expected a service of the team")
	}
	incident, err := review.ExplainRange(ctx, h.options.ExplainSources(), p.service, p.from, p.to)
	if err != nil {
		return nil, explainProblem(err)
	}
	return incident, nil
}

func tellDecision(
	ctx context.Context, sources review.Sources, id review.ID, services []steering.ServiceName,
) (story, *problem.Problem) {
	told, err := review.Explain(ctx, sources, id)
	if err != nil {
		return nil, explainProblem(err)
	}
	if services != nil && told.Service != "" && !slices.Contains(services, told.Service) {
		return nil, problem.New(problem.KindNotFound, http.StatusNotFound, "the decision is not of a service of the team")
	}
	return told, nil
}

func explainProblem(err error) *problem.Problem {
	var malformed *review.MalformedIDError
	var unknown *review.UnknownDecisionError
	var period *review.TimeRangeError
	switch {
	case errors.As(err, &malformed):
		return problem.Parameter("id", err.Error())
	case errors.As(err, &period):
		return problem.Parameter("from", err.Error())
	case errors.As(err, &unknown):
		return problem.New(problem.KindNotFound, http.StatusNotFound, unknown.Detail())
	}
	return problem.New(problem.KindSourceFailed, http.StatusBadGateway, err.Error())
}
