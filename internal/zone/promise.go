package zone

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// A request of AskGrant that names no service is about the whole zone: without slots it asks the
// callee not to take the zone over for a time; the number of slots tells the kinds apart.
const (
	promiseSlots  = 0 // the asker leads
	handoverSlots = 1
	reviveSlots   = 2 // the asker's leadership lapsed
	probeSlots    = 3 // the asker has not heard of the callee for a while and wants no promise
	assumeSlots   = 4 // the asker uses the whole floor unless the callee leads the zone
)

// keptSlots in an answer says that the callee promised before for the same leadership, which
// GrantId of the request names, and did not run since.
const keptSlots = 1

// Reasons in the answer to a request about a whole zone.
const (
	ReasonPromised = "promised" // the callee keeps off for ttl_ms
	ReasonRunning  = "running"  // the callee leads the zone or tries to
	ReasonAlive    = "alive"    // an answer to a probe of a VM that does not
)

// pledge names the leadership for which a successor promised to keep off.
type pledge struct {
	holder      vm.Name
	incarnation vm.Incarnation
	epoch       uint64
}

// answer is what a successor said.
type answer struct {
	ttl     time.Duration // 0: no promise
	kept    bool          // it promised before for the same leadership and did not run since
	reached bool          // it did answer
	leads   bool          // it leads the zone or tries to
}

// StepPromise does one round of the part of Run that talks to the successors: when the store lease is not
// renewed, the leadership goes on as long as every successor promises to keep off. After a
// gap it goes on only if every successor promised before and never ran since, because nobody else may
// have led then.
func (e *Elector) StepPromise(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	needed := e.promiseNeeded(now)
	successors := e.record.Successors
	epoch := e.state.Epoch
	kind := uint32(reviveSlots)
	if e.leads(now) {
		kind = promiseSlots
	}
	e.mu.Unlock()
	if !needed || e.opt.RequestPromise == nil && len(successors) > 0 {
		return
	}
	least := e.promises(ctx, successors, kind, epoch)
	after := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.state.Epoch == epoch && e.promiseNeeded(after)
	if least.ttl > 0 && same && (e.leads(after) || least.kept || e.opt.reviveByPromise) {
		e.promisedTo = now.Add(least.ttl)
	}
}

// promiseNeeded says whether the promises lapse soon or have lapsed. They are asked for also while
// the store is up, so that an outage that begins together with a cut finds them given. They count
// only if the store knows this VM's successors.
func (e *Elector) promiseNeeded(now time.Time) bool {
	mine := e.state.VM == e.opt.Self && e.state.Epoch != 0
	known := e.hasRead && e.record.Leader == e.opt.Self && e.record.Epoch == e.state.Epoch
	if !mine || !known || now.Before(e.resign) || e.trying {
		return false
	}
	if !e.leads(now) && (now.Before(e.keepOff) || len(e.record.Successors) == 0) {
		return false
	}
	return e.promisedTo.Sub(now) < e.opt.PromiseTTL*3/4
}

// promises asks all successors and returns what holds of each answer.
func (e *Elector) promises(ctx context.Context, successors []vm.Name, kind uint32, epoch uint64) answer {
	least := answer{ttl: e.opt.PromiseTTL, kept: true}
	ctx, cancel := context.WithTimeout(ctx, e.opt.PromiseTTL/4)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, successor := range successors {
		calls.Go(func() {
			a := e.ask(ctx, successor, kind, epoch)
			mu.Lock()
			defer mu.Unlock()
			least.ttl = min(least.ttl, a.ttl)
			least.kept = least.kept && a.kept
		})
	}
	calls.Wait()
	return least
}

// ask makes a request about the whole zone.
func (e *Elector) ask(ctx context.Context, to vm.Name, kind uint32, epoch uint64) answer {
	e.mu.Lock()
	e.stats.Promises++
	e.mu.Unlock()
	reply, err := e.opt.RequestPromise(ctx, to, &peer.AskGrantRequest{
		Holder: string(e.opt.Self), Incarnation: uint64(e.opt.Incarnation),
		Zone: string(e.opt.Zone), Slots: kind, GrantId: epoch,
	})
	if err != nil {
		return answer{}
	}
	a := answer{reached: true, leads: reply.Reason == ReasonRunning}
	if reply.Reason == ReasonPromised {
		a.ttl = time.Duration(reply.TtlMs) * time.Millisecond
		a.kept = reply.Slots == keptSlots
	}
	return a
}

func (e *Elector) askHandover(ctx context.Context, leader vm.Name) {
	ctx, cancel := context.WithTimeout(ctx, e.opt.Interval/2)
	defer cancel()
	if e.opt.RequestPromise != nil {
		e.ask(ctx, leader, handoverSlots, 0)
	}
}

// HandlePromiseRequest answers an AskGrantRequest that names no service.
func (e *Elector) HandlePromiseRequest(_ context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	if steering.ZoneName(req.Zone) != e.opt.Zone {
		return nil, &OtherZoneError{Requested: steering.ZoneName(req.Zone), Zone: e.opt.Zone}
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Slots == handoverSlots {
		e.handOver(now)
	}
	switch req.Slots {
	case probeSlots:
		e.doubted = true
		e.assumeAfter = now.Add(e.stretch(e.opt.TTL))
		return e.answerProbe(now), nil
	case assumeSlots:
		reply := e.answerProbe(now)
		if reply.Reason == ReasonAlive {
			e.assumed = now.Add(e.stretch(e.opt.TTL))
		}
		return reply, nil
	}
	asked := pledge{vm.Name(req.Holder), vm.Incarnation(req.Incarnation), req.GrantId}
	if e.lease.ID != 0 || e.leads(now) || e.trying || now.Before(e.running) || asked.epoch < e.seen {
		return &peer.AskGrantReply{Reason: ReasonRunning, Epoch: e.state.Epoch}, nil
	}
	kept := uint32(0)
	if asked == e.keptFor {
		kept = keptSlots
	}
	if req.Slots == promiseSlots {
		e.keptFor = asked
	}
	if until := now.Add(e.stretch(e.opt.PromiseTTL)); until.After(e.keepOff) {
		e.keepOff = until
	}
	return &peer.AskGrantReply{
		TtlMs: uint32(e.opt.PromiseTTL / time.Millisecond), Epoch: e.state.Epoch, Reason: ReasonPromised, Slots: kept,
	}, nil
}

// answerProbe tells whether this VM leads or may lead soon.
func (e *Elector) answerProbe(now time.Time) *peer.AskGrantReply {
	reply := &peer.AskGrantReply{Reason: ReasonAlive, Epoch: e.state.Epoch}
	if e.lease.ID != 0 || e.leads(now) || e.trying || now.Before(e.running) {
		reply.Reason = ReasonRunning
	}
	return reply
}

// handOver lets the leadership of a zone in which this VM does not stand lapse, because a VM of
// the zone is back and reaches the store.
func (e *Elector) handOver(now time.Time) {
	if e.opt.Home {
		return
	}
	e.resign = now.Add(2 * e.opt.TTL)
	e.lease.ID = 0
	e.looked = now
}

// OtherZoneError reports a request that reached the elector of another zone.
type OtherZoneError struct {
	Requested steering.ZoneName
	Zone      steering.ZoneName
}

// Error implements error.
func (e *OtherZoneError) Error() string {
	return "asked about " + string(e.Requested) + " at the elector of " + string(e.Zone)
}
