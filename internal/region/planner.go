package region

import (
	"slices"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// PlannerOptions are the limits of a Planner; zero values mean the defaults.
type PlannerOptions struct {
	StaleAfter   time.Duration // a measurement older than this keeps its last value
	RecoverAfter time.Duration // a lost region counts as lost for this long after its return
	Smoothing    time.Duration // time constant of the mean of demand and load
	PeakSpan     time.Duration // plans are for the highest mean demand of this span
}

func (o *PlannerOptions) setDefaults() {
	if o.StaleAfter <= 0 {
		o.StaleAfter = 45 * time.Second
	}
	if o.RecoverAfter <= 0 {
		o.RecoverAfter = 5 * time.Second
	}
	if o.PeakSpan <= 0 {
		o.PeakSpan = time.Minute
	}
	if o.Smoothing <= 0 {
		o.Smoothing = 10 * time.Second
	}
}

// Stats count what a Planner did.
type Stats struct {
	Plans     uint64 // computed
	Changes   uint64 // plans of an origin that moved traffic
	Reversals uint64 // changes of a share against the direction of its last change
}

// Planner computes the plans of all services of one VM, each from the one before. It is not
// safe for concurrent use.
type Planner struct {
	opt      PlannerOptions
	services map[steering.ServiceName]*history
	losses   losses
	started  time.Time
	stats    Stats
}

// NewPlanner returns a Planner without any history.
func NewPlanner(opt PlannerOptions) *Planner {
	opt.setDefaults()
	return &Planner{
		opt:      opt,
		services: make(map[steering.ServiceName]*history),
		losses:   losses{recover: opt.RecoverAfter, regions: make(map[steering.RegionName]*loss)},
	}
}

// Stats returns what the planner did so far.
func (p *Planner) Stats() Stats { return p.stats }

// Step computes the plan of each service of the configuration at now, which must not go back,
// and returns the plans with the inputs they follow from, sorted by service.
func (p *Planner) Step(now time.Time, seen Observation) ([]Plan, []Inputs) {
	if seen.Configuration == nil {
		return nil, nil
	}
	at := p.stamp(now)
	p.losses.note(at, seen.Lost)
	plans := make([]Plan, 0, len(seen.Configuration.Services))
	inputs := make([]Inputs, 0, len(seen.Configuration.Services))
	common := newCommon(at, &seen)
	for i := range seen.Configuration.Services {
		svc := &seen.Configuration.Services[i]
		h := p.history(svc.Name, &seen)
		in := p.inputs(common, svc, h, seen.service(svc.Name, i))
		plan := compute(&in, common.matrix(&in))
		p.stats.Plans++
		p.count(h.take(&plan))
		plans = append(plans, plan)
		inputs = append(inputs, in)
	}
	return plans, inputs
}

// stamp returns now on a clock that does not step with the wall clock.
func (p *Planner) stamp(now time.Time) time.Time {
	if p.started.IsZero() {
		p.started = now
	}
	return p.started.Round(0).Add(now.Sub(p.started)).UTC()
}

func (p *Planner) history(name steering.ServiceName, seen *Observation) *history {
	h := p.services[name]
	if h == nil {
		h = newHistory(seen.peerPlan(name))
		p.services[name] = h
	}
	return h
}

// common is what the inputs of all services of a step share.
type common struct {
	at       time.Time
	seen     *Observation
	links    []LinkInput
	regionOf map[steering.ZoneName]int
	byEnds   [][]*LinkInput // links by origin and region; nil before the first service
}

func newCommon(at time.Time, seen *Observation) *common {
	c := &common{at: at, seen: seen, links: seen.links(), regionOf: make(map[steering.ZoneName]int)}
	for i := range seen.Configuration.Platform.Regions {
		for _, z := range seen.Configuration.Platform.Regions[i].Zones {
			c.regionOf[z] = i
		}
	}
	return c
}

// matrix returns the links by origin and region, which are the same for all services.
func (c *common) matrix(in *Inputs) [][]*LinkInput {
	if c.byEnds == nil {
		c.byEnds = in.linkMatrix()
	}
	return c.byEnds
}

func (p *Planner) inputs(c *common, svc *steering.Service, h *history, so *ServiceObservation) Inputs {
	regions := c.seen.Configuration.Platform.Regions
	in := Inputs{
		At:       c.at,
		Service:  svc.Name,
		Revision: c.seen.Configuration.Revision,
		Epoch:    h.epoch + 1,
		Cap:      svc.ShiftCap,
		Deadline: shortestDeadline(svc),
		Regions:  make([]RegionInput, 0, len(regions)),
		Origins:  make([]OriginInput, 0, len(regions)),
		Links:    c.links,
	}
	slots := so.capacity(c.regionOf, len(regions), svc, c.at)
	for i := range regions {
		name := regions[i].Name
		reg := p.regionInput(c.at, svc, h, so.load(name, i), name)
		reg.Capacity = slots[i]
		in.Regions = append(in.Regions, reg)
		in.Origins = append(in.Origins, p.originInput(c.at, h, so.demand(name, i), name))
	}
	slices.SortFunc(in.Regions, func(a, b RegionInput) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(in.Origins, func(a, b OriginInput) int { return strings.Compare(string(a.Region), string(b.Region)) })
	return in
}

// regionInput returns the input of a region but for its capacity; seen may be nil.
func (p *Planner) regionInput(at time.Time, svc *steering.Service, h *history, seen *RegionLoad, name steering.RegionName) RegionInput {
	load := h.load(name)
	if seen != nil && at.Sub(seen.MeasuredAt) < p.opt.StaleAfter {
		load.add(at, seen.InUse, p.opt.Smoothing)
	}
	return RegionInput{
		Name:      name,
		Weight:    weightOf(svc, name),
		Carried:   load.value,
		Lost:      p.losses.isLost(name, at),
		DrainFrom: regionDrain(svc, name),
	}
}

// originInput returns the input of an origin; seen may be nil.
func (p *Planner) originInput(at time.Time, h *history, seen *OriginDemand, region steering.RegionName) OriginInput {
	o := h.origin(region)
	if seen != nil && at.Sub(seen.MeasuredAt) < p.opt.StaleAfter {
		o.demand.add(at, seen.Slots, p.opt.Smoothing)
		o.peak.add(at, o.demand.value, p.opt.PeakSpan)
		o.mbit = seen.MbitPerSlot
		o.classes = seen.Classes
	}
	return OriginInput{
		Region:      region,
		Demand:      o.peak.value(),
		MbitPerSlot: o.mbit,
		Classes:     o.classes,
		Previous:    o.shares,
		PreviousAt:  o.since,
		Moves:       o.moves,
	}
}

func (p *Planner) count(changes, reversals uint64) {
	p.stats.Changes += changes
	p.stats.Reversals += reversals
}
