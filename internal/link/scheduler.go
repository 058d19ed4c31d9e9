package link

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// ticket asks for the right to send some bytes.
type ticket struct {
	class   steering.Class
	bytes   int
	granted bool
	ready   chan struct{} // closed once granted; nil if nobody waits on it
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

// remove takes t out wherever it stands; it reports whether t was there.
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

// scheduler orders the bytes of one direction of a link. It is pure: the time comes in with each
// call, as nanoseconds. A token bucket bounds all classes together; the classes have strict
// priority, but for a small guaranteed part of the rate that each lower class is owed while it waits.
type scheduler struct {
	rate    float64 // bytes a nanosecond
	burst   float64 // bytes the bucket holds
	reserve float64 // bytes left in the bucket for interactive work
	tokens  float64
	at      int64
	lapse   lapse
	queues  [steering.ClassCount]ticketQueue
	owed    [steering.ClassCount]float64 // bytes
	usage   usage
}

// lapse is a lower rate that holds from a time on, unless it is put off before.
type lapse struct {
	at             int64 // 0: none
	bytesPerSecond float64
}

// guaranteed is the part of the rate that a class gets however much work of higher classes waits.
var guaranteed = [steering.ClassCount]float64{
	steering.ClassBulk:       0.10,
	steering.ClassDeferrable: 0.02,
}

// owedLimit bounds what a waiting class is owed, bytes.
const owedLimit = 2 * maxQuantum

// setRate sets the bound of bytes in any window of one second. The bucket's burst counts against
// it, so that no window exceeds it. What the burst shrinks by is taken off the bucket: a rate that
// moves from one VM to another within a second is then not used twice.
func (s *scheduler) setRate(bytesPerSecond float64, now int64) {
	s.refill(now)
	s.lapse = lapse{}
	before := s.burst
	s.burst = min(max(minBurst, bytesPerSecond*burstTime.Seconds()), bytesPerSecond/2)
	s.reserve = s.burst / 2
	s.rate = (bytesPerSecond - s.burst) / float64(time.Second)
	s.tokens -= max(0, before-s.burst)
}

// refill counts the time up to now. A rate that lapsed meanwhile counts until it did.
func (s *scheduler) refill(now int64) {
	if due := s.lapse; due.at != 0 && now >= due.at {
		s.lapse = lapse{}
		s.setRate(due.bytesPerSecond, due.at)
	}
	s.accrue(now)
}

func (s *scheduler) accrue(now int64) {
	elapsed := float64(max(now-s.at, 0))
	s.at = max(s.at, now)
	s.tokens = min(s.tokens+elapsed*s.rate, s.burst)
	for class := range s.queues {
		if s.queues[class].head == nil {
			s.owed[class] = 0
			continue
		}
		s.owed[class] = min(s.owed[class]+elapsed*s.rate*guaranteed[class], owedLimit)
	}
}

// offer grants bytes at once if nothing waits before them, else it queues a ticket.
func (s *scheduler) offer(t *ticket, now int64) bool {
	s.refill(now)
	s.queues[t.class].push(t)
	s.grant()
	return t.granted
}

// advance grants what may go at the time now.
func (s *scheduler) advance(now int64) {
	s.refill(now)
	s.grant()
}

func (s *scheduler) grant() {
	for {
		class, need := s.next()
		if class == steering.ClassCount || s.tokens < need {
			return
		}
		t := s.queues[class].pop()
		s.tokens -= float64(t.bytes)
		s.owed[class] = max(s.owed[class]-float64(t.bytes), 0)
		t.granted = true
		s.usage.add(t.class, t.bytes, s.at)
		if t.ready != nil {
			close(t.ready)
		}
	}
}

// next returns the class whose head goes next and the tokens it waits for.
func (s *scheduler) next() (steering.Class, float64) {
	for class := steering.ClassCount - 1; class > steering.ClassInteractive; class-- {
		head := s.queues[class].head
		if head != nil && s.owed[class] >= float64(head.bytes) {
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

// minWake bounds how often waiting tickets are looked at, nanoseconds.
const minWake = float64(100 * time.Microsecond)

// wake returns the time until the next ticket may go, or a negative time if none waits.
func (s *scheduler) wake() time.Duration {
	class, need := s.next()
	if class == steering.ClassCount {
		return -1
	}
	missing := math.Ceil(max(need-s.tokens, 0) / s.rate)
	for lower := steering.ClassBulk; lower < steering.ClassCount; lower++ {
		head := s.queues[lower].head
		if head == nil || lower == class {
			continue
		}
		owed := (float64(head.bytes) - s.owed[lower]) / (s.rate * guaranteed[lower])
		missing = min(missing, math.Ceil(max(owed, 1)))
	}
	return time.Duration(max(missing, minWake))
}

// waiting reports whether a ticket waits.
func (s *scheduler) waiting() bool {
	for class := range s.queues {
		if s.queues[class].head != nil {
			return true
		}
	}
	return false
}
