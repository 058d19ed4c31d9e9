package zone

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// A call of AskGrant that names no service is about the whole zone. The number of slots selects its kind; promiseSlots
// and reviveSlots request a promise of the callee not to take over the zone for a time.
const (
	promiseSlots  = 0 // the caller leads
	handoverSlots = 1 // the callee resigns if it leads the zone from another zone
	reviveSlots   = 2 // the caller's leadership has expired
	probeSlots    = 3 // the caller was without contact with the callee for a while and requests no promise
	assumeSlots   = 4 // the caller uses the whole floor unless the callee leads the zone
)

// pledgeKeptSlots in a reply means that the callee has promised before for the same leadership, which GrantId of the
// request names, and was no candidate since.
const pledgeKeptSlots = 1

// Reasons in the reply to a request about a whole zone.
const (
	ReasonPromised = "promised" // the callee does not take over the zone for ttl_ms
	ReasonRunning  = "running"  // the callee leads the zone or is a candidate
	ReasonAlive    = "alive"    // reply to a probe by a VM that neither leads nor is a candidate
)

// pledge identifies the leadership for which a successor has promised not to take over.
type pledge struct {
	holder      vm.Name
	incarnation vm.Incarnation
	epoch       uint64
}

// zoneReply is the reply to a request about the whole zone.
type zoneReply struct {
	ttl        time.Duration // 0: no promise
	pledgeKept bool          // the callee has promised before for the same leadership and was no candidate since
	reached    bool          // the callee responded
	leads      bool          // the callee leads the zone or is a candidate
}

// StepPromise does one round of the part of Run that calls the successors: when the store lease is not renewed, the
// leadership continues as long as every successor promises not to take over. After a gap it continues only if every
// successor had promised before and was no candidate since, because then no other VM can have led.
func (e *Elector) StepPromise(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	needed := e.needsPromises(now)
	successors := e.record.Successors
	epoch := e.state.Epoch
	kind := uint32(reviveSlots)
	if e.isLeader(now) {
		kind = promiseSlots
	}
	e.mu.Unlock()
	if !needed || e.opt.RequestPromise == nil && len(successors) > 0 {
		return
	}
	least := e.requestPromises(ctx, successors, kind, epoch)
	after := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.state.Epoch == epoch && e.needsPromises(after)
	if least.ttl > 0 && same && (e.isLeader(after) || least.pledgeKept || e.opt.reviveByPromise) {
		e.promisedUntil = now.Add(least.ttl)
	}
}

// needsPromises reports whether the promises expire soon or have expired. They are requested while the store is up too,
// so that they exist when a store outage and a network cut begin at the same time. They count only if the store has
// this VM's successors.
func (e *Elector) needsPromises(now time.Time) bool {
	mine := e.state.VM == e.opt.Self && e.state.Epoch != 0
	known := e.hasRead && e.record.Leader == e.opt.Self && e.record.Epoch == e.state.Epoch
	if !mine || !known || now.Before(e.resignedUntil) || e.isCandidate {
		return false
	}
	if !e.isLeader(now) && (now.Before(e.abstainUntil) || len(e.record.Successors) == 0) {
		return false
	}
	return e.promisedUntil.Sub(now) < e.opt.PromiseTTL*3/4
}

// requestPromises requests a promise from all successors and returns what holds for every reply.
func (e *Elector) requestPromises(ctx context.Context, successors []vm.Name, kind uint32, epoch uint64) zoneReply {
	least := zoneReply{ttl: e.opt.PromiseTTL, pledgeKept: true}
	ctx, cancel := context.WithTimeout(ctx, e.opt.PromiseTTL/4)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, successor := range successors {
		calls.Go(func() {
			a := e.sendZoneRequest(ctx, successor, kind, epoch)
			mu.Lock()
			defer mu.Unlock()
			least.ttl = min(least.ttl, a.ttl)
			least.pledgeKept = least.pledgeKept && a.pledgeKept
		})
	}
	calls.Wait()
	return least
}

// sendZoneRequest sends a request about the whole zone.
func (e *Elector) sendZoneRequest(ctx context.Context, to vm.Name, kind uint32, epoch uint64) zoneReply {
	e.mu.Lock()
	e.stats.Promises++
	e.mu.Unlock()
	reply, err := e.opt.RequestPromise(ctx, to, &peer.AskGrantRequest{
		Holder: string(e.opt.Self), Incarnation: uint64(e.opt.Incarnation),
		Zone: string(e.opt.Zone), Slots: kind, GrantId: epoch,
	})
	if err != nil {
		return zoneReply{}
	}
	a := zoneReply{reached: true, leads: reply.Reason == ReasonRunning}
	if reply.Reason == ReasonPromised {
		a.ttl = time.Duration(reply.TtlMs) * time.Millisecond
		a.pledgeKept = reply.Slots == pledgeKeptSlots
	}
	return a
}

func (e *Elector) requestHandover(ctx context.Context, leader vm.Name) {
	ctx, cancel := context.WithTimeout(ctx, e.opt.Interval/2)
	defer cancel()
	if e.opt.RequestPromise != nil {
		e.sendZoneRequest(ctx, leader, handoverSlots, 0)
	}
}

// HandlePromiseRequest handles an AskGrantRequest that names no service.
func (e *Elector) HandlePromiseRequest(_ context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	if steering.ZoneName(req.Zone) != e.opt.Zone {
		return nil, &OtherZoneError{Requested: steering.ZoneName(req.Zone), Zone: e.opt.Zone}
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Slots == handoverSlots {
		e.resign(now)
	}
	switch req.Slots {
	case probeSlots:
		e.probed = true
		e.assumeAfter = now.Add(e.stretch(e.opt.TTL))
		return e.probeReply(now), nil
	case assumeSlots:
		reply := e.probeReply(now)
		if reply.Reason == ReasonAlive {
			e.peerAssumesUntil = now.Add(e.stretch(e.opt.TTL))
		}
		return reply, nil
	}
	requested := pledge{vm.Name(req.Holder), vm.Incarnation(req.Incarnation), req.GrantId}
	if e.lease.ID != 0 || e.isLeader(now) || e.isCandidate || now.Before(e.claimPendingUntil) || requested.epoch < e.maxEpoch {
		return &peer.AskGrantReply{Reason: ReasonRunning, Epoch: e.state.Epoch}, nil
	}
	kept := uint32(0)
	if requested == e.lastPledge {
		kept = pledgeKeptSlots
	}
	if req.Slots == promiseSlots {
		e.lastPledge = requested
	}
	if until := now.Add(e.stretch(e.opt.PromiseTTL)); until.After(e.abstainUntil) {
		e.abstainUntil = until
	}
	return &peer.AskGrantReply{
		TtlMs: uint32(e.opt.PromiseTTL / time.Millisecond), Epoch: e.state.Epoch, Reason: ReasonPromised, Slots: kept,
	}, nil
}

// probeReply returns a reply that reports whether this VM leads or may lead soon.
func (e *Elector) probeReply(now time.Time) *peer.AskGrantReply {
	reply := &peer.AskGrantReply{Reason: ReasonAlive, Epoch: e.state.Epoch}
	if e.lease.ID != 0 || e.isLeader(now) || e.isCandidate || now.Before(e.claimPendingUntil) {
		reply.Reason = ReasonRunning
	}
	return reply
}

// resign lets this VM's leadership of a zone that it is not in expire, because a VM of the zone is back and reaches the
// store.
func (e *Elector) resign(now time.Time) {
	if e.opt.Home {
		return
	}
	e.resignedUntil = now.Add(2 * e.opt.TTL)
	e.lease.ID = 0
	e.leaderReadAt = now
}

// OtherZoneError reports a request about one zone that reached the elector of another.
type OtherZoneError struct {
	Requested steering.ZoneName
	Zone      steering.ZoneName
}

// Error implements error.
func (e *OtherZoneError) Error() string {
	return "request about zone " + string(e.Requested) + " reached the elector of zone " + string(e.Zone)
}
