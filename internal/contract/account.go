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

// rights are all that one VM may use of a service in a zone. They are immutable once stored.
type rights struct {
	floor int64 // slots, for ever
	lease right // slots while this VM leads the zone
	grant right // slots granted by another VM
}

func (r *rights) usable(at instant) int64 {
	n := r.floor
	if r.lease.valid(at) {
		n += r.lease.slots
	}
	if r.grant.valid(at) {
		n += r.grant.slots
	}
	return n
}

// covers says whether the nth slot may be used, and under which grant.
func (r *rights) covers(n int64, at instant) (grant uint64, ok bool) {
	home := r.floor
	if n > home && r.lease.valid(at) {
		home += r.lease.slots
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
