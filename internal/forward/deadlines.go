package forward

import (
	"sync"
	"time"
)

const (
	// minFirstDeadlineRatio is the shortest deadline of a first request relative to the longest one: callers differ in
	// how long they wait.
	minFirstDeadlineRatio = 0.85
	// deadlineWindow is how long a deadline counts as a sign of how long callers of a route wait. It is several times
	// the longest deadline of the users' tables, after which a caller that retries has given up.
	deadlineWindow = 30 * time.Second
)

// deadlines tracks the longest recent deadline on each route.
type deadlines struct {
	mu     sync.Mutex
	routes map[string]*routeDeadlines
}

// routeDeadlines is the longest deadline on a route in the current window and in the one before.
type routeDeadlines struct {
	windowStart       time.Time
	current, previous time.Duration
}

func newDeadlines() *deadlines { return &deadlines{routes: make(map[string]*routeDeadlines)} }

// minWaited returns the minimum time that a caller with this deadline has already waited, 0 if this may be its first
// request.
func (d *deadlines) minWaited(route string, deadline time.Duration, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.routes[route]
	if p == nil {
		d.deleteUnused(now)
		p = &routeDeadlines{windowStart: now}
		d.routes[route] = p
	}
	p.advanceWindow(now)
	p.current = max(p.current, deadline)
	longest := max(p.current, p.previous)
	return max(0, time.Duration(minFirstDeadlineRatio*float64(longest))-deadline)
}

// deleteUnused deletes routes that no caller has requested lately, such as those that the configuration no longer has.
func (d *deadlines) deleteUnused(now time.Time) {
	for name, p := range d.routes {
		if now.Sub(p.windowStart) >= 2*deadlineWindow {
			delete(d.routes, name)
		}
	}
}

// advanceWindow starts a new window if the current one is over.
func (p *routeDeadlines) advanceWindow(now time.Time) {
	elapsed := now.Sub(p.windowStart)
	if elapsed < deadlineWindow {
		return
	}
	p.previous, p.current = p.current, 0
	if elapsed >= 2*deadlineWindow {
		p.previous = 0
	}
	p.windowStart = now
}
