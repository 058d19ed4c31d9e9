package placement

import (
	"math"
	"testing"
	"time"
)

// Load scenarios. Each compares the policy under test with two simple ones. The bounds are required figures or a ratio
// between policies in the same run.

// wave is the load of the scenarios: it varies by 0.55 of the mean in a period of 36 s, and each region peaks at
// another time.
func wave(mean, phase float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return mean * (1 + 0.55*math.Sin(2*math.Pi*(t.Seconds()/36+phase)))
	}
}

const loadSpan = 30 * time.Second

// runWaves simulates the waves of three regions, of which the last has few servers.
func runWaves(use func(*simulation)) *simulation {
	s := newSimulation(7, 6, 8, 2)
	use(s)
	for i, phase := range []float64{0.06, 0.12, 0.18} {
		s.load(i, loadSpan, wave(100, phase))
	}
	s.run()
	return s
}

func TestWavesOverRegionsOfDifferentSize(t *testing.T) {
	ours := runWaves((*simulation).useChoosers)
	random := runWaves(func(s *simulation) { s.useBaseline(leastLoadedOfThree) })
	hashed := runWaves(func(s *simulation) { s.useBaseline(rendezvousInRegion) })
	small := simRegion(2)
	t.Logf("on time: ours %.3f, least of three %.3f, rendezvous %.3f; small region %.3f, %.3f, %.3f",
		ours.total().onTimeShare(), random.total().onTimeShare(), hashed.total().onTimeShare(),
		ours.counts[small].onTimeShare(), random.counts[small].onTimeShare(), hashed.counts[small].onTimeShare())
	for name, other := range map[string]*simulation{"least of three": random, "rendezvous": hashed} {
		if ours.total().onTimeShare() < other.total().onTimeShare() {
			t.Errorf("fewer requests on time than with %s", name)
		}
		if ours.counts[small].onTimeShare() < other.counts[small].onTimeShare() {
			t.Errorf("fewer requests of the small region on time than with %s", name)
		}
	}
	// The required bound under normal load is that the worst-served zone gets at least 0.8 of the best-served one; here
	// the small region needs twice the capacity of its servers.
	best := max(ours.counts[simRegion(0)].onTimeShare(), ours.counts[simRegion(1)].onTimeShare())
	if share := ours.counts[small].onTimeShare(); share < 0.7*best {
		t.Errorf("the small region has %.3f on time, the best one %.3f", share, best)
	}
}

// Regression, found in the region dhofar on sohar-proof scale-1 after second 36: waits caused by other entry VMs were
// learned as slowness of the servers, which stayed for good, and half of the requests were refused despite idle
// servers.
func TestSurgeDoesNotLeaveServersMarkedSlow(t *testing.T) {
	s := newSimulation(3, 6, 6)
	s.useChoosers()
	const surge, span = 6 * time.Second, 20 * time.Second
	for i := range 2 {
		s.load(i, span, func(t time.Duration) float64 {
			if t < surge {
				return 500 // above the capacity of the servers even with all objects warm
			}
			return 100
		})
	}
	s.run()
	var after simCount
	for i := range 2 {
		for _, w := range s.windows[simRegion(i)][6:10] { // from 12 s on, twice the surge
			after.requests += w.requests
			after.refused += w.refused
			after.onTime += w.onTime
		}
	}
	if after.refused*100 > after.requests {
		t.Errorf("%d of %d requests are refused from 6 s after a surge", after.refused, after.requests)
	}
	if after.onTimeShare() < 0.9 {
		t.Errorf("%.3f on time from 6 s after a surge", after.onTimeShare())
	}
}

// Regression, found for the service certdesk on sohar-proof scale-1, 13 to 21.5 s: all servers shed about half of the
// requests while they had free capacity. All were ejected, and 1420 of 4686 requests of a region found no server.
func TestServersThatAllShedAreNotAllEjected(t *testing.T) {
	s := newSimulation(5, 6, 8)
	s.useChoosers()
	for _, server := range s.servers {
		server.shedShare = 0.5
	}
	for i := range 2 {
		s.load(i, 10*time.Second, steady(60))
	}
	s.run()
	sum := s.total()
	// Half run at the first attempt, and the retry budget of 0.2 a request adds half of that.
	if served := float64(sum.onTime+sum.late) / float64(sum.requests); served < 0.5 {
		t.Errorf("%.3f of the requests are served, want at least half, as without any retry", served)
	}
	if limit := 1 + 0.2 + 64/float64(sum.requests); float64(sum.arrivals) > limit*float64(sum.requests) {
		t.Errorf("%d arrivals for %d requests exceed the retry budget", sum.arrivals, sum.requests)
	}
}

// All routes are new at once, as after a power loss, and servers are full or overloaded. A target far from the actual
// service time is a poor guess of it; the required bounds allow that such routes are served a quarter as often as
// others.
func TestNewRoutesAreServedByFullServersWhateverTheirTarget(t *testing.T) {
	for _, perSecond := range []float64{150, 250} { // in each of two regions; servers handle some 200 with all objects warm
		for _, timeout := range []time.Duration{900 * time.Millisecond, 2500 * time.Millisecond} {
			near := onTimeWithTarget(simTarget, timeout, perSecond)
			for _, target := range []time.Duration{4 * time.Second, 10 * time.Second} {
				share := onTimeWithTarget(target, timeout, perSecond)
				t.Logf("%v a second, timeout %v, target %v: %.3f on time, %.3f with a near target", perSecond, timeout, target, share, near)
				if share < near/4 {
					t.Errorf("%v a second, timeout %v, target %v: %.3f on time, %.3f with a near target", perSecond, timeout, target, share, near)
				}
			}
		}
	}
}

// onTimeWithTarget returns the share of requests that get a response within simTarget on a new route whose configured
// target latency is target, over four seeds.
func onTimeWithTarget(target, timeout time.Duration, perSecond float64) float64 {
	var sum simCount
	for seed := range uint64(4) {
		s := newSimulation(seed, 4, 4)
		s.useChoosers()
		s.route.TargetLatency, s.route.Timeout = target, timeout
		for i := range 2 {
			s.load(i, 10*time.Second, steady(perSecond))
		}
		s.run()
		c := s.total()
		sum.requests += c.requests
		sum.onTime += c.onTime
	}
	return sum.onTimeShare()
}

// A server that was slow for a while gets its share of the requests again.
func TestServerThatWasSlowIsUsedAgain(t *testing.T) {
	s := newSimulation(11, 4)
	s.useChoosers()
	slow := s.servers["r0-0"]
	slow.slowness = 8
	s.at(s.now.Add(5*time.Second), func() { slow.slowness = 1 })
	arrivals := 0
	s.at(s.now.Add(12*time.Second), func() { arrivals = -s.total().arrivals })
	s.load(0, 20*time.Second, steady(80))
	s.run()
	arrivals += s.total().arrivals
	if slow.order.Len() == 0 || arrivals <= 0 {
		t.Fatal("the server that was slow handled no request")
	}
	if share := s.total().onTimeShare(); share < 0.8 {
		t.Errorf("%.3f on time, though only a quarter of the servers was slow for a quarter of the time", share)
	}
}

// Regression, found in the region dhofar on sohar-proof scale-1 after all processes were killed: none of its servers is
// left, and the bound on change of region allowed 0.12 of zero requests to run in other regions.
func TestRegionWithoutServersIsServedByTheOthersAtOnce(t *testing.T) {
	s := newSimulation(13, 6, 6, 0)
	s.useChoosers()
	for i := range 3 {
		s.load(i, 6*time.Second, steady(50))
	}
	s.run()
	c := s.counts[simRegion(2)]
	if served := float64(c.onTime+c.late) / float64(c.requests); served < 0.95 {
		t.Errorf("%.3f of the requests of a region without servers are served by idle neighbours", served)
	}
}

// Regression, found with deploy/days/callers-move-leave-and-repeat on sohar-proof, seed 467565667768: a burst of 2.5
// times the requests ends, and the share that runs in other regions fell by 0.34 within two seconds, where 0.15 is
// allowed.
//
// Windows of 120 requests differ by chance alone: with them 3 of 20 seeds exceeded 0.15 (0.165 to 0.167) before the
// load of other entry VMs was assumed, and 4 (0.154 to 0.175) after. With four times the requests none of 20 does,
// before or after.
func TestEndOfABurstKeepsTheShiftBound(t *testing.T) {
	for _, seed := range []uint64{1, 15, 19} {
		checkBurstEnd(t, seed)
	}
}

func checkBurstEnd(t *testing.T, seed uint64) {
	s := newSimulation(seed, 32, 8)
	s.useChoosers()
	const end = 14 * time.Second
	s.load(0, loadSpan, steady(240))
	s.load(1, loadSpan, func(t time.Duration) float64 {
		if t < end {
			return 160 + 80*t.Seconds()
		}
		return 240
	})
	s.run()
	windows := s.windows[simRegion(1)]
	for i := 1; i < len(windows)-1; i++ {
		if change := windows[i-1].remoteShare() - windows[i].remoteShare(); change > 0.15 {
			t.Errorf("seed %d, window %d: the share in other regions fell by %.3f to %.3f", seed, i, change, windows[i].remoteShare())
		}
	}
	// At the bound the share falls by 0.15 each 2 s, to nothing in 10 s; objects that are warm in other regions may stay.
	if peak, last := windows[6].remoteShare(), windows[len(windows)-3].remoteShare(); last > peak/2 {
		t.Errorf("%.3f still run in other regions 10 s after the burst, %.3f during it", last, peak)
	}
}

// The share of a region's requests that run in other regions changes by at most max_shift from one window of two
// seconds to the next while its servers fill up.
func TestHelpBetweenRegionsKeepsTheShiftBound(t *testing.T) {
	s := newSimulation(17, 8, 2)
	s.useChoosers()
	s.load(0, loadSpan, steady(60))
	s.load(1, loadSpan, func(t time.Duration) float64 { return 40 + 10*t.Seconds() })
	s.run()
	windows := s.windows[simRegion(1)]
	for i := 1; i < len(windows)-1; i++ {
		if change := windows[i].remoteShare() - windows[i-1].remoteShare(); change > 0.15 {
			t.Errorf("window %d: the share in other regions rose by %.3f to %.3f", i, change, windows[i].remoteShare())
		}
	}
	if last := windows[len(windows)-3].remoteShare(); last < 0.3 {
		t.Errorf("only %.3f run in other regions although the region is far over its capacity", last)
	}
}
