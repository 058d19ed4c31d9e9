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
// callee not to take the zone over for a time, with slots it asks the callee to hand it over.
const (
	vouchSlots    = 0
	handoverSlots = 1
)

// Reasons in the answer to a request about a whole zone.
const (
	ReasonPromised = "promised" // the callee keeps off for ttl_ms
	ReasonRunning  = "running"  // the callee leads the zone or tries to
)

// StepVouch does one round of the part of Run that talks to the heirs: while the store lease is
// not renewed, it keeps the leadership going as long as every heir promises to keep off. A
// leadership that lapsed is not revived.
func (e *Elector) StepVouch(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	needed := e.vouchNeeded(now)
	heirs := e.record.Heirs
	epoch := e.state.Epoch
	e.mu.Unlock()
	if !needed || e.opt.Vouch == nil && len(heirs) > 0 {
		return
	}
	ttl := e.promises(ctx, heirs)
	if ttl <= 0 {
		return
	}
	after := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.opt.reviveByVouch && (e.state.Epoch != epoch || !e.leads(after)) {
		return
	}
	e.vouchTo = now.Add(ttl)
}

// vouchNeeded says whether the leadership would lapse soon. Promises count only if the store
// knows this VM's heirs.
func (e *Elector) vouchNeeded(now time.Time) bool {
	mine := e.state.VM == e.opt.Self && e.record.Epoch == e.state.Epoch && e.hasRead
	if !mine || now.Before(e.resign) || (!e.leads(now) && !e.opt.reviveByVouch) {
		return false
	}
	return e.leaseTo.Sub(now) < e.opt.TTL/2
}

// promises asks all heirs and returns the shortest promise, 0 if one is missing.
func (e *Elector) promises(ctx context.Context, heirs []vm.Name) time.Duration {
	least := e.opt.VouchTTL
	ctx, cancel := context.WithTimeout(ctx, e.opt.VouchTTL/4)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, heir := range heirs {
		calls.Go(func() {
			ttl := e.promise(ctx, heir, vouchSlots)
			mu.Lock()
			least = min(least, ttl)
			mu.Unlock()
		})
	}
	calls.Wait()
	return least
}

func (e *Elector) promise(ctx context.Context, to vm.Name, slots uint32) time.Duration {
	e.mu.Lock()
	e.stats.Vouches++
	e.mu.Unlock()
	reply, err := e.opt.Vouch(ctx, to, &peer.AskGrantRequest{
		Holder: string(e.opt.Self), Incarnation: uint64(e.opt.Incarnation),
		Zone: string(e.opt.Zone), Slots: slots,
	})
	if err != nil || reply.Reason != ReasonPromised {
		return 0
	}
	return time.Duration(reply.TtlMs) * time.Millisecond
}

func (e *Elector) askHandover(ctx context.Context, leader vm.Name) {
	if e.opt.Vouch != nil {
		e.promise(ctx, leader, handoverSlots)
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
	if e.lease.ID != 0 || e.leads(now) || e.trying || now.Before(e.running) {
		return &peer.AskGrantReply{Reason: ReasonRunning, Epoch: e.state.Epoch}, nil
	}
	if until := now.Add(e.stretch(e.opt.VouchTTL)); until.After(e.promised) {
		e.promised = until
	}
	return &peer.AskGrantReply{
		TtlMs: uint32(e.opt.VouchTTL / time.Millisecond), Epoch: e.state.Epoch, Reason: ReasonPromised,
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
