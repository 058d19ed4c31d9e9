package entry

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	targetRegions = 47
	targetZones   = 107
)

func zoneName(i int) steering.ZoneName { return steering.ZoneName(fmt.Sprintf("zone-%03d", i)) }
func regionName(i int) steering.RegionName {
	return steering.RegionName(fmt.Sprintf("region-%02d", i%targetRegions))
}

func serviceName(i int) steering.ServiceName {
	return steering.ServiceName(fmt.Sprintf("service-%04d", i))
}

// fleetConfig returns a configuration of the target's regions and zones.
func fleetConfig(services int) *steering.Configuration {
	cfg := &steering.Configuration{}
	for r := range targetRegions {
		reg := steering.Region{Name: regionName(r)}
		for z := r; z < targetZones; z += targetRegions {
			reg.Zones = append(reg.Zones, zoneName(z))
		}
		cfg.Platform.Regions = append(cfg.Platform.Regions, reg)
	}
	for i := range services {
		cfg.Services = append(cfg.Services, steering.Service{Name: serviceName(i), Operations: []steering.Operation{{}}})
	}
	return cfg
}

// fleetView returns the view of a fleet, each VM of which has loads and origins of some services in random
// zones and regions. Some VMs are dead, some regions wholly silent.
func fleetView(r *rand.Rand, vms, services, loads int) *vm.View {
	v := &vm.View{At: time.Unix(1_764_844_800, 0)}
	beliefs := []vm.Liveness{vm.Live, vm.Live, vm.Suspect, vm.Dead, vm.Leaving}
	for i := range vms {
		zone := i % targetZones
		e := &vm.Entry{VM: vm.VM{Name: vm.Name(fmt.Sprintf("entry-%04d", i)), Zone: zoneName(zone), Region: regionName(zone)}}
		e.Liveness = beliefs[r.IntN(len(beliefs))]
		if zone%5 == 0 {
			e.Liveness = vm.Suspect
		}
		for range min(loads, services) {
			service := string(serviceName(r.IntN(services)))
			e.Loads = append(e.Loads, &peer.ServiceLoad{
				Service: service, Zone: string(zoneName(r.IntN(targetZones + 1))), InFlight: r.Uint32N(50),
			})
			e.Origins = append(e.Origins, &peer.OriginLoad{
				Service: service, Origin: string(regionName(r.IntN(targetRegions))), InFlight: r.Uint32N(50), Queued: r.Uint32N(5),
			})
		}
		v.Entries = append(v.Entries, e)
	}
	return v
}

// walk is the observation by its definition: for each service and region a walk over all VMs.
func walk(cfg *steering.Configuration, view *vm.View) []region.ServiceObservation {
	var out []region.ServiceObservation
	for i := range cfg.Services {
		s := &cfg.Services[i]
		so := region.ServiceObservation{Service: s.Name}
		for _, r := range cfg.Platform.Regions {
			for _, z := range r.Zones {
				so.Zones = append(so.Zones, region.ZoneCapacity{Zone: z})
			}
			load := region.RegionLoad{Region: r.Name, MeasuredAt: view.At}
			demand := region.OriginDemand{Region: r.Name, MeasuredAt: view.At, Classes: classes(s)}
			for _, e := range view.Entries {
				if e.Liveness != vm.Dead {
					load.InUse += inUse(cfg, e, s.Name, r.Name)
					demand.Slots += wanted(e, s.Name, r.Name)
				}
			}
			so.Regions, so.Origins = append(so.Regions, load), append(so.Origins, demand)
		}
		out = append(out, so)
	}
	return out
}

func inUse(cfg *steering.Configuration, e *vm.Entry, s steering.ServiceName, r steering.RegionName) (sum float64) {
	for _, l := range e.Loads {
		if l.GetService() == string(s) && cfg.Platform.RegionOf(steering.ZoneName(l.GetZone())) == r {
			sum += float64(l.GetInFlight())
		}
	}
	return sum
}

func wanted(e *vm.Entry, s steering.ServiceName, r steering.RegionName) (sum float64) {
	for _, l := range e.Origins {
		if l.GetService() == string(s) && l.GetOrigin() == string(r) {
			sum += float64(l.GetInFlight() + l.GetQueued())
		}
	}
	return sum
}

func TestObserveSumsAllVMs(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 5))
		cfg := fleetConfig(1 + r.IntN(6))
		view := fleetView(r, 1+r.IntN(200), len(cfg.Services)+1, 3)
		if got, want := observe(cfg, view, nil).Services, walk(cfg, view); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: observed %+v, a walk over all VMs gives %+v", seed, got, want)
		}
	}
}

// TestLostRegions: a region is lost when all of its VMs are silent, not when one is, nor when none is known.
func TestLostRegions(t *testing.T) {
	cfg := fleetConfig(1)
	entry := func(r int, l vm.Liveness) *vm.Entry { return &vm.Entry{VM: vm.VM{Region: regionName(r)}, Liveness: l} }
	view := &vm.View{Entries: []*vm.Entry{
		entry(1, vm.Suspect), entry(1, vm.Dead), entry(2, vm.Dead), entry(2, vm.Leaving), entry(3, vm.Live), entry(3, vm.Suspect),
	}}
	if lost := lostRegions(cfg, view); len(lost) != 1 || lost[0] != regionName(1) {
		t.Errorf("lost %v, want only %s", lost, regionName(1))
	}
}

// BenchmarkObserve is the observation of one step, by one pass and by the walk that defines it.
func BenchmarkObserve(b *testing.B) {
	for _, c := range []struct{ vms, services, loads int }{
		{7, 3, 3}, {40, 3, 3}, {400, 3, 3}, {4300, 3, 3}, {4300, 17, 17}, {400, 30, 3}, {400, 120, 3}, {400, 1800, 3}, {4300, 1800, 17},
	} {
		cfg := fleetConfig(c.services)
		view := fleetView(rand.New(rand.NewPCG(1, 5)), c.vms, c.services, c.loads)
		name := fmt.Sprintf("vms=%d/services=%d/loads=%d", c.vms, c.services, c.loads)
		b.Run("pass/"+name, func(b *testing.B) {
			for b.Loop() {
				observe(cfg, view, nil)
			}
		})
		if c.vms*c.services > 4300*17 {
			continue // takes a second and more
		}
		b.Run("walk/"+name, func(b *testing.B) {
			for b.Loop() {
				walk(cfg, view)
			}
		})
	}
}
