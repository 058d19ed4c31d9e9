package request

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// spreadMultiplier is an odd constant whose multiples are spread evenly over the range of a uint64.
const spreadMultiplier = 0x9E3779B97F4A7C15

// transferMargin is how long after the deadline the caller's connection may still be read or written.
const transferMargin = time.Second

// exchange is one request of a caller and its response.
type exchange struct {
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context // ends at the deadline or when the caller disconnects
	cancel    context.CancelFunc
	span      trace.Span
	id        review.ID
	start     time.Time
	deadline  time.Time
	route     *route
	revision  steering.Revision
	platform  *steering.Platform
	origin    steering.RegionName
	caller    string
	key       string // idempotency key of a journaled request; empty if there is none
	spreadKey uint64
	body      *bodySource
	writing   atomic.Bool // a write of response bytes to the caller is in progress

	mu            sync.Mutex
	triedNames    []vm.Name
	attempts      int
	mayHaveRun    bool // an attempt may have run
	lastPlacement *Placement
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		h:         h,
		w:         w,
		r:         r,
		id:        h.opts.Recorder.NextID(),
		start:     time.Now(),
		spreadKey: h.sequence.Add(1) * spreadMultiplier,
	}
}

// serve responds to the request. It returns false if the response was truncated.
func (x *exchange) serve() bool {
	x.setCommonHeaders()
	err := x.prepareRequest()
	defer x.close()
	if err == nil {
		err = x.checkKey()
	}
	if err != nil {
		x.refuse(err)
		return true
	}
	a, err := x.runAttempts()
	if err != nil {
		x.refuse(err)
		return true
	}
	return x.relayResponse(a)
}

// setCommonHeaders sets the headers of every response.
func (x *exchange) setCommonHeaders() {
	header := x.w.Header()
	header[HeaderDecision] = []string{string(x.id)}
	header[HeaderEntry] = []string{x.h.entryID}
	if call := x.r.Header.Get(HeaderCall); call != "" {
		if n := x.h.callArrivals.record(call, x.start); n > 0 {
			header[HeaderCallSendings] = []string{strconv.Itoa(n)}
		}
	}
	if x.h.Leaving() {
		header.Set(HeaderEntryState, "leaving")
		header.Set("Connection", "close")
	}
}

// prepareRequest determines the operation, the deadline and the caller.
func (x *exchange) prepareRequest() error {
	x.ctx, x.span = x.startSpan()
	c := x.h.opts.Config()
	if c == nil {
		return &UnroutableError{}
	}
	x.revision = c.Revision
	x.platform = &c.Platform
	route, err := x.h.routes.tableFor(c).find(x.r)
	if err != nil {
		return err
	}
	x.route = route
	remaining, err := remainingTime(x.r.Header, route.operation)
	if err != nil {
		return err
	}
	x.origin = x.originRegion()
	x.deadline = x.start.Add(remaining - transitTime(&c.Platform, x.origin, x.h.opts.Self.Region, remaining))
	x.ctx, x.cancel = context.WithDeadline(x.ctx, x.deadline)
	x.caller = callerName(x.r)
	x.body = requestBody(x.r)
	if x.body != nil {
		x.setReadDeadline()
	}
	return nil
}

// setReadDeadline limits the wait for the caller's next byte. The margin prevents an expired deadline from being
// mistaken for a caller that disconnected. Response writers without deadlines are used as they are.
func (x *exchange) setReadDeadline() {
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline.Add(transferMargin))
}

// prepareEarlyResponse prepares a response that starts before the upload ended. The connection is not reused: net/http
// cannot tell where the next request starts.
func (x *exchange) prepareEarlyResponse() {
	if x.body.isFullyRead() {
		return
	}
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	x.w.Header().Set("Connection", "close")
}

// stopReading interrupts a read from the caller that is in progress.
func (x *exchange) stopReading() {
	if x.body.isReading() {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	}
}

func (x *exchange) startSpan() (context.Context, trace.Span) {
	ctx := x.r.Context()
	if x.r.Header.Get("Traceparent") != "" {
		ctx = x.h.propagate.Extract(ctx, propagation.HeaderCarrier(x.r.Header))
	}
	return x.h.opts.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
}

// close ends the span and the reads and cancels the context of prepareRequest.
func (x *exchange) close() {
	x.span.End()
	x.stopReading()
	if x.cancel != nil {
		x.cancel()
	}
}

// remainingTime returns the time until the deadline: the operation's, or the caller's if that is shorter.
func remainingTime(header http.Header, op *steering.Operation) (time.Duration, error) {
	limit := op.Deadline.Std()
	if limit <= 0 {
		limit = defaultDeadline
	}
	text := header.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, &HeaderError{Header: HeaderTimeout, Value: text}
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// transitTime returns the part of the remaining time that is spent on the network path: the time that the request
// took to arrive and that the response will take back. Without it a response produced at the deadline would reach the
// caller too late. It is at most half of the remaining time.
func transitTime(p *steering.Platform, origin, self steering.RegionName, remaining time.Duration) time.Duration {
	const directions = 2
	oneWay := p.ClientDelay.Std()
	if link := p.Link(origin, self); link != nil {
		oneWay += link.Delay.Std()
	}
	return min(directions*oneWay, remaining/2)
}

func (x *exchange) originRegion() steering.RegionName {
	if origin := x.r.Header.Get(HeaderOrigin); origin != "" {
		return steering.RegionName(origin)
	}
	return x.h.opts.Self.Region
}

// callerName returns the client block of the caller, or its address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func requestBody(r *http.Request) *bodySource {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return newBodySource(r.Body)
}

// runAttempts sends the request until an attempt gets a response or no further attempt is allowed.
func (x *exchange) runAttempts() (*attempt, error) {
	x.route.budget.Deposit(x.route.service.Budgets.Retries + x.route.service.Budgets.Hedges)
	p, err := x.admit(nil)
	for err == nil {
		a, failed := x.race(p)
		if failed == nil {
			return a, nil
		}
		if !x.mayRetry(failed) {
			return nil, failed
		}
		p, err = x.admitRetry(failed)
	}
	return nil, err
}

// admit waits until the queue admits an attempt.
func (x *exchange) admit(exclude []vm.Name) (*Placement, error) {
	started := time.Now()
	t := &Ticket{
		Query:    x.placementQuery(exclude),
		Class:    x.route.operation.Class,
		Caller:   x.caller,
		Deadline: x.deadline,
	}
	p, err := x.h.queue.Admit(x.ctx, t)
	if err != nil {
		return nil, err
	}
	x.h.opts.Metrics.RecordQueueWait(x.route.service.Name, t.Class, time.Since(started))
	return p, nil
}

// admitRetry returns a placement on a server that was not tried yet, if one has free capacity now. Otherwise, after an
// attempt that sent nothing the request is queued again, and after any other attempt it fails with failed.
func (x *exchange) admitRetry(failed error) (*Placement, error) {
	p, err := x.h.queue.TryAdmit(&Ticket{
		Query:    x.placementQuery(x.triedServers()),
		Class:    x.route.operation.Class,
		Caller:   x.caller,
		Deadline: x.deadline,
	})
	if err == nil {
		return p, nil
	}
	if e, ok := failed.(*AttemptError); ok && e.costsNoBudget() {
		return x.admit(nil)
	}
	x.route.budget.Refund()
	return nil, failed
}

func (x *exchange) triedServers() []vm.Name {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.triedNames[:len(x.triedNames):len(x.triedNames)]
}

func (x *exchange) placementQuery(exclude []vm.Name) *PlacementQuery {
	return &PlacementQuery{
		Service:   x.route.service.Name,
		Operation: x.route.operation,
		Origin:    x.origin,
		Key:       x.spreadKey,
		Exclude:   exclude,
		Now:       time.Now(),
	}
}

// mayRetry reports whether another attempt is allowed after err. A retry after an attempt that sent nothing is not
// charged; any other extra attempt is charged to the budget.
func (x *exchange) mayRetry(err error) bool {
	failed, ok := err.(*AttemptError)
	if !ok || x.ctx.Err() != nil || x.attemptsMade() >= x.h.opts.MaxAttempts || !x.body.isReplayable() {
		return false
	}
	if !x.route.operation.Idempotent && !failed.NotRun {
		return false
	}
	return failed.retryPaid || failed.costsNoBudget() || x.route.withdrawExtra(x.route.service.Budgets.Retries, 0)
}

func (x *exchange) attemptsMade() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempts
}

// refuse responds to the caller with the reason why the request was not served.
func (x *exchange) refuse(err error) {
	k := classify(err)
	outcome := x.refusalOutcome(err)
	p := &Problem{Detail: err.Error(), Outcome: outcome, Decision: x.id}
	x.span.SetStatus(codes.Error, k.kind)
	x.stopReading()
	writeRefusal(x.w, x.h.opts.Self.Name, &k, p)
	x.recordRequest(&k, outcome, k.kind)
}

// refusalOutcome returns not-run only if nothing was sent and, for a journaled key, no other entry VM holds a promise
// that lets it send the request.
func (x *exchange) refusalOutcome(err error) Outcome {
	x.mu.Lock()
	ran := x.mayHaveRun
	x.mu.Unlock()
	if ran {
		return OutcomeUnknown
	}
	if _, isKeyError := err.(*KeyError); isKeyError {
		return OutcomeUnknown
	}
	if x.key != "" && !x.h.opts.Journal.Release(x.route.service.Name, x.key) {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// recordRequest writes the decision record and the metric of the request.
func (x *exchange) recordRequest(k *refusalKind, outcome Outcome, result string) {
	took := time.Since(x.start)
	rec := &review.Record{
		ID: x.id, Kind: review.KindRequest, At: x.start, Took: took, Origin: x.origin,
		Revision: x.revision, Constraint: k.constraint, Candidates: k.candidates,
		Result: result, Outcome: string(outcome),
	}
	m := &RequestMetric{Outcome: outcome, Status: k.status, Constraint: k.constraint, Took: took}
	if x.route != nil {
		rec.Service, rec.Operation = x.route.service.Name, x.route.operation.Name
		m.Service, m.Operation, m.Class = rec.Service, rec.Operation, x.route.operation.Class
	}
	x.mu.Lock()
	m.Attempts = x.attempts
	last := x.lastPlacement
	x.mu.Unlock()
	if last != nil {
		rec.PlanEpoch, rec.Grant = last.PlanEpoch, last.Grant
	}
	if sc := x.span.SpanContext(); sc.HasTraceID() {
		rec.TraceID = sc.TraceID().String()
	}
	if x.span.IsRecording() {
		x.span.SetAttributes(
			attribute.String("azureflow.decision", string(x.id)),
			attribute.String("azureflow.outcome", string(outcome)),
			attribute.String("azureflow.service", string(rec.Service)),
			attribute.String("azureflow.operation", string(rec.Operation)),
		)
	}
	x.h.record(rec)
	x.h.opts.Metrics.RequestDone(m)
}
