package region

import (
	"slices"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// PlannerOptions configures a Planner. Zero fields get the defaults of setDefaults.
type PlannerOptions struct {
	StaleAfter   time.Duration // a measurement older than this is ignored, and the last value stays
	RecoverAfter time.Duration // a lost region counts as lost for this long after its return; doubles with repeated losses
	Smoothing    time.Duration // time constant of the moving averages of demand and load
	PeakSpan     time.Duration // plans are for the maximum of the average demand over this span
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

// Stats counts the results of a Planner.
type Stats struct {
	Plans     uint64 // computed
	Changes   uint64 // plans of one origin that moved traffic
	Reversals uint64 // changes of a share against the direction of its last change
}

// Planner computes the plans of all services for one VM, each from the previous plan of the service. It is not safe for
// concurrent use.
type Planner struct {
	opt      PlannerOptions
	services map[steering.ServiceName]*history
	losses   losses
	started  time.Time
	stats    Stats
}

// NewPlanner returns a Planner without history.
func NewPlanner(opt PlannerOptions) *Planner {
	opt.setDefaults()
	return &Planner{
		opt:      opt,
		services: make(map[steering.ServiceName]*history),
		losses:   losses{recoverAfter: opt.RecoverAfter, regions: make(map[steering.RegionName]*loss)},
	}
}

// Stats returns the counts since the planner was created.
func (p *Planner) Stats() Stats { return p.stats }

// Step computes the plan of each service of the configuration for the time now, which must not decrease between calls.
// It returns the plans and their inputs, sorted by service.
func (p *Planner) Step(now time.Time, observation Observation) ([]Plan, []Inputs) {
	if observation.Configuration == nil {
		return nil, nil
	}
	at := p.monotonicTime(now)
	p.losses.recordLost(at, observation.Lost)
	plans := make([]Plan, 0, len(observation.Configuration.Services))
	inputs := make([]Inputs, 0, len(observation.Configuration.Services))
	common := newStepInputs(at, &observation)
	for i := range observation.Configuration.Services {
		svc := &observation.Configuration.Services[i]
		h := p.history(svc.Name, &observation)
		in := p.serviceInputs(common, svc, h, observation.service(svc.Name, i))
		plan := compute(&in, common.linkMatrix(&in))
		p.stats.Plans++
		p.addStats(h.applyPlan(&plan))
		plans = append(plans, plan)
		inputs = append(inputs, in)
	}
	return plans, inputs
}

// monotonicTime returns now on a clock that starts at the first call's wall clock time and then follows the monotonic
// clock.
func (p *Planner) monotonicTime(now time.Time) time.Time {
	if p.started.IsZero() {
		p.started = now
	}
	return p.started.Round(0).Add(now.Sub(p.started)).UTC()
}

func (p *Planner) history(name steering.ServiceName, observation *Observation) *history {
	h := p.services[name]
	if h == nil {
		h = newHistory(observation.peerPlan(name))
		p.services[name] = h
	}
	return h
}

// stepInputs is the part of the inputs that all services of a step share.
type stepInputs struct {
	at            time.Time
	observation   *Observation
	links         []LinkInput
	regionOf      map[steering.ZoneName]int
	linksByOrigin [][]*LinkInput // by origin and region; nil before the first service
}

func newStepInputs(at time.Time, observation *Observation) *stepInputs {
	c := &stepInputs{at: at, observation: observation, links: observation.links(), regionOf: make(map[steering.ZoneName]int)}
	for i := range observation.Configuration.Platform.Regions {
		for _, z := range observation.Configuration.Platform.Regions[i].Zones {
			c.regionOf[z] = i
		}
	}
	return c
}

// linkMatrix returns the links by origin and region, which are the same for all services.
func (c *stepInputs) linkMatrix(in *Inputs) [][]*LinkInput {
	if c.linksByOrigin == nil {
		c.linksByOrigin = in.linkMatrix()
	}
	return c.linksByOrigin
}

func (p *Planner) serviceInputs(c *stepInputs, svc *steering.Service, h *history, so *ServiceObservation) Inputs {
	regions := c.observation.Configuration.Platform.Regions
	in := Inputs{
		At:       c.at,
		Service:  svc.Name,
		Revision: c.observation.Configuration.Revision,
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

// regionInput returns the input of a region without its capacity; measured may be nil.
func (p *Planner) regionInput(at time.Time, svc *steering.Service, h *history, measured *RegionLoad, name steering.RegionName) RegionInput {
	load := h.regionLoad(name)
	if measured != nil && at.Sub(measured.MeasuredAt) < p.opt.StaleAfter {
		load.add(at, measured.InUse, p.opt.Smoothing)
	}
	return RegionInput{
		Name:      name,
		Weight:    weightOf(svc, name),
		Carried:   load.value,
		Lost:      p.losses.isLost(name, at),
		DrainFrom: regionDrainStart(svc, name),
	}
}

// originInput returns the input of an origin; measured may be nil.
func (p *Planner) originInput(at time.Time, h *history, measured *OriginDemand, region steering.RegionName) OriginInput {
	o := h.origin(region)
	if measured != nil && at.Sub(measured.MeasuredAt) < p.opt.StaleAfter {
		o.demand.add(at, measured.Slots, p.opt.Smoothing)
		o.peak.add(at, o.demand.value, p.opt.PeakSpan)
		o.mbit = measured.MbitPerSlot
		o.classes = measured.Classes
	}
	return OriginInput{
		Region:      region,
		Demand:      o.peak.value(),
		MbitPerSlot: o.mbit,
		Classes:     o.classes,
		Previous:    o.shares,
		PreviousAt:  o.plannedAt,
		Moves:       o.moves,
	}
}

func (p *Planner) addStats(changes, reversals uint64) {
	p.stats.Changes += changes
	p.stats.Reversals += reversals
}
