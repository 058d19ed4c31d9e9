package request

import (
	"sync"
	"sync/atomic"
	"time"
)

// stopper counts requests in flight and tells when a planned stop may end.
type stopper struct {
	inFlight atomic.Int64
	leaving  atomic.Bool
	lingered atomic.Bool
	last     atomic.Int64 // arrival of the last request since the stop began, nanoseconds after its begin
	began    time.Time    // set before leaving
	once     sync.Once
	ended    sync.Once
	drained  chan struct{}
}

func (s *stopper) enter() {
	s.inFlight.Add(1)
	if s.leaving.Load() {
		s.last.Store(int64(time.Since(s.began)))
	}
}

func (s *stopper) leave() {
	if s.inFlight.Add(-1) == 0 && s.lingered.Load() {
		s.finish()
	}
}

// linger says how long a planned stop waits for callers that still have its address.
type linger struct {
	quiet time.Duration // without a new request
	most  time.Duration // at most, since the begin
}

// begin starts the stop. Requests that still arrive are served; the stop ends when none is in flight
// after the linger time.
func (s *stopper) begin(l linger) {
	s.once.Do(func() {
		s.began = time.Now()
		s.leaving.Store(true)
		time.AfterFunc(l.quiet, func() { s.await(l) })
	})
}

// await ends the linger time, or waits on while requests keep coming.
func (s *stopper) await(l linger) {
	now := time.Since(s.began)
	until := min(time.Duration(s.last.Load())+l.quiet, l.most)
	if now < until {
		time.AfterFunc(until-now, func() { s.await(l) })
		return
	}
	s.lingered.Store(true)
	if s.inFlight.Load() == 0 {
		s.finish()
	}
}

func (s *stopper) finish() { s.ended.Do(func() { close(s.drained) }) }

// BeginStop begins a planned stop: answers tell callers to use another entry VM, and requests that
// still arrive are served. It returns at once.
func (h *Handler) BeginStop() {
	h.stop.begin(linger{quiet: h.opts.StopLinger, most: max(h.opts.StopLinger, h.opts.Limits.DrainTimeout.Std()/2)})
}

// Leaving reports whether a planned stop began.
func (h *Handler) Leaving() bool { return h.stop.leaving.Load() }

// Drained is closed when, after a planned stop began and its linger time passed, no request is in flight.
func (h *Handler) Drained() <-chan struct{} { return h.stop.drained }

// InFlight returns the number of requests being served, waiting ones included.
func (h *Handler) InFlight() int { return int(h.stop.inFlight.Load()) }
