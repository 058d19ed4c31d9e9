package entry

import (
	"errors"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
)

// refusalRetryAfter is what a caller is told to wait after a refusal for want of room.
const refusalRetryAfter = time.Second

// placer implements request.Placer: the plan names the region, the contract a zone with a slot, the
// pool a server. A request whose region has no room waits; it is not moved beyond the plan.
type placer struct {
	self   Identity
	config func() *steering.Configuration
	table  *region.Table
	book   *contract.SlotPool
	pools  *pools
	rooms  *rooms
	flows  *flows
}

// Place implements request.Placer.
func (p *placer) Place(q *request.PlacementQuery) (*request.Placement, error) {
	cfg := p.config()
	if cfg == nil {
		return nil, &request.UnroutableError{Service: q.Service}
	}
	choice, ok := p.table.PickRegionForClass(q.Service, q.Origin, q.Operation.Class, q.Key)
	if !ok {
		return nil, &request.UnroutableError{Service: q.Service}
	}
	if choice.Region == "" {
		// The plan says that no region may take it within the shift cap: waiting would not help.
		return nil, &request.RefusedError{Service: q.Service, Constraint: choice.Constraint, RetryAfter: refusalRetryAfter}
	}
	search := &placement{placer: p, query: q, choice: choice}
	for _, zone := range p.zones(cfg, choice.Region, q.Key) {
		if placed := search.in(zone); placed != nil {
			placed.Revision = cfg.Revision
			return placed, nil
		}
	}
	if !search.anyServer {
		return nil, &request.UnroutableError{Service: q.Service}
	}
	return nil, p.noRoom(q, review.ConstraintContract, search.candidates)
}

// CapacityFreed implements request.Placer.
func (p *placer) CapacityFreed(service steering.ServiceName) <-chan struct{} {
	return p.rooms.wait(service)
}

// Capacity implements request.CapacityReporter: the slots that this VM may use now.
func (p *placer) Capacity(service steering.ServiceName) int {
	now := time.Now()
	sum := 0
	for _, key := range p.book.Keys() {
		if key.Service == service {
			sum += p.book.Usable(key.Service, key.Zone, now)
		}
	}
	return sum
}

func (p *placer) noRoom(q *request.PlacementQuery, bound review.Constraint, c []review.Candidate) error {
	return &request.NoCapacityError{Service: q.Service, Constraint: bound, RetryAfter: refusalRetryAfter, Candidates: c}
}

// zones returns the zones of a region in the order in which they are tried: this VM's own first, the
// others from a place that differs between requests.
func (p *placer) zones(cfg *steering.Configuration, name steering.RegionName, key uint64) []steering.ZoneName {
	for i := range cfg.Platform.Regions {
		if r := &cfg.Platform.Regions[i]; r.Name == name {
			return order(r.Zones, p.self.Zone, key)
		}
	}
	return nil
}

func order(zones []steering.ZoneName, own steering.ZoneName, key uint64) []steering.ZoneName {
	out := make([]steering.ZoneName, 0, len(zones))
	start := int(key % uint64(max(1, len(zones))))
	for i := range zones {
		zone := zones[(start+i)%len(zones)]
		if zone == own {
			out = append([]steering.ZoneName{zone}, out...)
			continue
		}
		out = append(out, zone)
	}
	return out
}

// placement is the search for one attempt's server.
type placement struct {
	placer     *placer
	query      *request.PlacementQuery
	choice     region.Choice
	candidates []review.Candidate
	anyServer  bool
}

// in returns a placement in zone, or nil and notes why not.
func (s *placement) in(zone steering.ZoneName) *request.Placement {
	q := s.query
	pool := s.placer.pools.get(q.Service, zone)
	if pool == nil || !pool.HasUsableServers() {
		s.reject(zone, "no server")
		return nil
	}
	s.anyServer = true
	permit, err := s.placer.book.Acquire(q.Service, zone, q.Now)
	if err != nil {
		s.reject(zone, "no slot under contract")
		return nil
	}
	pool.SetUsableSlots(s.placer.book.Usable(q.Service, zone, q.Now))
	res, err := pool.Acquire(upstream.Query{
		Class: q.Operation.Class, Exclude: q.Exclude, Hedge: q.Hedge, NoTrial: !q.Operation.Idempotent, Now: q.Now,
	})
	if err != nil {
		s.placer.book.Release(permit)
		s.rejectServers(zone, err)
		return nil
	}
	return s.placed(zone, permit, res)
}

func (s *placement) placed(zone steering.ZoneName, permit contract.Permit, res *upstream.Reservation) *request.Placement {
	p := s.placer
	count := p.flows.counter(flow{service: s.query.Service, origin: s.query.Origin, zone: zone})
	count.inFlight.Add(1)
	release := func(result request.AttemptResult) {
		count.inFlight.Add(-1)
		count.finished.Add(1)
		free := func() {
			p.book.Release(permit)
			res.Release(result, time.Now())
		}
		if mayStillRun(result.Failure) {
			time.AfterFunc(s.cancelGrace(), free)
			return
		}
		free()
	}
	return &request.Placement{
		Server:     res.Server,
		PlanEpoch:  s.choice.Epoch,
		Grant:      permit.Grant,
		Constraint: s.choice.Constraint,
		Candidates: append(s.candidates, res.Candidates...),
		Release:    release,
	}
}

// mayStillRun reports whether the server may be at work on an attempt that this VM gave up.
func mayStillRun(f request.Failure) bool {
	return f == request.FailureCancelled || f == request.FailureSilent
}

// cancelGrace is the time for which the slot of an attempt that was given up stays taken: until then the
// server may not have heard of it.
func (s *placement) cancelGrace() time.Duration {
	const margin = 25 * time.Millisecond
	grace := margin
	cfg := s.placer.config()
	if link := cfg.Platform.Link(s.placer.self.Region, s.choice.Region); link != nil {
		grace += link.Delay.Std()
	}
	return grace + cfg.Platform.ZoneDelay.Std()
}

func (s *placement) reject(zone steering.ZoneName, reason string) {
	s.candidates = append(s.candidates, review.Candidate{Name: string(zone), Reason: reason})
}

func (s *placement) rejectServers(zone steering.ZoneName, err error) {
	var none *upstream.NoServerError
	if errors.As(err, &none) && len(none.Candidates) > 0 {
		s.candidates = append(s.candidates, none.Candidates...)
		return
	}
	s.reject(zone, "no free server")
}
