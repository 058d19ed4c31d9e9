package contract

import "sync/atomic"

// instant is a moment on both clocks of a VM, in nanoseconds. A VM that was suspended may find
// that only its wall clock went on, and a wall clock may be set back; so both are kept.
type instant struct{ mono, wall int64 }

// after says whether t is past u on either clock.
func (t instant) after(u instant) bool { return t.mono >= u.mono || t.wall >= u.wall }

// right is a number of slots until a time.
type right struct {
	id    uint64
	slots int64
	lapse instant
}

func (r right) valid(at instant) bool { return r.slots > 0 && !at.after(r.lapse) }

// at returns the slots that may be used at a time.
func (r right) at(at instant) int64 {
	if r.valid(at) {
		return r.slots
	}
	return 0
}

// rights are all that one VM may use of a service in a zone. They are immutable once stored.
type rights struct {
	floor right // slots of this VM's part of the floor
	lease right // slots while this VM leads the zone
	grant right // slots granted by another VM
}

func (r *rights) usable(at instant) int64 {
	n := r.floor.at(at)
	return n + r.lease.at(at) + r.grant.at(at)
}

// covers says whether the nth slot may be used, and under which grant.
func (r *rights) covers(n int64, at instant) (grant uint64, ok bool) {
	home := r.floor.at(at)
	if n > home {
		home += r.lease.at(at)
	}
	if n <= home {
		return 0, true
	}
	if r.grant.valid(at) && n <= home+r.grant.slots {
		return r.grant.id, true
	}
	return 0, false
}

// account counts the use of a service in a zone by this VM.
type account struct {
	rights atomic.Pointer[rights]
	noSlot *NoSlotError
	inUse  atomic.Int64
	peak   atomic.Int64 // most in use since it was last read
	denied atomic.Uint64
}

func newAccount(key Key) *account {
	a := &account{noSlot: &NoSlotError{Key: key}}
	a.rights.Store(&rights{})
	return a
}

func (a *account) notePeak(n int64) {
	for {
		p := a.peak.Load()
		if n <= p || a.peak.CompareAndSwap(p, n) {
			return
		}
	}
}
