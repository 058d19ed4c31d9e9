package placement

import "time"

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNoServer Reason = "no-server" // none is known where the route may run
	ReasonNoRoom   Reason = "no-room"   // each would answer too late
	ReasonBudget   Reason = "retry-budget"
)

// Refusal is the decision not to send a request.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when room is expected
	Best       time.Duration // expected time of the best server, 0 if there was none
	Wait       time.Duration // part of Best that the request would wait for a slot
	Run        time.Duration // part of Best that it would run
	RunBasis   Evidence      // of Run
	Server     ServerID      // the best server
	Left       time.Duration // that the request had
	OnTime     time.Duration // until its answer would be late
	Candidates int
}

// Basis says what a refusal for want of room rests on.
type Basis string

// The bases of a refusal for want of room.
const (
	BasisWait  Basis = "wait"  // with a free slot the request would be sent
	BasisRun   Basis = "run"   // the measured service time does not fit
	BasisGuess Basis = "guess" // a service time that was never measured does not fit
	BasisNone  Basis = ""      // the refusal has another reason
)

// Basis returns what the refusal rests on.
func (r *Refusal) Basis() Basis {
	switch {
	case r.Reason != ReasonNoRoom:
		return BasisNone
	case r.Best-r.Wait <= r.Left:
		return BasisWait
	case r.RunBasis.Samples == 0:
		return BasisGuess
	default:
		return BasisRun
	}
}

// refusal says why a request is not sent even to the best server.
func (e *estimate) refusal(q *Query, reason Reason, retryAfter time.Duration, candidates int, now time.Time) *Refusal {
	return &Refusal{
		Reason: reason, RetryAfter: retryAfter, Left: q.Left, OnTime: q.OnTime, Candidates: candidates,
		Server: e.server.member.ID, Best: seconds(e.total()), Wait: seconds(e.wait),
		Run: seconds(e.service * e.slow), RunBasis: e.times.evidence(now),
	}
}

// Times to wait before coming back.
const (
	noServerRetry = 500 * time.Millisecond
	leastRetry    = 100 * time.Millisecond
)

// tooLate reports whether even the best server would answer after the deadline, or so late that the wait would
// only take room from requests that can still be on time. A guess does not count: requests are tried against it.
func tooLate(q *Query, best *estimate) bool {
	switch {
	case best.supported() > q.Left.Seconds():
		return true
	case best.trial(q) && !best.times.admitsTrial(best.wait == 0):
		return true
	}
	return best.late() > q.OnTime.Seconds() && best.wait > waitShare*q.Route.Objective().Seconds()
}

// waitShare is the part of a route's target latency that a request which will be late may still wait.
const waitShare = 0.8
