package upstream

import (
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Reservation is a slot of a server in use by one attempt.
type Reservation struct {
	Server     vm.VM
	Candidates []review.Candidate // only if Query.Explain was set

	pool     *Pool
	server   *server
	class    steering.Class
	start    int64
	epoch    time.Time
	trial    bool
	released atomic.Bool
}

// Release releases the slot and updates the server's state from the result of the attempt. Only the first call has an
// effect.
func (r *Reservation) Release(result request.AttemptResult, now time.Time) {
	if !r.released.CompareAndSwap(false, true) {
		return
	}
	p, s := r.pool, r.server
	at := int64(now.Sub(r.epoch))
	if hasServerResponse(result.Failure) {
		s.recordContact(at)
	}
	s.endAttempt(r.class, r.start)
	p.releaseTotal(r.class)
	if result.Load != nil {
		p.recordLoadReport(s, *result.Load, at)
	}
	p.updateFromResult(s, r, &result, at)
	p.ejectStragglers(at)
	if p.options.OnCapacity != nil {
		p.options.OnCapacity()
	}
}

// hasServerResponse reports whether an attempt that ended with f received a response from its server.
func hasServerResponse(f request.Failure) bool {
	return f == request.FailureNone || f == request.FailureShed || f == request.FailureServer
}

// updateFromResult updates the state of s from the result of an attempt.
func (p *Pool) updateFromResult(s *server, r *Reservation, result *request.AttemptResult, at int64) {
	switch result.Failure {
	case request.FailureNone:
		s.failures.Store(0)
		s.sheds.Store(0)
		p.recordLatency(s, r.class, latencyOf(result, at-r.start), at)
	case request.FailureCancelled:
		p.recordMinLatency(s, r.class, float64(at-r.start), at)
	case request.FailureShed:
		s.shedUntil.Store(at + shedBackoff(s.sheds.Add(1)))
	case request.FailureDial, request.FailureReset, request.FailureServer:
		if s.failures.Add(1) >= int32(p.options.FailThreshold) && !r.trial {
			p.eject(s, causeFailure, at)
		}
	case request.FailureSilent: // not attributable to the server
	}
	if r.trial {
		p.endTrial(s, r, result, at)
	}
}

// latencyOf returns the latency of an attempt in nanoseconds: to the first byte if that is known, since the rest
// depends on the length of the response.
func latencyOf(result *request.AttemptResult, elapsed int64) float64 {
	switch {
	case result.FirstByte > 0:
		return float64(result.FirstByte)
	case result.Total > 0:
		return float64(result.Total)
	default:
		return float64(elapsed)
	}
}

// maxSampleRatio limits a latency sample to this multiple of the median.
const maxSampleRatio = 10

func (p *Pool) recordLatency(s *server, class steering.Class, latency float64, at int64) {
	s.classes[class].addLatency(latency, maxSampleRatio*p.median[class].load(), at)
}

// recordMinLatency records the duration of an attempt that was canceled before its response, if it exceeds both the
// server's latency and the median.
func (p *Pool) recordMinLatency(s *server, class steering.Class, latency float64, at int64) {
	c := &s.classes[class]
	if latency > c.latency.load() && latency > p.median[class].load() {
		c.addLatency(latency, maxSampleRatio*p.median[class].load(), at)
	}
}

// shedBackoff returns how long a server that shed n requests in a row gets no new ones, nanoseconds.
func shedBackoff(n int32) int64 {
	const first = int64(10 * time.Millisecond)
	const doublings = 4
	return first << min(n-1, doublings)
}
