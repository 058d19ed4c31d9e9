package request

import (
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// classQueue holds the waiting requests of one class, by origin: origins may be bound by different
// regions and links, so that one without room must not block another.
type classQueue struct {
	origins []*originQueue
}

// originQueue holds the waiting requests of one class and origin, fairly among callers.
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

func (c *classQueue) holds(origin steering.RegionName) bool {
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

// take removes w. If it was first, its caller goes to the end of the round.
func (o *originQueue) take(w *waiter) {
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

// enqueue adds a waiter, or refuses t if it cannot make its deadline or the queue is full of more
// urgent work.
func (s *serviceQueue) enqueue(t *Ticket, now time.Time) (*waiter, *RefusedError) {
	if s.opts.Policy == PolicyClasses {
		wait := s.retryAfter(t.Class)
		if now.Add(wait + s.usage.expectedHold(t.Class)).After(t.Deadline) {
			return nil, s.refusal(review.ConstraintDeadline, wait)
		}
	}
	if !s.makeRoom(t) {
		return nil, s.refusal(review.ConstraintContract, s.retryAfter(t.Class))
	}
	w := &waiter{ticket: t, enqueued: now, ready: make(chan struct{})}
	s.classes[s.queueClass(t)].origin(t.Query.Origin).push(w)
	s.waiting++
	s.callers[t.Caller]++
	s.watch()
	return w, nil
}

func (s *serviceQueue) queueClass(t *Ticket) steering.Class {
	if s.opts.Policy == PolicyFIFO {
		return steering.ClassInteractive
	}
	return t.Class
}

// makeRoom reports whether t may wait; a full queue drops its newest, least urgent request for it.
func (s *serviceQueue) makeRoom(t *Ticket) bool {
	limit := s.opts.Length
	if t.Class == steering.ClassDeferrable && s.opts.Policy == PolicyClasses {
		limit /= deferrableQueueShare
	}
	if s.waiting < limit {
		return true
	}
	for c := steering.ClassCount - 1; c > t.Class; c-- {
		if w := s.newest(c); w != nil {
			s.refuse(w, review.ConstraintContract)
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

// ahead returns the waiting requests that go before a new one of class c.
func (s *serviceQueue) ahead(c steering.Class) int { return s.classes[c].length() }

// pump grants waiting requests until there is no room for any.
func (s *serviceQueue) pump(now time.Time) {
	for s.waiting > 0 && s.pumpOne(now) {
	}
}

// pumpOne grants or refuses one request. It returns false if none can be placed.
func (s *serviceQueue) pumpOne(now time.Time) bool {
	for _, c := range s.order() {
		if s.classes[c].length() > 0 && s.pumpClass(c, now) {
			return true
		}
	}
	return false
}

// order returns the classes in the order of this turn: most urgent first, but for the turns that keep
// the longer classes from starving.
func (s *serviceQueue) order() [steering.ClassCount]steering.Class {
	urgent := [...]steering.Class{steering.ClassInteractive, steering.ClassBulk, steering.ClassDeferrable}
	if s.turns < interactiveTurns {
		return urgent
	}
	if s.longs%bulkTurnsPerDeferrable == bulkTurnsPerDeferrable-1 {
		return [...]steering.Class{steering.ClassDeferrable, steering.ClassBulk, steering.ClassInteractive}
	}
	return [...]steering.Class{steering.ClassBulk, steering.ClassDeferrable, steering.ClassInteractive}
}

func (s *serviceQueue) pumpClass(c steering.Class, now time.Time) bool {
	if s.opts.Policy == PolicyClasses && !s.usage.admitsLong(c) {
		return false
	}
	for _, o := range s.classes[c].origins {
		w := o.first()
		if w == nil {
			continue
		}
		if s.tooLate(w, now) {
			s.refuse(w, review.ConstraintDeadline)
			return true
		}
		if s.place(w, now) {
			s.countTurn(c)
			s.rotate(c)
			return true
		}
	}
	return false
}

func (s *serviceQueue) tooLate(w *waiter, now time.Time) bool {
	if s.opts.Policy == PolicyFIFO {
		return !now.Before(w.ticket.Deadline)
	}
	return now.Add(s.usage.shortestHold(w.ticket.Class)).After(w.ticket.Deadline)
}

// place tries to place w. It returns true if w left the queue.
func (s *serviceQueue) place(w *waiter, now time.Time) bool {
	w.ticket.Query.Now = now
	p, err := s.placer.Place(w.ticket.Query)
	if _, full := err.(*NoCapacityError); full {
		s.usage.full(now)
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
		s.turns++
		return
	}
	s.turns = 0
	s.longs++
}

// rotate lets another origin of the class go first.
func (s *serviceQueue) rotate(c steering.Class) {
	o := s.classes[c].origins
	if len(o) > 1 {
		s.classes[c].origins = append(o[1:], o[0])
	}
}

func (s *serviceQueue) refuse(w *waiter, c review.Constraint) {
	s.remove(w)
	w.err = s.refusal(c, s.retryAfter(w.ticket.Class))
	close(w.ready)
}

// remove takes w out of its queue.
func (s *serviceQueue) remove(w *waiter) {
	w.done = true
	s.classes[s.queueClass(w.ticket)].origin(w.ticket.Query.Origin).take(w)
	s.waiting--
	s.leave(w.ticket.Caller)
}

// watch starts the goroutine that waits for room, if it does not run.
func (s *serviceQueue) watch() {
	if s.watching {
		return
	}
	s.watching = true
	go s.watchRoom()
}

// watchRoom pumps whenever the placer signals room, until nothing waits.
func (s *serviceQueue) watchRoom() {
	for {
		room := s.placer.CapacityFreed(s.name)
		s.mu.Lock()
		s.pump(time.Now())
		if s.waiting == 0 {
			s.watching = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		waitRoom(room)
	}
}

func waitRoom(room <-chan struct{}) {
	timer := time.NewTimer(roomPollInterval)
	defer timer.Stop()
	select {
	case <-room:
	case <-timer.C:
	}
}
