package entry

import (
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// observe gathers what this VM knows for its planner: capacity from the VM list, load and demand
// from the heartbeats of all entry VMs. It walks the heartbeats once, however many services there are.
func observe(cfg *steering.Configuration, view *vm.View, links []region.LinkObservation) region.Observation {
	o := region.Observation{Configuration: cfg, Links: links, Lost: lostRegions(cfg, view)}
	zones, sums := zoneSlots(view), sumLoads(cfg, view)
	o.Services = make([]region.ServiceObservation, 0, len(cfg.Services))
	for i := range cfg.Services {
		o.Services = append(o.Services, observeService(cfg, &cfg.Services[i], view.At, zones, sums.ofService(i)))
	}
	return o
}

// loadSum is the load of one service in one region over all entry VMs that are not dead.
type loadSum struct {
	inUse  uint64 // requests in flight to the region's upstreams
	demand uint64 // requests in flight and queued of the region's callers
}

// loadSums hold a loadSum for each service and region, numbered as in the configuration.
type loadSums struct {
	services map[string]int
	regions  map[string]int
	zones    map[string]int // to the number of their region
	sums     []loadSum      // those of the first service first
}

func newLoadSums(cfg *steering.Configuration) *loadSums {
	s := &loadSums{
		services: make(map[string]int, len(cfg.Services)),
		regions:  make(map[string]int, len(cfg.Platform.Regions)),
		zones:    make(map[string]int),
		sums:     make([]loadSum, len(cfg.Services)*len(cfg.Platform.Regions)),
	}
	for i := range cfg.Services {
		s.services[string(cfg.Services[i].Name)] = i
	}
	for i := range cfg.Platform.Regions {
		s.regions[string(cfg.Platform.Regions[i].Name)] = i
		for _, z := range cfg.Platform.Regions[i].Zones {
			s.zones[string(z)] = i
		}
	}
	return s
}

func sumLoads(cfg *steering.Configuration, view *vm.View) *loadSums {
	s := newLoadSums(cfg)
	for _, e := range view.Entries {
		if e.Liveness == vm.Dead {
			continue
		}
		for _, l := range e.Loads {
			if sum := s.at(l.GetService(), s.zones, l.GetZone()); sum != nil {
				sum.inUse += uint64(l.GetInFlight())
			}
		}
		for _, l := range e.Origins {
			if sum := s.at(l.GetService(), s.regions, l.GetOrigin()); sum != nil {
				sum.demand += uint64(l.GetInFlight()) + uint64(l.GetQueued())
			}
		}
	}
	return s
}

// at returns the sum of a service in the region that places gives for name, or nil if the configuration
// does not have both.
func (s *loadSums) at(service string, places map[string]int, name string) *loadSum {
	i, known := s.services[service]
	if !known {
		return nil
	}
	r, known := places[name]
	if !known {
		return nil
	}
	return &s.sums[i*len(s.regions)+r]
}

// ofService returns the sums of service i by region.
func (s *loadSums) ofService(i int) []loadSum {
	return s.sums[i*len(s.regions) : (i+1)*len(s.regions)]
}

// zoneSlots returns the slots of each service in each zone, without upstreams that leave.
func zoneSlots(view *vm.View) map[contract.Key]int {
	slots := make(map[contract.Key]int)
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if u.State == vm.StateLive {
			slots[contract.Key{Service: u.Service, Zone: u.Zone}] += u.Slots
		}
	}
	return slots
}

// lostRegions returns the regions whose entry VMs are known but all silent. Without any entry VM a
// region's upstreams cannot be borrowed. All of them silent at once is no pause of one process, so
// it does not take the time after which a single one counts as dead.
func lostRegions(cfg *steering.Configuration, view *vm.View) []steering.RegionName {
	known := make(map[steering.RegionName]bool)
	alive := make(map[steering.RegionName]bool)
	for _, e := range view.Entries {
		known[e.VM.Region] = true
		if e.Liveness == vm.Live || e.Liveness == vm.Leaving {
			alive[e.VM.Region] = true
		}
	}
	var lost []steering.RegionName
	for i := range cfg.Platform.Regions {
		name := cfg.Platform.Regions[i].Name
		if known[name] && !alive[name] {
			lost = append(lost, name)
		}
	}
	return lost
}

func observeService(
	cfg *steering.Configuration, s *steering.Service, at time.Time, zones map[contract.Key]int, sums []loadSum,
) region.ServiceObservation {
	regions := cfg.Platform.Regions
	so := region.ServiceObservation{
		Service: s.Name,
		Regions: make([]region.RegionLoad, 0, len(regions)),
		Origins: make([]region.OriginDemand, 0, len(regions)),
	}
	ofClass := classes(s)
	for i := range regions {
		r := &regions[i]
		for _, z := range r.Zones {
			slots := zones[contract.Key{Service: s.Name, Zone: z}]
			so.Zones = append(so.Zones, region.ZoneCapacity{Zone: z, Slots: float64(slots)})
		}
		so.Regions = append(so.Regions, region.RegionLoad{Region: r.Name, MeasuredAt: at, InUse: float64(sums[i].inUse)})
		so.Origins = append(so.Origins, region.OriginDemand{
			Region: r.Name, MeasuredAt: at, Slots: float64(sums[i].demand), Classes: ofClass,
		})
	}
	return so
}

// classes returns the share of each class among a service's operations.
func classes(s *steering.Service) [steering.ClassCount]float64 {
	var share [steering.ClassCount]float64
	for i := range s.Operations {
		share[s.Operations[i].Class] += 1 / float64(len(s.Operations))
	}
	return share
}

// selfLoads returns this VM's loads for its heartbeat.
func (f *flows) selfLoads(book *contract.SlotPool, zones map[contract.Key]int, own steering.ZoneName, now time.Time) []*peer.ServiceLoad {
	byKey := make(map[contract.Key]*peer.ServiceLoad)
	f.each(func(k flow, inFlight, _ int64) {
		key := contract.Key{Service: k.service, Zone: k.zone}
		l := byKey[key]
		if l == nil {
			l = &peer.ServiceLoad{Service: string(k.service), Zone: string(k.zone)}
			byKey[key] = l
		}
		l.InFlight += uint32(max(0, inFlight))
	})
	loads := make([]*peer.ServiceLoad, 0, len(byKey))
	for key, l := range byKey {
		l.HeldSlots = uint32(max(0, book.Usable(key.Service, key.Zone, now)))
		if key.Zone == own {
			l.CapacitySlots = uint32(zones[key])
		}
		loads = append(loads, l)
	}
	return loads
}

// selfOrigins returns this VM's demand by origin for its heartbeat; queued is per service and
// counted to the VM's own region.
func (f *flows) selfOrigins(own steering.RegionName, queued func(steering.ServiceName) int) []*peer.OriginLoad {
	type key struct {
		service steering.ServiceName
		origin  steering.RegionName
	}
	byKey := make(map[key]*peer.OriginLoad)
	f.each(func(k flow, inFlight, _ int64) {
		l := byKey[key{k.service, k.origin}]
		if l == nil {
			l = &peer.OriginLoad{Service: string(k.service), Origin: string(k.origin)}
			byKey[key{k.service, k.origin}] = l
			if k.origin == own {
				l.Queued = uint32(queued(k.service))
			}
		}
		l.InFlight += uint32(max(0, inFlight))
	})
	loads := make([]*peer.OriginLoad, 0, len(byKey))
	for _, l := range byKey {
		loads = append(loads, l)
	}
	return loads
}
