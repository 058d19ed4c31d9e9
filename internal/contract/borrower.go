package contract

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// AskFunc calls AskGrant at the leader of a zone.
type AskFunc func(ctx context.Context, zone steering.ZoneName, req *peer.AskGrantRequest) (*peer.AskGrantReply, error)

// ReturnFunc calls ReturnGrant at the leader of a zone.
type ReturnFunc func(ctx context.Context, zone steering.ZoneName, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error)

// BorrowerOptions configure a Borrower; Book and Ask are needed.
type BorrowerOptions struct {
	Book   *Book
	Ask    AskFunc
	Return ReturnFunc // nil: grants are left to lapse
	// Leads says whether this VM leads a zone; it asks no grant there. nil: never.
	Leads       func(zone steering.ZoneName) bool
	Interval    time.Duration // between two looks at the demand
	CallTimeout time.Duration
	RenewAfter  time.Duration // a grant older than this is asked for again
	IdleAfter   time.Duration // a grant without demand for so long is handed back
	AsksPerStep int           // most calls started in one interval
	Seed        uint64        // of the jitter; 0: from the VM's name
	Now         func() time.Time

	countFromReply bool // a defect, for tests of the checks
}

func (o *BorrowerOptions) setDefaults() {
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
	if o.AsksPerStep <= 0 {
		o.AsksPerStep = 32
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		name, incarnation := o.Book.Self()
		o.Seed = uint64(incarnation)
		for _, c := range []byte(name) {
			o.Seed = o.Seed*31 + uint64(c)
		}
	}
}

// BorrowerStats count what a Borrower did.
type BorrowerStats struct {
	Asked    uint64 // calls of AskGrant
	Failed   uint64 // of those, without an answer
	Granted  uint64 // slots, summed over all answers
	Returned uint64 // grants handed back
}

// Borrower keeps the grants of one VM in step with its demand.
type Borrower struct {
	opt BorrowerOptions

	mu      sync.Mutex
	debts   map[Key]*debt
	random  *rand.Rand
	stats   BorrowerStats
	request uint64 // last request_id
	calls   sync.WaitGroup
}

// NewBorrower returns a Borrower that holds nothing.
func NewBorrower(opt BorrowerOptions) *Borrower {
	opt.setDefaults()
	return &Borrower{
		opt:    opt,
		debts:  make(map[Key]*debt),
		random: rand.New(rand.NewPCG(opt.Seed, 1)),
	}
}

// Stats returns what the borrower did so far.
func (b *Borrower) Stats() BorrowerStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Run follows the demand of the book until ctx ends; then it hands its grants back.
func (b *Borrower) Run(ctx context.Context) {
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
func (b *Borrower) Step(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.opt.AsksPerStep
	for _, key := range b.opt.Book.Keys() {
		if b.opt.Leads != nil && b.opt.Leads(key.Zone) {
			continue
		}
		d := b.debt(key)
		d.observe(b.opt.Book.account(key), now)
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
func (b *Borrower) pause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	half := b.opt.Interval / 2
	return half + time.Duration(b.random.Int64N(int64(b.opt.Interval)))
}

func (b *Borrower) debt(key Key) *debt {
	d := b.debts[key]
	if d == nil {
		d = &debt{key: key, need: need{headroom: true}}
		b.debts[key] = d
	}
	return d
}

// ask starts a call of AskGrant for d. A request whose answer did not come is repeated under its
// request_id while its grant could still live; the life counts from the first sending.
func (b *Borrower) ask(ctx context.Context, d *debt, now time.Time) {
	if d.pending == nil || now.Sub(d.pendingAt) > b.opt.RenewAfter {
		name, incarnation := b.opt.Book.Self()
		b.request++
		d.pendingAt = now
		d.pending = &peer.AskGrantRequest{
			Holder: string(name), Incarnation: uint64(incarnation),
			Service: string(d.key.Service), Zone: string(d.key.Zone),
			Slots: uint32(d.want), GrantId: d.stated(b.opt.Book.account(d.key)), RequestId: b.request,
		}
	}
	d.calling = true
	b.stats.Asked++
	req, askedAt := d.pending, d.pendingAt
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		reply, err := b.opt.Ask(ctx, d.key.Zone, req)
		b.answered(d, askedAt, reply, err)
	})
}

func (b *Borrower) answered(d *debt, askedAt time.Time, reply *peer.AskGrantReply, err error) {
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
	b.stats.Granted += uint64(reply.Slots)
	d.note()
	d.grant = reply.GrantId
	d.held = int64(reply.Slots)
	d.lapse = askedAt.Add(time.Duration(reply.TtlMs) * time.Millisecond)
	d.renewed = askedAt
	b.opt.Book.setGrant(d.key, d.grant, d.held, now, d.lapse)
}

// giveBack stops using the grant of d and starts a call that returns it.
func (b *Borrower) giveBack(ctx context.Context, d *debt, now time.Time) {
	if over := b.opt.Book.setGrant(d.key, d.grant, 0, now, now); over > 0 {
		b.opt.Book.setGrant(d.key, d.grant, d.held, now, d.lapse)
		return
	}
	name, incarnation := b.opt.Book.Self()
	req := &peer.ReturnGrantRequest{
		Holder: string(name), Incarnation: uint64(incarnation), GrantId: d.grant,
		Service: string(d.key.Service), Zone: string(d.key.Zone),
	}
	d.held, d.grant, d.lapse, d.above = 0, 0, now, 0
	d.pending = nil
	if b.opt.Return == nil {
		return
	}
	d.calling = true
	b.stats.Returned++
	b.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, b.opt.CallTimeout)
		defer cancel()
		_, _ = b.opt.Return(ctx, d.key.Zone, req) // an answer that is lost costs the grant's life
		b.mu.Lock()
		d.calling = false
		b.mu.Unlock()
	})
}

func (b *Borrower) returnAll(ctx context.Context) {
	now := b.opt.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.debts {
		if d.grant != 0 && now.Before(d.lapse) {
			b.giveBack(ctx, d, now)
		}
	}
}
