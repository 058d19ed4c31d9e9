package forward

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/admission"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	// offerInterval is how often room is looked for while requests wait and no other event shows any: reports age, and
	// servers join. It is a fraction of the time that a request may wait.
	offerInterval = 50 * time.Millisecond
	// maxOffers bounds the waiting requests that an event tries to place: a decision takes tens of microseconds where
	// there are hundreds of servers.
	maxOffers = 2
)

// admissions lets requests that find no room at a server wait, in the order that package admission decides.
type admissions struct {
	chooser *placement.Chooser

	mu       sync.Mutex
	closed   bool
	services map[steering.ServiceName]*serviceAdmission
}

// serviceAdmission is the queue of one service. It is guarded by admissions.mu.
type serviceAdmission struct {
	queue   *admission.Queue
	waiters map[*admission.Ticket]*waiter
	ticking bool
}

// waiter is a request that asks for room. Until ready is closed, its exchange does not change.
type waiter struct {
	ticket    admission.Ticket
	x         *exchange
	arrived   time.Time
	counted   bool // the first attempt to place it was counted as demand
	ready     chan struct{}
	placement *placement.Placement
	refusal   *placement.Refusal // the last one
	displaced bool
}

// AdmissionReport describes what admission did with a request that found no room at once.
type AdmissionReport struct {
	Waited    time.Duration // at this entry VM, in total
	Position  int           // requests that waited when it began to
	Displaced bool          // it gave way to another request
}

func newAdmissions(chooser *placement.Chooser) *admissions {
	return &admissions{chooser: chooser, services: make(map[steering.ServiceName]*serviceAdmission)}
}

// service returns the queue of a service. Callers hold a.mu.
func (a *admissions) service(name steering.ServiceName) *serviceAdmission {
	s := a.services[name]
	if s == nil {
		s = &serviceAdmission{queue: admission.NewQueue(), waiters: make(map[*admission.Ticket]*waiter)}
		a.services[name] = s
	}
	return s
}

// place returns where to send the request, or why it is refused. It waits if there is no room now and may be in time.
// It returns neither if the wait was broken off, since the request ended or the process stops.
func (a *admissions) place(x *exchange) (*placement.Placement, *placement.Refusal) {
	w := &waiter{x: x, arrived: time.Now(), ready: make(chan struct{})}
	w.ticket = admission.Ticket{
		Priority: x.account.PriorityOn(x.route), Account: x.account, Returned: x.returned,
		Target: x.deadline.Sub(x.start),
	}
	if objective := x.route.LatencyObjective(); objective > 0 {
		w.ticket.Target = min(w.ticket.Target, objective)
	}
	until, done := a.enter(w)
	if !done {
		a.wait(w, until)
	}
	if x.admission.Waited += time.Since(w.arrived); w.displaced {
		x.admission.Displaced = true
	}
	return w.placement, w.refusal
}

// enter places the request, or makes it wait until the time that it returns. done is true if it need not wait.
func (a *admissions) enter(w *waiter) (until time.Time, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.service(w.x.service), w.arrived
	if w.x.last == nil {
		s.queue.RecordArrival(&w.ticket, now)
	}
	if s.queue.Waiting() > 0 {
		a.offerRoom(s, now) // those that waited go first
	}
	if a.tryPlace(s, w, now) {
		if w.placement != nil {
			s.queue.RecordSent(&w.ticket, now)
		}
		return now, true
	}
	until = w.ticket.HoldUntil(now, w.x.deadline)
	if a.closed || !until.After(now) {
		a.refuse(s, w, now)
		return now, true
	}
	w.x.admission.Position = s.queue.Waiting()
	s.waiters[&w.ticket] = w
	if displaced := s.queue.Add(&w.ticket, now); displaced != nil {
		other := s.waiters[displaced]
		other.displaced = true
		a.refuse(s, other, now)
	}
	a.startTicking(s)
	return until, false
}

// wait waits until the request is placed or refused, its time to wait is over, or it ends.
func (a *admissions) wait(w *waiter, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	brokenOff := false
	select {
	case <-w.ready:
		return
	case <-w.x.ctx.Done():
		brokenOff = true
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.service(w.x.service), time.Now()
	if s.waiters[&w.ticket] == nil {
		return // placed or refused in the meantime
	}
	s.queue.Remove(&w.ticket, now)
	if brokenOff {
		a.breakOff(s, w)
		return
	}
	// Room that came free may not have been offered to it, while others that it does not suit were ahead.
	if a.tryPlace(s, w, now) {
		if w.placement != nil {
			s.queue.RecordSent(&w.ticket, now)
		}
		a.finish(s, w)
		return
	}
	a.refuse(s, w, now)
}

// tryPlace tries to place the request. It returns false if it may wait for room.
func (a *admissions) tryPlace(s *serviceAdmission, w *waiter, now time.Time) bool {
	query := w.x.placementQuery(now)
	query.FirstAttempt = query.FirstAttempt && !w.counted
	w.counted = true
	bounds := placement.WaitBounds(s.queue.WaitBounds(&w.ticket, now))
	query.WaitBounds = &bounds
	w.placement, w.refusal = a.chooser.Place(query, now)
	if w.refusal == nil {
		w.ticket.Work = w.placement.ExpectedLatency - w.placement.Wait
		return true
	}
	w.ticket.Work, w.ticket.Wait = w.refusal.Work(), w.refusal.Wait
	w.ticket.InTime = w.ticket.Work <= query.TargetLeft
	return !w.refusal.IsForRoom()
}

// offerRoom tries to place waiting requests. Callers hold a.mu.
func (a *admissions) offerRoom(s *serviceAdmission, now time.Time) {
	s.queue.TryNext(maxOffers, now, func(t *admission.Ticket) (done, sent bool) {
		w := s.waiters[t]
		if w.x.ctx.Err() != nil {
			a.breakOff(s, w) // it ended, and is about to leave the queue by itself
			return true, false
		}
		work := t.Work
		if done = a.tryPlace(s, w, now); done {
			a.finish(s, w)
		}
		t.Work = work // what the order and the account's share rest on
		return done, w.placement != nil
	})
}

// refuse refuses a request for which there is no room. Callers hold a.mu.
func (a *admissions) refuse(s *serviceAdmission, w *waiter, now time.Time) {
	w.refusal.RetryAfter = s.queue.RetryAfter(&w.ticket, w.x.lateAfter.Sub(now), w.x.callerDeadline.Sub(now), now)
	a.finish(s, w)
}

// breakOff ends the wait of a request without a decision. Callers hold a.mu.
func (a *admissions) breakOff(s *serviceAdmission, w *waiter) {
	w.refusal = nil
	a.finish(s, w)
}

// finish ends the wait of a request. Callers hold a.mu.
func (a *admissions) finish(s *serviceAdmission, w *waiter) {
	delete(s.waiters, &w.ticket)
	close(w.ready)
}

// recordEnded records that an attempt ended at a server of a service, and offers the room to waiting requests.
func (a *admissions) recordEnded(service steering.ServiceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.service(service), time.Now()
	s.queue.RecordEnded(now)
	a.offerRoom(s, now)
}

// startTicking offers room from time to time while requests wait. Callers hold a.mu.
func (a *admissions) startTicking(s *serviceAdmission) {
	if s.ticking {
		return
	}
	s.ticking = true
	time.AfterFunc(offerInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		s.ticking = false
		a.offerRoom(s, time.Now())
		if s.queue.Waiting() > 0 {
			a.startTicking(s)
		}
	})
}

// close ends all waits: no request is placed for a waiting one any more.
func (a *admissions) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	now := time.Now()
	for _, s := range a.services {
		for t, w := range s.waiters {
			s.queue.Remove(t, now)
			a.breakOff(s, w)
		}
	}
}

// waiting returns the number of waiting requests.
func (a *admissions) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.services {
		n += s.queue.Waiting()
	}
	return n
}
