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

// StepStore does one round of the part of Run that talks to the store.
func (e *Elector) StepStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.opt.TTL/2)
	defer cancel()
	now := e.opt.Now()
	e.mu.Lock()
	holds := e.lease.ID != 0
	due := e.lookDue(now)
	resigned := now.Before(e.resign)
	e.mu.Unlock()
	switch {
	case holds && !resigned:
		e.renew(ctx)
	case due:
		e.look(ctx)
	}
	e.probeSilent(ctx)
	e.keepRecord(ctx)
}

// renew keeps the store lease alive. The lease's life counts from before the call.
func (e *Elector) renew(ctx context.Context) {
	asked := e.opt.Now()
	e.mu.Lock()
	id := e.lease.ID
	e.stats.Writes++
	e.mu.Unlock()
	err := e.opt.Store.KeepAlive(ctx, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.leaseTo = asked.Add(e.shorten(e.opt.TTL))
		return
	}
	var lapsed *kv.LeaseExpiredError
	if errors.As(err, &lapsed) {
		e.lease = kv.Lease{}
		e.leaseTo = time.Time{}
		e.looked = time.Time{}
	}
}

// lookDue says whether it is time to read the leader's key: at once if nothing is known, else only
// if the leader was not heard of for a while, and then within a budget.
func (e *Elector) lookDue(now time.Time) bool {
	if e.looked.IsZero() || e.state.VM == "" || e.state.VM == e.opt.Self {
		return true
	}
	if e.opt.Home && now.Sub(e.looked) >= e.opt.TTL && !e.isMember(e.state.VM) {
		return true
	}
	pause := e.opt.Interval * 3 / 8 // shorter than a short round of StepStore
	if e.hasRead && e.version != 0 && !e.isSuccessor() {
		pause = e.opt.TTL
	}
	silent := now.Sub(e.opt.Heard(e.state.VM)) > e.opt.TTL/2
	return silent && now.Sub(e.looked) >= pause
}

func (e *Elector) isSuccessor() bool {
	return e.record.Leader == e.opt.Self || slices.Contains(e.record.Successors, e.opt.Self)
}

func (e *Elector) isMember(name vm.Name) bool {
	return slices.Contains(e.opt.Members(), name)
}

// look reads who leads and runs for the leadership if nobody does.
func (e *Elector) look(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	e.looked = now
	e.stats.Reads++
	e.mu.Unlock()
	entry, err := e.opt.Store.Get(ctx, leaderKey(e.opt.Zone))
	var none *kv.NotFoundError
	switch {
	case errors.As(err, &none):
		e.noteAbsent(now)
		if e.mayRun(ctx) {
			e.run(ctx)
			e.endRun()
		}
	case err == nil:
		e.noteLeader(ctx, entry)
	}
}

func (e *Elector) noteAbsent(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = true
	if e.absent.IsZero() {
		e.absent = now
	}
}

// noteLeader takes in what the store says of the leader.
func (e *Elector) noteLeader(ctx context.Context, entry kv.Entry) {
	var c claim
	if decode(entry.Key, entry.Value, &c) != nil {
		return
	}
	e.mu.Lock()
	e.answered = true
	e.absent = time.Time{}
	own := c.VM == e.opt.Self && c.Incarnation == e.opt.Incarnation
	if own && e.lease.ID != 0 {
		e.mu.Unlock()
		return
	}
	e.seen = max(e.seen, c.Epoch)
	e.setState(State{VM: c.VM, Epoch: c.Epoch})
	foreign := e.opt.Home && !own && !e.isMember(c.VM)
	e.mu.Unlock()
	if foreign {
		e.askHandover(ctx, c.VM)
	}
}

// mayRun says whether this VM may try to become leader now, and if so keeps it from promising
// otherwise until the try is over.
func (e *Elector) mayRun(ctx context.Context) bool {
	if !e.readRecord(ctx) {
		return false
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.resign) {
		return false
	}
	// An earlier life of this VM may have promised to keep off.
	if e.version != 0 && now.Sub(e.started) < e.stretch(e.opt.PromiseTTL) {
		return false
	}
	if now.Before(e.keepOff) && !e.opt.ignorePromises {
		return false
	}
	if !e.opt.Home && now.Sub(e.absent) < e.precedence(now) {
		return false
	}
	if !e.entitled(now) {
		return false
	}
	e.trying = true
	e.keptFor = pledge{}
	return true
}

// precedence returns for how long a VM that stands elsewhere leaves the leadership to the zone's own VMs.
func (e *Elector) precedence(now time.Time) time.Duration {
	for _, name := range e.opt.Members() {
		if e.isHeard(name, now) {
			return 2 * e.opt.Interval
		}
	}
	return e.opt.Interval / 2
}

// entitled says whether the record lets this VM lead: as the last leader, as a successor, or because
// all of those are gone.
func (e *Elector) entitled(now time.Time) bool {
	if e.version == 0 || e.isSuccessor() {
		return true
	}
	gone := e.gone(e.record.Leader, now)
	for _, name := range e.record.Successors {
		gone = e.gone(name, now) && gone
	}
	return gone
}

// gone says whether the VM list has not held a VM for long, nor was it heard of.
func (e *Elector) gone(name vm.Name, now time.Time) bool {
	if e.opt.Listed(name) {
		delete(e.unlisted, name)
		return false
	}
	since, ok := e.unlisted[name]
	if !ok {
		e.unlisted[name] = now
		return false
	}
	return now.Sub(since) >= e.opt.GoneAfter && now.Sub(e.opt.Heard(name)) >= e.opt.GoneAfter
}

// run takes a lease and claims the leader's key with it.
func (e *Elector) run(ctx context.Context) {
	asked := e.opt.Now()
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
	won := err == nil || e.claimed(ctx, err, lease)
	var conflict *kv.ConflictError
	if !won && !errors.As(err, &conflict) {
		e.mu.Lock()
		e.seen = max(e.seen, uint64(lease.Epoch))
		e.mu.Unlock()
	}
	if !won || !e.stillEntitled(ctx) {
		e.countWrite()
		_ = e.opt.Store.Revoke(ctx, lease.ID) // it lapses anyway
		return
	}
	e.elected(lease, asked)
}

// stillEntitled reads the record again, because the last leader may have changed its successors before
// the claim.
func (e *Elector) stillEntitled(ctx context.Context) bool {
	if !e.readRecord(ctx) {
		return false
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entitled(now)
}

// endRun ends a candidacy. A claim that was given up may take effect while its lease lives.
func (e *Elector) endRun() {
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trying = false
	e.running = now.Add(e.stretch(2 * e.opt.TTL))
}

// claimed settles a claim whose answer was lost by reading the key back.
func (e *Elector) claimed(ctx context.Context, err error, lease kv.Lease) bool {
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

func (e *Elector) elected(lease kv.Lease, asked time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.leaseTo = asked.Add(e.shorten(e.opt.TTL))
	e.promisedTo = time.Time{}
	e.absent = time.Time{}
	e.seen = max(e.seen, uint64(lease.Epoch))
	e.stats.Elected++
	if e.record.Leader != "" && e.record.Leader != e.opt.Self {
		e.stats.Takeover++
	}
	e.setState(State{VM: e.opt.Self, Epoch: uint64(lease.Epoch)})
}

func (e *Elector) countWrite() {
	e.mu.Lock()
	e.stats.Writes++
	e.mu.Unlock()
}
