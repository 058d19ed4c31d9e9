package lookup

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Path is the URL path of the handler on the address for callers.
const Path = "/v1/lookup"

// Size limits of a lookup request.
const (
	maxQueryBytes = 2048
	maxNameBytes  = 128
)

// Metrics counts lookups. *telemetry.Metrics implements it.
type Metrics interface {
	LookupDone(service steering.ServiceName, reason string, took time.Duration)
}

// HandlerOptions configure NewHandler.
type HandlerOptions struct {
	Table    *Table
	Recorder review.Recorder // nil records nothing
	Metrics  Metrics         // nil counts nothing
	// HasService reports whether a service is in the configuration in force. Nil accepts every name.
	HasService func(service steering.ServiceName) bool
}

// Response is the body of the response to a lookup.
type Response struct {
	Entries        []ResponseEntry   `json:"entries"` // best first
	LifetimeMs     int64             `json:"lifetime_ms"`
	Reason         string            `json:"reason"`
	Decision       review.ID         `json:"decision"`
	KnowledgeAgeMs int64             `json:"knowledge_age_ms"`
	Stale          bool              `json:"stale,omitempty"`
	Revision       steering.Revision `json:"revision"`
}

// ResponseEntry is an entry VM in a Response.
type ResponseEntry struct {
	Name        vm.Name        `json:"name"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Address     string         `json:"address"` // host:port for requests
}

// NewHandler returns the handler of GET /v1/lookup?service=S&origin=R&block=B.
func NewHandler(o HandlerOptions) http.Handler { return &handler{o} }

type handler struct{ options HandlerOptions }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		problem.Write(w, problem.New(problem.KindMethod, http.StatusMethodNotAllowed, "lookups require GET or HEAD"))
		return
	}
	if len(r.URL.RawQuery) > maxQueryBytes {
		problem.Write(w, problem.New(problem.KindTooLong, http.StatusRequestURITooLong,
			"the query is longer than "+strconv.Itoa(maxQueryBytes)+" bytes"))
		return
	}
	started := time.Now()
	q, invalid := parseQuery(r.URL.RawQuery)
	if invalid == nil && h.options.HasService != nil && !h.options.HasService(q.Service) {
		invalid = problem.New(problem.KindNotFound, http.StatusNotFound, "no service "+strconv.Quote(string(q.Service)))
	}
	if invalid != nil {
		problem.Write(w, invalid)
		return
	}
	q.Now = started
	d := h.options.Table.Decide(q)
	if d.Count == 0 {
		problem.Write(w, problem.New(problem.KindNotReady, http.StatusServiceUnavailable, "no entry VM is known"))
		return
	}
	id := h.record(&q, &d, started)
	writeResponse(w, &d, id)
}

// parseQuery parses and checks the parameters of a lookup.
func parseQuery(raw string) (Query, *problem.Problem) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return Query{}, problem.New(problem.KindParameter, http.StatusBadRequest, "the query cannot be parsed: "+err.Error())
	}
	for name, given := range values {
		if len(given) > 1 {
			return Query{}, problem.Parameter(name, "given more than once")
		}
		if name != "service" && name != "origin" && name != "block" {
			return Query{}, problem.Parameter(name, "unknown; allowed are service, origin, block")
		}
	}
	service, origin := values.Get("service"), values.Get("origin")
	if service == "" || len(service) > maxNameBytes {
		return Query{}, problem.Parameter("service", "expected the name of a service")
	}
	if len(origin) > maxNameBytes {
		return Query{}, problem.Parameter("origin", "expected the name of a region")
	}
	block, err := ParseBlock(values.Get("block"))
	if err != nil {
		return Query{}, problem.Parameter("block", err.Error())
	}
	return Query{
		Service: steering.ServiceName(service),
		Origin:  steering.RegionName(origin),
		Block:   block,
	}, nil
}

// record counts and records the decision and returns its ID.
func (h *handler) record(q *Query, d *Decision, started time.Time) review.ID {
	took := time.Since(started)
	if h.options.Metrics != nil {
		h.options.Metrics.LookupDone(q.Service, d.Reason.String(), took)
	}
	if h.options.Recorder == nil {
		return ""
	}
	r := &review.Record{
		ID:         h.options.Recorder.NextID(),
		Kind:       review.KindLookup,
		At:         started,
		Took:       took,
		Service:    q.Service,
		Origin:     q.Origin,
		Revision:   d.Revision,
		Constraint: constraintOf(d.Reason),
		Result:     string(d.Entries[0].Name),
		Outcome:    "done",
		Inputs: []review.Input{{
			Name: "block", Value: strconv.FormatUint(uint64(q.Block), 10), Age: d.KnowledgeAge,
		}},
		Candidates: candidatesOf(d),
	}
	h.options.Recorder.Record(r)
	return r.ID
}

// constraintOf returns the constraint that kept callers from the nearest VMs.
func constraintOf(r Reason) review.Constraint {
	if r == ReasonSpilled {
		return review.ConstraintContract
	}
	return review.ConstraintNone
}

func candidatesOf(d *Decision) []review.Candidate {
	candidates := make([]review.Candidate, d.Count)
	for i := range candidates {
		candidates[i] = review.Candidate{Name: string(d.Entries[i].Name), Reason: "next if lost"}
	}
	candidates[0].Taken = true
	candidates[0].Reason = d.Reason.String()
	return candidates
}

func writeResponse(w http.ResponseWriter, d *Decision, id review.ID) {
	response := Response{
		LifetimeMs:     d.Lifetime.Milliseconds(),
		Reason:         d.Reason.String(),
		Decision:       id,
		KnowledgeAgeMs: d.KnowledgeAge.Milliseconds(),
		Stale:          d.Stale,
		Revision:       d.Revision,
	}
	for _, e := range d.Entries[:d.Count] {
		response.Entries = append(response.Entries, ResponseEntry{Name: e.Name, Incarnation: e.Incarnation, Address: e.Address})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "private, max-age="+strconv.FormatInt(int64(d.Lifetime/time.Second), 10))
	_ = json.NewEncoder(w).Encode(&response)
}
