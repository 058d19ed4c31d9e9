package contract

import "sync/atomic"

// instant is a point in time on the monotonic and on the wall clock of a VM, in nanoseconds. Both are kept because
// during a suspension only the wall clock may advance, and because a wall clock may be set back.
type instant struct{ mono, wall int64 }

// isAfter reports whether t is at or past u on either clock.
func (t instant) isAfter(u instant) bool { return t.mono >= u.mono || t.wall >= u.wall }

// allowance is a number of slots that may be used until expiry.
type allowance struct {
	id     uint64
	slots  int64
	expiry instant
}

func (r allowance) isValid(at instant) bool { return r.slots > 0 && !at.isAfter(r.expiry) }

// slotsAt returns the slots that may be used at a time.
func (r allowance) slotsAt(at instant) int64 {
	if r.isValid(at) {
		return r.slots
	}
	return 0
}

// allowances are all the slots of a service in a zone that one VM may use. They are immutable once stored.
type allowances struct {
	floor allowance // slots of this VM's part of the floor
	lease allowance // slots above the floor while this VM leads the zone
	grant allowance // slots granted by another VM
}

func (r *allowances) usable(at instant) int64 {
	n := r.floor.slotsAt(at)
	return n + r.lease.slotsAt(at) + r.grant.slotsAt(at)
}

// grantForSlot reports whether the nth slot may be used at a time, and under which grant; 0 means the VM's own slots.
func (r *allowances) grantForSlot(n int64, at instant) (grant uint64, ok bool) {
	own := r.floor.slotsAt(at)
	if n > own {
		own += r.lease.slotsAt(at)
	}
	if n <= own {
		return 0, true
	}
	if r.grant.isValid(at) && n <= own+r.grant.slots {
		return r.grant.id, true
	}
	return 0, false
}

// slotState holds what this VM may use of a service in a zone, and counts its use.
type slotState struct {
	allowances atomic.Pointer[allowances]
	noSlot     *NoSlotError
	inUse      atomic.Int64
	peak       atomic.Int64 // maximum in use since the last read
	denied     atomic.Uint64
}

func newSlotState(key Key) *slotState {
	a := &slotState{noSlot: &NoSlotError{Key: key}}
	a.allowances.Store(&allowances{})
	return a
}

func (a *slotState) recordPeak(n int64) {
	for {
		p := a.peak.Load()
		if n <= p || a.peak.CompareAndSwap(p, n) {
			return
		}
	}
}
