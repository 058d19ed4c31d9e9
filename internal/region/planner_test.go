package region

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	capShare  = 0.2
	capWindow = 60 * time.Second
	vms       = 7
)

// fleet is 7 entry VMs, each with its own planner. Each carries a seventh of every origin's traffic.
type fleet struct {
	now                 time.Time
	planners            []*Planner
	plans               [][]Plan
	configs             []*steering.Configuration // in force on each VM
	lost                []steering.RegionName
	demand              func(origin int, at time.Duration) float64
	noise               float64       // maximum relative error of a measurement
	lag                 time.Duration // of measurements
	measurementsStopped bool
	random              *rand.Rand
	history             []map[steering.RegionName]float64 // shares of all traffic by serving region, one entry per second
}

func newTestConfiguration(revision steering.Revision, weights [3]float64, drains ...steering.Drain) *steering.Configuration {
	svc := steering.Service{
		Name: "certdesk", Drains: drains,
		ShiftCap: steering.ShiftCap{Share: capShare, Window: steering.Duration(capWindow)},
	}
	cfg := &steering.Configuration{Revision: revision}
	for i, n := range names {
		svc.Weights = append(svc.Weights, steering.RegionWeight{Region: n, Weight: weights[i]})
		cfg.Platform.Regions = append(cfg.Platform.Regions, steering.Region{Name: n, Zones: []steering.ZoneName{steering.ZoneName(n) + "-a"}})
	}
	cfg.Services = []steering.Service{svc}
	return cfg
}

func newFleet() *fleet {
	f := &fleet{now: epoch, random: rand.New(rand.NewPCG(4, 12)), plans: make([][]Plan, vms)}
	f.demand = func(int, time.Duration) float64 { return 60 }
	for range vms {
		f.planners = append(f.planners, NewPlanner(PlannerOptions{}))
		f.configs = append(f.configs, newTestConfiguration(1, [3]float64{1, 1, 1}))
	}
	return f
}

func (f *fleet) observation(vm int) Observation {
	measured := f.now.Add(-f.lag)
	if f.measurementsStopped {
		measured = epoch
	}
	so := ServiceObservation{Service: "certdesk"}
	for i, n := range names {
		off := 1 + f.noise*(2*f.random.Float64()-1)
		so.Zones = append(so.Zones, ZoneCapacity{Zone: steering.ZoneName(n) + "-a", Slots: 100})
		so.Origins = append(so.Origins, OriginDemand{Region: n, Slots: f.demand(i, measured.Sub(epoch)) * off, MeasuredAt: measured})
	}
	o := Observation{Configuration: f.configs[vm], Services: []ServiceObservation{so}, Lost: f.lost}
	for _, plans := range f.plans {
		o.PeerPlans = append(o.PeerPlans, plans...)
	}
	return o
}

// run lets the VMs plan once a second and records the shares that the regions serve.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		served := make(map[steering.RegionName]float64)
		for vm, p := range f.planners {
			f.plans[vm], _ = p.Step(f.now.Add(time.Duration(vm)*100*time.Millisecond), f.observation(vm))
			for _, o := range f.plans[vm][0].Origins {
				for _, s := range o.Shares {
					served[s.Region] += s.Share / vms / float64(len(names))
				}
			}
		}
		f.history = append(f.history, served)
	}
}

// maxMoved returns the maximum share that regions gained within any window.
func (f *fleet) maxMoved() float64 {
	highest := 0.0
	window := int(capWindow / time.Second)
	for first := range f.history {
		sum := 0.0
		for i := first + 1; i < len(f.history) && i < first+window; i++ {
			for _, n := range names {
				sum += max(0, f.history[i][n]-f.history[i-1][n])
			}
		}
		highest = max(highest, sum)
	}
	return highest
}

func (f *fleet) setConfig(cfg *steering.Configuration, first int) {
	for vm := first; vm < vms; vm++ {
		f.configs[vm] = cfg
	}
}

func (f *fleet) reversals() (changes, reversals uint64) {
	for _, p := range f.planners {
		changes += p.Stats().Changes
		reversals += p.Stats().Reversals
	}
	return changes, reversals
}

func TestShiftCapHolds(t *testing.T) {
	even := [3]float64{1, 1, 1}
	drain := func(f *fleet) {
		f.setConfig(newTestConfiguration(2, even, steering.Drain{Region: "muscat", Start: f.now}), 0)
	}
	weights := func(f *fleet) { f.setConfig(newTestConfiguration(3, [3]float64{1, 0.2, 1}), 0) }
	lose := func(f *fleet) { f.lost = []steering.RegionName{"batinah"} }
	recoverRegion := func(f *fleet) { f.lost = nil }
	for _, c := range []struct {
		name  string
		steps []func(*fleet)
	}{
		{"planned drain", []func(*fleet){drain}},
		{"region loss", []func(*fleet){lose}},
		{"loss and recovery", []func(*fleet){lose, recoverRegion}},
		{"new weights", []func(*fleet){weights}},
		{"drain and loss at once", []func(*fleet){func(f *fleet) { drain(f); lose(f) }, recoverRegion}},
		{"weights and loss at once", []func(*fleet){func(f *fleet) { weights(f); lose(f) }, recoverRegion}},
		{"half on an older revision", []func(*fleet){func(f *fleet) {
			f.setConfig(newTestConfiguration(2, even, steering.Drain{Region: "muscat", Start: f.now}), vms/2)
		}, lose, recoverRegion}},
		{"a VM starts in a drain", []func(*fleet){drain, func(f *fleet) { f.planners[2] = NewPlanner(PlannerOptions{}) }}},
		{"a VM starts in a loss", []func(*fleet){lose, func(f *fleet) { f.planners[2] = NewPlanner(PlannerOptions{}) }}},
	} {
		f := newFleet()
		f.run(30)
		for _, step := range c.steps {
			step(f)
			f.run(45)
		}
		f.run(300)
		last, end := f.history[len(f.history)-1], map[steering.RegionName]float64{}
		for _, n := range names {
			end[n] = float64(int(1000*last[n])) / 1000
		}
		t.Logf("%s: at most %.4f of the traffic moved within a window, cap %.2f; shares at the end %v", c.name, f.maxMoved(), capShare, end)
		if f.maxMoved() > capShare+1e-6 {
			t.Errorf("%s: more traffic moved within a window than the cap allows", c.name)
		}
	}
}

// TestNoOscillation checks that demand around a region's capacity, with noisy or late measurements, causes no reversals
// of a share.
func TestNoOscillation(t *testing.T) {
	around := func(origin int, _ time.Duration) float64 { return []float64{90, 60, 60}[origin] }
	for _, c := range []struct {
		name    string
		noise   float64
		lag     time.Duration
		stop    bool
		demand  func(int, time.Duration) float64
		allowed uint64
	}{
		{name: "noise 10%", noise: 0.1, demand: around},
		{name: "noise 30%", noise: 0.3, demand: around},
		{name: "lag 5 s", noise: 0.1, lag: 5 * time.Second, demand: around},
		{name: "lag 30 s", noise: 0.1, lag: 30 * time.Second, demand: around},
		{name: "stopped", noise: 0.1, lag: 30 * time.Second, stop: true, demand: around},
		{name: "one step up, lag 30 s", noise: 0.1, lag: 30 * time.Second, demand: func(o int, at time.Duration) float64 {
			if o == 0 && at > 2*time.Minute {
				return 130
			}
			return 60
		}},
	} {
		f := newFleet()
		f.noise, f.lag, f.demand = c.noise, c.lag, c.demand
		f.run(120)
		f.measurementsStopped = c.stop
		f.run(1080)
		changes, reversals := f.reversals()
		t.Logf("%s: %d changes, %d reversals of 7 VMs in 20 min, at most %.4f moved within a window", c.name, changes, reversals, f.maxMoved())
		if reversals > c.allowed || f.maxMoved() > capShare+1e-6 {
			t.Errorf("%s: %d reversals, or more moved within a window than the cap allows", c.name, reversals)
		}
	}
}

// TestFlappingRegion checks that a region that is lost and returns every few seconds causes no reversals of a share.
func TestFlappingRegion(t *testing.T) {
	for _, period := range []int{4, 10, 30} {
		f := newFleet()
		f.run(10)
		refused := 0.0
		for i := range 600 / period {
			f.lost = nil
			if i%2 == 0 {
				f.lost = []steering.RegionName{"batinah"}
			}
			f.run(period)
			refused += f.plans[0][0].Origin("batinah").Refused * float64(period)
		}
		changes, reversals := f.reversals()
		t.Logf("every %d s: %d changes, %d reversals of 7 VMs in 10 min, at most %.4f moved within a window, %.2f of the region's callers refused",
			period, changes, reversals, f.maxMoved(), refused/600)
		if f.maxMoved() > capShare+1e-6 || reversals > 0 {
			t.Errorf("every %d s: more moved within a window than the cap allows, or a share reversed", period)
		}
	}
}
