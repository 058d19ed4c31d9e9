package request

import (
	"sync"
	"time"
)

const (
	// arrivalsRetention is the minimum time for which an arrival is retained: several times the one second after
	// which a caller sends another attempt of a call beside an unresponsive one.
	arrivalsRetention = 5 * time.Second
	// maxArrivals bounds the calls retained in that time, so that callers cannot exhaust the memory.
	maxArrivals = 1 << 16
	// callIDBytes is the maximum length of a call ID.
	callIDBytes = 32
)

// arrivals counts how many attempts of each call recently arrived at this entry VM. From the count a caller learns
// whether an earlier attempt was lost on the network path. It is safe for concurrent use.
type arrivals struct {
	mu          sync.Mutex
	periodStart time.Time      // start of the current period
	current     map[string]int // by call ID
	previous    map[string]int
}

// record counts one more attempt of call and returns the number of attempts including this one. It returns 0 if that is
// not known.
func (a *arrivals) record(call string, now time.Time) int {
	if len(call) > callIDBytes {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	n, counted := a.current[call]
	if !counted && len(a.current) >= maxArrivals {
		return 0
	}
	n = max(n, a.previous[call]) + 1
	a.current[call] = n
	return n
}

// rotate drops the counts from before the previous period.
func (a *arrivals) rotate(now time.Time) {
	elapsed := now.Sub(a.periodStart)
	if a.current != nil && elapsed < arrivalsRetention {
		return
	}
	a.previous, a.current, a.periodStart = a.current, make(map[string]int), now
	if elapsed >= 2*arrivalsRetention {
		a.previous = nil
	}
}
