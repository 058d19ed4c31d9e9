package request

import (
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// classQueue holds the waiting requests of one class, by origin. Origins may be limited by different regions and
// links, so an origin without free capacity must not block another.
type classQueue struct {
	origins []*originQueue
}

// originQueue holds the waiting requests of one class and origin, served round-robin among callers.
type originQueue struct {
	origin  steering.RegionName
	callers []*callerQueue // the first is served next
	length  int
}

// callerQueue holds the waiting requests of one caller in order of arrival.
type callerQueue struct {
	caller  string
	waiters []*waiter
}

func (c *classQueue) hasWaiting(origin steering.RegionName) bool {
	for _, o := range c.origins {
		if o.origin == origin {
			return o.length > 0
		}
	}
	return false
}

func (c *classQueue) length() int {
	n := 0
	for _, o := range c.origins {
		n += o.length
	}
	return n
}

func (c *classQueue) origin(name steering.RegionName) *originQueue {
	for _, o := range c.origins {
		if o.origin == name {
			return o
		}
	}
	o := &originQueue{origin: name}
	c.origins = append(c.origins, o)
	return o
}

func (o *originQueue) push(w *waiter) {
	o.length++
	for _, c := range o.callers {
		if c.caller == w.ticket.Caller {
			c.waiters = append(c.waiters, w)
			return
		}
	}
	o.callers = append(o.callers, &callerQueue{caller: w.ticket.Caller, waiters: []*waiter{w}})
}

// first returns the request that is served next, or nil.
func (o *originQueue) first() *waiter {
	if len(o.callers) == 0 {
		return nil
	}
	return o.callers[0].waiters[0]
}

// last returns the newest request of the caller with the most waiting, or nil.
func (o *originQueue) last() *waiter {
	var longest *callerQueue
	for _, c := range o.callers {
		if longest == nil || len(c.waiters) >= len(longest.waiters) {
			longest = c
		}
	}
	if longest == nil {
		return nil
	}
	return longest.waiters[len(longest.waiters)-1]
}

// remove removes w. If it was first, its caller goes to the end of the round-robin order.
func (o *originQueue) remove(w *waiter) {
	for i, c := range o.callers {
		if c.caller != w.ticket.Caller {
			continue
		}
		c.remove(w)
		o.length--
		o.callers = append(o.callers[:i], o.callers[i+1:]...)
		if len(c.waiters) > 0 {
			o.callers = append(o.callers, c)
		}
		return
	}
}

func (c *callerQueue) remove(w *waiter) {
	for i := range c.waiters {
		if c.waiters[i] == w {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			return
		}
	}
}

// enqueue adds a waiter. It refuses t if t cannot meet its deadline or if the queue is full of equally or more urgent
// requests.
func (s *serviceQueue) enqueue(t *Ticket, now time.Time) (*waiter, *RefusedError) {
	if s.opts.Policy == PolicyClasses {
		wait := s.retryAfter(t.Class)
		if now.Add(wait + s.usage.expectedHold(t.Class)).After(t.Deadline) {
			return nil, s.refusal(review.ConstraintDeadline, wait)
		}
	}
	if !s.ensureCapacity(t) {
		return nil, s.refusal(review.ConstraintContract, s.retryAfter(t.Class))
	}
	w := &waiter{ticket: t, enqueued: now, ready: make(chan struct{})}
	s.classes[s.queueClass(t)].origin(t.Query.Origin).push(w)
	s.waiting++
	s.callers[t.Caller]++
	s.startWatch()
	return w, nil
}

func (s *serviceQueue) queueClass(t *Ticket) steering.Class {
	if s.opts.Policy == PolicyFIFO {
		return steering.ClassInteractive
	}
	return t.Class
}

// ensureCapacity reports whether t may wait. A full queue refuses its newest request of the least urgent class to make
// space for a more urgent t.
func (s *serviceQueue) ensureCapacity(t *Ticket) bool {
	limit := s.opts.Length
	if t.Class == steering.ClassDeferrable && s.opts.Policy == PolicyClasses {
		limit /= deferrableQueueShare
	}
	if s.waiting < limit {
		return true
	}
	for c := steering.ClassCount - 1; c > t.Class; c-- {
		if w := s.newest(c); w != nil {
			s.refuseWaiter(w, review.ConstraintContract)
			return true
		}
	}
	return false
}

func (s *serviceQueue) newest(c steering.Class) *waiter {
	var longest *originQueue
	for _, o := range s.classes[c].origins {
		if longest == nil || o.length > longest.length {
			longest = o
		}
	}
	if longest == nil {
		return nil
	}
	return longest.last()
}

// waitingAhead returns the number of waiting requests that are served before a new one of class c.
func (s *serviceQueue) waitingAhead(c steering.Class) int { return s.classes[c].length() }

// admitWaiting grants waiting requests until none can be placed.
func (s *serviceQueue) admitWaiting(now time.Time) {
	for s.waiting > 0 && s.admitOne(now) {
	}
}

// admitOne grants or refuses one waiting request. It returns false if none can be placed.
func (s *serviceQueue) admitOne(now time.Time) bool {
	for _, c := range s.classOrder() {
		if s.classes[c].length() > 0 && s.admitFromClass(c, now) {
			return true
		}
	}
	return false
}

// classOrder returns the classes in the order of this turn: most urgent first, except in the turns that protect the
// longer classes from starvation.
func (s *serviceQueue) classOrder() [steering.ClassCount]steering.Class {
	urgent := [...]steering.Class{steering.ClassInteractive, steering.ClassBulk, steering.ClassDeferrable}
	if s.interactiveGrants < interactiveTurns {
		return urgent
	}
	if s.longClassTurns%bulkTurnsPerDeferrable == bulkTurnsPerDeferrable-1 {
		return [...]steering.Class{steering.ClassDeferrable, steering.ClassBulk, steering.ClassInteractive}
	}
	return [...]steering.Class{steering.ClassBulk, steering.ClassDeferrable, steering.ClassInteractive}
}

func (s *serviceQueue) admitFromClass(c steering.Class, now time.Time) bool {
	if s.opts.Policy == PolicyClasses && !s.usage.admitsLong(c) {
		return false
	}
	for _, o := range s.classes[c].origins {
		w := o.first()
		if w == nil {
			continue
		}
		if s.missesDeadline(w, now) {
			s.refuseWaiter(w, review.ConstraintDeadline)
			return true
		}
		if s.placeWaiter(w, now) {
			s.countTurn(c)
			s.rotateOrigins(c)
			return true
		}
	}
	return false
}

func (s *serviceQueue) missesDeadline(w *waiter, now time.Time) bool {
	if s.opts.Policy == PolicyFIFO {
		return !now.Before(w.ticket.Deadline)
	}
	return now.Add(s.usage.shortestHold(w.ticket.Class)).After(w.ticket.Deadline)
}

// placeWaiter tries to place w. It returns true if w left the queue.
func (s *serviceQueue) placeWaiter(w *waiter, now time.Time) bool {
	w.ticket.Query.Now = now
	p, err := s.placer.Place(w.ticket.Query)
	if _, full := err.(*NoCapacityError); full {
		s.usage.recordFull(now)
		return false
	}
	s.remove(w)
	if err == nil {
		w.placed = s.grant(p, w.ticket, now)
	}
	w.err = err
	close(w.ready)
	return true
}

func (s *serviceQueue) countTurn(c steering.Class) {
	if c == steering.ClassInteractive {
		s.interactiveGrants++
		return
	}
	s.interactiveGrants = 0
	s.longClassTurns++
}

// rotateOrigins moves the first origin of the class to the end.
func (s *serviceQueue) rotateOrigins(c steering.Class) {
	o := s.classes[c].origins
	if len(o) > 1 {
		s.classes[c].origins = append(o[1:], o[0])
	}
}

func (s *serviceQueue) refuseWaiter(w *waiter, c review.Constraint) {
	s.remove(w)
	w.err = s.refusal(c, s.retryAfter(w.ticket.Class))
	close(w.ready)
}

// remove removes w from its queue.
func (s *serviceQueue) remove(w *waiter) {
	w.removed = true
	s.classes[s.queueClass(w.ticket)].origin(w.ticket.Query.Origin).remove(w)
	s.waiting--
	s.releaseCaller(w.ticket.Caller)
}

// startWatch starts the goroutine that waits for capacity unless it is already running.
func (s *serviceQueue) startWatch() {
	if s.watching {
		return
	}
	s.watching = true
	go s.watchCapacity()
}

// watchCapacity admits waiting requests whenever the placer signals free capacity, until none is waiting.
func (s *serviceQueue) watchCapacity() {
	for {
		freed := s.placer.CapacityFreed(s.name)
		s.mu.Lock()
		s.admitWaiting(time.Now())
		if s.waiting == 0 {
			s.watching = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		waitForCapacity(freed)
	}
}

func waitForCapacity(freed <-chan struct{}) {
	timer := time.NewTimer(capacityPollInterval)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}
