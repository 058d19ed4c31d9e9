package forward

import (
	"sync"
	"time"
)

const (
	// shortestFirst is the shortest deadline of a first request beside the longest: callers differ in patience.
	shortestFirst = 0.85
	// patienceWindow is for how long a deadline tells how patient the callers of a route are; several times the longest
	// deadline of the users' tables, after which a caller that comes back has given up.
	patienceWindow = 30 * time.Second
)

// deadlines remembers how patient the callers of each route were lately.
type deadlines struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience is the longest deadline on a route in the current window and in the one before.
type patience struct {
	began           time.Time
	current, before time.Duration
}

func newDeadlines() *deadlines { return &deadlines{routes: make(map[string]*patience)} }

// used returns the least time that a caller with this deadline has waited already, 0 if it may be new.
func (d *deadlines) used(route string, deadline time.Duration, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.routes[route]
	if p == nil {
		d.forgetUnused(now)
		p = &patience{began: now}
		d.routes[route] = p
	}
	p.advance(now)
	p.current = max(p.current, deadline)
	longest := max(p.current, p.before)
	return max(0, time.Duration(shortestFirst*float64(longest))-deadline)
}

// forgetUnused drops routes that no caller asked for lately, such as those that the configuration no longer has.
func (d *deadlines) forgetUnused(now time.Time) {
	for name, p := range d.routes {
		if now.Sub(p.began) >= 2*patienceWindow {
			delete(d.routes, name)
		}
	}
}

// advance begins a new window when the current one is over.
func (p *patience) advance(now time.Time) {
	elapsed := now.Sub(p.began)
	if elapsed < patienceWindow {
		return
	}
	p.before, p.current = p.current, 0
	if elapsed >= 2*patienceWindow {
		p.before = 0
	}
	p.began = now
}
