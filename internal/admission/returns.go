package admission

import (
	"math"
	"time"
)

const (
	// MinRetryAfter is the shortest time after which a refused caller is asked to return: by then some requests ended
	// at servers that all are full.
	MinRetryAfter = 100 * time.Millisecond
	// roomHalfLife is how long an ended request shows how fast room comes free.
	roomHalfLife = 2 * time.Second
	// returnShare is the share of the room that comes free which refused callers that return may take; new requests
	// go on to come.
	returnShare = 0.5
)

// returns spreads the times at which refused callers return.
type returns struct {
	ended     float64 // requests that ended at servers, decayed
	endedAt   time.Time
	nextVisit time.Time // for which no caller was asked to return yet
}

func (r *returns) decay(now time.Time) {
	r.ended *= math.Exp2(-now.Sub(r.endedAt).Seconds() / roomHalfLife.Seconds())
	r.endedAt = now
}

// RecordEnded records that a request ended at a server, which has room for another one now.
func (q *Queue) RecordEnded(now time.Time) {
	q.returns.decay(now)
	q.returns.ended++
}

// endedPerSecond returns the recent rate of requests that ended at servers.
func (r *returns) endedPerSecond(now time.Time) float64 {
	r.decay(now)
	return r.ended * math.Ln2 / roomHalfLife.Seconds()
}

// RetryAfter returns when the caller of a refused request may return: callers are spread over the time in which room
// for them comes free. The caller gives up after left, so that a later return would be of no use.
func (q *Queue) RetryAfter(t *Ticket, left time.Duration, now time.Time) time.Duration {
	r := &q.returns
	earliest := now.Add(MinRetryAfter)
	if r.nextVisit.Before(earliest) {
		r.nextVisit = earliest
	}
	after := r.nextVisit.Sub(now)
	latest := max(MinRetryAfter, (left-t.Work)/2)
	if after > latest {
		return latest // the schedule is full until then
	}
	perSecond := max(returnShare*r.endedPerSecond(now), 1)
	r.nextVisit = r.nextVisit.Add(time.Duration(float64(time.Second) / perSecond))
	return after
}
