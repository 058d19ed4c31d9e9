package link

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// ticket is a request for the right to send some bytes.
type ticket struct {
	class   steering.Class
	bytes   int
	granted bool
	ready   chan struct{} // closed once granted; nil if no goroutine waits for it
	next    *ticket
}

// ticketQueue is a first-in-first-out queue of tickets.
type ticketQueue struct {
	head, tail *ticket
}

func (q *ticketQueue) push(t *ticket) {
	if q.tail == nil {
		q.head, q.tail = t, t
		return
	}
	q.tail.next = t
	q.tail = t
}

func (q *ticketQueue) pop() *ticket {
	t := q.head
	q.head = t.next
	t.next = nil
	if q.head == nil {
		q.tail = nil
	}
	return t
}

// remove removes t from any position; it reports whether t was in the queue.
func (q *ticketQueue) remove(t *ticket) bool {
	var previous *ticket
	for current := q.head; current != nil; previous, current = current, current.next {
		if current != t {
			continue
		}
		if previous == nil {
			q.head = t.next
		} else {
			previous.next = t.next
		}
		if q.tail == t {
			q.tail = previous
		}
		t.next = nil
		return true
	}
	return false
}

// scheduler orders the bytes of one direction of a link. It reads no clock: each call gets the time in nanoseconds. A
// token bucket bounds all classes together. The classes have strict priority, except that each lower class is
// guaranteed a small share of the rate while it waits.
type scheduler struct {
	rate    float64 // bytes per nanosecond
	burst   float64 // size of the bucket, bytes
	reserve float64 // bytes of the bucket kept for interactive work
	tokens  float64
	at      int64
	expiry  rateExpiry
	queues  [steering.ClassCount]ticketQueue
	credit  [steering.ClassCount]float64 // bytes of the guaranteed share not yet used
	usage   usage
}

// rateExpiry is a lower rate that applies from a time on, unless a new rate is set before.
type rateExpiry struct {
	at             int64 // 0: none
	bytesPerSecond float64
}

// guaranteedShare is the share of the rate that a class gets regardless of how much work of higher classes waits.
var guaranteedShare = [steering.ClassCount]float64{
	steering.ClassBulk:       0.10,
	steering.ClassDeferrable: 0.02,
}

// maxCredit bounds the credit of a waiting class, in bytes.
const maxCredit = 2 * maxQuantum

// setRate sets the bound of bytes in any window of one second. The burst of the bucket counts against it, so that no
// window exceeds it. If the burst shrinks, the difference is subtracted from the tokens: a rate that moves from one VM
// to another within a second is then not used twice.
func (s *scheduler) setRate(bytesPerSecond float64, now int64) {
	s.refill(now)
	s.expiry = rateExpiry{}
	before := s.burst
	s.burst = min(max(minBurst, bytesPerSecond*burstTime.Seconds()), bytesPerSecond/2)
	s.reserve = s.burst / 2
	s.rate = (bytesPerSecond - s.burst) / float64(time.Second)
	s.tokens -= max(0, before-s.burst)
}

// refill adds the tokens up to now. A rate that has expired in the meantime counts up to its expiry.
func (s *scheduler) refill(now int64) {
	if expiry := s.expiry; expiry.at != 0 && now >= expiry.at {
		s.expiry = rateExpiry{}
		s.setRate(expiry.bytesPerSecond, expiry.at)
	}
	s.accrue(now)
}

func (s *scheduler) accrue(now int64) {
	elapsed := float64(max(now-s.at, 0))
	s.at = max(s.at, now)
	s.tokens = min(s.tokens+elapsed*s.rate, s.burst)
	for class := range s.queues {
		if s.queues[class].head == nil {
			s.credit[class] = 0
			continue
		}
		s.credit[class] = min(s.credit[class]+elapsed*s.rate*guaranteedShare[class], maxCredit)
	}
}

// submit queues the ticket, grants what may be sent at now, and reports whether that includes the ticket.
func (s *scheduler) submit(t *ticket, now int64) bool {
	s.refill(now)
	s.queues[t.class].push(t)
	s.grantReady()
	return t.granted
}

// advance grants what may be sent at now.
func (s *scheduler) advance(now int64) {
	s.refill(now)
	s.grantReady()
}

func (s *scheduler) grantReady() {
	for {
		class, need := s.next()
		if class == steering.ClassCount || s.tokens < need {
			return
		}
		t := s.queues[class].pop()
		s.tokens -= float64(t.bytes)
		s.credit[class] = max(s.credit[class]-float64(t.bytes), 0)
		t.granted = true
		s.usage.add(t.class, t.bytes, s.at)
		if t.ready != nil {
			close(t.ready)
		}
	}
}

// next returns the class whose first ticket is granted next, and the tokens that it needs.
func (s *scheduler) next() (steering.Class, float64) {
	for class := steering.ClassCount - 1; class > steering.ClassInteractive; class-- {
		head := s.queues[class].head
		if head != nil && s.credit[class] >= float64(head.bytes) {
			return class, float64(head.bytes)
		}
	}
	for class := steering.ClassInteractive; class < steering.ClassCount; class++ {
		head := s.queues[class].head
		if head == nil {
			continue
		}
		if class == steering.ClassInteractive {
			return class, min(float64(head.bytes), s.burst)
		}
		return class, min(float64(head.bytes)+s.reserve, s.burst)
	}
	return steering.ClassCount, 0
}

// minWake is the minimum time between two checks of waiting tickets, in nanoseconds.
const minWake = float64(100 * time.Microsecond)

// nextWake returns the time until the next ticket may be granted, or a negative time if none waits.
func (s *scheduler) nextWake() time.Duration {
	class, need := s.next()
	if class == steering.ClassCount {
		return -1
	}
	delay := math.Ceil(max(need-s.tokens, 0) / s.rate)
	for lower := steering.ClassBulk; lower < steering.ClassCount; lower++ {
		head := s.queues[lower].head
		if head == nil || lower == class {
			continue
		}
		wait := (float64(head.bytes) - s.credit[lower]) / (s.rate * guaranteedShare[lower])
		delay = min(delay, math.Ceil(max(wait, 1)))
	}
	return time.Duration(max(delay, minWake))
}

// hasWaiting reports whether a ticket waits.
func (s *scheduler) hasWaiting() bool {
	for class := range s.queues {
		if s.queues[class].head != nil {
			return true
		}
	}
	return false
}
