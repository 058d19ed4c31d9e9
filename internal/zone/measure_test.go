package zone

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// floors are the floor shares of a zone's slots for which the tests measure the trade-off.
var floors = []float64{0.1, 0.25, 0.5, 0.75}

// settleTime is the time after which a started world is in a steady state.
const settleTime = 20 * time.Second

// runSettled starts a world with the given floor and demand and runs fn once it is in a steady state.
func runSettled(t *testing.T, share float64, totals []int, fn func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, share)
		w.startAll()
		w.setTotals(totals)
		time.Sleep(settleTime)
		fn(w)
		w.end()
		if w.maxUsable > w.slots {
			t.Errorf("up to %d of %d slots of a zone usable", w.maxUsable, w.slots)
		}
	})
}

func (w *world) setTotals(totals []int) {
	for i, n := range w.order() {
		n.setTotal(totals[i])
	}
}

// meanUse returns the slots in use in zones, as the mean over one second.
func (w *world) meanUse(zones ...steering.ZoneName) float64 {
	const looks = 10
	sum := 0
	for range looks {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		for _, n := range w.nodes {
			n.mu.Lock() // do not count between the release and the next acquisition of a slot
			for _, z := range zones {
				if !n.dead {
					sum += n.pool.Demand(service, z).InUse
				}
			}
			n.mu.Unlock()
		}
		for _, z := range w.zones() {
			w.maxUsable = max(w.maxUsable, w.usable(z))
		}
		w.mu.Unlock()
	}
	return float64(sum) / looks
}

// waitForUse waits until the slots in use in zones reach target, for at most limit. It returns how long that took.
func (w *world) waitForUse(limit time.Duration, target float64, zones ...steering.ZoneName) (time.Duration, float64) {
	begin := time.Now()
	for {
		used := w.meanUse(zones...)
		if took := time.Since(begin); used >= target || took >= limit {
			return took, used
		}
	}
}

// wantedAndUsable returns, after a time, the number of slots that VMs both may use and want.
func (w *world) wantedAndUsable(after time.Duration) int {
	time.Sleep(after)
	sum := 0
	for _, n := range w.order() {
		usable := 0
		for _, z := range w.zones() {
			usable += n.pool.Usable(service, z, n.clock())
		}
		n.mu.Lock()
		sum += min(usable, n.total)
		n.mu.Unlock()
	}
	return sum
}

func even(total int) []int {
	out := make([]int, len(sohar))
	for i := range out {
		out[i] = total
	}
	return out
}

// TestSkewedLoadUsesCapacity covers 60% of the load arriving at one of 7 entry VMs.
func TestSkewedLoadUsesCapacity(t *testing.T) {
	t.Parallel()
	for _, share := range floors {
		runSettled(t, share, even(10), func(w *world) {
			w.noSlowMessages.Store(true)
			capacity := w.slots * len(w.zones())
			skewed := even(capacity * 4 / 10 / 6)
			skewed[3] = capacity * 6 / 10
			w.setTotals(skewed)
			static := 0
			for _, want := range skewed {
				static += min(want, capacity/len(skewed))
			}
			at2 := w.wantedAndUsable(2 * time.Second)
			at5 := w.wantedAndUsable(3 * time.Second)
			used := w.meanUse(w.zones()...)
			t.Logf("floor %.2f: of %d slots %d usable where wanted after 2 s, %d after 5 s, %.1f in use then; static equal split: %d", share, capacity, at2, at5, used, static)
			if share <= 0.25 && at5 < capacity*95/100 {
				t.Errorf("floor %.2f: less than 95%% of capacity usable after 5 s", share)
			}
		})
	}
}

// TestIsolatedZoneKeepsFloor covers a zone that is cut off from the platform and its peers for 40 s.
func TestIsolatedZoneKeepsFloor(t *testing.T) {
	t.Parallel()
	for _, share := range floors {
		runSettled(t, share, even(25), func(w *world) {
			zone := steering.ZoneName("muscat-a")
			before := w.meanUse(zone)
			w.cutStoreOf(zone, refplatformtest.Faults{Down: true})
			w.cutZone(zone, true, true, true)
			time.Sleep(40 * time.Second)
			floor := float64(int(share * float64(w.slots)))
			own := float64(w.node("e4").pool.Demand(service, zone).InUse)
			w.cutStoreOf(zone, refplatformtest.Faults{})
			w.cutZone(zone, true, true, false)
			took, after := w.waitForUse(10*time.Second, 0.95*before, zone)
			t.Logf("floor %.2f: %.1f slots in use before, %.0f at the cut-off VM (floor %.0f), %.1f %v after the cut healed", share, before, own, floor, after, took)
			if own < 0.95*floor {
				t.Errorf("floor %.2f: less than 95%% of the floor in use", share)
			}
			if took > 5*time.Second {
				t.Errorf("floor %.2f: use did not recover within 5 s after the cut healed", share)
			}
		})
	}
}

// TestStoreRegionLost covers the loss of the region that contains the store.
func TestStoreRegionLost(t *testing.T) {
	t.Parallel()
	runSettled(t, 0.25, even(25), func(w *world) {
		for _, p := range w.places[:3] {
			w.kill(p.name)
		}
		w.store.SetStoreFaults(refplatformtest.Faults{Down: true})
		survivors := w.zones()[2:]
		capacity := float64(w.slots * len(survivors))
		time.Sleep(10 * time.Second)
		least := w.meanUse(survivors...)
		for range 600 {
			least = min(least, w.meanUse(survivors...))
		}
		t.Logf("surviving regions: at least %.1f of %.0f slots in use from 10 s to 610 s", least, capacity)
		if least < 0.9*capacity {
			t.Error("less than 90% of the surviving regions' capacity in use")
		}
	})
}

// TestTenMinutesWithoutStore covers a store that is down for ten minutes, in which each zone is cut off from its peers
// once and each VM restarts once.
func TestTenMinutesWithoutStore(t *testing.T) {
	t.Parallel()
	runSettled(t, 0.25, even(25), func(w *world) {
		capacity := float64(w.slots * len(w.zones()))
		w.store.SetStoreFaults(refplatformtest.Faults{Down: true})
		for i, z := range w.zones() {
			w.cutZone(z, i%2 == 0, i%3 != 0, true)
			w.meanUse(w.zones()...)
			time.Sleep(20 * time.Second)
			w.cutZone(z, true, true, false)
			time.Sleep(10 * time.Second)
		}
		afterCuts := w.meanUse(w.zones()...)
		for _, p := range w.places {
			w.kill(p.name)
			w.meanUse(w.zones()...)
			w.restart(p)
			w.meanUse(w.zones()...)
			w.node(p.name).setTotal(25)
			time.Sleep(50 * time.Second)
		}
		afterStarts := w.meanUse(w.zones()...)
		w.store.SetStoreFaults(refplatformtest.Faults{})
		took, used := w.waitForUse(30*time.Second, 0.95*capacity, w.zones()...)
		t.Logf("%.1f of %.0f slots in use after the cuts, %.1f after the starts, %.1f %v after the store was back", afterCuts, capacity, afterStarts, used, took)
	})
}

// TestEntryVMLost covers the permanent loss of one of 7 entry VMs, which the VM list shows after a lag.
func TestEntryVMLost(t *testing.T) {
	t.Parallel()
	for _, share := range floors {
		for _, lost := range []int{0, 1, 3} {
			for _, lag := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
				runSettled(t, share, even(30), func(w *world) { w.loseVM(t, w.places[lost], lag) })
			}
		}
	}
}

func (w *world) loseVM(t *testing.T, p place, lag time.Duration) {
	w.kill(p.name)
	time.Sleep(lag)
	w.setListed(p.name, false)
	time.Sleep(14*time.Second - lag)
	at15 := w.meanUse(p.zone)
	t.Logf("floor %.2f: %s of %s lost, the VM list %v behind: %.1f slots of the zone in use 15 s after", w.share, p.name, p.zone, lag, at15)
	if at15 < 0.95*float64(w.slots) {
		t.Errorf("floor %.2f: less than 95%% of the zone's slots in use 15 s after the loss of %s", w.share, p.name)
	}
}

// grid returns vms entry VMs in each of zones zones, two zones per region.
func grid(zones, vms int) []place {
	var out []place
	for z := range zones {
		for v := range vms {
			out = append(out, place{
				name:   vm.Name(fmt.Sprintf("e%d-%d", z, v)),
				zone:   steering.ZoneName(fmt.Sprintf("z%d", z)),
				region: fmt.Sprintf("r%d", z/2),
			})
		}
	}
	return out
}

// promises returns the number of calls to successors so far.
func (w *world) promises() uint64 {
	sum := uint64(0)
	for _, n := range w.order() {
		for _, e := range n.electors {
			sum += e.Stats().Promises
		}
	}
	return sum
}

// TestStoreCallsGrowWithZones counts the store calls in one minute of a steady state.
func TestStoreCallsGrowWithZones(t *testing.T) {
	t.Parallel()
	type size struct{ zones, vms int }
	for _, s := range []size{{1, 1}, {1, 2}, {1, 4}, {1, 8}, {1, 16}, {1, 32}, {6, 1}, {24, 1}, {107, 1}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 0.25)
			w.places = grid(s.zones, s.vms)
			w.startAll()
			time.Sleep(40 * time.Second)
			before, promises := w.store.StoreCounts(), w.promises()
			time.Sleep(time.Minute)
			promises = w.promises() - promises
			after := w.store.StoreCounts()
			reads, writes := after.Reads()-before.Reads(), after.Writes()-before.Writes()
			t.Logf("%3d zones of %2d VMs: %.2f reads/s, %.2f writes/s, %.2f promises/s requested from successors", s.zones, s.vms, float64(reads)/60, float64(writes)/60, float64(promises)/60)
			if s.zones == 107 && (reads > 2000*60 || writes > 200*60) {
				t.Error("more store calls than the platform allows")
			}
			w.end()
		})
	}
}
