package zone

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/vm"
)

// updateRecord keeps the zone's record up to date: the leader writes it; another member of the zone reads it until it
// holds a part of the floor, and writes it to confirm that part.
func (e *Elector) updateRecord(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	leads := e.isLeader(now) && e.lease.ID != 0
	waits := e.opt.Home && e.part == 0
	again, pauses := e.mustConfirm(now), e.pauses
	read := !e.hasRead || ((waits || again) && !leads)
	e.mu.Unlock()
	if read && !e.readRecord(ctx) {
		e.updateAssumedFloor(ctx, now)
		return
	}
	e.mu.Lock()
	next := e.record.clone()
	if leads {
		next = e.desiredRecord(now)
	}
	if e.opt.Home {
		next.confirm(e.opt.Self, e.opt.Incarnation, again)
	}
	confirms := again && next.part(e.opt.Self).Part > 0
	e.mu.Unlock()
	if !leads && len(next.Parts) == 0 {
		return
	}
	if e.writeRecord(ctx, next) && confirms {
		e.mu.Lock()
		e.recordConfirmation(pauses)
		e.mu.Unlock()
	}
}

// readRecord reads the zone's record and reports whether it is known now.
func (e *Elector) readRecord(ctx context.Context) bool {
	e.mu.Lock()
	e.stats.Reads++
	e.mu.Unlock()
	entry, err := e.opt.Store.Get(ctx, recordKey(e.opt.Zone))
	var none *kv.NotFoundError
	var record Record
	switch {
	case errors.As(err, &none):
	case err != nil:
		return false
	case decode(entry.Key, entry.Value, &record) != nil:
		return false
	}
	now := e.opt.Now()
	e.mu.Lock()
	for _, p := range record.Parts {
		if !p.sameConfirmation(e.record.part(p.VM)) {
			delete(e.unlistedSince, p.VM)
		}
	}
	e.recordHolders(&record, now)
	e.record, e.version, e.hasRead, e.recordEverRead = record, entry.Version, true, true
	e.mu.Unlock()
	e.applyFloor(record)
	return true
}

// writeRecord writes next unless the store already holds it, and reports whether it wrote. A part of the floor shrinks
// before the write and grows after it, because another VM acts on what it reads.
func (e *Elector) writeRecord(ctx context.Context, next Record) bool {
	e.mu.Lock()
	last, version := e.record, e.version
	e.mu.Unlock()
	if version != 0 && next.equal(&last) {
		return false
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	if next.part(e.opt.Self).Part < last.part(e.opt.Self).Part {
		e.applyFloor(next)
	}
	e.countWrite()
	written, err := e.opt.Store.CompareAndSwap(ctx, recordKey(e.opt.Zone), version, value, 0)
	e.mu.Lock()
	if err != nil {
		e.hasRead = false // promises do not count until the record is read again
		e.mu.Unlock()
		return false
	}
	for _, p := range last.Parts {
		if p.VM != e.opt.Self && next.part(p.VM).Part == 0 {
			e.stats.ReclaimedParts++
		}
	}
	e.record, e.version = next, written
	e.mu.Unlock()
	e.applyFloor(next)
	return true
}

// applyFloor applies the parts of the floor in a record. A part counts for this VM only if the record names its
// current incarnation, so that a leader that considers it removed sees the confirmation.
func (e *Elector) applyFloor(r Record) {
	self := r.part(e.opt.Self)
	own, others := 0.0, r.sum()
	if e.opt.Home {
		others -= self.Part
	}
	if e.opt.Home && self.Incarnation == e.opt.Incarnation {
		own = self.Part
	}
	e.mu.Lock()
	e.part, e.assumesFloor = own, false
	e.mu.Unlock()
	e.opt.OnFloorChange(own, others)
}

// desiredRecord returns the record that this VM wants as leader: itself, its successors, and the floor divided among
// the members. New members get an equal part of the leader's, so that no other VM has to shrink first. The part of a VM
// that is removed or lost stays free until a leader that is in the zone takes it.
func (e *Elector) desiredRecord(now time.Time) Record {
	next := e.record.clone()
	next.Leader = e.opt.Self
	next.Epoch = e.state.Epoch
	next.Successors = e.desiredSuccessors()
	for _, p := range e.record.Parts {
		if p.VM != e.opt.Self && (e.isRemoved(p.VM, now) || e.isLost(p, now)) {
			next.add(p.VM, -p.Part)
		}
	}
	if !e.opt.Home {
		return next
	}
	if free := 1 - next.sum(); free > 0 {
		next.add(e.opt.Self, free)
	}
	var joined []vm.Name
	for _, m := range e.opt.Members() {
		if m != e.opt.Self && next.part(m).Part == 0 && e.inContact(m, now) {
			joined = append(joined, m)
		}
	}
	each := next.part(e.opt.Self).Part / float64(len(joined)+1)
	for _, m := range joined {
		next.add(e.opt.Self, -each)
		next.add(m, each)
	}
	return next
}

func (e *Elector) inContact(name vm.Name, now time.Time) bool {
	return now.Sub(e.opt.LastContact(name)) < e.opt.TTL/2
}

// desiredSuccessors returns the successors of the record that are still eligible, filled up with others.
func (e *Elector) desiredSuccessors() []vm.Name {
	allowed := e.opt.Successors()
	var successors []vm.Name
	for _, name := range e.record.Successors {
		if slices.Contains(allowed, name) && len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, name)
		}
	}
	for i, name := range allowed {
		if slices.Contains(successors, name) {
			continue
		}
		if len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, name)
		} else if i == 0 {
			successors[len(successors)-1] = name // the most preferred VM is always a successor
		}
	}
	slices.Sort(successors)
	return successors
}

// updateAssumedFloor gives the only VM of a zone the whole floor as long as the store has never responded, so that the
// VM serves even if it starts while the store is down. This requires that no VM that responds leads the zone, because
// such a VM may have taken the floor from an earlier incarnation of this VM. In the meantime, VMs that respond and do not
// lead treat no part of the floor as lost.
func (e *Elector) updateAssumedFloor(ctx context.Context, now time.Time) {
	members := e.opt.Members()
	alone := len(members) == 1 && members[0] == e.opt.Self
	e.mu.Lock()
	assumes := e.opt.Home && !e.recordEverRead && !e.storeResponded && alone &&
		now.Sub(e.started) >= e.opt.Interval && !now.Before(e.assumeAfter)
	skip := !assumes && !e.assumesFloor
	e.mu.Unlock()
	if skip {
		return
	}
	assumes = assumes && !e.hasOtherLeader(ctx)
	e.mu.Lock()
	assumes = assumes && !e.recordEverRead && !e.storeResponded
	changed := assumes != e.assumesFloor && !e.recordEverRead
	if changed {
		e.assumesFloor, e.part = assumes, 0
		if assumes {
			e.part = 1
		}
	}
	part := e.part
	e.mu.Unlock()
	if changed {
		e.opt.OnFloorChange(part, 1-part)
	}
}

// hasOtherLeader queries the VMs that may lead the zone and reports whether one does.
func (e *Elector) hasOtherLeader(ctx context.Context) bool {
	if e.opt.RequestPromise == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.opt.Interval/2)
	defer cancel()
	var led atomic.Bool
	var calls sync.WaitGroup
	for _, name := range e.opt.Successors() {
		calls.Go(func() {
			if e.sendZoneRequest(ctx, name, assumeSlots, 0).leads {
				led.Store(true)
			}
		})
	}
	calls.Wait()
	return led.Load()
}
