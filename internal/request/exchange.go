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

// spread is an odd constant whose multiples fill the range of a uint64 evenly.
const spread = 0x9E3779B97F4A7C15

// transferMargin is how long after the deadline the caller's connection may still be read or written.
const transferMargin = time.Second

// exchange is one request of a caller and its answer.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context // ends at the deadline or when the caller goes away
	cancel   context.CancelFunc
	span     trace.Span
	id       review.ID
	start    time.Time
	deadline time.Time
	route    *route
	revision steering.Revision
	platform *steering.Platform
	origin   steering.RegionName
	caller   string
	key      string // of a journalled request; empty if there is none
	spread   uint64
	body     *bodySource
	writing  atomic.Bool // an answer's bytes wait for the caller

	mu       sync.Mutex
	tried    []vm.Name
	attempts int
	ran      bool // an attempt may have run
	last     *Placement
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		h:      h,
		w:      w,
		r:      r,
		id:     h.opts.Recorder.NextID(),
		start:  time.Now(),
		spread: h.sequence.Add(1) * spread,
	}
}

// serve answers the request. It returns false if the answer was cut off.
func (x *exchange) serve() bool {
	x.markAnswer()
	err := x.open()
	defer x.close()
	if err == nil {
		err = x.checkKey()
	}
	if err != nil {
		x.refuse(err)
		return true
	}
	a, err := x.run()
	if err != nil {
		x.refuse(err)
		return true
	}
	return x.answer(a)
}

// markAnswer sets the headers that every answer has.
func (x *exchange) markAnswer() {
	header := x.w.Header()
	header[HeaderDecision] = []string{string(x.id)}
	header[HeaderEntry] = []string{x.h.entry}
	if call := x.r.Header.Get(HeaderCall); call != "" {
		if n := x.h.arrivals.note(call, x.start); n > 0 {
			header[HeaderCallSendings] = []string{strconv.Itoa(n)}
		}
	}
	if x.h.Leaving() {
		header.Set(HeaderEntryState, "leaving")
		header.Set("Connection", "close")
	}
}

// open finds the operation, the deadline and the caller.
func (x *exchange) open() error {
	x.ctx, x.span = x.startSpan()
	c := x.h.opts.Config()
	if c == nil {
		return &UnroutableError{}
	}
	x.revision = c.Revision
	x.platform = &c.Platform
	route, err := x.h.routes.of(c).find(x.r)
	if err != nil {
		return err
	}
	x.route = route
	left, err := timeLeft(x.r.Header, route.operation)
	if err != nil {
		return err
	}
	x.origin = x.originRegion()
	x.deadline = x.start.Add(left - transit(&c.Platform, x.origin, x.h.opts.Self.Region, left))
	x.ctx, x.cancel = context.WithDeadline(x.ctx, x.deadline)
	x.caller = callerName(x.r)
	x.body = requestBody(x.r)
	if x.body != nil {
		x.prepareUpload()
	}
	return nil
}

// prepareUpload bounds the wait for the caller's next byte. The margin keeps the end of the deadline from
// looking like a caller that went away. Writers without deadlines are used as they are.
func (x *exchange) prepareUpload() {
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline.Add(transferMargin))
}

// answerEarly prepares an answer that begins before the upload ended. The connection is not used again:
// net/http cannot tell where the next request begins.
func (x *exchange) answerEarly() {
	if x.body.ended() {
		return
	}
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	x.w.Header().Set("Connection", "close")
}

// stopReading ends a read from the caller that is in progress.
func (x *exchange) stopReading() {
	if x.body.reading() {
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

// close ends what open began.
func (x *exchange) close() {
	x.span.End()
	x.stopReading()
	if x.cancel != nil {
		x.cancel()
	}
}

// timeLeft returns the time until the deadline: the operation's, or the caller's if that is shorter.
func timeLeft(header http.Header, op *steering.Operation) (time.Duration, error) {
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

// transit returns the part of the time left that the request took to arrive and the answer will take
// back, so that an answer made at the deadline still reaches the caller in time. It is at most half.
func transit(p *steering.Platform, origin, self steering.RegionName, left time.Duration) time.Duration {
	const ways = 2
	oneWay := p.ClientDelay.Std()
	if link := p.Link(origin, self); link != nil {
		oneWay += link.Delay.Std()
	}
	return min(ways*oneWay, left/2)
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

// run sends the request until an attempt brings an answer or no further one is allowed.
func (x *exchange) run() (*attempt, error) {
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

// admit waits for the right to send an attempt.
func (x *exchange) admit(exclude []vm.Name) (*Placement, error) {
	began := time.Now()
	t := &Ticket{
		Query:    x.query(exclude),
		Class:    x.route.operation.Class,
		Caller:   x.caller,
		Deadline: x.deadline,
	}
	p, err := x.h.queue.Admit(x.ctx, t)
	if err != nil {
		return nil, err
	}
	x.h.opts.Metrics.RecordQueueWait(x.route.service.Name, t.Class, time.Since(began))
	return p, nil
}

// admitRetry returns the right to send to a server not tried yet, if there is room at once. After an
// attempt that sent nothing the request waits its turn again; else failed stands.
func (x *exchange) admitRetry(failed error) (*Placement, error) {
	p, err := x.h.queue.TryAdmit(&Ticket{
		Query:    x.query(x.triedServers()),
		Class:    x.route.operation.Class,
		Caller:   x.caller,
		Deadline: x.deadline,
	})
	if err == nil {
		return p, nil
	}
	if e, ok := failed.(*AttemptError); ok && e.free() {
		return x.admit(nil)
	}
	x.route.budget.Refund()
	return nil, failed
}

func (x *exchange) triedServers() []vm.Name {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tried[:len(x.tried):len(x.tried)]
}

func (x *exchange) query(exclude []vm.Name) *PlacementQuery {
	return &PlacementQuery{
		Service:   x.route.service.Name,
		Operation: x.route.operation,
		Origin:    x.origin,
		Key:       x.spread,
		Exclude:   exclude,
		Now:       time.Now(),
	}
}

// mayRetry reports whether another attempt is allowed after err. An attempt that sent nothing is free;
// any other extra attempt is paid from the budget.
func (x *exchange) mayRetry(err error) bool {
	failed, ok := err.(*AttemptError)
	if !ok || x.ctx.Err() != nil || x.made() >= x.h.opts.MaxAttempts || !x.body.replayable() {
		return false
	}
	if !x.route.operation.Idempotent && !failed.NotRun {
		return false
	}
	return failed.paid || failed.free() || x.route.takeExtra(x.route.service.Budgets.Retries, 0)
}

// made returns the number of attempts made.
func (x *exchange) made() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempts
}

// refuse tells the caller why there is no answer.
func (x *exchange) refuse(err error) {
	k := classify(err)
	outcome := x.refusalOutcome(err)
	p := &Problem{Detail: err.Error(), Outcome: outcome, Decision: x.id}
	x.span.SetStatus(codes.Error, k.kind)
	x.stopReading()
	writeRefusal(x.w, x.h.opts.Self.Name, &k, p)
	x.finish(&k, outcome, k.kind)
}

// refusalOutcome returns not-run only if nothing was sent and, for a journalled key, nobody else was
// promised that it may send.
func (x *exchange) refusalOutcome(err error) Outcome {
	x.mu.Lock()
	ran := x.ran
	x.mu.Unlock()
	if ran {
		return OutcomeUnknown
	}
	if _, doubt := err.(*KeyError); doubt {
		return OutcomeUnknown
	}
	if x.key != "" && !x.h.opts.Journal.Release(x.route.service.Name, x.key) {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// finish records the request.
func (x *exchange) finish(k *refusalKind, outcome Outcome, result string) {
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
	last := x.last
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
