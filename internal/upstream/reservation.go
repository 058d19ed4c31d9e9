package upstream

import (
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Reservation is a slot held on a server for one attempt.
type Reservation struct {
	Server     vm.VM
	Candidates []review.Candidate // only if Query.Explain was set

	pool   *Pool
	server *server
	class  steering.Class
	start  int64
	epoch  time.Time
	trial  bool
	done   atomic.Bool
}

// Release gives the slot back and tells what the attempt showed. Only the first call counts.
func (r *Reservation) Release(result request.AttemptResult, now time.Time) {
	if !r.done.CompareAndSwap(false, true) {
		return
	}
	p, s := r.pool, r.server
	at := int64(now.Sub(r.epoch))
	if answered(result.Failure) {
		s.see(at)
	}
	s.end(r.class, r.start)
	p.giveTotal(r.class)
	if result.Load != nil {
		p.observe(s, *result.Load, at)
	}
	p.learn(s, r, &result, at)
	p.review(at)
	if p.options.OnCapacity != nil {
		p.options.OnCapacity()
	}
}

// answered reports whether an attempt heard of its server.
func answered(f request.Failure) bool {
	return f == request.FailureNone || f == request.FailureShed || f == request.FailureServer
}

// learn updates what is known of s by the result of an attempt.
func (p *Pool) learn(s *server, r *Reservation, result *request.AttemptResult, at int64) {
	switch result.Failure {
	case request.FailureNone:
		s.failures.Store(0)
		s.sheds.Store(0)
		p.sample(s, r.class, latencyOf(result, at-r.start), at)
	case request.FailureCancelled:
		p.sampleAtLeast(s, r.class, float64(at-r.start), at)
	case request.FailureShed:
		s.shedUntil.Store(at + shedPause(s.sheds.Add(1)))
	case request.FailureDial, request.FailureReset, request.FailureServer:
		if s.failures.Add(1) >= int32(p.options.FailThreshold) && !r.trial {
			p.eject(s, causeFailure, at)
		}
	case request.FailureSilent: // says nothing of the server
	}
	if r.trial {
		p.endTrial(s, r, result, at)
	}
}

// latencyOf returns the latency of an attempt in nanoseconds: up to the first byte if it is known,
// since the rest hangs on the length of the answer.
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

// sampleLimit is the multiple of the median that one sample may count for at most.
const sampleLimit = 10

func (p *Pool) sample(s *server, class steering.Class, latency float64, at int64) {
	s.classes[class].sample(latency, sampleLimit*p.median[class].load(), at)
}

// sampleAtLeast learns from an attempt that was ended before its answer, if it already took longer
// than expected.
func (p *Pool) sampleAtLeast(s *server, class steering.Class, latency float64, at int64) {
	c := &s.classes[class]
	if latency > c.latency.load() && latency > p.median[class].load() {
		c.sample(latency, sampleLimit*p.median[class].load(), at)
	}
}

// shedPause returns how long a server that refused n times in a row gets no work, nanoseconds.
func shedPause(n int32) int64 {
	const first = int64(10 * time.Millisecond)
	const doublings = 4
	return first << min(n-1, doublings)
}
