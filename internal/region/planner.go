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
	var plans []Plan
	var inputs []Inputs
	for i := range seen.Configuration.Services {
		svc := &seen.Configuration.Services[i]
		h := p.history(svc.Name, &seen)
		in := p.inputs(at, svc, h, &seen)
		plan := Compute(in)
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

func (p *Planner) inputs(at time.Time, svc *steering.Service, h *history, seen *Observation) Inputs {
	so := seen.service(svc.Name)
	platform := &seen.Configuration.Platform
	in := Inputs{
		At:       at,
		Service:  svc.Name,
		Revision: seen.Configuration.Revision,
		Epoch:    h.epoch + 1,
		Cap:      svc.ShiftCap,
		Deadline: shortestDeadline(svc),
	}
	for i := range platform.Regions {
		reg := &platform.Regions[i]
		in.Regions = append(in.Regions, p.regionInput(at, svc, h, so, reg))
		in.Origins = append(in.Origins, p.originInput(at, h, so, reg.Name))
	}
	for i := range platform.Links {
		l := &platform.Links[i]
		in.Links = append(in.Links, LinkInput{From: l.From, To: l.To, Delay: l.Delay, RoomMbit: seen.room(l.From, l.To)})
	}
	slices.SortFunc(in.Regions, func(a, b RegionInput) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(in.Origins, func(a, b OriginInput) int { return strings.Compare(string(a.Region), string(b.Region)) })
	return in
}

func (p *Planner) regionInput(at time.Time, svc *steering.Service, h *history, so *ServiceObservation, reg *steering.Region) RegionInput {
	load := h.load(reg.Name)
	if seen := so.load(reg.Name); seen != nil && at.Sub(seen.MeasuredAt) < p.opt.StaleAfter {
		load.add(at, seen.InUse, p.opt.Smoothing)
	}
	return RegionInput{
		Name:      reg.Name,
		Weight:    weightOf(svc, reg.Name),
		Capacity:  so.capacity(reg, svc, at),
		Carried:   load.value,
		Lost:      p.losses.isLost(reg.Name, at),
		DrainFrom: regionDrain(svc, reg.Name),
	}
}

func (p *Planner) originInput(at time.Time, h *history, so *ServiceObservation, region steering.RegionName) OriginInput {
	o := h.origin(region)
	if seen := so.demand(region); seen != nil && at.Sub(seen.MeasuredAt) < p.opt.StaleAfter {
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
		Previous:    slices.Clone(o.shares),
		Since:       o.since,
		Moves:       slices.Clone(o.moves),
	}
}

func (p *Planner) count(changes, reversals uint64) {
	p.stats.Changes += changes
	p.stats.Reversals += reversals
}
