package placement

import "time"

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoServer   Reason = "no-server" // none is known where the route may run
	ReasonNoCapacity Reason = "no-room"   // each would answer too late
	ReasonBudget     Reason = "retry-budget"
)

// Refusal is the decision not to send a request.
type Refusal struct {
	Reason              Reason
	Basis               Basis         // of ReasonNoRoom
	RetryAfter          time.Duration // when room is expected
	BestLatency         time.Duration // expected time of the best server, 0 if there was none
	Wait                time.Duration // part of Best that the request would wait for a slot
	ServiceTime         time.Duration // part of Best that it would run
	ServiceTimeEvidence Evidence      // of Run
	Server              ServerID      // the best server
	TimeLeft            time.Duration // that the request had
	TargetLeft          time.Duration // until its answer would be late
	Candidates          int
}

// Basis says what a refusal for want of room rests on.
type Basis string

// The bases of a refusal for want of room.
const (
	BasisNone       Basis = ""           // the refusal has another reason, or there is none
	BasisWait       Basis = "wait"       // with a free slot the request would be sent
	BasisRun        Basis = "run"        // the measured service time does not fit
	BasisUnfinished Basis = "unfinished" // nothing was measured; a run lately did not end in as much time
	BasisWaited     Basis = "waited"     // nothing was measured; answers that also waited took too long
	BasisTrial      Basis = "trial"      // the request may not fit, and another one is trying that at the moment
	BasisDistance   Basis = "distance"   // the round trip alone takes longer than there is time
)

// refusal says why a request is not sent even to the best server.
func (e *estimate) refusal(q *Query, reason Reason, retryAfter time.Duration, candidates int, now time.Time) *Refusal {
	return &Refusal{
		Reason: reason, RetryAfter: retryAfter, TimeLeft: q.TimeLeft, TargetLeft: q.TargetLeft, Candidates: candidates,
		Server: e.server.member.ID, BestLatency: seconds(e.believed()), Wait: seconds(e.wait),
		ServiceTime: seconds(e.run() * e.slow), ServiceTimeEvidence: e.times.evidence(now),
	}
}

// noRoom is the refusal of a request that even the best server would answer too late.
func (e *estimate) noRoom(q *Query, basis Basis, candidates int, now time.Time) *Refusal {
	r := e.refusal(q, ReasonNoCapacity, max(seconds(e.wait)/2, leastRetry), candidates, now)
	r.Basis = basis
	return r
}

// Times to wait before coming back.
const (
	noServerRetry = 500 * time.Millisecond
	leastRetry    = 100 * time.Millisecond
)

// waitShare is the part of a route's target latency that a request which will be late may still wait.
const waitShare = 0.8

// tooLate returns why the server would answer after the deadline, or so late that the wait would only take room from
// requests that can still be on time; BasisNone if the request may be sent. A guess does not count: requests are tried
// against it.
func (e *estimate) tooLate(q *Query) Basis {
	switch {
	case e.supported() > q.TimeLeft.Seconds():
		return e.exceeds(q.TimeLeft.Seconds())
	case e.trial(q) && !e.times.admitsTrial(e.wait == 0):
		return BasisTrial
	case e.late() > q.TargetLeft.Seconds() && e.wait > waitShare*q.Route.LatencyObjective().Seconds():
		return BasisWait
	default:
		return BasisNone
	}
}

// exceeds returns which part of the supported time makes it longer than left, in seconds.
func (e *estimate) exceeds(left float64) Basis {
	switch {
	case e.rtt > left:
		return BasisDistance
	case e.proven*e.slow+e.rtt <= left:
		return BasisWait
	case e.times.samples > 0:
		return BasisRun
	case e.times.floor > 0:
		return BasisUnfinished
	default:
		return BasisWaited
	}
}
