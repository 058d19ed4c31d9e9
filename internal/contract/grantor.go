package contract

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	// DefaultTTL is the life of a grant.
	DefaultTTL = 6 * time.Second
	// DefaultDrift is the part by which a VM's clock may run fast or slow.
	DefaultDrift = 0.01
	// DefaultTick is the interval at which lapsed slots go back to their zone.
	DefaultTick = 200 * time.Millisecond

	forgetAfter = 30 * time.Second       // of a holder that does not ask
	wantLife    = 5 * time.Second        // a want that is not repeated counts for so long
	unbounded   = 24 * time.Hour         // life of a floor that needs no renewal
	minTTL      = 200 * time.Millisecond // of a grant worth making
)

// Reasons in an AskGrantReply.
const (
	ReasonNone     = "none"     // all that was wanted is granted
	ReasonContract = "contract" // others hold the rest
	ReasonLeader   = "leader"   // this VM may not grant slots of the zone
	ReasonStale    = "stale"    // a later request of the holder is known
)

// Leadership is the right to the slots of a zone above its floor.
type Leadership struct {
	Epoch uint64    // fencing
	Until time.Time // this VM must not use the right from then on
	Held  bool
}

// GrantorOptions configure a Grantor; Zone, Book and Leadership are needed.
type GrantorOptions struct {
	Zone       steering.ZoneName
	Pool       *SlotPool
	Leadership func(now time.Time) Leadership
	// FloorUntil returns when this VM must stop using its part of the floor unless it says later
	// by then. nil: never.
	FloorUntil func(now time.Time) time.Time
	// IsMember says whether a holder stands in Zone; such holders go first. nil: none does.
	IsMember func(holder vm.Name) bool
	TTL      time.Duration    // of a grant
	Drift    float64          // part by which a clock may run fast or slow
	Tick     time.Duration    // interval of Run
	Now      func() time.Time // clock of this VM

	ignoreLapse bool // a defect, for tests of the checks
}

func (o *GrantorOptions) setDefaults() {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Drift <= 0 {
		o.Drift = DefaultDrift
	}
	if o.Tick <= 0 {
		o.Tick = DefaultTick
	}
	if o.IsMember == nil {
		o.IsMember = func(vm.Name) bool { return false }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Grantor keeps the ledger of a zone's slots on one VM. The VM's part of the floor is its own to
// use and is never granted. While the VM leads the zone it grants the slots above the
// floor, and uses what it has not granted. It is safe for concurrent use.
type Grantor struct {
	opt GrantorOptions

	mu      sync.Mutex
	ledgers map[steering.ServiceName]*ledger
	nextID  uint64

	ownPart    float64 // of the floor
	othersPart float64
}

// NewGrantor returns a Grantor without capacity.
func NewGrantor(opt GrantorOptions) *Grantor {
	opt.setDefaults()
	_, incarnation := opt.Pool.Self()
	return &Grantor{
		opt:     opt,
		ledgers: make(map[steering.ServiceName]*ledger),
		nextID:  firstGrantID(incarnation),

		othersPart: 1,
	}
}

// Capacity is what a zone has of a service.
type Capacity struct {
	Slots      int     // of the zone's upstreams that take work
	FloorShare float64 // of Slots, 0 to 1, that never hangs on a lease
}

// SetCapacity says what the zone has of service. Less than before shrinks what is granted next.
func (g *Grantor) SetCapacity(service steering.ServiceName, c Capacity) {
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(service)
	l.slots = int64(max(0, c.Slots))
	l.share = c.FloorShare
	l.own, l.others = floorSlots(l.slots, l.share, g.ownPart, g.othersPart)
	g.settle(l, now)
}

// SetFloorParts says which part of the zone's floor is this VM's and which is other VMs', each 0
// to 1. It is in force when the call returns.
func (g *Grantor) SetFloorParts(own, others float64) {
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownPart, g.othersPart = own, others
	for _, l := range g.ledgers {
		l.own, l.others = floorSlots(l.slots, l.share, own, others)
		g.settle(l, now)
	}
}

// Run returns lapsed slots to the VM's own use until ctx ends.
func (g *Grantor) Run(ctx context.Context) {
	t := time.NewTicker(g.opt.Tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.Tick(g.opt.Now())
		}
	}
}

// Tick does one round of Run.
func (g *Grantor) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.leadership(now).Held
	for _, l := range g.ledgers {
		l.expire(now)
		if held { // else the peak is the Borrower's to read
			l.ownWant = l.need.read(g.opt.Pool.account(l.key))
		}
		g.settle(l, now)
	}
}

// AskGrant answers a holder's request for slots of the zone. A repeated request_id gets the same
// answer; the holder counts the life of the grant from before it first asked.
func (g *Grantor) AskGrant(_ context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	if steering.ZoneName(req.Zone) != g.opt.Zone {
		return nil, &WrongZoneError{Requested: steering.ZoneName(req.Zone), Zone: g.opt.Zone}
	}
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(steering.ServiceName(req.Service))
	l.expire(now)
	id := holderID{vm.Name(req.Holder), vm.Incarnation(req.Incarnation)}
	loan := l.loan(id)
	switch {
	case loan.reply != nil && req.RequestId == loan.request:
		return loan.reply, nil
	case req.RequestId < loan.request:
		return &peer.AskGrantReply{Reason: ReasonStale}, nil
	}
	loan.request = req.RequestId
	loan.askedAt = now
	loan.want = int64(req.Slots)
	loan.member = g.opt.IsMember(id.name)
	loan.confirm(req.GrantId, now.Add(stretch(g.opt.TTL, g.opt.Drift)))
	loan.reply = g.grant(l, loan, now)
	return loan.reply, nil
}

// ReturnGrant takes back a grant that its holder no longer uses.
func (g *Grantor) ReturnGrant(_ context.Context, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error) {
	if steering.ZoneName(req.Zone) != g.opt.Zone {
		return nil, &WrongZoneError{Requested: steering.ZoneName(req.Zone), Zone: g.opt.Zone}
	}
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(steering.ServiceName(req.Service))
	loan := l.loans[holderID{vm.Name(req.Holder), vm.Incarnation(req.Incarnation)}]
	if loan == nil || len(loan.issues) == 0 || loan.issues[len(loan.issues)-1].id != req.GrantId {
		return &peer.ReturnGrantReply{}, nil
	}
	loan.issues = nil
	loan.want = 0
	loan.reply = nil
	g.settle(l, now)
	return &peer.ReturnGrantReply{Accepted: true}, nil
}

// grant decides on the request just noted in loan.
func (g *Grantor) grant(l *ledger, loan *loan, now time.Time) *peer.AskGrantReply {
	lead := g.leadership(now)
	total, ttl := g.rights(l, lead, now)
	if !lead.Held {
		return &peer.AskGrantReply{Reason: ReasonLeader, Epoch: lead.Epoch}
	}
	free := total - l.reserved(now, loan)
	slots := max(0, min(loan.want, l.fair(total, loan, now), free))
	if ttl < minTTL {
		slots = 0
	}
	g.nextID++
	lapse := now.Add(stretch(ttl, g.opt.Drift))
	loan.issues = append(loan.issues, issue{id: g.nextID, slots: slots, lapse: lapse})
	if over := g.settle(l, now); over > 0 {
		slots = max(0, slots-over)
		loan.issues[len(loan.issues)-1].slots = slots
		g.settle(l, now)
	}
	reply := &peer.AskGrantReply{
		GrantId: g.nextID, Slots: uint32(slots), TtlMs: uint32(ttl / time.Millisecond),
		Epoch: lead.Epoch, Reason: ReasonNone,
	}
	if slots < loan.want {
		reply.Reason = ReasonContract
	}
	return reply
}

// rights returns the slots that this VM may grant, or use above its floor, at now, and the
// longest life of a grant, which never outlives the leadership.
func (g *Grantor) rights(l *ledger, lead Leadership, now time.Time) (int64, time.Duration) {
	if !lead.Held {
		return 0, 0
	}
	return max(0, l.slots-l.own-l.others), min(g.opt.TTL, lead.Until.Sub(now))
}

// settle gives this VM its floor and what is not granted to others. It returns by how many slots
// its use exceeds that.
func (g *Grantor) settle(l *ledger, now time.Time) int64 {
	lead := g.leadership(now)
	total, _ := g.rights(l, lead, now)
	lent := l.reserved(now, nil)
	if g.opt.ignoreLapse {
		lent = 0
	}
	// A part of the floor that was above it before may still be lent.
	floor := term{max(0, min(l.own, l.slots-l.others-lent)), now.Add(unbounded)}
	if g.opt.FloorUntil != nil {
		floor.until = g.opt.FloorUntil(now)
	}
	if !now.Before(floor.until) {
		floor.slots = 0
	}
	return g.opt.Pool.setHome(l.key, floor, term{max(0, total-lent), lead.Until}, now)
}

func (g *Grantor) leadership(now time.Time) Leadership {
	lead := g.opt.Leadership(now)
	lead.Held = lead.Held && now.Before(lead.Until)
	return lead
}

func (g *Grantor) ledger(service steering.ServiceName) *ledger {
	l := g.ledgers[service]
	if l == nil {
		l = newLedger(Key{service, g.opt.Zone})
		g.ledgers[service] = l
	}
	return l
}

// stretch returns what a fast clock must count to be sure that a slow one counted d; each may be
// off by the part drift.
func stretch(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift*2.1) + time.Millisecond
}

// firstGrantID returns ids that differ between the lives of a grantor.
func firstGrantID(incarnation vm.Incarnation) uint64 {
	const idsPerLife = 1 << 24
	return uint64(incarnation) * idsPerLife
}
