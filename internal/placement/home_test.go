package placement

import (
	"math"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// runSmallRegion simulates three regions with equal demand, of which the last has a tenth of the servers, as on
// badgeworks-gslb-grown. A cold run is late, and a server keeps few objects: those of the region fit into its servers
// only if each stays at one of them.
func runSmallRegion(use func(*simulation)) *simulation {
	s := newSimulation(11, 12, 10, 3)
	s.cold = 450 * time.Millisecond
	for _, server := range s.servers {
		server.warmCapacity = 24
	}
	use(s)
	for i, phase := range []float64{0.06, 0.3, 0.63} {
		s.load(i, loadSpan, wave(120, phase))
	}
	s.run()
	return s
}

func TestSmallRegionIsServedLikeTheOthers(t *testing.T) {
	s := runSmallRegion((*simulation).useChoosers)
	small := s.counts[simRegion(2)]
	best := max(s.counts[simRegion(0)].onTimeShare(), s.counts[simRegion(1)].onTimeShare())
	t.Logf("on time: small region %.3f, best %.3f, all %.3f; remote share of the small region %.3f",
		small.onTimeShare(), best, s.total().onTimeShare(), small.remoteShare())
	const noise = 0.03 // below which the users call a difference noise
	if small.onTimeShare() < best-noise {
		t.Errorf("%.3f of the small region's requests are on time, %.3f of the best region's", small.onTimeShare(), best)
	}
}

// slotsFor gives a chooser of region r0 the slots of three regions and a demand in slots.
func slotsFor(c *Chooser, demandSlots float64, slots ...float64) {
	byRegion := make(map[steering.RegionName]float64)
	for i, n := range slots {
		byRegion[simRegion(i)] = n
	}
	c.slots = map[steering.ServiceName]map[steering.RegionName]float64{"desk": byRegion}
	times := c.routeTimes(testRoute(), "desk")
	times.warm.mean = 0.1
	times.demand = demand{since: start, updated: start, peak: demandSlots / times.warm.mean}
	clear(c.homePlans)
}

func TestHomeShare(t *testing.T) {
	for _, test := range []struct {
		name   string
		demand float64
		slots  []float64
		want   float64
	}{
		{"enough slots", 30, []float64{60, 300, 300}, 1},
		{"demand above the slots", 40, []float64{60, 120, 120}, 0.75},
		{"demand far above the slots", 1000, []float64{60, 120, 120}, 0.6},
		{"regions of one size share the overload as it is", 1000, []float64{100, 100, 100}, 1},
		{"a tenth of the slots", 1000, []float64{30, 135, 135}, 0.3},
		{"the only region", 1000, []float64{30}, 1},
		{"no slots here", 10, []float64{0, 135, 135}, 0},
	} {
		c := NewChooser(Options{Region: simRegion(0)})
		slotsFor(c, test.demand, test.slots...)
		if got := c.homeShare("desk", start); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: share %.3f, want %.3f", test.name, got, test.want)
		}
	}
}

// Until the demand is known, an entry VM that serves its region with others assumes that all regions have the same.
func TestHomeShareBeforeTheDemandIsKnown(t *testing.T) {
	for serving, want := range map[int]float64{1: 1, 3: 0.6} {
		c := NewChooser(Options{Region: simRegion(0)})
		slotsFor(c, 0, 60, 120, 120)
		c.SetPeers(Peers{Serving: serving})
		if got := c.homeShare("desk", start); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d entry VMs serve the region: share %.3f, want %.3f", serving, got, want)
		}
	}
}

// Few objects move when the share changes, and they are spread over the other regions by their slots.
func TestObjectsKeepTheirHomeRegion(t *testing.T) {
	c := NewChooser(Options{Region: simRegion(0)})
	homes := func(demandSlots float64) (regions []steering.RegionName, counts map[steering.RegionName]int) {
		slotsFor(c, demandSlots, 30, 180, 90)
		counts = make(map[steering.RegionName]int)
		for object := range uint64(3000) {
			region := c.homeRegion(testQuery(object+1), start)
			regions = append(regions, region)
			counts[region]++
		}
		return regions, counts
	}
	before, _ := homes(21.5)
	after, counts := homes(25)
	moved := 0
	for i := range before {
		if before[i] != after[i] {
			moved++
		}
	}
	if share := float64(moved) / float64(len(before)); share > 0.13 {
		t.Errorf("%.3f of the objects move when the share falls from 0.7 to 0.6", share)
	}
	if ratio := float64(counts[simRegion(1)]) / float64(counts[simRegion(2)]); ratio < 1.7 || ratio > 2.3 {
		t.Errorf("the region with twice the slots has %.2f times the objects", ratio)
	}
}

func TestHomeRegionIsAllowed(t *testing.T) {
	c := NewChooser(Options{Region: simRegion(0)})
	slotsFor(c, 1000, 10, 100, 100)
	q := testQuery(1)
	q.Route.AllowedRegions = []steering.RegionName{simRegion(0), simRegion(2)}
	for object := range uint64(500) {
		q.Object = object + 1
		if got := c.homeRegion(q, start); got == simRegion(1) {
			t.Fatalf("object %d has its home in a region that its route does not allow", object)
		}
	}
}

func TestDemandFollowsTheLoad(t *testing.T) {
	var d demand
	now := start
	for now.Before(start.Add(5 * time.Second)) {
		d.add(now)
		now = now.Add(10 * time.Millisecond)
	}
	if got := d.rate(now); math.Abs(got-100) > 5 {
		t.Errorf("%.1f requests per second are measured, want 100", got)
	}
	d.decay(now.Add(5 * time.Second))
	if got := d.peak; got < 30 || got > 45 {
		t.Errorf("%.1f requests per second are expected 5 s after the load ended, want those of the peak, decayed", got)
	}
}
