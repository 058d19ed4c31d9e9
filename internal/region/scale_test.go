package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	targetRegions = 47
	targetZones   = 107
)

func regionName(i int) steering.RegionName { return steering.RegionName(fmt.Sprintf("region-%02d", i)) }

// fleetObservation returns the observation of a VM in a deployment of the target size with a number of services. There
// are links between all regions, the available bandwidth is known on those of the VM's own region, and some regions
// have fewer slots than demand.
func fleetObservation(services int) Observation {
	cfg := &steering.Configuration{Revision: 1}
	o := Observation{Configuration: cfg}
	for r := range targetRegions {
		reg := steering.Region{Name: regionName(r)}
		for z := r; z < targetZones; z += targetRegions {
			reg.Zones = append(reg.Zones, steering.ZoneName(fmt.Sprintf("zone-%03d", z)))
		}
		cfg.Platform.Regions = append(cfg.Platform.Regions, reg)
		for to := range targetRegions {
			if to != r {
				cfg.Platform.Links = append(cfg.Platform.Links, steering.Link{From: regionName(r), To: regionName(to)})
			}
		}
	}
	for i := range cfg.Platform.Links {
		l := &cfg.Platform.Links[i]
		if l.From == regionName(0) || l.To == regionName(0) {
			o.Links = append(o.Links, LinkObservation{From: l.From, To: l.To, AvailableMbit: 1000})
		}
	}
	for i := range services {
		svc := steering.Service{Name: steering.ServiceName(fmt.Sprintf("service-%04d", i))}
		svc.ShiftCap = steering.ShiftCap{Share: 0.2, Window: steering.Duration(time.Minute)}
		cfg.Services = append(cfg.Services, svc)
		o.Services = append(o.Services, serviceObservation(cfg, svc.Name, i))
	}
	return o
}

func serviceObservation(cfg *steering.Configuration, name steering.ServiceName, i int) ServiceObservation {
	so := ServiceObservation{Service: name}
	for r := range cfg.Platform.Regions {
		reg := &cfg.Platform.Regions[r]
		for _, z := range reg.Zones {
			so.Zones = append(so.Zones, ZoneCapacity{Zone: z, Slots: 100})
		}
		so.Regions = append(so.Regions, RegionLoad{Region: reg.Name, InUse: 60})
		so.Origins = append(so.Origins, OriginDemand{Region: reg.Name, Slots: float64(100 + (i+r)%9*20)})
	}
	return so
}

func (o *Observation) setMeasuredAt(at time.Time) {
	for i := range o.Services {
		for j := range o.Services[i].Regions {
			o.Services[i].Regions[j].MeasuredAt = at
			o.Services[i].Origins[j].MeasuredAt = at
		}
	}
}

// BenchmarkStep measures one step that plans all services in targetRegions regions, and the replacement of the plans in
// the table.
func BenchmarkStep(b *testing.B) {
	for _, services := range []int{3, 17, 120, 1800} {
		o := fleetObservation(services)
		p, table, now := NewPlanner(PlannerOptions{}), NewTable(), epoch
		b.Run(fmt.Sprintf("plan/services=%d", services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				o.setMeasuredAt(now)
				p.Step(now, o)
			}
		})
		b.Run(fmt.Sprintf("table/services=%d", services), func(b *testing.B) {
			plans, _ := p.Step(now, o)
			b.ReportAllocs()
			for b.Loop() {
				table.ReplacePlans(plans)
			}
		})
	}
}
