package request

import (
	"sync"
	"time"
)

const (
	// arrivalsKept is for how long an arrival is remembered at least; several times the second after which a caller sends
	// a call again beside a silent sending of it.
	arrivalsKept = 5 * time.Second
	// arrivalsMost bounds the calls that are remembered in that time, so that callers cannot fill the memory.
	arrivalsMost = 1 << 16
	// callIDBytes bounds the name of a call.
	callIDBytes = 32
)

// arrivals counts how many sendings of each call came to this entry VM lately. It tells a caller whether an earlier
// sending was lost on the way. It is safe for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	began   time.Time      // of the current period
	current map[string]int // by the caller's name of the call
	before  map[string]int
}

// note counts one more sending of call and returns how many there were, this one included. It returns 0 where that is
// not known.
func (a *arrivals) note(call string, now time.Time) int {
	if len(call) > callIDBytes {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	n, known := a.current[call]
	if !known && len(a.current) >= arrivalsMost {
		return 0
	}
	n = max(n, a.before[call]) + 1
	a.current[call] = n
	return n
}

// advance forgets what came before the last period.
func (a *arrivals) advance(now time.Time) {
	elapsed := now.Sub(a.began)
	if a.current != nil && elapsed < arrivalsKept {
		return
	}
	a.before, a.current, a.began = a.current, make(map[string]int), now
	if elapsed >= 2*arrivalsKept {
		a.before = nil
	}
}
