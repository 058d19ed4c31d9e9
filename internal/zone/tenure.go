package zone

import (
	"context"
	"time"
)

// FloorUntil returns when this VM must stop using its part of the floor: the end of its leadership while it leads,
// otherwise shortly after the last round of StepPauseCheck. After a pause it returns the zero time until it is certain
// that the VM did not lose its part in the pause, that is, once it leads or the record holds a new confirmation of the
// part. A VM that runs without a pause keeps its part even if it reaches no other VM.
func (e *Elector) FloorUntil(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var until time.Time
	if !e.suspended && !(e.assumesFloor && now.Before(e.assumeAfter)) {
		until = e.lastPauseCheck.Add(e.opt.FloorTTL)
	}
	if e.isLeader(now) && e.leadsUntil().After(until) {
		return e.leadsUntil()
	}
	return until
}

// StepPauseCheck does one round of the part of Run that detects pauses of this VM.
func (e *Elector) StepPauseCheck(context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !before(now, e.lastPauseCheck.Add(e.opt.FloorTTL)) && !e.opt.ignorePauses {
		e.suspended = true
		e.pauses++
		e.resumedAt = now
	}
	e.lastPauseCheck = now
	if e.isLeader(now) {
		e.suspended = false // no other VM has led, so none took the part
	}
}

// mustConfirm reports whether this VM's part of the floor needs a new confirmation in the record: after a pause, when
// another VM has probed it, or when the leader, which may consider it lost, does not respond.
func (e *Elector) mustConfirm(now time.Time) bool {
	if !e.opt.Home || e.isLeader(now) {
		return false
	}
	s := e.holders[e.state.VM]
	unresponsive := s != nil && !s.unansweredProbe.IsZero() && e.timeWithoutContact(e.state.VM, now) > e.opt.TTL/2
	return e.suspended || e.probed || unresponsive
}

// recordConfirmation records that the record holds a confirmation that was started when e.pauses was pauses.
func (e *Elector) recordConfirmation(pauses uint64) {
	e.probed = false
	if e.pauses == pauses {
		e.suspended = false
	}
}
