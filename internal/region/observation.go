package region

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Observation is the state of the system as a VM knows it at one time. It may be incomplete or stale.
type Observation struct {
	Configuration *steering.Configuration
	Services      []ServiceObservation
	Links         []LinkObservation
	// Lost lists the regions that are unreachable or do not serve.
	Lost []steering.RegionName
	// PeerPlans holds the last plans of peers. A VM that has just started continues from them.
	PeerPlans []Plan
}

// ServiceObservation is the state of one service.
type ServiceObservation struct {
	Service steering.ServiceName
	Zones   []ZoneCapacity
	Regions []RegionLoad
	Origins []OriginDemand
}

// ZoneCapacity is the number of slots of a service in a zone.
type ZoneCapacity struct {
	Zone  steering.ZoneName
	Slots float64
}

// RegionLoad is the measured load of a region.
type RegionLoad struct {
	Region     steering.RegionName
	InUse      float64 // slots
	MeasuredAt time.Time
}

// OriginDemand is the measured demand of the callers of a region.
type OriginDemand struct {
	Region      steering.RegionName
	Slots       float64 // wanted
	MbitPerSlot float64 // Mbit/s that one slot in use adds to a link
	Classes     [steering.ClassCount]float64
	MeasuredAt  time.Time
}

// LinkObservation is the available bandwidth of one direction of a link.
type LinkObservation struct {
	From          steering.RegionName
	To            steering.RegionName
	AvailableMbit float64 // Mbit/s; negative: unlimited
}

// service returns the observation of a service, which is empty if there is none. It checks index hint first.
func (o *Observation) service(name steering.ServiceName, hint int) *ServiceObservation {
	s := find(o.Services, hint, func(s *ServiceObservation) bool { return s.Service == name })
	if s == nil {
		return &ServiceObservation{Service: name}
	}
	return s
}

// find returns the element at hint if it matches, else the first element that matches, or nil.
func find[T any](list []T, hint int, matches func(*T) bool) *T {
	if hint < len(list) && matches(&list[hint]) {
		return &list[hint]
	}
	for i := range list {
		if matches(&list[i]) {
			return &list[i]
		}
	}
	return nil
}

func (o *Observation) peerPlan(name steering.ServiceName) *Plan {
	var best *Plan
	for i := range o.PeerPlans {
		p := &o.PeerPlans[i]
		if p.Service == name && (best == nil || p.At.After(best.At)) {
			best = p
		}
	}
	return best
}

// links returns the links of the platform with their available bandwidth, as far as it is known.
func (o *Observation) links() []LinkInput {
	type ends struct{ from, to steering.RegionName }
	available := make(map[ends]float64, len(o.Links))
	for _, l := range o.Links {
		available[ends{l.From, l.To}] = l.AvailableMbit
	}
	platform := &o.Configuration.Platform
	links := make([]LinkInput, 0, len(platform.Links))
	for i := range platform.Links {
		l := &platform.Links[i]
		in := LinkInput{From: l.From, To: l.To, Delay: l.Delay, AvailableMbit: -1}
		if mbit, known := available[ends{l.From, l.To}]; known {
			in.AvailableMbit = mbit
		}
		links = append(links, in)
	}
	return links
}

// load returns the load of a region, or nil. It checks index hint first.
func (s *ServiceObservation) load(region steering.RegionName, hint int) *RegionLoad {
	return find(s.Regions, hint, func(l *RegionLoad) bool { return l.Region == region })
}

// demand returns the demand of the callers of a region, or nil. It checks index hint first.
func (s *ServiceObservation) demand(region steering.RegionName, hint int) *OriginDemand {
	return find(s.Origins, hint, func(d *OriginDemand) bool { return d.Region == region })
}

// capacity returns the slots by region in zones that are not drained; regionOf maps a zone to the index of its region.
func (s *ServiceObservation) capacity(regionOf map[steering.ZoneName]int, regions int, svc *steering.Service, at time.Time) []float64 {
	slots := make([]float64, regions)
	for _, z := range s.Zones {
		if r, known := regionOf[z.Zone]; known && !isZoneDraining(svc, z.Zone, at) {
			slots[r] += z.Slots
		}
	}
	return slots
}

func isZoneDraining(svc *steering.Service, zone steering.ZoneName, at time.Time) bool {
	for i := range svc.Drains {
		if svc.Drains[i].Zone == zone && !at.Before(svc.Drains[i].Start) {
			return true
		}
	}
	return false
}

// regionDrainStart returns the earliest start of a drain of a region; zero if none is planned.
func regionDrainStart(svc *steering.Service, region steering.RegionName) time.Time {
	var first time.Time
	for i := range svc.Drains {
		d := &svc.Drains[i]
		if d.Region == region && d.Zone == "" && (first.IsZero() || d.Start.Before(first)) {
			first = d.Start
		}
	}
	return first
}

func weightOf(svc *steering.Service, region steering.RegionName) float64 {
	if len(svc.Weights) == 0 {
		return 1
	}
	for _, w := range svc.Weights {
		if w.Region == region {
			return w.Weight
		}
	}
	return 0
}

func shortestDeadline(svc *steering.Service) steering.Duration {
	var shortest steering.Duration
	for i := range svc.Operations {
		if d := svc.Operations[i].Deadline; d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}
