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

// Attempt describes one finished attempt to serve a request at a server, for the journal.
type Attempt struct {
	RequestID string
	Service   steering.ServiceName
	Placement *placement.Placement
	Outcome   placement.Outcome
	Took      time.Duration
	Err       error            // nil if the server responded
	Status    int              // of the server's response, 0 if none
	Effect    placement.Effect // on the server
}

// Reason says how a request ended: with a server's response, or why there was none. Apart from the values below it is
// the outcome of the last attempt or the reason of a refusal, as package placement names them.
type Reason string

// Reasons that this package determines.
const (
	ReasonResponded          Reason = "answered"
	ReasonCutOff             Reason = "cut-off"     // part of the response was passed on
	ReasonCallerDisconnected Reason = "caller-gone" // before the response
	ReasonBodyTooLarge       Reason = "body-too-large"
	ReasonBodyStalled        Reason = "body-stalled" // it did not arrive completely within the request's time
	ReasonNoConfiguration    Reason = "no-configuration"
	ReasonNoRoute            Reason = "no-route"
	ReasonTimeout            Reason = "timeout"
	ReasonStopping           Reason = "stopping"    // the process stopped before it was served
	ReasonNoKey              Reason = "no-key"      // on a route that needs one
	ReasonUnknownKey         Reason = "unknown-key" // or an Authorization header that holds none
	ReasonOverQuota          Reason = "over-quota"
	ReasonNoMemory           Reason = "no-memory"        // the body found no room
	ReasonKeysUnconfirmed    Reason = "keys-unconfirmed" // a key may have been withdrawn without this entry VM knowing
)

// FinishedRequest describes a finished request, for the journal.
type FinishedRequest struct {
	RequestID     string
	Route         string
	Kind          routing.Kind
	Service       steering.ServiceName
	Account       routing.AccountName // empty: none
	Version       routing.Version
	Reason        Reason
	Status        int
	Took          time.Duration
	Late          bool
	Attempts      int
	LastPlacement *placement.Placement // nil if no server was tried
	Refusal       *placement.Refusal   // nil if placement did not refuse it
	Priority      int                  // 0 is the most urgent
	// OrdersAdmission is true if requests without room wait in order; Admission then says what this did.
	OrdersAdmission bool
	Admission       AdmissionReport
}

// Journal receives the events of requests. Its methods must not block.
type Journal interface {
	AttemptDone(a *Attempt)
	RequestDone(r *FinishedRequest)
}

// Options configure a Handler. All fields are required unless noted otherwise.
type Options struct {
	Headers Headers
	Table   func() *routing.Table // returns the table in force, nil while there is none
	Chooser *placement.Chooser
	Pool    *Pool
	Journal Journal
	Region  steering.RegionName // of this entry VM
	// KeysConfirmed reports whether the keys of the table that Table returns after it may be relied on, so that requests
	// with keys may run. nil: they always may.
	KeysConfirmed func() bool
	Quotas        Quotas // nil: requests of client accounts have no limit
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	opts               Options
	keepAlivesDisabled atomic.Bool
	refusingRequests   atomic.Bool
	abortCtx           context.Context // canceled by AbortInFlight
	abort              context.CancelFunc
	inFlight           atomic.Int64
	deadlines          *deadlines
	admissions         *admissions
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	abortCtx, abort := context.WithCancel(context.Background())
	return &Handler{
		opts: opts, abortCtx: abortCtx, abort: abort, deadlines: newDeadlines(), admissions: newAdmissions(opts.Chooser),
	}
}

// DisableKeepAlives makes every further response ask the caller to close the connection.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// RefuseNewRequests sends no further request to a server, since the process ends too soon to serve it: neither one that
// comes now, nor one whose body is still arriving, nor one again. Those that did not run are refused with the promise
// that they never will.
func (h *Handler) RefuseNewRequests() {
	h.refusingRequests.Store(true)
	h.admissions.close()
}

// AbortInFlight ends the requests that are being handled. Their callers are told at once; a request that was sent to a
// server is reported as one that may have run.
func (h *Handler) AbortInFlight() { h.abort() }

// Waiting returns the number of requests that wait for room at a server.
func (h *Handler) Waiting() int { return h.admissions.waiting() }

// InFlight returns the number of requests that are being handled.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// IsIdempotent reports whether the request r may run more than once, by the route that it selects.
func (h *Handler) IsIdempotent(r *http.Request) bool {
	table := h.opts.Table()
	if table == nil {
		return false
	}
	path, _, _ := cutQuery(r.RequestURI)
	route := table.Route(r.Host, path)
	return route != nil && route.Kind.Idempotent()
}

// rejectedBodyTimeout bounds how long the body of a request that is rejected before the body was read may delay the
// rejection. It is several times the delay between regions.
const rejectedBodyTimeout = time.Second

// ServeHTTP implements http.Handler. It aborts the connection if a response was cut off.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{h: h, w: w, r: r, start: time.Now(), id: r.Header.Get(h.opts.Headers.RequestID), holder: holderOf(w)}
	x.setReadDeadline(x.start.Add(rejectedBodyTimeout))
	if h.refusingRequests.Load() {
		x.writeFailure(http.StatusServiceUnavailable, ReasonStopping, h.retryAfter(0))
		return
	}
	// Before the table is loaded, so that the table is not older than the confirmation.
	x.keysConfirmed = h.opts.KeysConfirmed == nil || h.opts.KeysConfirmed()
	table := h.opts.Table()
	if table == nil {
		x.writeFailure(http.StatusServiceUnavailable, ReasonNoConfiguration, h.retryAfter(0))
		return
	}
	x.version = table.Version()
	path, _, _ := cutQuery(r.RequestURI)
	x.route = table.Route(r.Host, path)
	if x.route == nil {
		x.writeFailure(http.StatusNotFound, ReasonNoRoute, 0)
		return
	}
	if reason := x.identify(table); reason != "" {
		x.respondUnidentified(reason)
		return
	}
	x.service = x.route.PickService(rand.Float64())
	x.objectHash = hashObject(r, x.route, h.opts.Headers.AffinityCookie)
	h.setDeadlines(x)
	if !x.serve(table) {
		panic(http.ErrAbortHandler)
	}
}

// defaultDeadline applies if the caller sends no deadline and the route has no timeout.
const defaultDeadline = 10 * time.Second

// setDeadlines sets when the final response is due and after which moment it counts as late. A caller that retries has
// used up part of its time: its deadline is shorter than that of any first request on the route.
func (h *Handler) setDeadlines(x *exchange) {
	deadline := x.route.Timeout
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	if ms, err := strconv.ParseFloat(x.r.Header.Get(h.opts.Headers.Deadline), 64); err == nil && ms > 0 {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	waited := h.deadlines.minWaited(x.route.Name, deadline, x.start)
	x.returned, x.callerDeadline = waited > 0, x.start.Add(deadline)
	timeout := deadline
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.start.Add(timeout)
	objective := x.route.LatencyObjective()
	if objective <= 0 {
		objective = timeout
	}
	x.lateAfter = x.start.Add(objective - waited)
}

// setConnectionClose asks the caller to close the connection if keep-alives are disabled.
func (h *Handler) setConnectionClose(header http.Header) {
	if h.keepAlivesDisabled.Load() {
		header["Connection"] = []string{"close"}
	}
}

// defaultRetryAfter is the delay before a retry where no better value is known.
const defaultRetryAfter = 300 * time.Millisecond

// retryAfter returns a random delay from half of d to one and a half times d (defaultRetryAfter if d is not positive),
// so that refused callers do not all retry at the same time.
func (h *Handler) retryAfter(d time.Duration) time.Duration {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return d/2 + rand.N(d)
}
