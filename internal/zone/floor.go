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

// keepRecord brings the zone's record up to date: the leader writes it, another member of the zone
// reads it until it holds a part of the floor.
func (e *Elector) keepRecord(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	leads := e.leads(now) && e.lease.ID != 0
	waits := e.opt.Home && e.part == 0
	again, pauses := e.mustConfirm(now), e.pauses
	read := !e.hasRead || ((waits || again) && !leads)
	e.mu.Unlock()
	if read && !e.readRecord(ctx) {
		e.assumePart(ctx, now)
		return
	}
	e.mu.Lock()
	next := e.record.clone()
	if leads {
		next = e.wanted(now)
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
		e.confirmed(pauses)
		e.mu.Unlock()
	}
}

// readRecord reads the zone's record and says whether it is known now.
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
		if !p.sameLife(e.record.part(p.VM)) {
			delete(e.unlisted, p.VM)
		}
	}
	e.sight(&record, now)
	e.record, e.version, e.hasRead, e.everRead = record, entry.Version, true, true
	e.mu.Unlock()
	e.applyFloor(record)
	return true
}

// writeRecord writes next unless the store holds it already, and says whether it did write. A part shrinks before the write and
// grows after it, because another VM acts on what it reads.
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
		e.hasRead = false // promises do not count until it is read again
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

// applyFloor puts the parts of the floor in force that a record gives. A part counts for this VM
// once the record names this life of it, so that a leader that deems it gone notices.
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
	e.part, e.assumes = own, false
	e.mu.Unlock()
	e.opt.OnFloorChange(own, others)
}

// wanted returns the record that this VM as leader wants: itself, its successors, and the floor divided
// between the members. New members get an even part of the leader's, so that nobody else has to
// shrink first; the part of a VM that is gone or lost is free until a leader that stands in the zone takes it.
func (e *Elector) wanted(now time.Time) Record {
	next := e.record.clone()
	next.Leader = e.opt.Self
	next.Epoch = e.state.Epoch
	next.Successors = e.wantedSuccessors()
	for _, p := range e.record.Parts {
		if p.VM != e.opt.Self && (e.gone(p.VM, now) || e.lost(p, now)) {
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
		if m != e.opt.Self && next.part(m).Part == 0 && e.isHeard(m, now) {
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

func (e *Elector) isHeard(name vm.Name, now time.Time) bool {
	return now.Sub(e.opt.LastContact(name)) < e.opt.TTL/2
}

// wantedSuccessors returns the successors of the record that may still be successors, filled up with others.
func (e *Elector) wantedSuccessors() []vm.Name {
	may := e.opt.Successors()
	var successors []vm.Name
	for _, name := range e.record.Successors {
		if slices.Contains(may, name) && len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, name)
		}
	}
	for i, name := range may {
		if slices.Contains(successors, name) {
			continue
		}
		if len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, name)
		} else if i == 0 {
			successors[len(successors)-1] = name // the most preferred one is always a successor
		}
	}
	slices.Sort(successors)
	return successors
}

// assumePart gives a zone's only VM the whole floor while the store never answered, so that it
// serves also if it starts while the store is down. No VM that answers may lead the zone: it may have
// taken the floor from an earlier life of this VM. Those that do not lead keep the floor as it is meanwhile.
func (e *Elector) assumePart(ctx context.Context, now time.Time) {
	members := e.opt.Members()
	alone := len(members) == 1 && members[0] == e.opt.Self
	e.mu.Lock()
	may := e.opt.Home && !e.everRead && !e.answered && alone &&
		now.Sub(e.started) >= e.opt.Interval && !now.Before(e.assumeAfter)
	skip := !may && !e.assumes
	e.mu.Unlock()
	if skip {
		return
	}
	may = may && !e.ledElsewhere(ctx)
	e.mu.Lock()
	may = may && !e.everRead && !e.answered
	changed := may != e.assumes && !e.everRead
	if changed {
		e.assumes, e.part = may, 0
		if may {
			e.part = 1
		}
	}
	part := e.part
	e.mu.Unlock()
	if changed {
		e.opt.OnFloorChange(part, 1-part)
	}
}

// ledElsewhere asks the VMs that may lead the zone whether one does.
func (e *Elector) ledElsewhere(ctx context.Context) bool {
	if e.opt.RequestPromise == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, e.opt.Interval/2)
	defer cancel()
	var led atomic.Bool
	var calls sync.WaitGroup
	for _, name := range e.opt.Successors() {
		calls.Go(func() {
			if e.ask(ctx, name, assumeSlots, 0).leads {
				led.Store(true)
			}
		})
	}
	calls.Wait()
	return led.Load()
}
