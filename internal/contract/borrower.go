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

// GranteeOptions configure a Borrower; Book and Ask are needed.
type GranteeOptions struct {
	Pool         *SlotPool
	RequestGrant RequestGrantFunc
	ReturnGrant  ReturnGrantFunc // nil: grants are left to lapse
	// IsLeader says whether this VM leads a zone; it asks no grant there. nil: never.
	IsLeader        func(zone steering.ZoneName) bool
	Interval        time.Duration // between two looks at the demand
	CallTimeout     time.Duration
	RenewAfter      time.Duration // a grant older than this is asked for again
	IdleAfter       time.Duration // a grant without demand for so long is handed back
	MaxCallsPerStep int           // most calls started in one interval
	Seed            uint64        // of the jitter; 0: from the VM's name
	Now             func() time.Time

	countFromReply bool // a defect, for tests of the checks
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

// GranteeStats count what a Borrower did.
type GranteeStats struct {
	Requests       uint64 // calls of AskGrant
	Failed         uint64 // of those, without an answer
	GrantedSlots   uint64 // slots, summed over all answers
	ReturnedGrants uint64 // grants handed back
}

// Grantee keeps the grants of one VM in step with its demand.
type Grantee struct {
	opt GranteeOptions

	mu      sync.Mutex
	debts   map[Key]*debt
	random  *rand.Rand
	stats   GranteeStats
	request uint64 // last request_id
	calls   sync.WaitGroup
}

// NewGrantee returns a Borrower that holds nothing.
func NewGrantee(opt GranteeOptions) *Grantee {
	opt.setDefaults()
	return &Grantee{
		opt:    opt,
		debts:  make(map[Key]*debt),
		random: rand.New(rand.NewPCG(opt.Seed, 1)),
	}
}

// Stats returns what the borrower did so far.
func (b *Grantee) Stats() GranteeStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Run follows the demand of the book until ctx ends; then it hands its grants back.
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

// Step does one round of Run: it looks at the demand and starts the calls that are due.
func (b *Grantee) Step(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.opt.MaxCallsPerStep
	for _, key := range b.opt.Pool.Keys() {
		if b.opt.IsLeader != nil && b.opt.IsLeader(key.Zone) {
			continue
		}
		d := b.debt(key)
		d.observe(b.opt.Pool.account(key), now)
		if d.calling || left == 0 {
			continue
		}
		switch {
		case d.idle(now, b.opt.IdleAfter):
			b.giveBack(ctx, d, now)
			left--
		case d.due(now, b.opt.RenewAfter, b.opt.Interval):
			b.ask(ctx, d, now)
			left--
		}
	}
}

// pause returns the time to the next round, with jitter.
func (b *Grantee) pause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	half := b.opt.Interval / 2
	return half + time.Duration(b.random.Int64N(int64(b.opt.Interval)))
}

func (b *Grantee) debt(key Key) *debt {
	d := b.debts[key]
	if d == nil {
		d = &debt{key: key, need: need{headroom: true}}
		b.debts[key] = d
	}
	return d
}

// ask starts a call of AskGrant for d. A request whose answer did not come is repeated under its
// request_id while its grant could still live; the life counts from the first sending.
func (b *Grantee) ask(ctx context.Context, d *debt, now time.Time) {
	if d.pending == nil || now.Sub(d.pendingAt) > b.opt.RenewAfter {
		name, incarnation := b.opt.Pool.Self()
		b.request++
		d.pendingAt = now
		d.pending = &peer.AskGrantRequest{
			Holder: string(name), Incarnation: uint64(incarnation),
			Service: string(d.key.Service), Zone: string(d.key.Zone),
			Slots: uint32(d.want), GrantId: d.stated(b.opt.Pool.account(d.key)), RequestId: b.request,
		}
	}
	d.calling = true
	b.stats.Requests++
	req, askedAt := d.pending, d.pendingAt
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		reply, err := b.opt.RequestGrant(ctx, d.key.Zone, req)
		b.answered(d, askedAt, reply, err)
	})
}

func (b *Grantee) answered(d *debt, askedAt time.Time, reply *peer.AskGrantReply, err error) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	d.calling = false
	d.askedAt = now
	if err != nil {
		b.stats.Failed++
		return
	}
	if b.opt.countFromReply {
		askedAt = now
	}
	d.pending = nil
	if reply.GrantId == 0 {
		return
	}
	b.stats.GrantedSlots += uint64(reply.Slots)
	d.note()
	d.grant = reply.GrantId
	d.held = int64(reply.Slots)
	d.lapse = askedAt.Add(time.Duration(reply.TtlMs) * time.Millisecond)
	d.renewed = askedAt
	b.opt.Pool.setGrant(d.key, d.grant, d.held, now, d.lapse)
}

// giveBack stops using the grant of d and starts a call that returns it.
func (b *Grantee) giveBack(ctx context.Context, d *debt, now time.Time) {
	if over := b.opt.Pool.setGrant(d.key, d.grant, 0, now, now); over > 0 {
		b.opt.Pool.setGrant(d.key, d.grant, d.held, now, d.lapse)
		return
	}
	name, incarnation := b.opt.Pool.Self()
	req := &peer.ReturnGrantRequest{
		Holder: string(name), Incarnation: uint64(incarnation), GrantId: d.grant,
		Service: string(d.key.Service), Zone: string(d.key.Zone),
	}
	d.held, d.grant, d.lapse, d.above = 0, 0, now, 0
	d.pending = nil
	if b.opt.ReturnGrant == nil {
		return
	}
	d.calling = true
	b.stats.ReturnedGrants++
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		_, _ = b.opt.ReturnGrant(ctx, d.key.Zone, req) // an answer that is lost costs the grant's life
		b.mu.Lock()
		d.calling = false
		b.mu.Unlock()
	})
}

func (b *Grantee) returnAll(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.debts {
		if d.grant != 0 && now.Before(d.lapse) {
			b.giveBack(ctx, d, now)
		}
	}
}
