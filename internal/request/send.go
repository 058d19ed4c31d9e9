package request

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/azureflow/azureflow/internal/httpheader"
	"github.com/azureflow/azureflow/internal/review"
)

// perAttempt are the headers that an entry VM sets anew for each attempt.
var perAttempt = map[string]bool{HeaderPrevious: true, HeaderTimeout: true, HeaderAttempt: true, HeaderCall: true}

// sending says how one attempt is made.
type sending struct {
	placement *Placement
	extra     bool           // a retry or hedge
	hedge     bool           // sent while another attempt runs
	newConn   bool           // only a new connection may carry it
	register  func(*attempt) // called before anything is sent; may be nil
}

// send makes one attempt. Errors: *AttemptError, or *KeyError if the key was promised away.
func (x *exchange) send(s sending) (*attempt, error) {
	a := &attempt{
		id:        x.h.opts.Recorder.NextID(),
		placement: s.placement,
		started:   time.Now(),
		extra:     s.extra,
		hedge:     s.hedge,
	}
	if x.key != "" && !x.h.opts.Journal.MarkSent(x.route.service.Name, x.key) {
		s.placement.Release(AttemptResult{Failure: FailureCancelled})
		return nil, &KeyError{Key: x.key, Verdict: KeyPromised, Entry: x.h.opts.Self.Name}
	}
	x.noteAttempt(s.placement)
	ctx := withConnNeed(a.prepare(x.ctx), connNeed{pool: x.pool(s), dial: x.dialLimit(s.placement)})
	ctx, a.span = x.h.opts.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if s.register != nil {
		s.register(a)
	}
	resp, err := x.h.opts.Transport.RoundTrip(x.outgoing(ctx, a))
	if err != nil {
		return nil, x.failed(a, err)
	}
	a.setAnswered(resp)
	return x.judge(a)
}

// pool returns the connections that may carry an attempt.
func (x *exchange) pool(s sending) pool {
	switch {
	case s.newConn:
		return poolNew
	case !x.route.operation.Idempotent:
		return poolFresh
	default:
		return poolShared
	}
}

const (
	minDialLimit  = 100 * time.Millisecond
	dialRoundTrip = 3 // round trips of the link that a connection may take
)

// dialLimit returns how long an attempt may take to connect, so that a server out of reach leaves time for
// another one: nothing was sent to it.
func (x *exchange) dialLimit(p *Placement) time.Duration {
	limit := minDialLimit
	if link := x.platform.Link(x.h.opts.Self.Region, p.Server.Region); link != nil {
		const ways = 2
		limit = max(limit, dialRoundTrip*ways*link.Delay.Std())
	}
	return min(limit, x.silentAfter())
}

func (x *exchange) noteAttempt(p *Placement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempts++
	x.tried = append(x.tried, p.Server.Name)
	x.last = p
}

// outgoing builds the request of an attempt. The path loses the service's name.
func (x *exchange) outgoing(ctx context.Context, a *attempt) *http.Request {
	target := &url.URL{
		Scheme:   "http",
		Host:     a.placement.Server.Address,
		Path:     belowService(x.r.URL.Path),
		RawPath:  belowService(x.r.URL.RawPath),
		RawQuery: x.r.URL.RawQuery,
	}
	req := &http.Request{
		Method:        x.r.Method,
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, len(x.r.Header)+4),
		Host:          target.Host,
		ContentLength: x.r.ContentLength,
	}
	copyHeader(req.Header, x.r.Header)
	req.Header[HeaderAttempt] = []string{string(a.id)}
	left := time.Until(x.deadline).Milliseconds()
	req.Header[HeaderTimeout] = []string{strconv.FormatInt(max(1, left), 10)}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	if a.span.SpanContext().IsValid() {
		x.h.propagate.Inject(ctx, propagation.HeaderCarrier(req.Header))
	}
	x.setBody(req, a)
	return req.WithContext(ctx)
}

// setBody gives the request a body that net/http cannot send a second time.
func (x *exchange) setBody(req *http.Request, a *attempt) {
	if x.body == nil && (x.h.gated || x.route.operation.Idempotent) {
		return // connections are gated: a replay by net/http finds its connection sealed
	}
	view := x.body.view()
	a.body = view
	req.Body = view
	if x.h.opts.Pacer != nil && x.body != nil && a.placement.Server.Region != x.h.opts.Self.Region {
		paced := x.h.opts.Pacer.Body(x.ctx, x.h.opts.Self.Region, a.placement.Server.Region, x.route.operation.Class, view)
		req.Body = &pacedBody{Reader: paced, view: view}
	}
}

func belowService(path string) string {
	if path == "" {
		return ""
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + rest
}

// copyHeader copies the end-to-end headers of src into dst, but for those of an attempt. Values are shared.
func copyHeader(dst, src http.Header) {
	httpheader.CopyEndToEnd(dst, src)
	for name := range perAttempt {
		delete(dst, name)
	}
}

// failed ends an attempt that brought no answer.
func (x *exchange) failed(a *attempt, cause error) *AttemptError {
	p := a.abandon()
	e := &AttemptError{Server: a.placement.Server.Name, NotRun: p.notSent(), Cause: cause}
	e.Failure = x.failure(&p)
	if e.Failure == FailureSilent {
		e.Cause = &UnresponsiveError{Silent: p.silent}
		x.h.silences.suspect(a.placement.Server.Name, time.Now())
	}
	x.settle(a, e)
	return e
}

// failure classifies an attempt that brought no answer.
func (x *exchange) failure(p *progress) Failure {
	ended := p.lost || x.ctx.Err() != nil
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled), x.body.broken():
		return FailureCancelled
	case ended && !p.notSent() && p.silent >= x.silentAfter():
		return FailureSilent
	case ended:
		return FailureCancelled
	case !p.dialed:
		return FailureDial
	default:
		return FailureReset
	}
}

// silentAfter returns how long nothing may move on the connection of an attempt.
func (x *exchange) silentAfter() time.Duration {
	return min(x.h.opts.Limits.SilentAfter.Std(), x.deadline.Sub(x.start)/silentDeadlineParts)
}

// silentDeadlineParts is the part of a deadline after which a connection without a byte is silent.
const silentDeadlineParts = 3

// judge decides whether an answer can be passed on.
func (x *exchange) judge(a *attempt) (*attempt, error) {
	header := a.response.Header
	echo := header.Get(HeaderAttempt)
	a.load = parseLoad(header.Get(HeaderLoad))
	if echo != "" && echo != string(a.id) {
		a.dropConn()
		return nil, x.reject(a, FailureReset, false, &MismatchedResponseError{Sent: string(a.id), Echoed: echo})
	}
	status := a.response.StatusCode
	if status < http.StatusOK {
		a.dropConn()
		return nil, x.reject(a, FailureServer, false, &StatusError{Status: status})
	}
	if unframed(a.response) {
		a.dropConn()
		return nil, x.reject(a, FailureServer, false, &UnframedResponseError{})
	}
	if echo != "" && status >= http.StatusBadRequest && header.Get(HeaderNotRun) == "1" {
		return nil, x.reject(a, FailureShed, true, &StatusError{Status: status})
	}
	if x.retryableStatus(status) {
		err := &AttemptError{Server: a.placement.Server.Name, Failure: FailureServer, Cause: &StatusError{Status: status}}
		if x.mayRetry(err) {
			rejected := x.reject(a, FailureServer, false, err.Cause)
			rejected.paid = true
			return nil, rejected
		}
	}
	x.route.latency.add(a.firstByte)
	return a, nil
}

// unframed reports an HTTP/1 answer whose body only ends with its connection.
func unframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

func (x *exchange) retryableStatus(status int) bool {
	return x.route.operation.Idempotent && status >= http.StatusBadGateway && status <= http.StatusGatewayTimeout
}

// reject ends an attempt whose answer is not passed on.
func (x *exchange) reject(a *attempt, f Failure, notRun bool, cause error) *AttemptError {
	_ = a.response.Body.Close()
	a.cancel()
	e := &AttemptError{Server: a.placement.Server.Name, Failure: f, NotRun: notRun, Cause: cause}
	x.settle(a, e)
	return e
}

// settle gives the slot of a failed attempt back and notes what it leaves behind.
func (x *exchange) settle(a *attempt, e *AttemptError) {
	if a.body != nil {
		_ = a.body.Close()
	}
	if e.NotRun {
		x.unsend()
	} else {
		x.mu.Lock()
		x.ran = true
		x.mu.Unlock()
	}
	x.release(a, e.Failure, OutcomeOf(e))
}

// unsend puts the key back to prepared; if the journal no longer allows that, the key counts as run.
func (x *exchange) unsend() {
	if x.key == "" || x.h.opts.Journal.MarkUnsent(x.route.service.Name, x.key) {
		return
	}
	x.mu.Lock()
	x.ran = true
	x.mu.Unlock()
}

// OutcomeOf returns the outcome that an attempt's error proves.
func OutcomeOf(e *AttemptError) Outcome {
	if e.NotRun {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// release gives the slot back and records the attempt.
func (x *exchange) release(a *attempt, f Failure, outcome Outcome) {
	took := time.Since(a.started)
	a.placement.Release(AttemptResult{Failure: f, FirstByte: a.firstByte, Total: took, Load: a.load})
	x.h.opts.Metrics.AttemptDone(&AttemptMetric{
		Service: x.route.service.Name, Server: a.placement.Server.Name, Region: a.placement.Server.Region,
		Failure: f, Extra: a.extra, Hedge: a.hedge, FirstByte: a.firstByte, Took: took,
	})
	rec := &review.Record{
		ID: a.id, Parent: x.id, Kind: review.KindAttempt, At: a.started, Took: took,
		Service: x.route.service.Name, Operation: x.route.operation.Name, Origin: x.origin,
		Revision: a.placement.Revision, PlanEpoch: a.placement.PlanEpoch, Grant: a.placement.Grant,
		Constraint: a.placement.Constraint, Result: string(a.placement.Server.Name),
		Outcome: string(outcome), Candidates: a.placement.Candidates,
	}
	if f != FailureNone {
		rec.Inputs = []review.Input{{Name: "failure", Value: f.String()}}
	}
	if sc := a.span.SpanContext(); sc.HasTraceID() {
		rec.TraceID = sc.TraceID().String()
	}
	x.h.record(rec)
	a.span.End()
}
