package request

import (
	"sync"
	"sync/atomic"
	"time"
)

// stopper counts requests in flight and determines when a planned stop may end.
type stopper struct {
	inFlight    atomic.Int64
	leaving     atomic.Bool
	lingered    atomic.Bool
	lastArrival atomic.Int64 // arrival of the last request since the stop started, in nanoseconds after its start
	startedAt   time.Time    // set before leaving
	startOnce   sync.Once
	drainedOnce sync.Once
	drained     chan struct{}
}

func (s *stopper) requestStarted() {
	s.inFlight.Add(1)
	if s.leaving.Load() {
		s.lastArrival.Store(int64(time.Since(s.startedAt)))
	}
}

func (s *stopper) requestEnded() {
	if s.inFlight.Add(-1) == 0 && s.lingered.Load() {
		s.markDrained()
	}
}

// linger is how long a planned stop waits for callers that still use the address of this entry VM.
type linger struct {
	idle time.Duration // minimum time without a new request
	max  time.Duration // maximum time since the start of the stop
}

// start starts the stop. Requests that still arrive are served; the stop ends when none is in flight after the linger
// time.
func (s *stopper) start(l linger) {
	s.startOnce.Do(func() {
		s.startedAt = time.Now()
		s.leaving.Store(true)
		time.AfterFunc(l.idle, func() { s.checkLinger(l) })
	})
}

// checkLinger ends the linger time, or extends it while requests keep arriving.
func (s *stopper) checkLinger(l linger) {
	now := time.Since(s.startedAt)
	until := min(time.Duration(s.lastArrival.Load())+l.idle, l.max)
	if now < until {
		time.AfterFunc(until-now, func() { s.checkLinger(l) })
		return
	}
	s.lingered.Store(true)
	if s.inFlight.Load() == 0 {
		s.markDrained()
	}
}

func (s *stopper) markDrained() { s.drainedOnce.Do(func() { close(s.drained) }) }

// BeginStop starts a planned stop: responses tell callers to use another entry VM, and requests that still arrive are
// served. It returns immediately.
func (h *Handler) BeginStop() {
	h.stop.start(linger{idle: h.opts.StopLinger, max: max(h.opts.StopLinger, h.opts.Limits.DrainTimeout.Std()/2)})
}

// Leaving reports whether a planned stop has started.
func (h *Handler) Leaving() bool { return h.stop.leaving.Load() }

// Drained returns a channel that is closed when a planned stop has started, its linger time has passed and no request
// is in flight.
func (h *Handler) Drained() <-chan struct{} { return h.stop.drained }

// InFlight returns the number of requests being served, queued ones included.
func (h *Handler) InFlight() int { return int(h.stop.inFlight.Load()) }
