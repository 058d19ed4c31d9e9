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

// copyBufferBytes is the size of the buffers that carry answers.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// answer passes the answer of a to the caller as it arrives. It returns false if it was cut off; then
// the caller's connection must be aborted so that it does not look whole.
func (x *exchange) answer(a *attempt) bool {
	outcome := x.answerOutcome(a)
	if x.key != "" {
		x.h.opts.Journal.MarkAnswered(x.route.service.Name, x.key)
	}
	x.writeAnswerHeader(a, outcome)
	upstreamErr, callerErr := x.copyAnswer(a)
	failure := x.answerFailure(a, upstreamErr, callerErr)
	if upstreamErr != nil || callerErr != nil {
		a.abandon()
		outcome = OutcomeUnknown
	}
	_ = a.response.Body.Close()
	if a.body != nil {
		_ = a.body.Close()
	}
	a.cancel()
	x.release(a, failure, outcome)
	k := refusalKind{status: a.response.StatusCode, constraint: a.placement.Constraint}
	if upstreamErr != nil {
		k.constraint = review.ConstraintNone
	}
	x.finish(&k, outcome, string(a.placement.Server.Name))
	return upstreamErr == nil && callerErr == nil
}

// answerOutcome returns what an answer proves: a server error of a non-idempotent operation leaves it
// open whether it ran.
func (x *exchange) answerOutcome(a *attempt) Outcome {
	if a.response.StatusCode >= http.StatusInternalServerError {
		return OutcomeUnknown
	}
	return OutcomeDone
}

func (x *exchange) writeAnswerHeader(a *attempt, outcome Outcome) {
	header := x.w.Header()
	for name, values := range a.response.Header {
		if !httpheader.HopByHop(name) && !perAttempt[name] && !entryHeaders[name] {
			header[name] = values
		}
	}
	if length := a.response.Header["Content-Length"]; length != nil {
		header["Content-Length"] = length
	}
	header[HeaderOutcome] = outcomeValues[outcome]
	x.answerEarly()
	x.w.WriteHeader(a.response.StatusCode)
}

// entryHeaders are set by the entry VM alone.
var entryHeaders = map[string]bool{
	HeaderOutcome: true, HeaderDecision: true, HeaderEntry: true, HeaderEntryState: true, HeaderCallSendings: true,
	HeaderNotRun: true, HeaderLoad: true, HeaderAttempt: true, HeaderProxyStatus: true,
}

var outcomeValues = map[Outcome][]string{
	OutcomeDone:    {string(OutcomeDone)},
	OutcomeNotRun:  {string(OutcomeNotRun)},
	OutcomeUnknown: {string(OutcomeUnknown)},
}

// copyAnswer copies the body. A body of unknown length is flushed as it arrives.
func (x *exchange) copyAnswer(a *attempt) (upstreamErr, callerErr error) {
	if a.response.ContentLength == 0 {
		return nil, nil
	}
	body := io.Reader(a.response.Body)
	if x.h.opts.Pacer != nil && a.placement.Server.Region != x.h.opts.Self.Region {
		body = x.h.opts.Pacer.Body(x.ctx, a.placement.Server.Region, x.h.opts.Self.Region, x.route.operation.Class, body)
	}
	if a.response.ContentLength < 0 || a.response.ContentLength > copyBufferBytes {
		x.boundWrites()
	}
	watch := x.watchSilence(a)
	defer watch.Stop()
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := x.w.(http.Flusher)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if werr := x.write(buf[:n]); werr != nil {
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

// boundWrites ends writes to a caller that no longer reads once the deadline is over.
func (x *exchange) boundWrites() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(transferMargin))
}

// write passes part of an answer on. Meanwhile the upstream's silence is not its own.
func (x *exchange) write(p []byte) error {
	x.writing.Store(true)
	defer x.writing.Store(false)
	_, err := x.w.Write(p)
	return err
}

// watchSilence closes the attempt's connection once nothing moved on it for too long.
func (x *exchange) watchSilence(a *attempt) *time.Timer {
	limit := x.h.opts.Limits.SilentAfter.Std()
	var timer *time.Timer
	var armed sync.WaitGroup
	armed.Add(1)
	timer = time.AfterFunc(limit, func() {
		armed.Wait()
		silent := a.silentFor(time.Now())
		if silent < limit {
			timer.Reset(limit - silent)
			return
		}
		if x.writing.Load() {
			timer.Reset(limit)
			return
		}
		a.cutSilent()
	})
	armed.Done()
	return timer
}

func (x *exchange) answerFailure(a *attempt, upstreamErr, callerErr error) Failure {
	switch {
	case callerErr != nil, x.r.Context().Err() != nil:
		return FailureCancelled
	case upstreamErr != nil && a.wasSilent():
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
