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
// from the heartbeats of all entry VMs.
func observe(cfg *steering.Configuration, view *vm.View, links []region.LinkObservation) region.Observation {
	o := region.Observation{Configuration: cfg, Links: links, Lost: lostRegions(cfg, view)}
	zones := zoneSlots(view)
	for i := range cfg.Services {
		o.Services = append(o.Services, observeService(cfg, &cfg.Services[i], view, zones))
	}
	return o
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
	var lost []steering.RegionName
	for _, r := range cfg.Platform.Regions {
		known, alive := 0, 0
		for i := range view.Entries {
			if view.Entries[i].VM.Region != r.Name {
				continue
			}
			known++
			if l := view.Entries[i].Liveness; l == vm.Live || l == vm.Leaving {
				alive++
			}
		}
		if known > 0 && alive == 0 {
			lost = append(lost, r.Name)
		}
	}
	return lost
}

func observeService(cfg *steering.Configuration, s *steering.Service, view *vm.View, zones map[contract.Key]int) region.ServiceObservation {
	so := region.ServiceObservation{Service: s.Name}
	for _, r := range cfg.Platform.Regions {
		for _, z := range r.Zones {
			slots := zones[contract.Key{Service: s.Name, Zone: z}]
			so.Zones = append(so.Zones, region.ZoneCapacity{Zone: z, Slots: float64(slots)})
		}
		so.Regions = append(so.Regions, regionLoad(cfg, s.Name, r.Name, view))
		so.Origins = append(so.Origins, originDemand(s, r.Name, view))
	}
	return so
}

// regionLoad sums what the living entry VMs have in flight in a region.
func regionLoad(cfg *steering.Configuration, service steering.ServiceName, name steering.RegionName, view *vm.View) region.RegionLoad {
	load := region.RegionLoad{Region: name, MeasuredAt: view.At}
	for i := range view.Entries {
		if view.Entries[i].Liveness == vm.Dead {
			continue
		}
		for _, l := range view.Entries[i].Loads {
			if l.GetService() == string(service) && cfg.Platform.RegionOf(steering.ZoneName(l.GetZone())) == name {
				load.InUse += float64(l.GetInFlight())
			}
		}
	}
	return load
}

// originDemand sums what the callers of a region want at all living entry VMs.
func originDemand(s *steering.Service, name steering.RegionName, view *vm.View) region.OriginDemand {
	demand := region.OriginDemand{Region: name, MeasuredAt: view.At, Classes: classes(s)}
	for i := range view.Entries {
		if view.Entries[i].Liveness == vm.Dead {
			continue
		}
		for _, l := range view.Entries[i].Origins {
			if l.GetService() == string(s.Name) && l.GetOrigin() == string(name) {
				demand.Slots += float64(l.GetInFlight() + l.GetQueued())
			}
		}
	}
	return demand
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
func (f *flows) selfLoads(book *contract.Book, zones map[contract.Key]int, own steering.ZoneName, now time.Time) []*peer.ServiceLoad {
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
