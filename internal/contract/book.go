// Package contract divides the slots of a zone's upstreams among the entry VMs that use them. The leader of a zone
// grants slots for a few seconds at a time. A SlotPool holds the slots that one VM may use, a Grantor keeps the ledger
// of a zone, and a Grantee requests the grants that its VM's demand needs.
package contract

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Key identifies what is granted: the slots of a service in a zone.
type Key struct {
	Service steering.ServiceName
	Zone    steering.ZoneName
}

// NoSlotError reports that this VM may not use any more slots of a service in a zone.
type NoSlotError struct{ Key Key }

// Error implements error.
func (e *NoSlotError) Error() string {
	return "no free slot of " + string(e.Key.Service) + " in " + string(e.Key.Zone)
}

// SlotPoolOptions identify the VM that uses a SlotPool.
type SlotPoolOptions struct {
	Self        vm.Name
	Incarnation vm.Incarnation
	Zone        steering.ZoneName
	Start       time.Time // of the VM's monotonic clock; zero: now
}

// Permit is the right to have one request in flight at a service in a zone.
type Permit struct {
	Grant uint64 // 0: the VM's own slots
	state *slotState
}

// Demand is this VM's demand for a service in a zone.
type Demand struct {
	InUse  int    // slots in use now
	Peak   int    // maximum slots in use since the Grantee or the Grantor last read it
	Denied uint64 // calls of Acquire that failed and requests that AddWaiting added, since the start
}

// SlotPool holds the slots that one VM may use. Acquire and Release take no lock.
type SlotPool struct {
	opt    SlotPoolOptions
	start  time.Time
	mu     sync.Mutex // serializes writers
	states atomic.Pointer[map[Key]*slotState]
}

// NewSlotPool returns a pool without any slots.
func NewSlotPool(opt SlotPoolOptions) *SlotPool {
	b := &SlotPool{opt: opt, start: opt.Start}
	if b.start.IsZero() {
		b.start = time.Now()
	}
	b.states.Store(&map[Key]*slotState{})
	return b
}

// Self returns the VM that uses the pool.
func (b *SlotPool) Self() (vm.Name, vm.Incarnation) { return b.opt.Self, b.opt.Incarnation }

// Zone returns the zone of the VM.
func (b *SlotPool) Zone() steering.ZoneName { return b.opt.Zone }

// Acquire acquires a slot of service in zone if this VM may use one more at now; otherwise it returns *NoSlotError.
// Allowances that expired before now do not count, even after a pause of the VM.
func (b *SlotPool) Acquire(service steering.ServiceName, zone steering.ZoneName, now time.Time) (Permit, error) {
	a := b.state(Key{service, zone})
	at := b.instant(now)
	for {
		n := a.inUse.Load()
		grant, ok := a.allowances.Load().grantForSlot(n+1, at)
		if !ok {
			a.denied.Add(1)
			return Permit{}, a.noSlot
		}
		if !a.inUse.CompareAndSwap(n, n+1) {
			continue
		}
		// A writer stores lower allowances before it reads inUse, so at least one of the two sees the other's change.
		if _, ok := a.allowances.Load().grantForSlot(n+1, at); ok {
			a.recordPeak(n + 1)
			return Permit{Grant: grant, state: a}, nil
		}
		a.inUse.Add(-1)
	}
}

// Release returns the slot of p. It must be called exactly once for each permit.
func (b *SlotPool) Release(p Permit) {
	if p.state != nil {
		p.state.inUse.Add(-1)
	}
}

// Usable returns the number of slots of service in zone that this VM may use at now, in use or not.
func (b *SlotPool) Usable(service steering.ServiceName, zone steering.ZoneName, now time.Time) int {
	a := (*b.states.Load())[Key{service, zone}]
	if a == nil {
		return 0
	}
	return int(a.allowances.Load().usable(b.instant(now)))
}

// AddWaiting adds n requests for service in zone to the denied ones: they wait without having called Acquire, and the
// Grantee must count them as demand.
func (b *SlotPool) AddWaiting(service steering.ServiceName, zone steering.ZoneName, n int) {
	b.state(Key{service, zone}).denied.Add(uint64(max(0, n)))
}

// Demand returns the demand for service in zone. It does not reset what the Grantee reads.
func (b *SlotPool) Demand(service steering.ServiceName, zone steering.ZoneName) Demand {
	a := (*b.states.Load())[Key{service, zone}]
	if a == nil {
		return Demand{}
	}
	return Demand{InUse: int(a.inUse.Load()), Peak: int(a.peak.Load()), Denied: a.denied.Load()}
}

// Keys returns the services and zones that were ever requested.
func (b *SlotPool) Keys() []Key {
	var keys []Key
	for k := range *b.states.Load() {
		keys = append(keys, k)
	}
	return keys
}

// Grant returns the grant that this VM holds for key, and its number of slots at now.
func (b *SlotPool) Grant(key Key, now time.Time) (id uint64, slots int) {
	a := (*b.states.Load())[key]
	if a == nil {
		return 0, 0
	}
	r := a.allowances.Load()
	if !r.grant.isValid(b.instant(now)) {
		return 0, 0
	}
	return r.grant.id, int(r.grant.slots)
}

// timedSlots is a number of slots that may be used until a time.
type timedSlots struct {
	slots int64
	until time.Time
}

// setOwn sets the slots of this VM that come from no grant. It returns by how many the slots in use exceed the usable
// ones.
func (b *SlotPool) setOwn(key Key, floor, leased timedSlots, now time.Time) int64 {
	a := b.state(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *a.allowances.Load()
	next.floor = allowance{slots: floor.slots, expiry: b.instant(floor.until)}
	next.lease = allowance{slots: leased.slots, expiry: b.instant(leased.until)}
	a.allowances.Store(&next)
	return max(0, a.inUse.Load()-next.usable(b.instant(now)))
}

// setGrant replaces the grant held for key. It returns by how many the slots in use exceed the usable ones.
func (b *SlotPool) setGrant(key Key, id uint64, slots int64, now, until time.Time) int64 {
	a := b.state(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *a.allowances.Load()
	next.grant = allowance{id: id, slots: slots, expiry: b.instant(until)}
	a.allowances.Store(&next)
	return max(0, a.inUse.Load()-next.usable(b.instant(now)))
}

// state returns the state of key and creates it if there is none.
func (b *SlotPool) state(key Key) *slotState {
	if a := (*b.states.Load())[key]; a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := (*b.states.Load())[key]; a != nil {
		return a
	}
	next := maps.Clone(*b.states.Load())
	a := newSlotState(key)
	next[key] = a
	b.states.Store(&next)
	return a
}

func (b *SlotPool) instant(t time.Time) instant {
	return instant{mono: int64(t.Sub(b.start)), wall: t.UnixNano()}
}
