package request

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// Defaults of QueueOptions.
const (
	defaultQueueLength     = 512
	defaultCallerLimit     = 64
	capacityPollInterval   = 50 * time.Millisecond
	minRetryAfter          = 50 * time.Millisecond
	deferrableQueueShare   = 4 // divisor of the queue length that deferrable requests may fill
	interactiveTurns       = 8 // interactive requests admitted before a longer class gets a turn
	bulkTurnsPerDeferrable = 4
)

// QueueOptions configure NewQueue.
type QueueOptions struct {
	Length      int // maximum number of waiting requests of one service
	CallerLimit int // maximum number of requests of one caller and service, waiting or in flight
	Policy      QueuePolicy
}

// QueuePolicy is the order in which waiting requests are admitted.
type QueuePolicy uint8

// The policies.
const (
	// PolicyClasses orders by class, is fair among callers, and refuses requests that cannot meet their deadline.
	PolicyClasses QueuePolicy = iota
	// PolicyFIFO admits in order of arrival. It is the baseline in experiments.
	PolicyFIFO
)

// Ticket is a request for the admission of one attempt.
type Ticket struct {
	Query    *PlacementQuery
	Class    steering.Class
	Caller   string
	Deadline time.Time
}

// Queue admits requests to the servers of each service as the Placer has free capacity. It is safe for concurrent use.
type Queue struct {
	opts   QueueOptions
	placer Placer

	services sync.Map // steering.ServiceName -> *serviceQueue
}

// NewQueue returns a Queue that places requests with placer.
func NewQueue(placer Placer, opts QueueOptions) *Queue {
	if opts.Length <= 0 {
		opts.Length = defaultQueueLength
	}
	if opts.CallerLimit <= 0 {
		opts.CallerLimit = defaultCallerLimit
	}
	return &Queue{opts: opts, placer: placer}
}

// Admit waits for a placement. The placement's Release must be called exactly once. Errors: *RefusedError,
// *CallerDisconnectedError if ctx was canceled, *UnroutableError.
func (q *Queue) Admit(ctx context.Context, t *Ticket) (*Placement, error) {
	return q.service(t.Query.Service).admit(ctx, t)
}

// TryAdmit is like Admit but bypasses the queue and does not wait, for a request that was admitted before. Errors:
// *NoCapacityError, *UnroutableError.
func (q *Queue) TryAdmit(t *Ticket) (*Placement, error) {
	return q.service(t.Query.Service).tryAdmit(t)
}

// Waiting returns the number of waiting requests of a service.
func (q *Queue) Waiting(service steering.ServiceName) int {
	s := q.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

func (q *Queue) service(name steering.ServiceName) *serviceQueue {
	if s, ok := q.services.Load(name); ok {
		return s.(*serviceQueue)
	}
	fresh := &serviceQueue{
		name:    name,
		opts:    q.opts,
		placer:  q.placer,
		callers: make(map[string]int),
	}
	s, _ := q.services.LoadOrStore(name, fresh)
	return s.(*serviceQueue)
}

// serviceQueue is the queue of one service. Its lock is held while the Placer decides, but never during I/O.
type serviceQueue struct {
	name   steering.ServiceName
	opts   QueueOptions
	placer Placer

	mu                sync.Mutex
	classes           [steering.ClassCount]classQueue
	waiting           int
	callers           map[string]int // waiting or in flight
	usage             usage
	interactiveGrants int // interactive requests admitted since the last turn of a longer class
	longClassTurns    int // turns of longer classes
	watching          bool
}

// waiter is a request that waits for capacity.
type waiter struct {
	ticket   *Ticket
	enqueued time.Time
	ready    chan struct{} // closed once placement or err is set
	placed   *Placement
	err      error
	removed  bool // granted, refused, or its caller has disconnected
}

func (s *serviceQueue) admit(ctx context.Context, t *Ticket) (*Placement, error) {
	now := time.Now()
	s.mu.Lock()
	if s.callers[t.Caller] >= s.opts.CallerLimit {
		s.mu.Unlock()
		return nil, s.refusal(review.ConstraintCaller, minRetryAfter)
	}
	p, err := s.tryPlace(t, now)
	if p != nil || err != nil {
		s.mu.Unlock()
		return p, err
	}
	w, refused := s.enqueue(t, now)
	s.mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	return s.wait(ctx, w)
}

func (s *serviceQueue) tryAdmit(t *Ticket) (*Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := s.placer.Place(t.Query)
	if err != nil {
		return nil, err
	}
	return s.grant(p, t, t.Query.Now), nil
}

// tryPlace places t if no waiting request has precedence. It returns nil and nil if t has to wait.
func (s *serviceQueue) tryPlace(t *Ticket, now time.Time) (*Placement, error) {
	s.usage.recordArrival(t.Class, now)
	s.updateCapacity(now)
	if s.mustWait(t) {
		return nil, nil
	}
	t.Query.Now = now
	p, err := s.placer.Place(t.Query)
	if err == nil {
		return s.grant(p, t, now), nil
	}
	if _, full := err.(*NoCapacityError); full {
		s.usage.recordFull(now)
		return nil, nil
	}
	return nil, err
}

// updateCapacity updates the capacity and the part of it that is reserved for interactive requests.
func (s *serviceQueue) updateCapacity(now time.Time) {
	s.usage.growCapacity(now)
	if !s.usage.reserveDue(now) {
		return
	}
	if reporter, ok := s.placer.(CapacityReporter); ok {
		s.usage.setReportedCapacity(reporter.Capacity(s.name))
	}
	s.usage.updateReserve(now)
}

func (s *serviceQueue) mustWait(t *Ticket) bool {
	if s.opts.Policy == PolicyFIFO {
		return s.waiting > 0
	}
	for c := steering.ClassInteractive; c <= t.Class; c++ {
		if s.classes[c].hasWaiting(t.Query.Origin) {
			return true
		}
	}
	return !s.usage.admitsLong(t.Class)
}

// grant counts a placement and wraps its Release, so that a release admits waiting requests.
func (s *serviceQueue) grant(p *Placement, t *Ticket, now time.Time) *Placement {
	s.usage.recordStart(t.Class)
	s.callers[t.Caller]++
	release := p.Release
	p.Release = func(r AttemptResult) {
		release(r)
		s.onRelease(t, now)
	}
	return p
}

func (s *serviceQueue) onRelease(t *Ticket, start time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.recordEnd(t.Class, now.Sub(start), now)
	s.releaseCaller(t.Caller)
	s.admitWaiting(now)
}

func (s *serviceQueue) releaseCaller(caller string) {
	if s.callers[caller] <= 1 {
		delete(s.callers, caller)
		return
	}
	s.callers[caller]--
}

// wait blocks until w is granted or refused, or ctx is done.
func (s *serviceQueue) wait(ctx context.Context, w *waiter) (*Placement, error) {
	select {
	case <-w.ready:
		return w.placed, w.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.removed {
		return w.placed, w.err
	}
	s.remove(w)
	if ctx.Err() == context.DeadlineExceeded {
		return nil, s.refusal(review.ConstraintDeadline, s.retryAfter(w.ticket.Class))
	}
	return nil, &CallerDisconnectedError{}
}

func (s *serviceQueue) refusal(c review.Constraint, after time.Duration) *RefusedError {
	return &RefusedError{Service: s.name, Constraint: c, RetryAfter: max(after, minRetryAfter)}
}

func (s *serviceQueue) retryAfter(c steering.Class) time.Duration {
	return s.usage.expectedWait(c, s.waitingAhead(c))
}
