package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// WherePath is the page at the metrics address that says where a request would go now. The parameters of its query are
// host, path, object, bytes, deadline_ms, account (a name, never a key), service and tried, which may occur repeatedly.
const WherePath = "/where"

const (
	// maxWhereCandidates bounds the candidates in an answer: it is read by people, who need the best ones.
	maxWhereCandidates = 50
	// maxWhereQueryBytes bounds the query of a question: a host, a path and an object are at most some KB.
	maxWhereQueryBytes = 8 << 10
)

// Where is the answer to a question where a request would go. Times are in milliseconds.
type Where struct {
	VM           string             `json:"vm"`
	Version      uint64             `json:"configuration_version"`
	Route        string             `json:"route"`
	Kind         string             `json:"kind"`
	Priority     int                `json:"priority"` // 0 is the most urgent
	Destinations []WhereDestination `json:"destinations"`
	Service      string             `json:"service"` // the destination that the rest is about
	Verdict      string             `json:"verdict"` // sent, waits, refused
	Reason       string             `json:"reason,omitempty"`
	Basis        string             `json:"basis,omitempty"` // of the reason no-room
	Admission    WhereAdmission     `json:"admission"`
	TimeLeftMs   float64            `json:"time_left_ms"`
	TargetLeftMs float64            `json:"target_left_ms"`
	RetryBudget  float64            `json:"retry_budget"` // retries to the service
	MayMove      string             `json:"may_move_to,omitempty"`
	MoveShare    float64            `json:"move_share,omitempty"` // of the object's requests that go to MayMove
	Servers      int                `json:"servers"`              // of the service; Candidates may hold fewer
	Candidates   []WhereCandidate   `json:"candidates"`
}

// WhereDestination is a service of the route.
type WhereDestination struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// WhereAdmission is what admission does with the request if there is no room.
type WhereAdmission struct {
	Ordered         bool    `json:"ordered"`          // requests without room wait in order
	Waiting         int     `json:"waiting"`          // requests at this VM
	InTimeBoundMs   float64 `json:"in_time_bound_ms"` // of the wait at a full region's server, if the response can be in time
	LateBoundMs     float64 `json:"late_bound_ms"`    // otherwise
	HoldMs          float64 `json:"hold_ms"`          // longest wait here, of the verdict waits
	RetryAfterMs    float64 `json:"retry_after_ms"`
	RetryAfterBasis string  `json:"retry_after_basis,omitempty"`
}

// WhereCandidate is a server of the service.
type WhereCandidate struct {
	Server      string   `json:"server"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Chosen      bool     `json:"chosen"`
	Warm        bool     `json:"warm"`
	Cold        bool     `json:"cold"`
	Home        bool     `json:"home"` // of the object
	WaitMs      float64  `json:"wait_ms"`
	RunMs       float64  `json:"run_ms"`
	RoundTripMs float64  `json:"round_trip_ms"`
	CostMs      float64  `json:"cost_ms"`
	ReportAgeMs float64  `json:"report_age_ms"`     // -1: there was no report
	Basis       string   `json:"basis,omitempty"`   // why the request would be refused there
	Against     []string `json:"against,omitempty"` // why it cannot get the request
}

// invalidQuestionError reports a parameter of a question that is missing or cannot be read.
type invalidQuestionError struct{ parameter string }

// Error implements error.
func (e *invalidQuestionError) Error() string {
	return "parameter " + e.parameter + " is missing or invalid"
}

// questionOf returns the question in a query. Errors: *invalidQuestionError.
func questionOf(query url.Values) (*forward.Question, error) {
	q := &forward.Question{
		Host: query.Get("host"), Path: query.Get("path"), Object: query.Get("object"),
		Account: routing.AccountName(query.Get("account")), Service: steering.ServiceName(query.Get("service")),
	}
	for _, id := range query["tried"] {
		q.Tried = append(q.Tried, placement.ServerID(id))
	}
	if q.Host == "" {
		return nil, &invalidQuestionError{parameter: "host"}
	}
	if q.Path == "" || q.Path[0] != '/' {
		return nil, &invalidQuestionError{parameter: "path"}
	}
	deadlineMs := 0
	for parameter, value := range map[string]*int{"bytes": &q.Bytes, "deadline_ms": &deadlineMs} {
		text := query.Get(parameter)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil || n < 0 {
			return nil, &invalidQuestionError{parameter: parameter}
		}
		*value = int(n)
	}
	q.Deadline = time.Duration(deadlineMs) * time.Millisecond
	return q, nil
}

// serveWhere serves WherePath.
func (d *daemon) serveWhere(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.RawQuery) > maxWhereQueryBytes {
		http.Error(w, "the question is too long", http.StatusRequestURITooLong)
		return
	}
	question, err := questionOf(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x, err := d.handler.Explain(question, time.Now())
	if err != nil {
		status := http.StatusNotFound
		var none *forward.NoTableError
		if errors.As(err, &none) {
			status = http.StatusServiceUnavailable
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newWhere(d.settings.Name, x))
}

func newWhere(vm string, x *forward.Explanation) *Where {
	a := &Where{
		VM: vm, Version: uint64(x.Version), Route: x.Route.Name, Kind: x.Route.Kind.String(), Priority: x.Priority,
		Service: string(x.Service), Verdict: string(x.Verdict), Reason: string(x.Reason),
		TimeLeftMs: inMs(x.TimeLeft), TargetLeftMs: inMs(x.TargetLeft),
		Admission: WhereAdmission{
			Ordered: x.OrdersAdmission, Waiting: x.Waiting, InTimeBoundMs: inMs(x.Bounds.InTime), LateBoundMs: inMs(x.Bounds.Late),
			HoldMs: inMs(x.Hold), RetryAfterMs: inMs(x.RetryAfter), RetryAfterBasis: string(x.RetryAfterBasis),
		},
		Candidates: []WhereCandidate{},
	}
	for _, d := range x.Route.Destinations {
		a.Destinations = append(a.Destinations, WhereDestination{Service: string(d.Service), Weight: d.Weight})
	}
	if x.Placement != nil {
		a.setPlacement(x.Placement)
	}
	return a
}

func (a *Where) setPlacement(p *placement.Explanation) {
	if p.Refusal != nil {
		a.Basis = string(p.Refusal.Basis)
	}
	a.RetryBudget, a.MayMove, a.MoveShare, a.Servers = p.RetryBudget, string(p.MayMove), p.MoveShare, len(p.Candidates)
	for _, c := range p.Candidates[:min(len(p.Candidates), maxWhereCandidates)] {
		one := WhereCandidate{
			Server: string(c.Server), Zone: string(c.Zone), Region: string(c.Region), Chosen: c.Chosen, Warm: c.Warm, Cold: c.Cold,
			Home: c.Preferred, WaitMs: inMs(c.Wait), RunMs: inMs(c.Run), RoundTripMs: inMs(c.RoundTrip), CostMs: inMs(c.Cost),
			ReportAgeMs: -1, Basis: string(c.Basis),
		}
		if c.ReportAge >= 0 {
			one.ReportAgeMs = inMs(c.ReportAge)
		}
		for _, e := range c.Exclusions {
			one.Against = append(one.Against, string(e))
		}
		a.Candidates = append(a.Candidates, one)
	}
}

// inMs returns d in milliseconds, to a thousandth.
func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }
