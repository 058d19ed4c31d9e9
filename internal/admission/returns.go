package admission

import (
	"math"
	"time"
)

const (
	// MinRetryAfter is the shortest time after which a refused caller is asked to return: by then some requests ended
	// at servers that all are full.
	MinRetryAfter = 100 * time.Millisecond
	// rateHalfLife is how long an event counts for the rates below: long enough for some events a VM, and shorter than
	// callers stay.
	rateHalfLife = time.Second
	// minReturnShare is the share of the room that comes free which is left to callers that return, however many new
	// requests come: some of these are refused instead, and return themselves.
	minReturnShare = 0.1
	// maxWaits bounds a return by the wait for a slot that was expected: in twice that time those that were ahead of
	// the refused request have ended.
	maxWaits = 2
)

// returns spreads the times at which refused callers return.
type returns struct {
	ended     float64 // requests that ended at servers, decayed
	arrived   float64 // requests of callers that were not refused before, decayed
	countedAt time.Time
	nextVisit time.Time // for which no caller was asked to return yet
}

func (r *returns) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(r.countedAt).Seconds() / rateHalfLife.Seconds())
	r.ended *= factor
	r.arrived *= factor
	r.countedAt = now
}

// RecordEnded records that a request ended at a server, which has room for another one now.
func (q *Queue) RecordEnded(now time.Time) {
	q.returns.decay(now)
	q.returns.ended++
}

// recordArrival counts a request that came to the service.
func (r *returns) recordArrival(t *Ticket, now time.Time) {
	r.decay(now)
	if !t.Returned {
		r.arrived++
	}
}

// roomPerSecond returns how many returning callers find room each second.
func (r *returns) roomPerSecond(now time.Time) float64 {
	r.decay(now)
	room := max(r.ended-r.arrived, minReturnShare*r.ended)
	return max(room*math.Ln2/rateHalfLife.Seconds(), 1)
}

// RetryAfter returns when the caller of a refused request may return: callers are spread over the time in which room
// for them comes free. A response is late after targetLeft, and the caller gives up after left: it is asked to return
// while there is time for another wait before the first of these that is worth another attempt. Within t.Work the slots
// are not given out anew, so that it would meet the same requests. Otherwise it returns within maxWaits.
func (q *Queue) RetryAfter(t *Ticket, targetLeft, left time.Duration, now time.Time) time.Duration {
	r := &q.returns
	if earliest := now.Add(MinRetryAfter); r.nextVisit.Before(earliest) {
		r.nextVisit = earliest
	}
	latest := (targetLeft - t.Work) / 2
	if latest < max(t.Work, MinRetryAfter) {
		latest = max(MinRetryAfter, min((left-t.Work)/2, maxWaits*t.Wait))
	}
	after := r.nextVisit.Sub(now)
	if after > latest {
		return latest // the schedule is full until then
	}
	r.nextVisit = r.nextVisit.Add(time.Duration(float64(time.Second) / r.roomPerSecond(now)))
	return after
}
