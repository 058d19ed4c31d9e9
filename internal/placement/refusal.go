package placement

import "time"

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoServer   Reason = "no-server" // no server is known where the route may run
	ReasonNoCapacity Reason = "no-room"   // every server would respond too late
	ReasonBudget     Reason = "retry-budget"
	ReasonBackoff    Reason = "servers-back-off" // the servers that may run the request asked for a pause
)

// Refusal is the decision not to send a request.
type Refusal struct {
	Reason              Reason
	Basis               Basis         // of ReasonNoCapacity
	RetryAfter          time.Duration // when free capacity is expected
	BestLatency         time.Duration // expected time of the best server, 0 if there was none
	Wait                time.Duration // part of BestLatency that the request would wait for a slot
	ServiceTime         time.Duration // part of BestLatency that the request would run
	ServiceTimeEvidence Evidence      // of ServiceTime
	Server              ServerID      // the best server
	TimeLeft            time.Duration // until the response was due
	TargetLeft          time.Duration // until its response would be late
	Candidates          int
}

// Basis is the evidence behind a refusal for lack of capacity.
type Basis string

// The bases of a refusal for lack of capacity.
const (
	BasisNone       Basis = ""           // the refusal has another reason, or there is none
	BasisWait       Basis = "wait"       // with a free slot the request would be sent
	BasisOrder      Basis = "order"      // the wait is left to requests that lose more by waiting
	BasisRun        Basis = "run"        // the measured service time does not fit
	BasisUnfinished Basis = "unfinished" // nothing was measured; a recent run did not end in as much time
	BasisWaited     Basis = "waited"     // nothing was measured; responses that also waited took too long
	BasisTrial      Basis = "trial"      // the request may not fit, and another one in flight is testing that
	BasisDistance   Basis = "distance"   // the round trip alone exceeds the time left
)

// refusal returns why a request is not sent even to the best server.
func (e *estimate) refusal(q *Query, reason Reason, retryAfter time.Duration, candidates int, now time.Time) *Refusal {
	return &Refusal{
		Reason: reason, RetryAfter: retryAfter, TimeLeft: q.TimeLeft, TargetLeft: q.TargetLeft, Candidates: candidates,
		Server: e.server.member.ID, BestLatency: toDuration(e.assumedLatency()), Wait: toDuration(e.wait),
		ServiceTime: toDuration(e.assumedServiceTime() * e.slowness), ServiceTimeEvidence: e.times.evidence(now),
	}
}

// noServerRefusal returns the refusal of a request that no server can be sent now.
func (c *Chooser) noServerRefusal(q *Query, candidates int, now time.Time) *Refusal {
	r := &Refusal{
		Reason: ReasonNoServer, RetryAfter: noServerRetryAfter, TimeLeft: q.TimeLeft, TargetLeft: q.TargetLeft, Candidates: candidates,
	}
	if backoff := c.shortestBackoff(q, now); backoff > 0 {
		r.Reason, r.RetryAfter = ReasonBackoff, backoff
	}
	return r
}

// noCapacityRefusal returns the refusal of a request that even the best server would respond to too late.
func (e *estimate) noCapacityRefusal(q *Query, basis Basis, candidates int, now time.Time) *Refusal {
	r := e.refusal(q, ReasonNoCapacity, max(toDuration(e.wait)/2, minRetryAfter), candidates, now)
	r.Basis = basis
	return r
}

// Times after which callers may retry.
const (
	noServerRetryAfter = 500 * time.Millisecond
	minRetryAfter      = 100 * time.Millisecond
)

// waitShare is the share of a route's target latency that a request which will be late may still wait.
const waitShare = 0.8

// refusalBasis returns why the server would respond after the deadline, or so late that the wait would only take
// capacity from requests that can still be on time. It returns BasisNone if the request may be sent. A guess is no
// basis for a refusal: requests are sent to test it.
func (e *estimate) refusalBasis(q *Query) Basis {
	switch {
	case e.supportedLatency() > q.TimeLeft.Seconds():
		return e.exceededBasis(q.TimeLeft.Seconds())
	case e.isTrial(q) && !e.times.admitsTrial(e.wait == 0):
		return BasisTrial
	case e.latencyForTargetCheck() > q.TargetLeft.Seconds() && e.wait > waitShare*q.Route.LatencyObjective().Seconds():
		return BasisWait
	default:
		return BasisNone
	}
}

// inTimeMargin is the part of the time until the target that an expected response in time may take: by an estimate that
// hits the target exactly, half of the responses are late.
const inTimeMargin = 0.85

// areExceeded reports whether the wait is longer than b allows. Where the region has free slots, the wait is for a server
// that suits the request, and takes no room from others.
func (b *WaitBounds) areExceeded(e *estimate, q *Query) bool {
	if b == nil || !e.isRegionFull {
		return false
	}
	bound := b.InTime
	if e.latencyForTargetCheck() > inTimeMargin*min(q.TargetLeft, q.TimeLeft).Seconds() {
		bound = b.Late
	}
	return e.wait > bound.Seconds()
}

// IsForRoom reports whether the request was refused only because no server has room for it now.
func (r *Refusal) IsForRoom() bool {
	return r.Reason == ReasonNoCapacity && (r.Basis == BasisWait || r.Basis == BasisOrder)
}

// Work returns the expected time until the response if the server has room.
func (r *Refusal) Work() time.Duration { return r.BestLatency - r.Wait }

// exceededBasis returns which part of the supported time makes it longer than left, in seconds.
func (e *estimate) exceededBasis(left float64) Basis {
	switch {
	case e.rtt > left:
		return BasisDistance
	case e.supportedService*e.slowness+e.rtt <= left:
		return BasisWait
	case e.times.samples > 0:
		return BasisRun
	case e.times.lowerBound > 0:
		return BasisUnfinished
	default:
		return BasisWaited
	}
}
