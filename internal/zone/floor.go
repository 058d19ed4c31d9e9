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
	known := e.hasRead
	waits := e.opt.Home && e.part == 0 && now.Sub(e.looked) >= e.opt.Interval/2
	e.mu.Unlock()
	if !known || (!leads && waits) {
		known = e.readRecord(ctx)
		e.assumePart(now)
	}
	if known && leads {
		e.writeRecord(ctx)
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
	defer e.mu.Unlock()
	e.record, e.version, e.hasRead, e.everRead = record, entry.Version, true, true
	if e.opt.Home {
		e.part = record.part(e.opt.Self)
	}
	return true
}

// writeRecord writes the record that should be, if it is not there yet. This VM's own part shrinks
// before the write and grows after it.
func (e *Elector) writeRecord(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	next := e.wanted(now)
	version := e.version
	if version != 0 && next.equal(&e.record) {
		e.mu.Unlock()
		return
	}
	e.part = min(e.part, next.part(e.opt.Self))
	e.stats.Writes++
	e.mu.Unlock()
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	written, err := e.opt.Store.CompareAndSwap(ctx, recordKey(e.opt.Zone), version, value, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.hasRead = false // promises do not count until it is read again
		return
	}
	e.record, e.version = next, written
	if e.opt.Home {
		e.part = next.part(e.opt.Self)
	}
}

// wanted returns the record that this VM as leader wants: itself, its heirs, and the floor divided
// between the members. A new member gets half of the leader's part, so that nobody else has to
// shrink first; the part of a VM that is gone falls to the leader.
func (e *Elector) wanted(now time.Time) Record {
	next := e.record.clone()
	next.Leader = e.opt.Self
	next.Epoch = e.state.Epoch
	next.Heirs = e.wantedHeirs()
	if !e.opt.Home {
		return next
	}
	if len(next.Parts) == 0 {
		next.add(e.opt.Self, 1)
	}
	for _, p := range e.record.Parts {
		if p.VM != e.opt.Self && e.gone(p.VM, now) {
			next.add(p.VM, -p.Part)
			next.add(e.opt.Self, p.Part)
		}
	}
	for _, m := range e.opt.Members() {
		half := next.part(e.opt.Self) / 2
		if m != e.opt.Self && next.part(m) == 0 && half > 0 && e.isHeard(m, now) {
			next.add(e.opt.Self, -half)
			next.add(m, half)
		}
	}
	return next
}

func (e *Elector) isHeard(name vm.Name, now time.Time) bool {
	return now.Sub(e.opt.Heard(name)) < e.opt.TTL/2
}

// wantedHeirs returns the heirs of the record that may still be heirs, filled up with others.
func (e *Elector) wantedHeirs() []vm.Name {
	may := e.opt.Heirs()
	var heirs []vm.Name
	for _, h := range e.record.Heirs {
		if slices.Contains(may, h) && len(heirs) < e.opt.MaxHeirs {
			heirs = append(heirs, h)
		}
	}
	for i, h := range may {
		if slices.Contains(heirs, h) {
			continue
		}
		if len(heirs) < e.opt.MaxHeirs {
			heirs = append(heirs, h)
		} else if i == 0 {
			heirs[len(heirs)-1] = h // the most preferred one is always an heir
		}
	}
	slices.Sort(heirs)
	return heirs
}

// assumePart gives a zone's only VM the whole floor while the record could never be read, so that
// it serves also if it starts while the store is down.
func (e *Elector) assumePart(now time.Time) {
	members := e.opt.Members()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.opt.Home || e.everRead || now.Sub(e.started) < e.opt.Interval {
		return
	}
	e.part = 0
	if len(members) == 1 && members[0] == e.opt.Self {
		e.part = 1
	}
}
