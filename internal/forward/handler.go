package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// Attempt describes one sending for the journal.
type Attempt struct {
	RequestID string
	Service   steering.ServiceName
	Placement *placement.Placement
	Outcome   placement.Outcome
	Took      time.Duration
	Err       error // nil if there was an answer
	Status    int   // of the server's answer, 0 if none
	Ejected   bool  // the server gets nothing for a while
}

// Reason says how a request ended: with a server's answer, or why without one. Beside those here it is the outcome of
// the last sending or the reason of a refusal, as package placement names them.
type Reason string

// Reasons that come of this package.
const (
	ReasonResponded          Reason = "answered"
	ReasonCutOff             Reason = "cut-off"     // part of the answer was passed on
	ReasonCallerDisconnected Reason = "caller-gone" // before the answer
	ReasonBodyTooLarge       Reason = "body-too-large"
	ReasonBodyStalled        Reason = "body-stalled" // it did not come whole in the request's time
	ReasonNoConfiguration    Reason = "no-configuration"
	ReasonNoRoute            Reason = "no-route"
	ReasonTimeout            Reason = "timeout"
	ReasonStopping           Reason = "stopping" // the end of the process kept it from being served
)

// FinishedRequest describes a finished request for the journal.
type FinishedRequest struct {
	RequestID     string
	Route         string
	Kind          routing.Kind
	Service       steering.ServiceName
	Version       routing.Version
	Reason        Reason
	Status        int
	Took          time.Duration
	Late          bool
	Attempts      int
	LastPlacement *placement.Placement // nil if it was sent nowhere
	Refusal       *placement.Refusal   // nil if it was not refused
}

// Journal is told of what happens to requests. Calls must not block.
type Journal interface {
	AttemptDone(s *Attempt)
	RequestDone(d *FinishedRequest)
}

// Options configure a Handler. All fields are required.
type Options struct {
	Headers Headers
	Table   func() *routing.Table // in force; nil while there is none
	Chooser *placement.Chooser
	Pool    *Pool
	Journal Journal
	Region  steering.RegionName // of this entry VM
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	opts      Options
	leaving   atomic.Bool
	refusing  atomic.Bool
	ending    context.Context // ends with the process
	breakOff  context.CancelFunc
	inFlight  atomic.Int64
	deadlines *deadlines
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	ending, breakOff := context.WithCancel(context.Background())
	return &Handler{opts: opts, ending: ending, breakOff: breakOff, deadlines: newDeadlines()}
}

// DisableKeepAlives makes every further answer tell its caller to close the connection.
func (h *Handler) DisableKeepAlives() { h.leaving.Store(true) }

// RefuseNewRequests makes every further request get the promise that it did not run: the process ends too soon for it.
func (h *Handler) RefuseNewRequests() { h.refusing.Store(true) }

// AbortInFlight ends the requests that are being handled: their callers are told at once that they may have run.
func (h *Handler) AbortInFlight() { h.breakOff() }

// InFlight returns the number of requests that are being handled.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// unwantedBody is how long the body of a request that is refused before it was read may hold the refusal up; several times
// the delay between regions.
const unwantedBody = time.Second

// ServeHTTP implements http.Handler. It aborts the connection if an answer was cut off.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.opts.Headers.RequestID)}
	x.endReading(x.start.Add(unwantedBody))
	if h.refusing.Load() {
		x.fail(http.StatusServiceUnavailable, ReasonStopping, h.retryAfter(0))
		return
	}
	table := h.opts.Table()
	if table == nil {
		x.fail(http.StatusServiceUnavailable, ReasonNoConfiguration, h.retryAfter(0))
		return
	}
	x.version = table.Version()
	path, _, _ := cutQuery(r.RequestURI)
	x.route = table.Route(r.Host, path)
	if x.route == nil {
		x.fail(http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	x.service = x.route.PickService(rand.Float64())
	x.object = objectOf(r, x.route, h.opts.Headers.AffinityCookie)
	h.setTimes(x)
	if !x.serve(table) {
		panic(http.ErrAbortHandler)
	}
}

// defaultDeadline is for a caller that names none on a route without a time-out.
const defaultDeadline = 10 * time.Second

// setTimes works out when the final answer is due and until when it is on time. A caller that comes back has
// used up part of its time: its deadline is shorter than that of any first request on the route.
func (h *Handler) setTimes(x *exchange) {
	deadline := x.route.Timeout
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	if ms, err := strconv.ParseFloat(x.r.Header.Get(h.opts.Headers.Deadline), 64); err == nil && ms > 0 {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	used := h.deadlines.used(x.route.Name, deadline, x.start)
	due := deadline
	if x.route.Timeout > 0 {
		due = min(due, x.route.Timeout)
	}
	x.end = x.start.Add(due)
	objective := x.route.LatencyObjective()
	if objective <= 0 {
		objective = due
	}
	x.onTime = x.start.Add(objective - used)
}

// markLeaving asks the caller to use another connection once this entry VM is leaving.
func (h *Handler) markLeaving(header http.Header) {
	if h.leaving.Load() {
		header["Connection"] = []string{"close"}
	}
}

// retryDefault is when to come back where nothing better is known.
const retryDefault = 300 * time.Millisecond

// retryAfter spreads the return of refused callers around d, so that they do not come back as one wave.
func (h *Handler) retryAfter(d time.Duration) time.Duration {
	if d <= 0 {
		d = retryDefault
	}
	return d/2 + rand.N(d)
}
