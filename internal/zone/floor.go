package zone

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/platform/kv"
	"github.com/azureflow/azureflow/internal/vm"
)

// keepRecord brings the zone's record up to date: the leader writes it, another member of the zone
// reads it until it holds a part of the floor.
func (e *Elector) keepRecord(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	leads := e.leads(now) && e.lease.ID != 0
	waits := e.opt.Home && e.part == 0
	read := !e.hasRead || (waits && !leads)
	e.mu.Unlock()
	if read && !e.readRecord(ctx) {
		e.assumePart(now)
		return
	}
	e.mu.Lock()
	next := e.record.clone()
	if leads {
		next = e.wanted(now)
	}
	if e.opt.Home {
		next.confirm(e.opt.Self, e.opt.Incarnation)
	}
	e.mu.Unlock()
	if leads || len(next.Parts) > 0 {
		e.writeRecord(ctx, next)
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
	e.mu.Lock()
	for _, p := range record.Parts {
		if p.Incarnation != e.record.part(p.VM).Incarnation {
			delete(e.unlisted, p.VM)
		}
	}
	e.record, e.version, e.hasRead, e.everRead = record, entry.Version, true, true
	e.mu.Unlock()
	e.applyFloor(record)
	return true
}

// writeRecord writes next unless the store holds it already. A part shrinks before the write and
// grows after it, because another VM acts on what it reads.
func (e *Elector) writeRecord(ctx context.Context, next Record) {
	e.mu.Lock()
	last, version := e.record, e.version
	e.mu.Unlock()
	if version != 0 && next.equal(&last) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
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
		return
	}
	e.record, e.version = next, written
	e.mu.Unlock()
	e.applyFloor(next)
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
	e.part = own
	e.mu.Unlock()
	e.opt.OnFloor(own, others)
}

// wanted returns the record that this VM as leader wants: itself, its successors, and the floor divided
// between the members. New members get an even part of the leader's, so that nobody else has to
// shrink first; the part of a VM that is gone is free until a leader that stands in the zone takes it.
func (e *Elector) wanted(now time.Time) Record {
	next := e.record.clone()
	next.Leader = e.opt.Self
	next.Epoch = e.state.Epoch
	next.Successors = e.wantedSuccessors()
	for _, p := range e.record.Parts {
		if p.VM != e.opt.Self && e.gone(p.VM, now) {
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
	return now.Sub(e.opt.Heard(name)) < e.opt.TTL/2
}

// wantedSuccessors returns the successors of the record that may still be successors, filled up with others.
func (e *Elector) wantedSuccessors() []vm.Name {
	may := e.opt.Successors()
	var successors []vm.Name
	for _, h := range e.record.Successors {
		if slices.Contains(may, h) && len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, h)
		}
	}
	for i, h := range may {
		if slices.Contains(successors, h) {
			continue
		}
		if len(successors) < e.opt.MaxSuccessors {
			successors = append(successors, h)
		} else if i == 0 {
			successors[len(successors)-1] = h // the most preferred one is always a successor
		}
	}
	slices.Sort(successors)
	return successors
}

// assumePart gives a zone's only VM the whole floor while the record could never be read, so that
// it serves also if it starts while the store is down.
func (e *Elector) assumePart(now time.Time) {
	members := e.opt.Members()
	alone := len(members) == 1 && members[0] == e.opt.Self
	e.mu.Lock()
	skip := !e.opt.Home || e.everRead || !alone || e.part == 1 || now.Sub(e.started) < e.opt.Interval
	if !skip {
		e.part = 1
	}
	e.mu.Unlock()
	if !skip {
		e.opt.OnFloor(1, 0)
	}
}
