package lookup

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// size describes the size of a deployment.
type size struct {
	regions, zones, vms, sites, blocks int
}

// sizes are the deployment sizes to test. The last one is the target for two years.
var sizes = []size{
	{3, 6, 7, 30, 45_000},
	{6, 13, 540, 225, 340_000},
	{12, 27, 1_080, 450, 680_000},
	{24, 54, 2_150, 900, 1_350_000},
	{47, 107, 4_300, 1_800, 2_700_000},
}

// view returns a view whose VMs are spread over zones and whose zones are spread over regions.
func (s size) view() View {
	zones := make([][]int, s.regions)
	for z := range s.zones {
		vms := s.vms / s.zones
		if z < s.vms%s.zones {
			vms++
		}
		zones[z%s.regions] = append(zones[z%s.regions], vms)
	}
	v := deployment(35*time.Millisecond, zones...)
	random := rand.New(rand.NewPCG(1, uint64(s.vms)))
	for i := range v.Platform.Links {
		v.Platform.Links[i].Delay = steering.Duration((5 + time.Duration(random.IntN(120))) * time.Millisecond)
	}
	return v
}

func (s size) table(tb testing.TB) (*Sites, View) {
	tb.Helper()
	view := s.view()
	var zones []steering.ZoneName
	for _, region := range view.Platform.Regions {
		zones = append(zones, region.Zones...)
	}
	var places []Site
	for i := range s.sites {
		places = append(places, Site{Name: fmt.Sprintf("site-%d", i), Zone: zones[i%len(zones)]})
	}
	sites, err := NewSites(places, s.placed())
	if err != nil {
		tb.Fatal(err)
	}
	return sites, view
}

// placed yields distinct blocks; neighboring blocks are mostly at the same site.
func (s size) placed() iter.Seq[BlockSite] {
	return func(yield func(BlockSite) bool) {
		random := rand.New(rand.NewPCG(2, uint64(s.blocks)))
		gap := ListedBlocks / s.blocks
		site := 0
		for i := range s.blocks {
			if random.IntN(20) == 0 {
				site = random.IntN(s.sites)
			}
			if !yield(BlockSite{Block: Block(i*gap + random.IntN(gap)), Site: uint16(site)}) {
				return
			}
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d/blocks=%d", s.vms, s.blocks), func(b *testing.B) {
			sites, view := s.table(b)
			now := time.Now() // includes the monotonic clock reading, as in a daemon
			view.LearnedAt = now
			table := NewTable(Options{Sites: sites})
			table.Update(view)
			random := rand.New(rand.NewPCG(3, 4))
			queries := make([]Query, 1<<16)
			for i := range queries {
				region := view.Platform.Regions[random.IntN(s.regions)].Name
				queries[i] = Query{Service: "certdesk", Origin: region, Block: Block(random.IntN(ListedBlocks)), Now: now}
			}
			b.ReportAllocs()
			i := 0
			started := processorTime(b)
			for b.Loop() {
				_ = table.Decide(queries[i&(len(queries)-1)])
				i++
			}
			b.ReportMetric(float64((processorTime(b)-started).Nanoseconds())/float64(b.N), "processor-ns/op")
			b.ReportMetric(float64(sites.Bytes())/(1<<20), "MB-table")
		})
	}
}

// processorTime returns the CPU time used by this process; on a busy machine it is more meaningful than elapsed time.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func BenchmarkUpdate(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("vms=%d/blocks=%d", s.vms, s.blocks), func(b *testing.B) {
			sites, view := s.table(b)
			table := NewTable(Options{Sites: sites})
			b.ReportAllocs()
			for b.Loop() {
				table.Update(view)
			}
		})
	}
}

// TestMemoryAtTarget checks that the table of all blocks and the view of all VMs together stay within the bound.
func TestMemoryAtTarget(t *testing.T) {
	const bound = 48 << 20 // bytes
	s := sizes[len(sizes)-1]
	before := heap()
	sites, view := s.table(t)
	table := NewTable(Options{Sites: sites})
	table.Update(view)
	used := heap() - before
	d := table.Decide(Query{Service: "certdesk", Block: 7, Now: start})
	t.Logf("table %.1f MB, all %.1f MB, first entry %s", float64(sites.Bytes())/(1<<20), float64(used)/(1<<20), d.Entries[0].Name)
	if used > bound {
		t.Errorf("%d bytes used exceed the bound", used)
	}
	runtime.KeepAlive(table)
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestSpreadAtTarget checks that, also at the target size, callers spread evenly over the VMs, both with all zones and
// after the loss of one.
func TestSpreadAtTarget(t *testing.T) {
	const target = 1.25 // max/mean over the VMs
	s := sizes[len(sizes)-1]
	sites, view := s.table(t)
	table := NewTable(Options{Sites: sites})
	lostZone := view.VMs[0].Zone
	for _, name := range []string{"none", "zone"} {
		left := view
		if name == "zone" {
			left.VMs = slices.DeleteFunc(slices.Clone(view.VMs), func(v VMView) bool { return v.Zone == lostZone })
		}
		table.Update(left)
		callers := make(map[string]int)
		total := 0
		const oneOf = 8 // look up one of this many blocks
		for p := range s.placed() {
			if p.Block%oneOf != 0 {
				continue
			}
			d := table.Decide(Query{Service: "certdesk", Block: p.Block, Now: start})
			callers[string(d.Entries[0].Zone)]++
			total++
		}
		maxRatio := 0.0
		perVM := float64(total) / float64(len(left.VMs))
		for zone, n := range callers {
			maxRatio = max(maxRatio, float64(n)/float64(vmsIn(left, steering.ZoneName(zone)))/perVM)
		}
		t.Logf("lost %s: max/mean over zones %.3f", name, maxRatio)
		if maxRatio > target {
			t.Errorf("lost %s: max/mean %.3f", name, maxRatio)
		}
	}
}

func vmsIn(v View, zone steering.ZoneName) int {
	n := 0
	for _, known := range v.VMs {
		if known.Zone == zone {
			n++
		}
	}
	return n
}

func TestSitesFindEveryBlock(t *testing.T) {
	s := sizes[0]
	sites, _ := s.table(t)
	listed := make(map[Block]bool)
	for p := range s.placed() {
		site, found := sites.Find(p.Block)
		if want := fmt.Sprintf("site-%d", p.Site); !found || site.Name != want {
			t.Fatalf("block %d: %v %v, want %s", p.Block, site, found, want)
		}
		listed[p.Block] = true
	}
	if sites.Len() != s.blocks {
		t.Errorf("%d blocks are listed", sites.Len())
	}
	for b := range Block(100_000) {
		if _, found := sites.Find(b); found != listed[b] {
			t.Fatalf("block %d found: %v", b, found)
		}
	}
	if _, found := sites.Find(ListedBlocks + 5); found {
		t.Error("a block above ListedBlocks is found")
	}
}

func TestReadSites(t *testing.T) {
	sites, err := ReadSites(strings.NewReader("192.0.2.0/24,seeb,r0-a\n198.51.100.7,nizwa,r1-a\n"))
	if err != nil || sites.Len() != 2 {
		t.Fatalf("%v", err)
	}
	if block, _ := ParseBlock("198.51.100.99"); true {
		if site, found := sites.Find(block); !found || site.Name != "nizwa" || site.Zone != "r1-a" {
			t.Errorf("%+v %v", site, found)
		}
	}
	for _, malformed := range []string{"x,y,z\n", "192.0.2.0/24,a\n", "\"", "192.0.0.0/16,a,b\n", "2001:db8::/48,a,b\n"} {
		if _, err := ReadSites(strings.NewReader(malformed)); err == nil {
			t.Errorf("%q is accepted", malformed)
		}
	}
}

func FuzzReadSites(f *testing.F) {
	f.Add("192.0.2.0/24,seeb,r0-a\n")
	f.Add("192.0.2.0/24,\"se\neb\",r0-a\n198.51.100.7,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		sites, err := ReadSites(strings.NewReader(text))
		if err == nil && sites.Len() > strings.Count(text, "\n")+1 {
			t.Errorf("%d blocks from %q", sites.Len(), text)
		}
	})
}
