package request

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/httpheader"
	"github.com/azureflow/azureflow/internal/review"
)

// copyBufferBytes is the size of the buffers used to copy response bodies.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// relayResponse streams the response of a to the caller as it arrives. It returns false if the response was truncated;
// then the caller's connection must be aborted so that the response does not look complete.
func (x *exchange) relayResponse(a *attempt) bool {
	outcome := x.responseOutcome(a)
	if x.key != "" {
		x.h.opts.Journal.MarkAnswered(x.route.service.Name, x.key)
	}
	x.writeResponseHeader(a, outcome)
	upstreamErr, callerErr := x.copyResponseBody(a)
	failure := x.responseFailure(a, upstreamErr, callerErr)
	if upstreamErr != nil || callerErr != nil {
		a.abandon()
		outcome = OutcomeUnknown
	}
	_ = a.response.Body.Close()
	if a.body != nil {
		_ = a.body.Close()
	}
	a.cancel()
	x.releaseAttempt(a, failure, outcome)
	k := refusalKind{status: a.response.StatusCode, constraint: a.placement.Constraint}
	if upstreamErr != nil {
		k.constraint = review.ConstraintNone
	}
	x.recordRequest(&k, outcome, string(a.placement.Server.Name))
	return upstreamErr == nil && callerErr == nil
}

// responseOutcome returns the outcome that a response proves: after a server error of a non-idempotent operation it is
// unknown whether the operation ran.
func (x *exchange) responseOutcome(a *attempt) Outcome {
	if a.response.StatusCode >= http.StatusInternalServerError {
		return OutcomeUnknown
	}
	return OutcomeDone
}

func (x *exchange) writeResponseHeader(a *attempt, outcome Outcome) {
	header := x.w.Header()
	for name, values := range a.response.Header {
		if !httpheader.IsHopByHop(name) && !perAttemptHeaders[name] && !entryHeaders[name] {
			header[name] = values
		}
	}
	if length := a.response.Header["Content-Length"]; length != nil {
		header["Content-Length"] = length
	}
	header[HeaderOutcome] = outcomeValues[outcome]
	x.prepareEarlyResponse()
	x.w.WriteHeader(a.response.StatusCode)
}

// entryHeaders are response headers that only the entry VM sets; values from the upstream are dropped.
var entryHeaders = map[string]bool{
	HeaderOutcome: true, HeaderDecision: true, HeaderEntry: true, HeaderEntryState: true, HeaderCallSendings: true,
	HeaderNotRun: true, HeaderLoad: true, HeaderAttempt: true, HeaderProxyStatus: true,
}

var outcomeValues = map[Outcome][]string{
	OutcomeDone:    {string(OutcomeDone)},
	OutcomeNotRun:  {string(OutcomeNotRun)},
	OutcomeUnknown: {string(OutcomeUnknown)},
}

// copyResponseBody copies the response body to the caller. A body of unknown length is flushed as it arrives.
func (x *exchange) copyResponseBody(a *attempt) (upstreamErr, callerErr error) {
	if a.response.ContentLength == 0 {
		return nil, nil
	}
	body := io.Reader(a.response.Body)
	if x.h.opts.Pacer != nil && a.placement.Server.Region != x.h.opts.Self.Region {
		body = x.h.opts.Pacer.Body(x.ctx, a.placement.Server.Region, x.h.opts.Self.Region, x.route.operation.Class, body)
	}
	if a.response.ContentLength < 0 || a.response.ContentLength > copyBufferBytes {
		x.setWriteDeadline()
	}
	watch := x.watchInactivity(a)
	defer watch.Stop()
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := x.w.(http.Flusher)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if werr := x.writeToCaller(buf[:n]); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if a.response.ContentLength < 0 && flusher != nil {
			flusher.Flush()
		}
	}
}

// setWriteDeadline makes writes to a caller that no longer reads fail shortly after the deadline.
func (x *exchange) setWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(transferMargin))
}

// writeToCaller writes part of a response to the caller. While the write blocks, inactivity on the upstream's
// connection is not held against the upstream.
func (x *exchange) writeToCaller(p []byte) error {
	x.writing.Store(true)
	defer x.writing.Store(false)
	_, err := x.w.Write(p)
	return err
}

// watchInactivity closes the attempt's connection after it transferred no byte for Limits.SilentAfter.
func (x *exchange) watchInactivity(a *attempt) *time.Timer {
	limit := x.h.opts.Limits.SilentAfter.Std()
	var timer *time.Timer
	var armed sync.WaitGroup
	armed.Add(1)
	timer = time.AfterFunc(limit, func() {
		armed.Wait()
		inactive := a.inactiveFor(time.Now())
		if inactive < limit {
			timer.Reset(limit - inactive)
			return
		}
		if x.writing.Load() {
			timer.Reset(limit)
			return
		}
		a.closeUnresponsive()
	})
	armed.Done()
	return timer
}

func (x *exchange) responseFailure(a *attempt, upstreamErr, callerErr error) Failure {
	switch {
	case callerErr != nil, x.r.Context().Err() != nil:
		return FailureCancelled
	case upstreamErr != nil && a.wasUnresponsive():
		return FailureSilent
	case upstreamErr != nil && x.ctx.Err() != nil:
		return FailureCancelled
	case upstreamErr != nil:
		return FailureReset
	case a.response.StatusCode >= http.StatusInternalServerError:
		return FailureServer
	default:
		return FailureNone
	}
}
