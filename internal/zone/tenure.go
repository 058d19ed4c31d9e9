package zone

import (
	"context"
	"time"
)

// FloorUntil returns when this VM must stop using its part of the floor: the end of its leadership
// while it leads, else shortly after the last round of StepTenure. After a pause it is the zero time
// until the pause is known to have cost the VM nothing, which is so once it leads or the record has
// taken a new confirmation of the part. A VM that runs all along keeps its part, also if it reaches nobody.
func (e *Elector) FloorUntil(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var until time.Time
	if !e.suspended && !(e.assumes && now.Before(e.assumeAfter)) {
		until = e.ticked.Add(e.opt.FloorTTL)
	}
	if e.leads(now) && e.until().After(until) {
		return e.until()
	}
	return until
}

// StepPauseCheck does one round of the part of Run that notices pauses of this VM.
func (e *Elector) StepPauseCheck(context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !before(now, e.ticked.Add(e.opt.FloorTTL)) && !e.opt.keepTenure {
		e.suspended = true
		e.pauses++
		e.awake = now
	}
	e.ticked = now
	if e.leads(now) {
		e.suspended = false // nobody else has led, so nobody took the part
	}
}

// mustConfirm says whether this VM's part of the floor needs a new confirmation in the record: after a
// pause, when another VM asked for a sign of life, or when the leader, which may take silence for a
// loss, does not answer.
func (e *Elector) mustConfirm(now time.Time) bool {
	if !e.opt.Home || e.leads(now) {
		return false
	}
	s := e.sightings[e.state.VM]
	silent := s != nil && !s.called.IsZero() && e.silence(e.state.VM, now) > e.opt.TTL/2
	return e.suspended || e.doubted || silent
}

// confirmed notes that the record took a confirmation that was begun when e.pauses was pauses.
func (e *Elector) confirmed(pauses uint64) {
	e.doubted = false
	if e.pauses == pauses {
		e.suspended = false
	}
}
