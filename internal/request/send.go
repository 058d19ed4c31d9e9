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

// perAttemptHeaders are the headers that an entry VM sets itself for each attempt; values from the caller are not
// forwarded.
var perAttemptHeaders = map[string]bool{HeaderPrevious: true, HeaderTimeout: true, HeaderAttempt: true, HeaderCall: true}

// attemptOptions configure one attempt.
type attemptOptions struct {
	placement *Placement
	extra     bool           // a retry or hedge
	hedge     bool           // sent while another attempt is in flight
	newConn   bool           // may only be sent on a new connection
	register  func(*attempt) // called before anything is sent; may be nil
}

// send makes one attempt. Errors: *AttemptError, or *KeyError if the key was promised to another entry VM.
func (x *exchange) send(s attemptOptions) (*attempt, error) {
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
	x.recordAttempt(s.placement)
	ctx := withConnRequirement(a.prepare(x.ctx), connRequirement{pool: x.pool(s), dialLimit: x.dialLimit(s.placement)})
	ctx, a.span = x.h.opts.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	if s.register != nil {
		s.register(a)
	}
	resp, err := x.h.opts.Transport.RoundTrip(x.outgoingRequest(ctx, a))
	if err != nil {
		return nil, x.failAttempt(a, err)
	}
	a.setResponse(resp)
	return x.checkResponse(a)
}

// pool returns the pool of connections that an attempt may be sent on.
func (x *exchange) pool(s attemptOptions) pool {
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
	minDialLimit      = 100 * time.Millisecond
	maxDialRoundTrips = 3 // maximum time to connect, in round trips of the link
)

// dialLimit returns the time limit of an attempt to connect. It leaves time for an attempt on another server if this
// one is unreachable, as nothing was sent to it.
func (x *exchange) dialLimit(p *Placement) time.Duration {
	limit := minDialLimit
	if link := x.platform.Link(x.h.opts.Self.Region, p.Server.Region); link != nil {
		const directions = 2
		limit = max(limit, maxDialRoundTrips*directions*link.Delay.Std())
	}
	return min(limit, x.silentAfter())
}

func (x *exchange) recordAttempt(p *Placement) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempts++
	x.triedNames = append(x.triedNames, p.Server.Name)
	x.lastPlacement = p
}

// outgoingRequest builds the request of an attempt. The service name is removed from the path.
func (x *exchange) outgoingRequest(ctx context.Context, a *attempt) *http.Request {
	target := &url.URL{
		Scheme:   "http",
		Host:     a.placement.Server.Address,
		Path:     stripService(x.r.URL.Path),
		RawPath:  stripService(x.r.URL.RawPath),
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

// setBody sets a request body that net/http cannot send a second time.
func (x *exchange) setBody(req *http.Request, a *attempt) {
	if x.body == nil && (x.h.sealable || x.route.operation.Idempotent) {
		return // a replay by net/http finds its connection sealed, see sealableConn
	}
	view := x.body.view()
	a.body = view
	req.Body = view
	if x.h.opts.Pacer != nil && x.body != nil && a.placement.Server.Region != x.h.opts.Self.Region {
		paced := x.h.opts.Pacer.Body(x.ctx, x.h.opts.Self.Region, a.placement.Server.Region, x.route.operation.Class, view)
		req.Body = &pacedBody{Reader: paced, view: view}
	}
}

func stripService(path string) string {
	if path == "" {
		return ""
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + rest
}

// copyHeader copies the end-to-end headers of src to dst, except perAttemptHeaders. Values are shared.
func copyHeader(dst, src http.Header) {
	httpheader.CopyEndToEnd(dst, src)
	for name := range perAttemptHeaders {
		delete(dst, name)
	}
}

// failAttempt ends an attempt without a response.
func (x *exchange) failAttempt(a *attempt, cause error) *AttemptError {
	p := a.abandon()
	e := &AttemptError{Server: a.placement.Server.Name, NotRun: p.notSent(), Cause: cause}
	e.Failure = x.classifyFailure(&p)
	if e.Failure == FailureSilent {
		e.Cause = &UnresponsiveError{Inactive: p.inactive}
		x.h.unresponsive.recordSuspect(a.placement.Server.Name, time.Now())
	}
	x.endFailedAttempt(a, e)
	return e
}

// classifyFailure returns the failure of an attempt without a response.
func (x *exchange) classifyFailure(p *progress) Failure {
	ended := p.superseded || x.ctx.Err() != nil
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled), x.body.hasFailed():
		return FailureCancelled
	case ended && !p.notSent() && p.inactive >= x.silentAfter():
		return FailureSilent
	case ended:
		return FailureCancelled
	case !p.connected:
		return FailureDial
	default:
		return FailureReset
	}
}

// silentAfter returns the time without a byte after which the connection of an attempt counts as unresponsive.
func (x *exchange) silentAfter() time.Duration {
	return min(x.h.opts.Limits.SilentAfter.Std(), x.deadline.Sub(x.start)/silentDeadlineDivisor)
}

// silentDeadlineDivisor is the divisor of the deadline after which a connection without a byte counts as unresponsive.
const silentDeadlineDivisor = 3

// checkResponse decides whether a response can be passed on to the caller.
func (x *exchange) checkResponse(a *attempt) (*attempt, error) {
	header := a.response.Header
	echo := header.Get(HeaderAttempt)
	a.load = parseLoad(header.Get(HeaderLoad))
	if echo != "" && echo != string(a.id) {
		a.closeConn()
		return nil, x.rejectResponse(a, FailureReset, false, &MismatchedResponseError{Sent: string(a.id), Echoed: echo})
	}
	status := a.response.StatusCode
	if status < http.StatusOK || status > maxStatus {
		a.closeConn()
		return nil, x.rejectResponse(a, FailureServer, false, &StatusError{Status: status})
	}
	if isUnframed(a.response) {
		a.closeConn()
		return nil, x.rejectResponse(a, FailureServer, false, &UnframedResponseError{})
	}
	if echo != "" && status >= http.StatusBadRequest && header.Get(HeaderNotRun) == "1" {
		return nil, x.rejectResponse(a, FailureShed, true, &StatusError{Status: status})
	}
	if x.isRetryableStatus(status) {
		err := &AttemptError{Server: a.placement.Server.Name, Failure: FailureServer, Cause: &StatusError{Status: status}}
		if x.mayRetry(err) {
			rejected := x.rejectResponse(a, FailureServer, false, err.Cause)
			rejected.retryPaid = true
			return nil, rejected
		}
	}
	x.route.latency.add(a.firstByte)
	return a, nil
}

// maxStatus is the highest status that a response can have (RFC 9110, section 15).
const maxStatus = 599

// isUnframed reports whether r is an HTTP/1 response whose body is delimited only by the end of its connection.
func isUnframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

func (x *exchange) isRetryableStatus(status int) bool {
	return x.route.operation.Idempotent && status >= http.StatusBadGateway && status <= http.StatusGatewayTimeout
}

// rejectResponse ends an attempt whose response is not passed on.
func (x *exchange) rejectResponse(a *attempt, f Failure, notRun bool, cause error) *AttemptError {
	_ = a.response.Body.Close()
	a.cancel()
	e := &AttemptError{Server: a.placement.Server.Name, Failure: f, NotRun: notRun, Cause: cause}
	x.endFailedAttempt(a, e)
	return e
}

// endFailedAttempt releases the slot of a failed attempt and records whether the request may have run.
func (x *exchange) endFailedAttempt(a *attempt, e *AttemptError) {
	if a.body != nil {
		_ = a.body.Close()
	}
	if e.NotRun {
		x.markUnsent()
	} else {
		x.mu.Lock()
		x.mayHaveRun = true
		x.mu.Unlock()
	}
	x.releaseAttempt(a, e.Failure, OutcomeOf(e))
}

// markUnsent moves the key back to prepared. If the journal no longer allows that, the request counts as possibly run.
func (x *exchange) markUnsent() {
	if x.key == "" || x.h.opts.Journal.MarkUnsent(x.route.service.Name, x.key) {
		return
	}
	x.mu.Lock()
	x.mayHaveRun = true
	x.mu.Unlock()
}

// OutcomeOf returns the outcome that an attempt's error proves.
func OutcomeOf(e *AttemptError) Outcome {
	if e.NotRun {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// releaseAttempt releases the slot and records the attempt.
func (x *exchange) releaseAttempt(a *attempt, f Failure, outcome Outcome) {
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
