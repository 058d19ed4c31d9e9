package admission

import (
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// Ticket is a request that wants room at a server.
type Ticket struct {
	Priority int              // 0 is the most urgent
	Account  *routing.Account // nil: none
	Target   time.Duration    // latency objective of its route, or the time that it has if that is less
	Returned bool             // its caller was refused before and came back
	InTime   bool             // a response within the latency objective is still possible
	Work     time.Duration    // that a server needs for it, with the round trip
	Wait     time.Duration    // expected for a slot, when it was tried last

	key      float64 // order among tickets of the same priority and lane; lower goes first
	sequence uint64  // order of arrival
	position int     // in its level from 1 on, 0 if it does not wait
}

// Shares of a route's target latency.
const (
	// holdShare is how long a request may wait at the gateway. Time that a refused caller lost here is missing when it
	// returns, so a wait takes little of it.
	holdShare = 0.125
	// inTimeWaitShare is the longest wait at a server that a request may add to: together with its run the response is
	// still in time, and so are those of the requests that come after it.
	inTimeWaitShare = 0.5
	// yieldWaitShare is the same while more urgent requests come to the service, so that these find shorter queues.
	yieldWaitShare = 0.25
	// lateWaitShare is the same for a request that will be late: it may only take room that is free. The share covers
	// the error of an estimated wait, so that no slot idles.
	lateWaitShare = 0.1
)

// HoldUntil returns how long a request that arrived at now may wait at the gateway. A response must still be possible
// before deadline.
func (t *Ticket) HoldUntil(now, deadline time.Time) time.Time {
	until := now.Add(share(t.Target, holdShare))
	if latest := deadline.Add(-t.Work); latest.Before(until) {
		return latest
	}
	return until
}

func share(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// Lanes order the requests of one priority by what is lost if they wait.
const (
	laneInTime   = iota // the response would become late
	laneReturned        // the caller has no further retry
	laneLate            // the caller may return when there is room
)

func (t *Ticket) lane() int {
	switch {
	case t.InTime:
		return laneInTime
	case t.Returned:
		return laneReturned
	default:
		return laneLate
	}
}

// goesBefore reports whether t goes before o, which has the same priority.
func (t *Ticket) goesBefore(o *Ticket) bool {
	if a, b := t.lane(), o.lane(); a != b {
		return a < b
	}
	if t.key != o.key {
		return t.key < o.key
	}
	return t.sequence < o.sequence
}
