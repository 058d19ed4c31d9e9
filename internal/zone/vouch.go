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
	vouchSlots    = 0 // the asker leads
	handoverSlots = 1
	reviveSlots   = 2 // the asker's leadership lapsed
)

// keptSlots in an answer says that the callee promised before for the same leadership, which
// GrantId of the request names, and did not run since.
const keptSlots = 1

// Reasons in the answer to a request about a whole zone.
const (
	ReasonPromised = "promised" // the callee keeps off for ttl_ms
	ReasonRunning  = "running"  // the callee leads the zone or tries to
)

// pledge names the leadership for which an heir promised to keep off.
type pledge struct {
	holder      vm.Name
	incarnation vm.Incarnation
	epoch       uint64
}

// answer is what an heir said.
type answer struct {
	ttl  time.Duration // 0: no promise
	kept bool          // it promised before for the same leadership and did not run since
}

// StepVouch does one round of the part of Run that talks to the heirs: when the store lease is not
// renewed, the leadership goes on as long as every heir promises to keep off. After a
// gap it goes on only if every heir promised before and never ran since, because nobody else may
// have led then.
func (e *Elector) StepVouch(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	needed := e.vouchNeeded(now)
	heirs := e.record.Heirs
	epoch := e.state.Epoch
	kind := uint32(reviveSlots)
	if e.leads(now) {
		kind = vouchSlots
	}
	e.mu.Unlock()
	if !needed || e.opt.Vouch == nil && len(heirs) > 0 {
		return
	}
	least := e.promises(ctx, heirs, kind, epoch)
	after := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.state.Epoch == epoch && e.vouchNeeded(after)
	if least.ttl > 0 && same && (e.leads(after) || least.kept || e.opt.reviveByVouch) {
		e.vouchTo = now.Add(least.ttl)
	}
}

// vouchNeeded says whether the promises lapse soon or have lapsed. They are asked for also while
// the store is up, so that an outage that begins together with a cut finds them given. They count
// only if the store knows this VM's heirs.
func (e *Elector) vouchNeeded(now time.Time) bool {
	mine := e.state.VM == e.opt.Self && e.state.Epoch != 0
	known := e.hasRead && e.record.Leader == e.opt.Self && e.record.Epoch == e.state.Epoch
	if !mine || !known || now.Before(e.resign) || e.trying {
		return false
	}
	if !e.leads(now) && (now.Before(e.promised) || len(e.record.Heirs) == 0) {
		return false
	}
	return e.vouchTo.Sub(now) < e.opt.VouchTTL*3/4
}

// promises asks all heirs and returns what holds of each answer.
func (e *Elector) promises(ctx context.Context, heirs []vm.Name, kind uint32, epoch uint64) answer {
	least := answer{ttl: e.opt.VouchTTL, kept: true}
	ctx, cancel := context.WithTimeout(ctx, e.opt.VouchTTL/4)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, heir := range heirs {
		calls.Go(func() {
			a := e.promise(ctx, heir, kind, epoch)
			mu.Lock()
			defer mu.Unlock()
			least.ttl = min(least.ttl, a.ttl)
			least.kept = least.kept && a.kept
		})
	}
	calls.Wait()
	return least
}

func (e *Elector) promise(ctx context.Context, to vm.Name, kind uint32, epoch uint64) answer {
	e.mu.Lock()
	e.stats.Vouches++
	e.mu.Unlock()
	reply, err := e.opt.Vouch(ctx, to, &peer.AskGrantRequest{
		Holder: string(e.opt.Self), Incarnation: uint64(e.opt.Incarnation),
		Zone: string(e.opt.Zone), Slots: kind, GrantId: epoch,
	})
	if err != nil || reply.Reason != ReasonPromised {
		return answer{}
	}
	return answer{ttl: time.Duration(reply.TtlMs) * time.Millisecond, kept: reply.Slots == keptSlots}
}

func (e *Elector) askHandover(ctx context.Context, leader vm.Name) {
	if e.opt.Vouch != nil {
		e.promise(ctx, leader, handoverSlots, 0)
	}
}

// AnswerVouch answers an AskGrantRequest that names no service.
func (e *Elector) AnswerVouch(_ context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	if steering.ZoneName(req.Zone) != e.opt.Zone {
		return nil, &OtherZoneError{Asked: steering.ZoneName(req.Zone), Zone: e.opt.Zone}
	}
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.Slots == handoverSlots {
		e.handOver(now)
	}
	asked := pledge{vm.Name(req.Holder), vm.Incarnation(req.Incarnation), req.GrantId}
	if e.lease.ID != 0 || e.leads(now) || e.trying || now.Before(e.running) || asked.epoch < e.seen {
		return &peer.AskGrantReply{Reason: ReasonRunning, Epoch: e.state.Epoch}, nil
	}
	kept := uint32(0)
	if asked == e.keptFor {
		kept = keptSlots
	}
	if req.Slots == vouchSlots {
		e.keptFor = asked
	}
	if until := now.Add(e.stretch(e.opt.VouchTTL)); until.After(e.promised) {
		e.promised = until
	}
	return &peer.AskGrantReply{
		TtlMs: uint32(e.opt.VouchTTL / time.Millisecond), Epoch: e.state.Epoch, Reason: ReasonPromised, Slots: kept,
	}, nil
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
	Asked steering.ZoneName
	Zone  steering.ZoneName
}

// Error implements error.
func (e *OtherZoneError) Error() string {
	return "asked about " + string(e.Asked) + " at the elector of " + string(e.Zone)
}
