package zone

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/vm"
)

// StepStore does one round of the part of Run that calls the store.
func (e *Elector) StepStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.opt.TTL/2)
	defer cancel()
	now := e.opt.Now()
	e.mu.Lock()
	holds := e.lease.ID != 0
	due := e.isLeaderReadDue(now)
	resigned := now.Before(e.resignedUntil)
	e.mu.Unlock()
	switch {
	case holds && !resigned:
		e.renewLease(ctx)
	case due:
		e.readLeader(ctx)
	}
	e.probeUnresponsive(ctx)
	e.updateRecord(ctx)
}

// renewLease keeps the store lease alive. The TTL of the lease counts from before the call.
func (e *Elector) renewLease(ctx context.Context) {
	requestedAt := e.opt.Now()
	e.mu.Lock()
	id := e.lease.ID
	e.stats.Writes++
	e.mu.Unlock()
	err := e.opt.Store.KeepAlive(ctx, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.leaseUntil = requestedAt.Add(e.shorten(e.opt.TTL))
		return
	}
	var expired *kv.LeaseExpiredError
	if errors.As(err, &expired) {
		e.lease = kv.Lease{}
		e.leaseUntil = time.Time{}
		e.leaderReadAt = time.Time{}
	}
}

// isLeaderReadDue reports whether to read the leader's key: at once if the leader is not known; otherwise if there was
// no contact with the leader for a while, and then at a limited rate. A VM of the zone also reads it once per TTL while
// a VM of another zone leads.
func (e *Elector) isLeaderReadDue(now time.Time) bool {
	if e.leaderReadAt.IsZero() || e.state.VM == "" || e.state.VM == e.opt.Self {
		return true
	}
	if e.opt.Home && now.Sub(e.leaderReadAt) >= e.opt.TTL && !e.isMember(e.state.VM) {
		return true
	}
	pause := e.opt.Interval * 3 / 8 // shorter than the shortest round of StepStore
	if e.hasRead && e.version != 0 && !e.isSuccessor() {
		pause = e.opt.TTL
	}
	unresponsive := now.Sub(e.opt.LastContact(e.state.VM)) > e.opt.TTL/2
	return unresponsive && now.Sub(e.leaderReadAt) >= pause
}

func (e *Elector) isSuccessor() bool {
	return e.record.Leader == e.opt.Self || slices.Contains(e.record.Successors, e.opt.Self)
}

func (e *Elector) isMember(name vm.Name) bool {
	return slices.Contains(e.opt.Members(), name)
}

// readLeader reads who leads, and runs for the leadership if no VM does.
func (e *Elector) readLeader(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	e.leaderReadAt = now
	e.stats.Reads++
	e.mu.Unlock()
	entry, err := e.opt.Store.Get(ctx, leaderKey(e.opt.Zone))
	var none *kv.NotFoundError
	switch {
	case errors.As(err, &none):
		e.recordLeaderAbsent(now)
		if e.startCandidacy(ctx) {
			e.claimLeadership(ctx)
			e.endCandidacy()
		}
	case err == nil:
		e.recordLeader(ctx, entry)
	}
}

func (e *Elector) recordLeaderAbsent(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeResponded = true
	if e.leaderAbsentSince.IsZero() {
		e.leaderAbsentSince = now
	}
}

// recordLeader applies the leader that the store reports.
func (e *Elector) recordLeader(ctx context.Context, entry kv.Entry) {
	var c claim
	if decode(entry.Key, entry.Value, &c) != nil {
		return
	}
	e.mu.Lock()
	e.storeResponded = true
	e.leaderAbsentSince = time.Time{}
	own := c.VM == e.opt.Self && c.Incarnation == e.opt.Incarnation
	if own && e.lease.ID != 0 {
		e.mu.Unlock()
		return
	}
	e.maxEpoch = max(e.maxEpoch, c.Epoch)
	e.setState(State{VM: c.VM, Epoch: c.Epoch})
	remote := e.opt.Home && !own && !e.isMember(c.VM)
	e.mu.Unlock()
	if remote {
		e.requestHandover(ctx, c.VM)
	}
}

// startCandidacy reports whether this VM may run for the leadership now. If so, it makes this VM refuse promises until
// the candidacy ends.
func (e *Elector) startCandidacy(ctx context.Context) bool {
	if !e.readRecord(ctx) {
		return false
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.resignedUntil) {
		return false
	}
	// An earlier incarnation of this VM may have promised not to take over.
	if e.version != 0 && now.Sub(e.started) < e.stretch(e.opt.PromiseTTL) {
		return false
	}
	if now.Before(e.abstainUntil) && !e.opt.ignorePromises {
		return false
	}
	if !e.opt.Home && now.Sub(e.leaderAbsentSince) < e.candidacyDelay(now) {
		return false
	}
	if !e.isEntitled(now) {
		return false
	}
	e.isCandidate = true
	e.lastPledge = pledge{}
	return true
}

// candidacyDelay returns for how long a VM of another zone leaves the leadership to the zone's own VMs.
func (e *Elector) candidacyDelay(now time.Time) time.Duration {
	for _, name := range e.opt.Members() {
		if e.inContact(name, now) {
			return 2 * e.opt.Interval
		}
	}
	return e.opt.Interval / 2
}

// isEntitled reports whether the record lets this VM lead: as the last leader, as a successor, or because all of those
// are removed.
func (e *Elector) isEntitled(now time.Time) bool {
	if e.version == 0 || e.isSuccessor() {
		return true
	}
	removed := e.isRemoved(e.record.Leader, now)
	for _, name := range e.record.Successors {
		removed = e.isRemoved(name, now) && removed
	}
	return removed
}

// isRemoved reports whether a VM was absent from the VM list, and without contact, for RemovedAfter.
func (e *Elector) isRemoved(name vm.Name, now time.Time) bool {
	if e.opt.IsListed(name) {
		delete(e.unlistedSince, name)
		return false
	}
	since, ok := e.unlistedSince[name]
	if !ok {
		e.unlistedSince[name] = now
		return false
	}
	return now.Sub(since) >= e.opt.RemovedAfter && now.Sub(e.opt.LastContact(name)) >= e.opt.RemovedAfter
}

// claimLeadership acquires a lease and claims the leader's key with it.
func (e *Elector) claimLeadership(ctx context.Context) {
	requestedAt := e.opt.Now()
	lease, err := e.opt.Store.Grant(ctx, e.opt.TTL)
	e.countWrite()
	if err != nil {
		return
	}
	value, err := json.Marshal(claim{VM: e.opt.Self, Incarnation: e.opt.Incarnation, Epoch: uint64(lease.Epoch)})
	if err != nil {
		return
	}
	_, err = e.opt.Store.CompareAndSwap(ctx, leaderKey(e.opt.Zone), 0, value, lease.ID)
	e.countWrite()
	won := err == nil || e.claimSucceeded(ctx, err, lease)
	var conflict *kv.ConflictError
	if !won && !errors.As(err, &conflict) {
		e.mu.Lock()
		e.maxEpoch = max(e.maxEpoch, uint64(lease.Epoch))
		e.mu.Unlock()
	}
	if !won || !e.isStillEntitled(ctx) {
		e.countWrite()
		_ = e.opt.Store.Revoke(ctx, lease.ID) // the lease expires anyway
		return
	}
	e.becomeLeader(lease, requestedAt)
}

// isStillEntitled reads the record again, because the last leader may have changed its successors before the claim.
func (e *Elector) isStillEntitled(ctx context.Context) bool {
	if !e.readRecord(ctx) {
		return false
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isEntitled(now)
}

// endCandidacy ends a candidacy. A claim that was given up may still take effect while its lease is valid.
func (e *Elector) endCandidacy() {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isCandidate = false
	e.claimPendingUntil = now.Add(e.stretch(2 * e.opt.TTL))
}

// claimSucceeded resolves a claim whose response was lost by reading the key back.
func (e *Elector) claimSucceeded(ctx context.Context, err error, lease kv.Lease) bool {
	var unknown *kv.EffectUnknownError
	if !errors.As(err, &unknown) {
		return false
	}
	e.mu.Lock()
	e.stats.Reads++
	e.mu.Unlock()
	entry, err := e.opt.Store.Get(ctx, leaderKey(e.opt.Zone))
	if err != nil {
		return false
	}
	var c claim
	if decode(entry.Key, entry.Value, &c) != nil {
		return false
	}
	return c.VM == e.opt.Self && c.Incarnation == e.opt.Incarnation && c.Epoch == uint64(lease.Epoch)
}

func (e *Elector) becomeLeader(lease kv.Lease, requestedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.leaseUntil = requestedAt.Add(e.shorten(e.opt.TTL))
	e.promisedUntil = time.Time{}
	e.leaderAbsentSince = time.Time{}
	e.maxEpoch = max(e.maxEpoch, uint64(lease.Epoch))
	e.stats.Elected++
	if e.record.Leader != "" && e.record.Leader != e.opt.Self {
		e.stats.Takeovers++
	}
	e.setState(State{VM: e.opt.Self, Epoch: uint64(lease.Epoch)})
}

func (e *Elector) countWrite() {
	e.mu.Lock()
	e.stats.Writes++
	e.mu.Unlock()
}
