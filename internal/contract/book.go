// Package contract divides the slots of a zone's upstreams between the entry VMs that use them.
// A zone's leader grants slots for seconds; a Book holds what one VM may use, a Grantor the ledger
// of a zone, a Borrower asks for what its VM's demand needs.
package contract

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Key names what a contract is about: the slots of a service in a zone.
type Key struct {
	Service steering.ServiceName
	Zone    steering.ZoneName
}

// NoSlotError reports that this VM may use no more slots of a service in a zone.
type NoSlotError struct{ Key Key }

// Error implements error.
func (e *NoSlotError) Error() string {
	return "no slot of " + string(e.Key.Service) + " in " + string(e.Key.Zone)
}

// SlotPoolOptions say whose book it is.
type SlotPoolOptions struct {
	Self        vm.Name
	Incarnation vm.Incarnation
	Zone        steering.ZoneName
	Start       time.Time // of the VM's monotonic clock; zero: now
}

// Permit is the right to have one request at a service in a zone.
type Permit struct {
	Grant   uint64 // 0: home slots
	account *account
}

// Demand is what a VM wanted of a service in a zone since the last reading.
type Demand struct {
	InUse  int    // slots now
	Peak   int    // most slots in use
	Denied uint64 // calls of Acquire without success
}

// SlotPool holds the slots that one VM may use. Acquire and Release take no lock.
type SlotPool struct {
	opt      SlotPoolOptions
	start    time.Time
	mu       sync.Mutex // serialises writers
	accounts atomic.Pointer[map[Key]*account]
}

// NewSlotPool returns a book without any slots.
func NewSlotPool(opt SlotPoolOptions) *SlotPool {
	b := &SlotPool{opt: opt, start: opt.Start}
	if b.start.IsZero() {
		b.start = time.Now()
	}
	b.accounts.Store(&map[Key]*account{})
	return b
}

// Self returns the VM whose book it is.
func (b *SlotPool) Self() (vm.Name, vm.Incarnation) { return b.opt.Self, b.opt.Incarnation }

// Zone returns the zone of the VM.
func (b *SlotPool) Zone() steering.ZoneName { return b.opt.Zone }

// Acquire takes a slot of service in zone if this VM may use one more at now, else it returns
// *NoSlotError. Rights that lapsed before now do not count, also after a pause.
func (b *SlotPool) Acquire(service steering.ServiceName, zone steering.ZoneName, now time.Time) (Permit, error) {
	a := b.account(Key{service, zone})
	at := b.instant(now)
	for {
		n := a.inUse.Load()
		grant, ok := a.rights.Load().covers(n+1, at)
		if !ok {
			a.denied.Add(1)
			return Permit{}, a.noSlot
		}
		if !a.inUse.CompareAndSwap(n, n+1) {
			continue
		}
		// A writer lowers the rights first and reads inUse then, so one of both sees the other.
		if _, ok := a.rights.Load().covers(n+1, at); ok {
			a.notePeak(n + 1)
			return Permit{Grant: grant, account: a}, nil
		}
		a.inUse.Add(-1)
	}
}

// Release gives back the slot of p. It is called once for each permit.
func (b *SlotPool) Release(p Permit) {
	if p.account != nil {
		p.account.inUse.Add(-1)
	}
}

// Usable returns the slots of service in zone that this VM may use at now, in use or not.
func (b *SlotPool) Usable(service steering.ServiceName, zone steering.ZoneName, now time.Time) int {
	a := (*b.accounts.Load())[Key{service, zone}]
	if a == nil {
		return 0
	}
	return int(a.rights.Load().usable(b.instant(now)))
}

// AddWaiting notes that n requests for service in zone wait without having asked for a slot, so that the
// Borrower counts them as wanted.
func (b *SlotPool) AddWaiting(service steering.ServiceName, zone steering.ZoneName, n int) {
	b.account(Key{service, zone}).denied.Add(uint64(max(0, n)))
}

// Demand returns what was wanted of service in zone; it does not reset what Borrower reads.
func (b *SlotPool) Demand(service steering.ServiceName, zone steering.ZoneName) Demand {
	a := (*b.accounts.Load())[Key{service, zone}]
	if a == nil {
		return Demand{}
	}
	return Demand{InUse: int(a.inUse.Load()), Peak: int(a.peak.Load()), Denied: a.denied.Load()}
}

// Keys returns the services and zones that were ever asked for.
func (b *SlotPool) Keys() []Key {
	var keys []Key
	for k := range *b.accounts.Load() {
		keys = append(keys, k)
	}
	return keys
}

// Grant returns the grant that this VM holds for key and the slots it gives at now.
func (b *SlotPool) Grant(key Key, now time.Time) (id uint64, slots int) {
	a := (*b.accounts.Load())[key]
	if a == nil {
		return 0, 0
	}
	r := a.rights.Load()
	if !r.grant.valid(b.instant(now)) {
		return 0, 0
	}
	return r.grant.id, int(r.grant.slots)
}

// term is a number of slots until a time.
type term struct {
	slots int64
	until time.Time
}

// setHome sets the rights of this VM that come from no grant. It returns by how many the slots in
// use exceed what is usable.
func (b *SlotPool) setHome(key Key, floor, leased term, now time.Time) int64 {
	a := b.account(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *a.rights.Load()
	next.floor = right{slots: floor.slots, lapse: b.instant(floor.until)}
	next.lease = right{slots: leased.slots, lapse: b.instant(leased.until)}
	a.rights.Store(&next)
	return max(0, a.inUse.Load()-next.usable(b.instant(now)))
}

// setGrant replaces the grant held for key. It returns by how many the slots in use exceed what
// is usable.
func (b *SlotPool) setGrant(key Key, id uint64, slots int64, now, until time.Time) int64 {
	a := b.account(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *a.rights.Load()
	next.grant = right{id: id, slots: slots, lapse: b.instant(until)}
	a.rights.Store(&next)
	return max(0, a.inUse.Load()-next.usable(b.instant(now)))
}

// account returns the account of key and makes it if there is none.
func (b *SlotPool) account(key Key) *account {
	if a := (*b.accounts.Load())[key]; a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := (*b.accounts.Load())[key]; a != nil {
		return a
	}
	next := maps.Clone(*b.accounts.Load())
	a := newAccount(key)
	next[key] = a
	b.accounts.Store(&next)
	return a
}

func (b *SlotPool) instant(t time.Time) instant {
	return instant{mono: int64(t.Sub(b.start)), wall: t.UnixNano()}
}
