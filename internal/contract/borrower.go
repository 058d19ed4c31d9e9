package contract

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// RequestGrantFunc calls AskGrant at the leader of a zone.
type RequestGrantFunc func(ctx context.Context, zone steering.ZoneName, req *peer.AskGrantRequest) (*peer.AskGrantReply, error)

// ReturnGrantFunc calls ReturnGrant at the leader of a zone.
type ReturnGrantFunc func(ctx context.Context, zone steering.ZoneName, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error)

// GranteeOptions configure a Grantee; Pool and RequestGrant are required.
type GranteeOptions struct {
	Pool         *SlotPool
	RequestGrant RequestGrantFunc
	ReturnGrant  ReturnGrantFunc // nil: grants are left to expire
	// IsLeader reports whether this VM leads a zone, in which case it requests no grant there. nil: never.
	IsLeader        func(zone steering.ZoneName) bool
	Interval        time.Duration // between two checks of the demand
	CallTimeout     time.Duration
	RenewAfter      time.Duration // age at which a grant is requested again
	IdleAfter       time.Duration // time without demand after which a grant is returned
	MaxCallsPerStep int           // maximum number of calls started in one interval
	Seed            uint64        // of the jitter; 0: derived from the VM's name and incarnation
	Now             func() time.Time

	ttlFromResponse bool // a defect, which tests must detect
}

func (o *GranteeOptions) setDefaults() {
	if o.Interval <= 0 {
		o.Interval = 250 * time.Millisecond
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = time.Second
	}
	if o.RenewAfter <= 0 {
		o.RenewAfter = 2 * time.Second
	}
	if o.IdleAfter <= 0 {
		o.IdleAfter = time.Second
	}
	if o.MaxCallsPerStep <= 0 {
		o.MaxCallsPerStep = 32
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		name, incarnation := o.Pool.Self()
		o.Seed = uint64(incarnation)
		for _, c := range []byte(name) {
			o.Seed = o.Seed*31 + uint64(c)
		}
	}
}

// GranteeStats count the actions of a Grantee.
type GranteeStats struct {
	Requests       uint64 // calls of AskGrant
	Failed         uint64 // of those, calls without a response
	GrantedSlots   uint64 // sum over all responses
	ReturnedGrants uint64 // grants returned to their grantor
}

// Grantee keeps the grants of one VM in line with its demand.
type Grantee struct {
	opt GranteeOptions

	mu      sync.Mutex
	demands map[Key]*zoneDemand
	random  *rand.Rand
	stats   GranteeStats
	request uint64 // last request_id
	calls   sync.WaitGroup
}

// NewGrantee returns a Grantee without any grants.
func NewGrantee(opt GranteeOptions) *Grantee {
	opt.setDefaults()
	return &Grantee{
		opt:     opt,
		demands: make(map[Key]*zoneDemand),
		random:  rand.New(rand.NewPCG(opt.Seed, 1)),
	}
}

// Stats returns the counts so far.
func (b *Grantee) Stats() GranteeStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Run follows the demand of the pool until ctx ends; then it returns its grants.
func (b *Grantee) Run(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		b.Step(calls)
		select {
		case <-ctx.Done():
		case <-time.After(b.pause()):
		}
	}
	b.calls.Wait()
	b.returnAll(calls)
	b.calls.Wait()
}

// Step does one round of Run: it reads the demand and starts the calls that are due.
func (b *Grantee) Step(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.opt.MaxCallsPerStep
	for _, key := range b.opt.Pool.Keys() {
		if b.opt.IsLeader != nil && b.opt.IsLeader(key.Zone) {
			continue
		}
		d := b.demand(key)
		d.observe(b.opt.Pool.state(key), now)
		if d.calling || left == 0 {
			continue
		}
		switch {
		case d.isIdle(now, b.opt.IdleAfter):
			b.returnGrant(ctx, d, now)
			left--
		case d.isDue(now, b.opt.RenewAfter, b.opt.Interval):
			b.requestGrant(ctx, d, now)
			left--
		}
	}
}

// pause returns the time until the next round, with jitter.
func (b *Grantee) pause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	half := b.opt.Interval / 2
	return half + time.Duration(b.random.Int64N(int64(b.opt.Interval)))
}

func (b *Grantee) demand(key Key) *zoneDemand {
	d := b.demands[key]
	if d == nil {
		d = &zoneDemand{key: key, need: demandEstimate{withHeadroom: true}}
		b.demands[key] = d
	}
	return d
}

// requestGrant starts a call of AskGrant for d. A request without a response is retried under its request_id until
// RenewAfter has passed since the first attempt; the TTL counts from the first attempt.
func (b *Grantee) requestGrant(ctx context.Context, d *zoneDemand, now time.Time) {
	if d.pending == nil || now.Sub(d.pendingAt) > b.opt.RenewAfter {
		name, incarnation := b.opt.Pool.Self()
		b.request++
		d.pendingAt = now
		d.pending = &peer.AskGrantRequest{
			Holder: string(name), Incarnation: uint64(incarnation),
			Service: string(d.key.Service), Zone: string(d.key.Zone),
			Slots: uint32(d.want), GrantId: d.grantInUse(b.opt.Pool.state(d.key)), RequestId: b.request,
		}
	}
	d.calling = true
	b.stats.Requests++
	req, requestedAt := d.pending, d.pendingAt
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		reply, err := b.opt.RequestGrant(ctx, d.key.Zone, req)
		b.handleReply(d, requestedAt, reply, err)
	})
}

func (b *Grantee) handleReply(d *zoneDemand, requestedAt time.Time, reply *peer.AskGrantReply, err error) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	d.calling = false
	d.lastCallAt = now
	if err != nil {
		b.stats.Failed++
		return
	}
	if b.opt.ttlFromResponse {
		requestedAt = now
	}
	d.pending = nil
	if reply.GrantId == 0 {
		return
	}
	b.stats.GrantedSlots += uint64(reply.Slots)
	d.retainGrant()
	d.grant = reply.GrantId
	d.granted = int64(reply.Slots)
	d.expiry = requestedAt.Add(time.Duration(reply.TtlMs) * time.Millisecond)
	d.renewedAt = requestedAt
	b.opt.Pool.setGrant(d.key, d.grant, d.granted, now, d.expiry)
}

// returnGrant stops using the grant of d and starts a call that returns it.
func (b *Grantee) returnGrant(ctx context.Context, d *zoneDemand, now time.Time) {
	if over := b.opt.Pool.setGrant(d.key, d.grant, 0, now, now); over > 0 {
		b.opt.Pool.setGrant(d.key, d.grant, d.granted, now, d.expiry)
		return
	}
	name, incarnation := b.opt.Pool.Self()
	req := &peer.ReturnGrantRequest{
		Holder: string(name), Incarnation: uint64(incarnation), GrantId: d.grant,
		Service: string(d.key.Service), Zone: string(d.key.Zone),
	}
	d.granted, d.grant, d.expiry, d.drainingGrant = 0, 0, now, 0
	d.pending = nil
	if b.opt.ReturnGrant == nil {
		return
	}
	d.calling = true
	b.stats.ReturnedGrants++
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		_, _ = b.opt.ReturnGrant(ctx, d.key.Zone, req) // if the call is lost, the slots stay reserved until the grant expires
		b.mu.Lock()
		d.calling = false
		b.mu.Unlock()
	})
}

func (b *Grantee) returnAll(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.demands {
		if d.grant != 0 && now.Before(d.expiry) {
			b.returnGrant(ctx, d, now)
		}
	}
}
