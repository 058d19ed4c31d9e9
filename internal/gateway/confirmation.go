package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
)

// How an entry VM knows that the keys of client accounts have not been withdrawn without its knowledge: the operator's
// keys of the store were confirmed lately. Only a linearizable read confirms them, as of its request: this VM's own, or
// a peer's whose age the peer reports. A stale read may be older than it looks, and a watch without events may have stalled.

// moment is a point in time on this VM. Unlike a time.Time it measures spans that include times in which the VM was
// suspended.
type moment struct {
	at        time.Time
	sinceBoot time.Duration // 0: not known
}

func currentMoment() moment {
	m := moment{at: time.Now()}
	if since, ok := clock.SinceBoot(); ok {
		m.sinceBoot = since
	}
	return m
}

// since returns the time from earlier to m. Without the time since boot, it counts suspended time by the time of day,
// and misses what a backward step of that hides.
func (m moment) since(earlier moment) time.Duration {
	span := m.at.Sub(earlier.at)
	if m.sinceBoot > 0 && earlier.sinceBoot > 0 {
		return max(span, m.sinceBoot-earlier.sinceBoot)
	}
	return max(span, m.at.Round(0).Sub(earlier.at.Round(0)))
}

// before returns the moment that was d before m.
func (m moment) before(d time.Duration) moment {
	m.at = m.at.Add(-d)
	if m.sinceBoot > 0 {
		m.sinceBoot = max(1, m.sinceBoot-d)
	}
	return m
}

// confirmation holds when the operator's keys were confirmed last. It is safe for concurrent use.
type confirmation struct {
	now   func() moment
	bound atomic.Int64           // Bounds.Revoke; 0: keys need no confirmation
	last  atomic.Pointer[moment] // request of the read; nil: there was none in this process
}

func newConfirmation(bound time.Duration) *confirmation {
	c := &confirmation{now: currentMoment}
	c.bound.Store(int64(bound))
	return c
}

// record records that the keys were confirmed as of m.
func (c *confirmation) record(m moment) {
	for {
		last := c.last.Load()
		if last != nil && m.since(*last) <= 0 {
			return
		}
		if c.last.CompareAndSwap(last, &m) {
			return
		}
	}
}

// age returns the time since the last confirmation; ok is false if there was none.
func (c *confirmation) age() (age time.Duration, ok bool) {
	last := c.last.Load()
	if last == nil {
		return 0, false
	}
	return max(0, c.now().since(*last)), true
}

// isRequired reports whether keys need a confirmation.
func (c *confirmation) isRequired() bool { return c.bound.Load() > 0 }

// isYounger reports whether there is a confirmation that is younger than limit.
func (c *confirmation) isYounger(limit time.Duration) bool {
	age, ok := c.age()
	return ok && age < limit
}

// confirmationMargin is the part of the bound by which requests with keys stop before it, for clocks of VMs that run at
// different rates.
const confirmationMargin = 0.1

// allowsKeys reports whether requests with keys may run: none that was withdrawn longer ago than the bound can be among
// them.
func (c *confirmation) allowsKeys() bool {
	bound := c.bound.Load()
	return bound <= 0 || c.isYounger(time.Duration(float64(bound)*(1-confirmationMargin)))
}

// describe returns the age for a peer in milliseconds, rounded up; 0 if there is none.
func (c *confirmation) describe() uint32 {
	if !c.isRequired() {
		return 0
	}
	age, ok := c.age()
	if !ok {
		return 0
	}
	return uint32(min(age.Milliseconds()+1, math.MaxUint32))
}

// operatorPause returns the time until the next read of the operator's keys after some failures in a row. A single failure
// is followed by a read soon, so that the confirmation does not get old enough for peers to read for themselves; in an
// outage watchOperator repeats reads.
func (f *follower) operatorPause(failures int) time.Duration {
	if failures == 1 {
		return retryFirst
	}
	return f.intervals.Load().configReadInterval
}

// confirmedAge returns the age that a peer reported of its confirmation; ok is false if it has none.
func confirmedAge(m *peer.StoreCopy) (age time.Duration, ok bool) {
	return time.Duration(m.GetConfirmedAgeMs()) * time.Millisecond, m.GetConfirmedAgeMs() > 0
}

// isConfirming reports whether a peer's confirmation is younger than limit. A limit of 0 requires none.
func isConfirming(m *peer.StoreCopy, limit time.Duration) bool {
	age, ok := confirmedAge(m)
	return limit <= 0 || ok && age < limit
}

// adoptConfirmation records the confirmation of a peer whose copy was merged into this VM's own, if the two agree. The
// peer was asked at askedAt, so that the time that its reply took counts.
func (f *follower) adoptConfirmation(m *peer.StoreCopy, askedAt moment) {
	age, ok := confirmedAge(m)
	if !ok || !f.confirmation.isRequired() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.operator.digest == m.GetDigest() {
		f.confirmation.record(askedAt.before(age))
	}
}

// hasFreshConfirmation reports whether this VM or a peer confirmed the operator's keys lately, if they need it.
func (f *follower) hasFreshConfirmation() bool {
	limit := f.intervals.Load().confirmationMaxAge
	return limit <= 0 || f.confirmation.isYounger(limit)
}

// readOperator lists the operator's keys, which confirms them as of its request, but not while the operator may still
// have to write again what a store that came back older lost. It returns the store's version.
func (f *follower) readOperator(ctx context.Context) (kv.Version, error) {
	askedAt := f.confirmation.now()
	var previous kv.Version // of the copy when the list came
	rewritten := true
	version, _, err := f.listKeys(ctx, readOperatorList, f.catalog.OperatorPrefix, func(update func(*storeCopy) bool) {
		f.updateOperator(func(c *storeCopy) bool {
			previous = c.version
			changed := update(c)
			rewritten = !c.rewind.mayLackWrites(reregisterTime+reregisterMargin, time.Now())
			return changed
		})
	})
	if err == nil && rewritten && version >= previous { // an older list is not applied: it may come from a store that went back
		f.confirmation.record(askedAt)
	}
	return version, err
}

// keysConfirmed reports whether the keys of client accounts may be relied on that Table returns from now on, and logs
// when that changes. It implements forward.Options.KeysConfirmed.
func (f *follower) keysConfirmed() bool {
	if !f.confirmation.isRequired() {
		return true
	}
	// In this order: a configuration that is refused is known as such before its read confirms the keys.
	confirmed := f.confirmation.allowsKeys() && !f.configRefused.Load()
	if f.keysRefused.Load() != confirmed {
		return confirmed
	}
	if t := f.Table(); t == nil || !t.HasAccounts() || !f.keysRefused.CompareAndSwap(confirmed, !confirmed) {
		return confirmed
	}
	age, _ := f.confirmation.age()
	log := f.log.WithFields(logrus.Fields{"age_ms": age.Milliseconds(), "config_refused": f.configRefused.Load()})
	if confirmed {
		log.Info("keys confirmed")
	} else {
		log.Warn("keys unconfirmed")
	}
	return confirmed
}
