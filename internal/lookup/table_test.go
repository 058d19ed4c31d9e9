package lookup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// deployment returns a view with the given number of VMs in each zone of each region, and links with the
// given delay between all regions.
func deployment(delay time.Duration, vmsInZone ...[]int) View {
	v := View{Revision: 12, LearnedAt: start}
	n := 0
	for r, zones := range vmsInZone {
		region := steering.Region{Name: steering.RegionName(fmt.Sprintf("r%d", r))}
		for z, vms := range zones {
			zone := steering.ZoneName(fmt.Sprintf("r%d-%c", r, 'a'+z))
			region.Zones = append(region.Zones, zone)
			for range vms {
				n++
				v.VMs = append(v.VMs, VMView{
					Name: vm.Name(fmt.Sprintf("e%d", n)), Incarnation: 1, Zone: zone,
					Address: fmt.Sprintf("127.0.0.%d:8080", n%250),
				})
			}
		}
		v.Platform.Regions = append(v.Platform.Regions, region)
	}
	for from := range vmsInZone {
		for to := range vmsInZone {
			if from != to {
				v.Platform.Links = append(v.Platform.Links, steering.Link{
					From: v.Platform.Regions[from].Name, To: v.Platform.Regions[to].Name,
					Delay: steering.Duration(delay),
				})
			}
		}
	}
	return v
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// smallDeployment returns a view of seven entry VMs in six zones of three regions.
func smallDeployment() View {
	return deployment(35*time.Millisecond, []int{2, 1}, []int{1, 1}, []int{1, 1})
}

func (v *View) without(names ...vm.Name) View {
	left := *v
	left.VMs = nil
	for _, known := range v.VMs {
		lost := false
		for _, name := range names {
			lost = lost || known.Name == name
		}
		if !lost {
			left.VMs = append(left.VMs, known)
		}
	}
	return left
}

// spread holds the entry VMs that are chosen for the callers of all regions.
type spread struct {
	callers map[vm.Name]int
	choice  map[Query]vm.Name
	total   int
}

const blocksPerRegion = 20000

func spreadOf(t *Table, v View) spread {
	s := spread{callers: make(map[vm.Name]int), choice: make(map[Query]vm.Name)}
	for r, region := range v.Platform.Regions {
		for i := range blocksPerRegion {
			q := Query{Service: "certdesk", Origin: region.Name, Block: Block(r*blocksPerRegion + i), Now: start}
			name := t.Decide(q).Entries[0].Name
			s.callers[name]++
			s.choice[q] = name
			s.total++
		}
	}
	return s
}

// ratio returns the largest number of callers of a VM divided by the mean.
func (s *spread) ratio(vms int) float64 {
	most := 0
	for _, n := range s.callers {
		most = max(most, n)
	}
	return float64(most) * float64(vms) / float64(s.total)
}

// moved returns the fraction of callers that changed their VM although their previous one is not lost.
func (s *spread) moved(before spread, lost ...vm.Name) float64 {
	moved := 0
	for q, name := range before.choice {
		gone := false
		for _, l := range lost {
			gone = gone || name == l
		}
		if !gone && s.choice[q] != name {
			moved++
		}
	}
	return float64(moved) / float64(before.total)
}

func TestLostVMsSpreadOverSurvivors(t *testing.T) {
	const target = 1.25 // max/mean
	view := smallDeployment()
	cases := map[string][]vm.Name{"none": nil, "two, one region": {"e4", "e5"}, "two, two regions": {"e3", "e6"}, "zone r0-a": {"e1", "e2"}}
	for _, v := range view.VMs {
		cases["one, "+string(v.Name)] = []vm.Name{v.Name}
	}
	table := NewTable(Options{})
	table.Update(view)
	before := spreadOf(table, view)
	for name, lost := range cases {
		left := view.without(lost...)
		table.Update(left)
		after := spreadOf(table, view)
		ratio := after.ratio(len(left.VMs))
		t.Logf("lost %-18s max/mean %.3f, moved from a remaining VM %.3f", name, ratio, after.moved(before, lost...))
		if ratio > target {
			t.Errorf("lost %s: max/mean %.3f > %.2f: %v", name, ratio, target, after.callers)
		}
		for _, gone := range lost {
			if after.callers[gone] > 0 {
				t.Errorf("lost VM %s is still returned", gone)
			}
		}
	}
}

// TestFallbackEntriesSpread checks that callers with an earlier decision spread evenly when a VM is lost: they go to
// the next entry of that decision before any new lookup.
func TestFallbackEntriesSpread(t *testing.T) {
	const target = 1.25 // max/mean
	view := smallDeployment()
	cases := map[string][]vm.Name{"zone r0-a": {"e1", "e2"}}
	for _, v := range view.VMs {
		cases["one, "+string(v.Name)] = []vm.Name{v.Name}
	}
	table := NewTable(Options{})
	table.Update(view)
	for name, lost := range cases {
		s := spread{callers: make(map[vm.Name]int)}
		for r, region := range view.Platform.Regions {
			for i := range blocksPerRegion {
				q := Query{Service: "certdesk", Origin: region.Name, Block: Block(r*blocksPerRegion + i), Now: start}
				s.callers[firstSurvivor(table.Decide(q), lost)]++
				s.total++
			}
		}
		ratio := s.ratio(len(view.VMs) - len(lost))
		t.Logf("lost %s: max/mean %.3f", name, ratio)
		if ratio > target || s.callers[""] > 0 {
			t.Errorf("lost %s: max/mean %.3f > %.2f: %v", name, ratio, target, s.callers)
		}
	}
}

// firstSurvivor returns the first entry of d that is not lost, or "".
func firstSurvivor(d Decision, lost []vm.Name) vm.Name {
	for _, e := range d.Entries[:d.Count] {
		if !slices.Contains(lost, e.Name) {
			return e.Name
		}
	}
	return ""
}

func TestSkewedDemandStaysWithinSpread(t *testing.T) {
	view := smallDeployment()
	view.Demand = []Demand{{Region: "r0", PerSecond: 200}, {Region: "r1", PerSecond: 700}, {Region: "r2", PerSecond: 100}}
	table := NewTable(Options{})
	table.Update(view)
	carried := make(map[vm.Name]float64)
	for _, d := range view.Demand {
		for i := range blocksPerRegion {
			name := table.Decide(Query{Service: "certdesk", Origin: d.Region, Block: Block(i), Now: start}).Entries[0].Name
			carried[name] += d.PerSecond / blocksPerRegion
		}
	}
	for name, rate := range carried {
		if rate > 1.25*1000/7 {
			t.Errorf("%s carries %.0f/s", name, rate)
		}
	}
	t.Log(carried)
}

// TestFullVMGetsFewerCallers checks that a fully utilized VM gets fewer callers than the others.
func TestFullVMGetsFewerCallers(t *testing.T) {
	view := smallDeployment()
	for i := range view.VMs {
		view.VMs[i].RequestRate = 120 // requests/s; the view has no demand
	}
	view.VMs[0].Utilization = 1.8
	table := NewTable(Options{})
	table.Update(view)
	s := spreadOf(table, view)
	if share := float64(s.callers["e1"]) * 7 / float64(s.total); share > 0.75 {
		t.Errorf("the full VM has %.2f of the mean number of callers", share)
	}
}

func TestNearestFirst(t *testing.T) {
	view := smallDeployment()
	table := NewTable(Options{})
	table.Update(view)
	zones := make(map[vm.Name]steering.ZoneName)
	for _, v := range view.VMs {
		zones[v.Name] = v.Zone
	}
	local := 0
	for i := range blocksPerRegion {
		d := table.Decide(Query{Service: "certdesk", Origin: "r0", Block: Block(i), Now: start})
		if view.Platform.RegionOf(d.Entries[0].Zone) == "r0" {
			local++
			if d.Reason != ReasonNearest {
				t.Fatalf("reason %s", d.Reason)
			}
		}
		if d.Count != MaxEntries || d.Entries[0].Name == d.Entries[1].Name || d.Entries[1].Name == d.Entries[2].Name {
			t.Fatalf("entries %+v", d.Entries)
		}
	}
	if local != blocksPerRegion {
		t.Errorf("%d of %d callers of r0, which has free capacity, stay there", local, blocksPerRegion)
	}
}

// TestSpilledCallersKeepANearVM checks that callers that spilled from a full region still get a VM of it as a fallback.
func TestSpilledCallersKeepANearVM(t *testing.T) {
	v := smallDeployment()
	v = v.without("e6")
	table := NewTable(Options{})
	table.Update(v)
	spilled := 0
	for i := range 1000 {
		d := table.Decide(Query{Service: "saldo", Origin: "r2", Block: Block(i), Now: start})
		if d.Reason != ReasonSpilled {
			continue
		}
		spilled++
		if d.Entries[1].Name != "e7" && d.Entries[2].Name != "e7" {
			t.Fatalf("block %d: %v", i, d.Entries)
		}
	}
	if spilled == 0 {
		t.Error("no caller was spilled")
	}
}

func TestLeavingAndUnresponsiveVMs(t *testing.T) {
	view := smallDeployment()
	view.VMs[0].Leaving = true
	view.VMs[1].Unresponsive = true
	table := NewTable(Options{})
	table.Update(view)
	for i := range blocksPerRegion {
		d := table.Decide(Query{Service: "certdesk", Origin: "r0", Block: Block(i), Now: start})
		for _, e := range d.Entries[:d.Count] {
			if e.Name == "e1" || e.Name == "e2" {
				t.Fatalf("%s is returned", e.Name)
			}
		}
	}
}

func TestDecisionsWithoutContact(t *testing.T) {
	self := VMView{Name: "e3", Incarnation: 4, Zone: "r0-b", Address: "127.0.0.3:8080"}
	table := NewTable(Options{Self: self})
	d := table.Decide(Query{Service: "certdesk", Origin: "r0", Now: start})
	if d.Count != 1 || d.Entries[0].Name != "e3" || d.Reason != ReasonOnlyVM || !d.Stale {
		t.Fatalf("no contact with any VM: %+v", d)
	}
	view := smallDeployment()
	for i := range view.VMs {
		view.VMs[i].Unresponsive = view.VMs[i].Name != "e3"
	}
	table.Update(view)
	d = table.Decide(Query{Service: "certdesk", Origin: "r2", Now: start})
	if d.Count != 1 || d.Entries[0].Name != "e3" {
		t.Fatalf("all others unresponsive: %+v", d)
	}
	view.VMs[2].Leaving = true
	table.Update(view)
	d = table.Decide(Query{Service: "certdesk", Origin: "r2", Now: start.Add(time.Minute)})
	if d.Count == 0 || !d.Stale || d.KnowledgeAge != time.Minute || d.Lifetime > defaultStaleLifetime {
		t.Fatalf("only unresponsive VMs left: %+v", d)
	}
	for _, e := range d.Entries[:d.Count] {
		if e.Name == "e3" {
			t.Fatal("the leaving VM is returned")
		}
	}
	d = table.Decide(Query{Service: "certdesk", Origin: "nowhere", Now: start})
	if d.Count == 0 || d.Reason != ReasonUnknownOrigin {
		t.Fatalf("unknown origin: %+v", d)
	}
}

func TestDecideAllocatesNothing(t *testing.T) {
	view := smallDeployment()
	table := NewTable(Options{})
	table.Update(view)
	q := Query{Service: "certdesk", Origin: "r1", Block: 4711, Now: start}
	if n := testing.AllocsPerRun(1000, func() { _ = table.Decide(q) }); n != 0 {
		t.Errorf("%v allocations for each decision, want 0", n)
	}
}
