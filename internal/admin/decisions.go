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

// explainTimeout limits the duration of one explanation.
const explainTimeout = 20 * time.Second

// DecisionPage holds decisions that this VM has recorded, oldest first. If Truncated is set, some are
// left out, and changes and refusals were preferred; request a shorter time range to see the rest.
type DecisionPage struct {
	Items     []*review.Record `json:"items"`
	Truncated bool             `json:"truncated"`
}

func (h *handler) decisions(r *http.Request) (any, *problem.Problem) {
	p, prob := parseQuery(r.URL.RawQuery, h.options.Now(), "service", "team", "from", "to", "limit")
	if prob != nil {
		return nil, prob
	}
	services, prob := h.servicesOf(p.team)
	if prob != nil {
		return nil, prob
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

// decisionsOf returns the decisions of services; nil means all.
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
	if _, prob := parseQuery(r.URL.RawQuery, h.options.Now()); prob != nil {
		return nil, prob
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
			"this VM does not have the decision; /v1/explain?id= queries the other VMs as well")
	}
	return record, nil
}

// explanation is implemented by the explanations of one decision and of a time range.
type explanation interface{ WriteText(w io.Writer) error }

func (h *handler) handleExplain(w http.ResponseWriter, r *http.Request) {
	p, prob := parseQuery(r.URL.RawQuery, h.options.Now(), "id", "service", "team", "from", "to", "format")
	if prob != nil {
		problem.Write(w, prob)
		return
	}
	select {
	case h.explainSlots <- struct{}{}:
		defer func() { <-h.explainSlots }()
	default:
		w.Header().Set("Retry-After", "1")
		problem.Write(w, problem.New(problem.KindBusy, http.StatusTooManyRequests, "too many explanations are in progress"))
		return
	}
	result, prob := h.explanationFor(r.Context(), &p)
	if prob != nil {
		problem.Write(w, prob)
		return
	}
	if p.format == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = result.WriteText(w)
		return
	}
	writeJSON(w, result)
}

func (h *handler) explanationFor(ctx context.Context, p *parameters) (explanation, *problem.Problem) {
	if h.options.ExplainSources == nil {
		return nil, unavailable("decisions")
	}
	services, prob := h.servicesOf(p.team)
	if prob != nil {
		return nil, prob
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	if p.id != "" {
		return explainDecision(ctx, h.options.ExplainSources(), review.ID(p.id), services)
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

func explainDecision(
	ctx context.Context, sources review.Sources, id review.ID, services []steering.ServiceName,
) (explanation, *problem.Problem) {
	result, err := review.Explain(ctx, sources, id)
	if err != nil {
		return nil, explainProblem(err)
	}
	if services != nil && result.Service != "" && !slices.Contains(services, result.Service) {
		return nil, problem.New(problem.KindNotFound, http.StatusNotFound, "the decision is not of a service of the team")
	}
	return result, nil
}

func explainProblem(err error) *problem.Problem {
	var malformed *review.MalformedIDError
	var unknown *review.UnknownDecisionError
	var timeRange *review.TimeRangeError
	switch {
	case errors.As(err, &malformed):
		return problem.Parameter("id", err.Error())
	case errors.As(err, &timeRange):
		return problem.Parameter("from", err.Error())
	case errors.As(err, &unknown):
		return problem.New(problem.KindNotFound, http.StatusNotFound, unknown.Detail())
	}
	return problem.New(problem.KindSourceFailed, http.StatusBadGateway, err.Error())
}
