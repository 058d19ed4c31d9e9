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
	once     sync.Once
	drained  chan struct{}
}

func (s *stopper) enter() { s.inFlight.Add(1) }

func (s *stopper) leave() {
	if s.inFlight.Add(-1) == 0 && s.lingered.Load() {
		s.finish()
	}
}

// begin starts the stop. Requests that still arrive are served; the stop ends when none is in flight
// after linger.
func (s *stopper) begin(linger time.Duration) {
	if s.leaving.Swap(true) {
		return
	}
	time.AfterFunc(linger, func() {
		s.lingered.Store(true)
		if s.inFlight.Load() == 0 {
			s.finish()
		}
	})
}

func (s *stopper) finish() { s.once.Do(func() { close(s.drained) }) }

// BeginStop begins a planned stop: answers tell callers to use another entry VM, and requests that
// still arrive are served. It returns at once.
func (h *Handler) BeginStop() { h.stop.begin(h.opts.StopLinger) }

// Leaving reports whether a planned stop began.
func (h *Handler) Leaving() bool { return h.stop.leaving.Load() }

// Drained is closed when, after a planned stop began and its linger time passed, no request is in flight.
func (h *Handler) Drained() <-chan struct{} { return h.stop.drained }

// InFlight returns the number of requests being served, waiting ones included.
func (h *Handler) InFlight() int { return int(h.stop.inFlight.Load()) }
