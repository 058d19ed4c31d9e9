package admission

import (
	"maps"
	"time"
)

// Preview is what a Queue would decide about a request.
type Preview struct {
	Bounds  Bounds
	Waiting int    // requests that wait now
	queue   *Queue // a copy, only for returns
}

// Preview returns what q would decide about a request that comes at now. q does not change.
func (q *Queue) Preview(t *Ticket, now time.Time) *Preview {
	scratch := &Queue{limit: q.limit, waiting: q.waiting, shares: q.shares, returns: q.returns, kinds: q.kinds.copy()}
	scratch.RecordArrival(t, now)
	return &Preview{Bounds: scratch.WaitBounds(t, now), Waiting: q.waiting, queue: scratch}
}

// RetryAfter is as Queue.RetryAfter, but leaves the schedule of returns as it is.
func (p *Preview) RetryAfter(t *Ticket, targetLeft, left time.Duration, now time.Time) time.Duration {
	return p.queue.RetryAfter(t, targetLeft, left, now)
}

// copy returns a copy that shares nothing with k.
func (k *kinds) copy() kinds {
	c := kinds{byPriority: maps.Clone(k.byPriority), all: k.all}
	for priority, counts := range c.byPriority {
		one := *counts
		c.byPriority[priority] = &one
	}
	return c
}
