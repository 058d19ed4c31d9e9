package zone

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

func (n *node) setPaused(paused, stale bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case paused && n.resume == nil && !n.dead:
		n.resume, n.stale = make(chan struct{}), stale
	case !paused && n.resume != nil:
		close(n.resume)
		n.resume = nil
	}
}

// kill stops a VM without notice to the others.
func (w *world) kill(name vm.Name) {
	n := w.node(name)
	w.mu.Lock()
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	w.mu.Unlock()
	n.client.SetFaults(refplatformtest.Faults{Down: true})
	n.setPaused(false, false)
	n.stop()
}

// restart starts a killed VM again, with the demand and the clock of its last incarnation.
func (w *world) restart(p place) {
	last := w.node(p.name)
	last.mu.Lock()
	dead, want := last.dead, maps.Clone(last.want)
	last.mu.Unlock()
	if !dead {
		return
	}
	n := w.startNode(p, last.rate)
	for zone, slots := range want {
		n.setWant(zone, slots)
	}
}

func (w *world) node(name vm.Name) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

func (w *world) setCut(from, to vm.Name, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]vm.Name{from, to}] = cut
}

// cutZone cuts the VMs of a zone off from all other VMs, in the given directions.
func (w *world) cutZone(zone steering.ZoneName, out, in, cut bool) {
	for _, p := range w.places {
		for _, q := range w.places {
			if p.zone != zone || q.zone == zone {
				continue
			}
			if out {
				w.setCut(p.name, q.name, cut)
				w.recordZoneCut(p.zone, q.zone, cut)
			}
			if in {
				w.setCut(q.name, p.name, cut)
				w.recordZoneCut(q.zone, p.zone, cut)
			}
		}
	}
}

// recordZoneCut records that packets from one zone to another are lost, or no longer are. An upstream's response needs
// both directions, so a cut of either makes each zone's upstreams unreachable from the other.
func (w *world) recordZoneCut(from, to steering.ZoneName, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	there, back := [2]steering.ZoneName{from, to}, [2]steering.ZoneName{to, from}
	w.cutZones[there] = cut
	since := time.Now()
	if w.cutZones[there] || w.cutZones[back] {
		since = time.Time{}
	}
	w.healed[there], w.healed[back] = since, since
}

func (w *world) cutStoreOf(zone steering.ZoneName, f refplatformtest.Faults) {
	for _, p := range w.places {
		w.mu.Lock()
		n := w.nodes[p.name]
		w.cutStore[p.name] = p.zone == zone && f.Down
		skip := p.zone != zone || n.dead
		w.mu.Unlock()
		if !skip {
			n.client.SetFaults(f)
		}
	}
}

// fault is one step of a random schedule.
type fault struct {
	Kind  string
	VM    int
	Other int
	At    time.Duration
	For   time.Duration
}

var faultKinds = []string{
	"pause", "pause-stale", "kill", "store-down", "store-slow", "lose-answers", "lose-requests",
	"cut-store", "cut-peers", "cut-both", "cut-out", "cut-in", "cut-pair", "list-stale", "demand", "lost", "pause-unlisted", "cut-unlisted",
}

// lossKinds are the faults in which VMs are lost or appear lost, and faults that may hide which of the two is true.
var lossKinds = []string{
	"lost", "lost", "pause-unlisted", "pause-unlisted", "cut-unlisted", "list-stale", "pause", "kill",
	"store-down", "store-slow", "lose-answers", "cut-peers", "cut-in", "cut-out", "cut-pair", "demand",
}

func drawFaults(t *rapid.T, kinds []string) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:    rapid.IntRange(0, len(sohar)-1).Draw(t, "vm"),
			Other: rapid.IntRange(0, len(sohar)-1).Draw(t, "other"),
			At:    time.Duration(rapid.IntRange(50, 900).Draw(t, "at")) * 100 * time.Millisecond,
			For:   time.Duration(rapid.IntRange(1, 300).Draw(t, "for")) * 100 * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 4, 16).Draw(t, "faults")
}

// inject runs one fault from its start to its end.
func (w *world) inject(f fault) {
	p, q := w.places[f.VM], w.places[f.Other]
	on := func(begin, end func()) {
		time.Sleep(f.At)
		begin()
		time.Sleep(f.For)
		end()
	}
	switch f.Kind {
	case "pause", "pause-stale":
		on(func() { w.node(p.name).setPaused(true, f.Kind == "pause-stale") }, func() { w.node(p.name).setPaused(false, false) })
	case "kill":
		on(func() { w.kill(p.name) }, func() { w.restart(p) })
	case "store-down":
		on(func() { w.store.SetStoreFaults(refplatformtest.Faults{Down: true}) }, func() { w.store.SetStoreFaults(refplatformtest.Faults{}) })
	case "store-slow":
		delay := time.Duration(500+100*f.Other) * 8 * time.Millisecond
		on(func() { w.store.SetStoreFaults(refplatformtest.Faults{Delay: delay}) }, func() { w.store.SetStoreFaults(refplatformtest.Faults{}) })
	case "lose-answers":
		on(func() { w.cutStoreOf(p.zone, refplatformtest.Faults{LoseAnswers: 3}) }, func() { w.cutStoreOf(p.zone, refplatformtest.Faults{}) })
	case "lose-requests":
		on(func() { w.cutStoreOf(p.zone, refplatformtest.Faults{LoseRequests: 3}) }, func() { w.cutStoreOf(p.zone, refplatformtest.Faults{}) })
	case "cut-store", "cut-both":
		on(func() {
			w.cutStoreOf(p.zone, refplatformtest.Faults{Down: true})
			w.cutZone(p.zone, true, true, f.Kind == "cut-both")
		}, func() {
			w.cutStoreOf(p.zone, refplatformtest.Faults{})
			w.cutZone(p.zone, true, true, false)
		})
	case "cut-peers", "cut-out", "cut-in":
		out, in := f.Kind != "cut-in", f.Kind != "cut-out"
		on(func() { w.cutZone(p.zone, out, in, true) }, func() { w.cutZone(p.zone, out, in, false) })
	case "cut-pair":
		on(func() { w.setCut(p.name, q.name, true) }, func() { w.setCut(p.name, q.name, false) })
	case "list-stale":
		on(func() { w.setListed(p.name, false) }, func() { w.setListed(p.name, true) })
	case "lost":
		on(func() { w.kill(p.name); time.Sleep(time.Second); w.setListed(p.name, false) },
			func() { w.setListed(p.name, true); w.restart(p) })
	case "pause-unlisted":
		on(func() { w.node(p.name).setPaused(true, f.Other%2 == 0); w.setListed(p.name, false) },
			func() { w.node(p.name).setPaused(false, false); w.setListed(p.name, true) })
	case "cut-unlisted":
		on(func() {
			w.cutStoreOf(p.zone, refplatformtest.Faults{Down: true})
			w.cutZone(p.zone, true, true, true)
			w.setListed(p.name, false)
		}, func() {
			w.cutStoreOf(p.zone, refplatformtest.Faults{})
			w.cutZone(p.zone, true, true, false)
			w.setListed(p.name, true)
		})
	case "demand":
		on(func() { w.node(p.name).setWant(q.zone, 25) }, func() { w.node(p.name).setWant(q.zone, 3) })
	}
}

// setListed adds a VM to the list or removes it. As long as a live VM is missing for less than RemovedAfter, the list
// merely lags.
func (w *world) setListed(name vm.Name, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = slices.DeleteFunc(w.listed, func(n vm.Name) bool { return n == name })
	if listed {
		w.listed = append(w.listed, name)
	}
}

// runFaults runs a schedule and returns the violations of the invariant: for each zone, the sum of the slots that VMs
// may use never exceeds the slots of the zone.
func runFaults(t *testing.T, seed uint64, faults []fault, defect func(*ElectorOptions)) []string {
	violations, _ := runCounted(t, seed, faults, defect)
	return violations
}

// leaderChanges counts the leaderships taken over from another VM and the parts of the floor reclaimed.
type leaderChanges struct{ takeovers, reclaimed uint64 }

// runCounted does what runFaults does and also counts leader changes.
func runCounted(
	t *testing.T, seed uint64, faults []fault, defect func(*ElectorOptions),
) (violations []string, changes leaderChanges) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed, 0.25)
		w.defect = defect
		w.drift = true
		w.startAll()
		for i, n := range w.order() {
			n.setWant(w.places[(i*3+1)%len(w.places)].zone, 12)
			n.setWant(n.place.zone, 8)
		}
		for i, f := range faults {
			f.At += time.Duration(i+1) * stagger
			w.running.Go(func() { w.inject(f) })
		}
		for range 130 * 20 {
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			for _, z := range w.zones() {
				if n := w.usable(z); n > w.slots && len(violations) < 10 {
					violations = append(violations, fmt.Sprintf("%v: %d slots usable in %s of %d", time.Since(w.start), n, z, w.slots))
				}
			}
			w.mu.Unlock()
		}
		w.end()
		for _, n := range w.nodes {
			for _, e := range n.electors {
				changes.takeovers += e.Stats().Takeovers
				changes.reclaimed += e.Stats().ReclaimedParts
			}
		}
	})
	return violations, changes
}

func (w *world) order() []*node {
	var out []*node
	for _, p := range w.places {
		out = append(out, w.nodes[p.name])
	}
	return out
}

func TestSlotsNeverExceedCapacity(t *testing.T) { checkSchedules(t, faultKinds) }

func TestSlotsNeverExceedCapacityWithLostVMs(t *testing.T) { checkSchedules(t, lossKinds) }

func checkSchedules(t *testing.T, kinds []string) {
	t.Parallel()
	var all leaderChanges
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, kinds)
		seed := rapid.Uint64().Draw(rt, "seed")
		violations, changes := runCounted(t, seed, faults, nil)
		all.takeovers += changes.takeovers
		all.reclaimed += changes.reclaimed
		if len(violations) > 0 {
			rt.Fatalf("violations: %q", violations)
		}
	})
	t.Logf("%d leaderships were taken over from another VM, %d parts of the floor reclaimed", all.takeovers, all.reclaimed)
	if all.takeovers == 0 || all.reclaimed == 0 {
		t.Error("the schedules caused no takeover of a leadership or reclaimed no part of the floor")
	}
}

// noContact makes every successor read the leader's key at the maximum rate.
func noContact(o *ElectorOptions) { o.LastContact = func(vm.Name) time.Time { return time.Time{} } }

// storeCut cuts two zones off from the store for overlapping times.
func storeCut() []fault {
	return []fault{
		{Kind: "cut-store", VM: 3, At: 20 * time.Second, For: 60 * time.Second},
		{Kind: "cut-store", VM: 5, At: 25 * time.Second, For: 30 * time.Second},
	}
}

func TestSchedulesDetectBrokenPromises(t *testing.T) {
	t.Parallel()
	if v := runFaults(t, 1, storeCut(), noContact); len(v) > 0 {
		t.Errorf("violations although successors keep their promises: %q", v)
	}
	broken := func(o *ElectorOptions) {
		noContact(o)
		o.ignorePromises = true
	}
	if v := runFaults(t, 1, storeCut(), broken); len(v) == 0 {
		t.Error("successors that break their promises were not detected")
	}
}

// TestFloorIsReclaimedOnlyFromLostVMs covers live VMs that are without contact and missing from the VM list.
func TestFloorIsReclaimedOnlyFromLostVMs(t *testing.T) {
	t.Parallel()
	const at, long = 20 * time.Second, 25 * time.Second
	for _, c := range []struct {
		name   string
		faults []fault
		defect func(*ElectorOptions)
	}{
		{"paused", []fault{{Kind: "pause-unlisted", VM: 3, At: at, For: long}, {Kind: "pause-unlisted", VM: 1, At: at, For: long}},
			func(o *ElectorOptions) { o.ignorePauses = true }},
		{"cut off", []fault{{Kind: "cut-unlisted", VM: 3, At: at, For: long}},
			func(o *ElectorOptions) { o.ignoreReachability = true }},
	} {
		if v := runFaults(t, 1, c.faults, nil); len(v) > 0 {
			t.Errorf("%s: violations %q", c.name, v)
		}
		if v := runFaults(t, 1, c.faults, c.defect); len(v) == 0 {
			t.Errorf("%s: the defect was not detected", c.name)
		}
	}
}

func TestSchedulesDetectRevivedLeaders(t *testing.T) {
	t.Parallel()
	restart := []fault{{Kind: "kill", VM: 2, At: 5 * time.Second, For: 600 * time.Millisecond}}
	if v := runFaults(t, 1, restart, nil); len(v) > 0 {
		t.Errorf("violations with a leader that restarts: %q", v)
	}
	revive := func(o *ElectorOptions) { o.reviveByPromise = true }
	if v := runFaults(t, 1, restart, revive); len(v) == 0 {
		t.Error("a leadership revived after its expiry was not detected")
	}
}
