package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Target sizes of a deployment.
const (
	targetZones   = 107
	targetRegions = 47
)

// fleetSizes are the numbers of entry VMs for which costs are measured.
var fleetSizes = []int{7, 40, 400, 4300}

// stateOf returns the state of VM i of a fleet, with the given numbers of loads and origins.
func stateOf(i, loads, origins int, heartbeat uint64) *peer.VMState {
	zone := i % targetZones
	s := &peer.VMState{
		Name:        fmt.Sprintf("entry-%04d", i),
		Incarnation: 1_764_844_800_000_000_000 + uint64(i),
		Region:      fmt.Sprintf("region-%02d", zone%targetRegions),
		Zone:        fmt.Sprintf("zone-%03d", zone),
		Address:     fmt.Sprintf("10.%d.%d.%d:8080", zone, i/250, i%250),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:8081", zone, i/250, i%250),
		Revision:    14_000,
		Heartbeat:   heartbeat,
	}
	for j := range loads {
		s.Loads = append(s.Loads, &peer.ServiceLoad{
			Service: fmt.Sprintf("service-%04d", j), Zone: s.Zone, InFlight: 20, HeldSlots: 60, CapacitySlots: 300,
		})
	}
	for j := range origins {
		s.Origins = append(s.Origins, &peer.OriginLoad{
			Service: fmt.Sprintf("service-%04d", j), Origin: s.Region, InFlight: 20, Queued: 1,
		})
	}
	return s
}

// leaderStates returns the leaders of n zones.
func leaderStates(n int) []*peer.LeaderState {
	out := make([]*peer.LeaderState, n)
	for i := range out {
		out[i] = &peer.LeaderState{Zone: fmt.Sprintf("zone-%03d", i), Vm: fmt.Sprintf("entry-%04d", i), Epoch: 100_000}
	}
	return out
}

// heartbeat returns a request with the given numbers of relayed states, loads and leaders.
func heartbeat(known, loads, leaders int) *peer.ExchangeRequest {
	req := &peer.ExchangeRequest{Self: stateOf(0, loads, loads, 1_000_000), Leaders: leaderStates(leaders)}
	for i := range known {
		req.Known = append(req.Known, stateOf(i+1, loads, loads, 1_000_000))
	}
	return req
}

// line is a least-squares fit; residual is the largest vertical distance of a point from it.
type line struct{ base, slope, residual float64 }

func fit(x, y []float64) line {
	var mx, my, sxy, sxx float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(x))
	}
	for i := range x {
		sxy += (x[i] - mx) * (y[i] - my)
		sxx += (x[i] - mx) * (x[i] - mx)
	}
	l := line{slope: sxy / sxx}
	l.base = my - l.slope*mx
	for i := range x {
		l.residual = max(l.residual, math.Abs(y[i]-l.base-l.slope*x[i]))
	}
	return l
}

// TestExchangeBytes logs the size of a heartbeat by its contents. It asserts nothing; TestChangedIsBounded checks that
// the number of states in a message does not grow with the fleet.
func TestExchangeBytes(t *testing.T) {
	series := []struct {
		name  string
		sizes []int
		bytes func(n int) int
	}{
		{"relayed states, no load", []int{0, 2, 4, 8, 16}, func(n int) int { return proto.Size(heartbeat(n, 0, 0)) }},
		{"loads and origins of the sender", []int{0, 3, 30, 300, 1800}, func(n int) int { return proto.Size(heartbeat(0, n, 0)) }},
		{"leaders", []int{0, 6, 24, 54, targetZones}, func(n int) int { return proto.Size(heartbeat(0, 0, n)) }},
	}
	for _, s := range series {
		var x, y []float64
		for _, n := range s.sizes {
			x, y = append(x, float64(n)), append(y, float64(s.bytes(n)))
		}
		l := fit(x, y)
		t.Logf("%s: sizes %v, bytes %v: %.1f + %.2f each, residual %.1f", s.name, s.sizes, y, l.base, l.slope, l.residual)
	}
}

// TestChangedIsBounded checks that the number of states in one heartbeat does not grow with the fleet.
func TestChangedIsBounded(t *testing.T) {
	const limit = 16
	for _, n := range fleetSizes {
		d := fleet(n, 0)
		if got, _ := d.ChangedSince(0, limit); len(got) > limit {
			t.Errorf("fleet of %d: %d states returned, more than %d", n, len(got), limit)
		}
	}
}

// TestChangesBeyondTheLimit checks that a peer receives every change, however many occur at the same time.
func TestChangesBeyondTheLimit(t *testing.T) {
	for _, n := range []int{10, 40, 400} {
		d := fleet(n+1, 0)
		received := make(map[string]bool)
		since := uint64(0)
		for range n {
			var states []*peer.VMState
			states, since = d.ChangedSince(since, 16)
			for _, s := range states {
				received[s.GetName()] = true
			}
		}
		if len(received) != n {
			t.Errorf("%d states changed at once, %d were received", n, len(received))
		}
	}
}

// TestListBytes logs the size of the VM list by its number of rows.
func TestListBytes(t *testing.T) {
	var x, y []float64
	for _, n := range fleetSizes {
		rows := make([]VM, n)
		for i := range rows {
			rows[i] = rowOf(stateOf(i, 0, 0, 0))
			rows[i].Since = time.Unix(1_764_844_800, 0).UTC()
		}
		data, err := json.Marshal(rows)
		if err != nil {
			t.Fatal(err)
		}
		x, y = append(x, float64(n)), append(y, float64(len(data)))
	}
	l := fit(x, y)
	t.Logf("rows %v, bytes %v: %.1f + %.2f each, residual %.1f", x, y, l.base, l.slope, l.residual)
}

// fleet returns the directory of VM 0 with the states of n VMs, including itself.
func fleet(n, loads int) *Directory {
	now := time.Unix(1_764_844_800, 0)
	d := NewDirectory(VM{Name: "entry-0000", Kind: KindEntry, Zone: "zone-000", State: StateLive}, DirectoryOptions{})
	states := make([]*peer.VMState, 0, n)
	for i := 1; i < n; i++ {
		states = append(states, stateOf(i, loads, loads, 1))
	}
	d.Merge(states, now)
	return d
}

func BenchmarkExchangeCodec(b *testing.B) {
	cases := []struct{ known, loads, leaders int }{
		{0, 0, 0}, {0, 3, 6}, {4, 3, 6}, {8, 3, 6}, {16, 3, 6}, {16, 3, targetZones}, {0, 30, 0}, {0, 300, 0}, {0, 1800, 0},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("known=%d/loads=%d/leaders=%d", c.known, c.loads, c.leaders), func(b *testing.B) {
			req := heartbeat(c.known, c.loads, c.leaders)
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(req)
				if err != nil {
					b.Fatal(err)
				}
				if err := proto.Unmarshal(data, &peer.ExchangeRequest{}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

// BenchmarkMerge measures the receipt of one heartbeat: a merge of one state and the new snapshot.
func BenchmarkMerge(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			d := fleet(n, 3)
			now := time.Unix(1_764_844_801, 0)
			beat := uint64(1)
			states := []*peer.VMState{nil}
			b.ReportAllocs()
			for b.Loop() {
				beat++
				states[0] = stateOf(1+int(beat)%(n-1), 3, 3, beat)
				d.Merge(states, now)
			}
		})
	}
}

// BenchmarkChanged measures the search for the changes to send to a peer when nothing changed.
func BenchmarkChanged(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			d := fleet(n, 0)
			_, since := d.ChangedSince(0, n)
			for b.Loop() {
				d.ChangedSince(since, 16)
			}
		})
	}
}

// BenchmarkTargets measures the choice of the peers of a round by the leader of a zone.
func BenchmarkTargets(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			leaders := NewLeaders("entry-0000")
			leaders.Merge([]*peer.LeaderState{{Zone: "zone-000", Vm: "entry-0000", Epoch: 1}})
			x := NewExchanger(ExchangerOptions{Directory: fleet(n, 0), Leaders: leaders})
			b.ReportAllocs()
			for b.Loop() {
				x.targets()
			}
		})
	}
}

// BenchmarkUpdateList measures one update from the VM list.
func BenchmarkUpdateList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			d := fleet(n, 0)
			rows := make([]VM, n)
			for i := range rows {
				s := stateOf(i, 0, 0, 1)
				rows[i] = VM{Name: Name(s.Name), Kind: KindEntry, Zone: steering.ZoneName(s.Zone), State: StateLive}
			}
			for b.Loop() {
				d.UpdateList(rows, time.Unix(1_764_844_801, 0))
			}
		})
	}
}

// BenchmarkDirectoryMemory reports the heap memory that a directory uses.
func BenchmarkDirectoryMemory(b *testing.B) {
	for _, loads := range []int{0, 3, 30} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("vms=%d/loads=%d", n, loads), func(b *testing.B) {
				var held uint64
				for b.Loop() {
					before := heap()
					d := fleet(n, loads)
					held = heap() - before
					runtime.KeepAlive(d)
				}
				b.ReportMetric(float64(held), "heap-bytes")
			})
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// livenessCounts counts the liveness states that the VMs of a fleet assign to each other.
type livenessCounts struct{ live, suspect, dead int }

// newFleet returns the exchangers of a fleet by name. The first VM of each zone is its leader, and all VMs know it.
func newFleet(zones, perZone int) map[Name]*Exchanger {
	var rows []VM
	var leading []*peer.LeaderState
	for i := range zones * perZone {
		s := stateOf(i, 0, 0, 0)
		s.Zone = fmt.Sprintf("zone-%03d", i%zones)
		rows = append(rows, rowOf(s))
		if i < zones {
			leading = append(leading, &peer.LeaderState{Zone: s.Zone, Vm: s.Name, Epoch: 1})
		}
	}
	all := make(map[Name]*Exchanger)
	for i := range rows {
		x := newExchanger(i, rows)
		x.opts.Leaders.Merge(leading)
		all[rows[i].Name] = x
	}
	return all
}

// newExchanger returns the exchanger of a process that starts on VM i of rows.
func newExchanger(i int, rows []VM) *Exchanger {
	beats, row, started := uint64(0), rows[i], uint64(time.Now().UnixMilli())
	d := NewDirectory(row, DirectoryOptions{})
	d.UpdateList(rows, time.Now())
	return NewExchanger(ExchangerOptions{
		Directory: d,
		Leaders:   NewLeaders(row.Name),
		Self: func() *peer.VMState {
			beats++
			s := stateOf(i, 0, 0, beats)
			s.Zone, s.Incarnation = string(row.Zone), started
			d.UpdateSelf(s, time.Now())
			return s
		},
	})
}

// runFleet runs exchanges between all VMs of a fleet for a duration of virtual time, in memory and without
// message loss.
func runFleet(zones, perZone int, duration time.Duration) livenessCounts {
	exchangers := newFleet(zones, perZone)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, name := range slices.Sorted(maps.Keys(exchangers)) {
			exchangeRound(exchangers[name], exchangers)
		}
	}
	return countLiveness(exchangers)
}

// exchangeRound does the same as Exchanger.Round with direct calls.
func exchangeRound(x *Exchanger, all map[Name]*Exchanger) {
	for _, target := range x.targets() {
		reply, err := all[target.Name].Exchange(context.Background(), x.newRequest(target.Name))
		if err == nil {
			x.merge(reply, time.Now())
		}
	}
	x.opts.Directory.Refresh(time.Now())
}

func countLiveness(all map[Name]*Exchanger) livenessCounts {
	var b livenessCounts
	for name, x := range all {
		for _, e := range x.opts.Directory.View().Entries {
			switch {
			case e.VM.Name == name:
			case e.Liveness == Dead:
				b.dead++
			case e.Liveness == Suspect:
				b.suspect++
			default:
				b.live++
			}
		}
	}
	return b
}

// TestBeliefsByFleet checks that VMs that all run and reach each other see each other as live, both in fleets with
// direct heartbeats only and in larger ones with relayed heartbeats.
func TestBeliefsByFleet(t *testing.T) {
	for _, f := range []struct{ zones, perZone int }{{7, 1}, {8, 1}, {4, 2}, {1, 10}, {1, 20}, {1, 40}, {3, 8}, {6, 6}, {12, 12}} {
		synctest.Test(t, func(t *testing.T) {
			b := runFleet(f.zones, f.perZone, 25*time.Second)
			if b.suspect+b.dead > 0 {
				t.Errorf("%d zones of %d VMs: %+v", f.zones, f.perZone, b)
			}
		})
	}
}
