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
	// DefaultTTL is the time for which a grant is valid.
	DefaultTTL = 6 * time.Second
	// DefaultDrift is the fraction by which a VM's clock may run fast or slow.
	DefaultDrift = 0.01
	// DefaultTick is the interval at which expired slots return to the grantor's own use.
	DefaultTick = 200 * time.Millisecond

	holderRetention = 30 * time.Second       // after the last request of a holder
	wantTTL         = 5 * time.Second        // time for which a demand counts that is not reported again
	floorTTL        = 24 * time.Hour         // validity of a floor that needs no renewal
	minTTL          = 200 * time.Millisecond // shorter grants are not made
)

// Reasons in an AskGrantReply.
const (
	ReasonNone     = "none"     // all requested slots are granted
	ReasonContract = "contract" // other holders have the rest
	ReasonLeader   = "leader"   // this VM may not grant slots of the zone
	ReasonStale    = "stale"    // a later request of the holder was received
)

// Leadership is the right to use and grant the slots of a zone above its floor.
type Leadership struct {
	Epoch uint64    // fencing epoch
	Until time.Time // this VM must not use the right from this time on
	Held  bool
}

// GrantorOptions configure a Grantor; Zone, Pool and Leadership are required.
type GrantorOptions struct {
	Zone       steering.ZoneName
	Pool       *SlotPool
	Leadership func(now time.Time) Leadership
	// FloorUntil returns when this VM must stop using its part of the floor, unless FloorUntil returns a later time
	// before then. nil: never.
	FloorUntil func(now time.Time) time.Time
	// IsMember reports whether a holder is in Zone; such holders have precedence. nil: none is.
	IsMember func(holder vm.Name) bool
	TTL      time.Duration    // of a grant
	Drift    float64          // fraction by which a clock may run fast or slow
	Tick     time.Duration    // interval of Run
	Now      func() time.Time // clock of this VM

	ignoreReserved bool // a defect, which tests must detect
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

// Grantor keeps the ledger of a zone's slots on one VM. The VM's part of the floor is for its own use and is never
// granted. While the VM leads the zone it grants the slots above the floor and uses those that it has not granted.
// It is safe for concurrent use.
type Grantor struct {
	opt GrantorOptions

	mu      sync.Mutex
	ledgers map[steering.ServiceName]*ledger
	nextID  uint64

	ownPart    float64 // fraction of the floor
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

// Capacity is the number of slots that a zone has for a service.
type Capacity struct {
	Slots      int     // of the zone's upstreams that accept work
	FloorShare float64 // of Slots, 0 to 1, that never depends on a lease
}

// SetCapacity sets the capacity of the zone for service. A lower capacity shrinks later grants, not those already made.
func (g *Grantor) SetCapacity(service steering.ServiceName, c Capacity) {
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(service)
	l.slots = int64(max(0, c.Slots))
	l.share = c.FloorShare
	l.own, l.others = floorSlots(l.slots, l.share, g.ownPart, g.othersPart)
	g.updateOwnSlots(l, now)
}

// SetFloorParts sets which fraction of the zone's floor belongs to this VM and which to other VMs, each 0 to 1. It is
// in force when the call returns.
func (g *Grantor) SetFloorParts(own, others float64) {
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownPart, g.othersPart = own, others
	for _, l := range g.ledgers {
		l.own, l.others = floorSlots(l.slots, l.share, own, others)
		g.updateOwnSlots(l, now)
	}
}

// Run returns expired slots to the VM's own use until ctx ends.
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
		l.removeExpired(now)
		if held { // otherwise the Grantee reads and resets the peak
			l.ownWant = l.need.update(g.opt.Pool.state(l.key))
		}
		g.updateOwnSlots(l, now)
	}
}

// AskGrant handles a holder's request for slots of the zone. A retry with the same request_id gets the same reply; the
// holder counts the TTL of the grant from before its first attempt.
func (g *Grantor) AskGrant(_ context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	if steering.ZoneName(req.Zone) != g.opt.Zone {
		return nil, &WrongZoneError{Requested: steering.ZoneName(req.Zone), Zone: g.opt.Zone}
	}
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(steering.ServiceName(req.Service))
	l.removeExpired(now)
	id := holderID{vm.Name(req.Holder), vm.Incarnation(req.Incarnation)}
	grants := l.grantsOf(id)
	switch {
	case grants.reply != nil && req.RequestId == grants.requestID:
		return grants.reply, nil
	case req.RequestId < grants.requestID:
		return &peer.AskGrantReply{Reason: ReasonStale}, nil
	}
	grants.requestID = req.RequestId
	grants.requestedAt = now
	grants.want = int64(req.Slots)
	grants.member = g.opt.IsMember(id.name)
	grants.confirmGrant(req.GrantId, now.Add(stretch(g.opt.TTL, g.opt.Drift)))
	grants.reply = g.decideGrant(l, grants, now)
	return grants.reply, nil
}

// ReturnGrant ends a grant that its holder no longer uses.
func (g *Grantor) ReturnGrant(_ context.Context, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error) {
	if steering.ZoneName(req.Zone) != g.opt.Zone {
		return nil, &WrongZoneError{Requested: steering.ZoneName(req.Zone), Zone: g.opt.Zone}
	}
	now := g.opt.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ledger(steering.ServiceName(req.Service))
	grants := l.holders[holderID{vm.Name(req.Holder), vm.Incarnation(req.Incarnation)}]
	if grants == nil || len(grants.issues) == 0 || grants.issues[len(grants.issues)-1].id != req.GrantId {
		return &peer.ReturnGrantReply{}, nil
	}
	grants.issues = nil
	grants.want = 0
	grants.reply = nil
	g.updateOwnSlots(l, now)
	return &peer.ReturnGrantReply{Accepted: true}, nil
}

// decideGrant decides on the request that was just stored in grants.
func (g *Grantor) decideGrant(l *ledger, grants *holderGrants, now time.Time) *peer.AskGrantReply {
	lead := g.leadership(now)
	total, ttl := g.grantableSlots(l, lead, now)
	if !lead.Held {
		return &peer.AskGrantReply{Reason: ReasonLeader, Epoch: lead.Epoch}
	}
	free := total - l.reserved(now, grants)
	slots := max(0, min(grants.want, l.fairShare(total, grants, now), free))
	if ttl < minTTL {
		slots = 0
	}
	g.nextID++
	expiry := now.Add(stretch(ttl, g.opt.Drift))
	grants.issues = append(grants.issues, issue{id: g.nextID, slots: slots, expiry: expiry})
	if over := g.updateOwnSlots(l, now); over > 0 {
		slots = max(0, slots-over)
		grants.issues[len(grants.issues)-1].slots = slots
		g.updateOwnSlots(l, now)
	}
	reply := &peer.AskGrantReply{
		GrantId: g.nextID, Slots: uint32(slots), TtlMs: uint32(ttl / time.Millisecond),
		Epoch: lead.Epoch, Reason: ReasonNone,
	}
	if slots < grants.want {
		reply.Reason = ReasonContract
	}
	return reply
}

// grantableSlots returns the slots that this VM may grant, or use above its floor, at now, and the longest TTL of a
// grant, which never exceeds the leadership.
func (g *Grantor) grantableSlots(l *ledger, lead Leadership, now time.Time) (int64, time.Duration) {
	if !lead.Held {
		return 0, 0
	}
	return max(0, l.slots-l.own-l.others), min(g.opt.TTL, lead.Until.Sub(now))
}

// updateOwnSlots gives this VM its floor and the slots that are not granted to others. It returns by how many the slots
// in use exceed that.
func (g *Grantor) updateOwnSlots(l *ledger, now time.Time) int64 {
	lead := g.leadership(now)
	total, _ := g.grantableSlots(l, lead, now)
	reserved := l.reserved(now, nil)
	if g.opt.ignoreReserved {
		reserved = 0
	}
	// Slots of the floor that were above it before a change may still be granted.
	floor := timedSlots{max(0, min(l.own, l.slots-l.others-reserved)), now.Add(floorTTL)}
	if g.opt.FloorUntil != nil {
		floor.until = g.opt.FloorUntil(now)
	}
	if !now.Before(floor.until) {
		floor.slots = 0
	}
	return g.opt.Pool.setOwn(l.key, floor, timedSlots{max(0, total-reserved), lead.Until}, now)
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

// stretch returns the time that a fast clock must count to be sure that a slow clock has counted d; each clock may be
// off by the fraction drift.
func stretch(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift*2.1) + time.Millisecond
}

// firstGrantID returns the first grant ID of an incarnation, so that IDs differ between incarnations of a grantor.
func firstGrantID(incarnation vm.Incarnation) uint64 {
	const idsPerIncarnation = 1 << 24
	return uint64(incarnation) * idsPerIncarnation
}
