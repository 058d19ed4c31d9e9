package admission

import (
	"container/heap"
	"time"
)

const (
	// maxWaiting bounds the waiting requests of a service. At a latency objective of a second it is what a VM that
	// serves a few thousand requests a second can still place while they may wait.
	maxWaiting = 512
	// urgentTurns is how many requests of a more urgent priority are sent before one of a less urgent priority that
	// waits, so that no kind of request is starved: it gets over a quarter of what the more urgent ones get.
	urgentTurns = 3
)

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	levels   []*level
	limit    int // of waiting requests
	waiting  int
	sequence uint64
	turns    int // of the most urgent waiting level since another one had one
	kinds    kinds
	shares   shares
	returns  returns
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue {
	return &Queue{limit: maxWaiting, kinds: newKinds(), shares: newShares()}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// RecordArrival records that a request came to the service.
func (q *Queue) RecordArrival(t *Ticket, now time.Time) {
	q.kinds.recordArrival(t.Priority, now)
	q.returns.recordArrival(t, now)
}

// Bounds are the longest expected waits for a slot with which a request may be sent to a server.
type Bounds struct {
	InTime time.Duration // if the response is expected within the target latency
	Late   time.Duration // otherwise
}

// WaitBounds returns the bounds of a request. The requests of less urgent kinds, and of accounts that have much more
// than others, leave part of the queues to the others.
func (q *Queue) WaitBounds(t *Ticket, now time.Time) Bounds {
	b := Bounds{InTime: share(t.Target, inTimeWaitShare), Late: share(t.Target, lateWaitShare)}
	if q.kinds.yields(t.Priority, now) || q.waiting > 0 && q.shares.isOver(t.Account) {
		b.InTime = share(t.Target, yieldWaitShare)
	}
	return b
}

// Add makes a request wait. If the queue is full, the request that costs callers least gives way: displaced is that
// request, which may be t itself, and nil if none gives way.
func (q *Queue) Add(t *Ticket, now time.Time) (displaced *Ticket) {
	q.sequence++
	t.sequence, t.key = q.sequence, t.Work.Seconds()
	if t.Account != nil {
		t.key = q.shares.claim(t.Account, t.Work.Seconds(), now)
	}
	heap.Push(q.level(t.Priority), t)
	q.waiting++
	if q.waiting <= q.limit {
		return nil
	}
	displaced = q.last()
	q.Remove(displaced, now)
	return displaced
}

// last returns the waiting ticket that gives way first.
func (q *Queue) last() *Ticket {
	for i := len(q.levels) - 1; ; i-- {
		if l := q.levels[i]; len(l.tickets) > 0 {
			return l.last()
		}
	}
}

// Remove removes a request that does not wait any longer and was not sent. It returns false if it does not wait.
func (q *Queue) Remove(t *Ticket, now time.Time) bool {
	if !q.remove(t) {
		return false
	}
	if t.Account != nil {
		q.shares.refund(t.Account, t.Work.Seconds(), now)
	}
	return true
}

// TryNext offers room to at most most waiting requests, in their order. try returns whether the request needs to wait
// no longer: it was sent, or it must be refused. sent tells which.
func (q *Queue) TryNext(most int, now time.Time, try func(t *Ticket) (done, sent bool)) {
	var kept []*Ticket
	for range most {
		t := q.next()
		if t == nil {
			break
		}
		done, sent := try(t)
		switch {
		case !done:
			q.remove(t) // and added again below, since the try may have changed its order
			kept = append(kept, t)
		case sent:
			q.countTurn(t)
			q.kinds.recordSent(t.Priority, now)
			q.remove(t)
		default:
			q.Remove(t, now)
		}
	}
	for _, t := range kept {
		heap.Push(q.level(t.Priority), t)
		q.waiting++
	}
}

// next returns the waiting request that goes first: of the most urgent priority, but each urgentTurns+1 of the next
// less urgent one.
func (q *Queue) next() *Ticket {
	var first *Ticket
	for _, l := range q.levels {
		if len(l.tickets) == 0 {
			continue
		}
		if first != nil {
			return l.tickets[0]
		}
		if first = l.tickets[0]; q.turns < urgentTurns {
			return first
		}
	}
	return first
}

// countTurn counts that a waiting request of a priority is sent.
func (q *Queue) countTurn(t *Ticket) {
	for _, l := range q.levels {
		if len(l.tickets) > 0 {
			if l.priority == t.Priority {
				q.turns++
				return
			}
			break
		}
	}
	q.turns = 0
}

// RecordSent records that a request was sent that did not wait.
func (q *Queue) RecordSent(t *Ticket, now time.Time) {
	q.kinds.recordSent(t.Priority, now)
	if t.Account != nil {
		q.shares.claim(t.Account, t.Work.Seconds(), now)
	}
}
