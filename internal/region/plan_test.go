package region

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/proptest"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

func TestMain(m *testing.M) { proptest.Main(m, 1000) }

var names = []steering.RegionName{"batinah", "dhofar", "muscat"}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newTestInputs() Inputs {
	in := Inputs{At: epoch, Service: "certdesk", Epoch: 1, Cap: steering.ShiftCap{Share: 0.2, Window: steering.Duration(time.Minute)}, Deadline: steering.Duration(time.Second)}
	for _, n := range names {
		in.Regions = append(in.Regions, RegionInput{Name: n, Weight: 1, Capacity: 100})
		in.Origins = append(in.Origins, OriginInput{Region: n, Demand: 60, PreviousAt: epoch.Add(-time.Second), Previous: []Share{{n, 1}}})
		for _, m := range names {
			if m != n {
				in.Links = append(in.Links, LinkInput{From: n, To: m, Delay: steering.Duration(35 * time.Millisecond), AvailableMbit: -1})
			}
		}
	}
	return in
}

func TestConstraints(t *testing.T) {
	late := func(in *Inputs) {
		in.Origins[0].Demand = 200
		in.Deadline = steering.Duration(100 * time.Millisecond)
	}
	for name, c := range map[string]struct {
		change func(*Inputs)
		want   review.Constraint
		home   float64
	}{
		"nothing binds":                      {func(*Inputs) {}, review.ConstraintNone, 1},
		"demand above the region's capacity": {func(in *Inputs) { in.Origins[0].Demand = 100 }, review.ConstraintCap, 1 - 0.2/60},
		"drain limited by the cap":           {func(in *Inputs) { in.Regions[0].DrainFrom = epoch }, review.ConstraintCap, 1 - 0.2/60},
		"deadline":                           {late, review.ConstraintDeadline, 1},
		"over the cap":                       {func(in *Inputs) { in.Regions[0].Lost = true }, review.ConstraintCap, 0},
		"link": {func(in *Inputs) {
			in.Origins[0].Demand, in.Origins[0].MbitPerSlot = 200, 1
			for i := range in.Links {
				in.Links[i].AvailableMbit = 0
			}
		}, review.ConstraintLink, 1},
		"no capacity anywhere": {func(in *Inputs) {
			for i := range in.Origins {
				in.Origins[i].Demand = 150
			}
		}, review.ConstraintContract, 1},
	} {
		in := newTestInputs()
		c.change(&in)
		plan := ComputePlan(in)
		got := plan.Origins[0]
		if got.Constraint != c.want || math.Abs(got.ShareOf("batinah")-c.home) > 1e-9 {
			t.Errorf("%s: plan %+v, want constraint %s and home share %g", name, got, c.want, c.home)
		}
	}
}

func TestLostRegionRefusesTrafficBeyondTheCap(t *testing.T) {
	in := newTestInputs()
	in.Regions[0].Lost = true
	in.Origins[0].Demand = 30
	in.Origins[0].Classes = [steering.ClassCount]float64{0.5, 0.2, 0.3}
	plan := ComputePlan(in)
	got := plan.Origins[0]
	if math.Abs(got.Moved-0.2) > 1e-9 || math.Abs(got.Refused-0.8) > 1e-9 {
		t.Fatalf("moved %g, refused %g; want 0.2 and 0.8", got.Moved, got.Refused)
	}
	if got.ByClass[steering.ClassDeferrable] != 1 || got.ByClass[steering.ClassBulk] != 1 || math.Abs(got.ByClass[steering.ClassInteractive]-0.6) > 1e-9 {
		t.Errorf("refused shares by class %v, want 1 for deferrable and bulk, 0.6 for interactive", got.ByClass)
	}
	table := NewTable(plan)
	refused := 0
	const keys = 10000
	for i := range uint64(keys) {
		if c, ok := table.PickRegion("certdesk", "batinah", hashKey(i)); !ok || c.Region == "" {
			refused++
		}
	}
	if refused < keys*57/100 || refused > keys*63/100 {
		t.Errorf("%d of %d interactive requests refused, want 57 to 63 percent", refused, keys)
	}
}

// drawInputs generates random inputs, including implausible ones.
func drawInputs(t *rapid.T) Inputs {
	in := newTestInputs()
	share := rapid.Float64Range(0, 1)
	in.Cap.Share = share.Draw(t, "cap")
	for i := range names {
		r, o := &in.Regions[i], &in.Origins[i]
		r.Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
		r.Capacity = float64(rapid.IntRange(0, 200).Draw(t, "capacity"))
		r.Carried = float64(rapid.IntRange(0, 200).Draw(t, "carried"))
		r.Lost = rapid.IntRange(0, 4).Draw(t, "lost") == 0
		if rapid.IntRange(0, 4).Draw(t, "drain") == 0 {
			r.DrainFrom = epoch.Add(-time.Second)
		}
		o.Demand = float64(rapid.IntRange(0, 300).Draw(t, "demand"))
		o.MbitPerSlot = share.Draw(t, "mbit")
		o.PreviousAt = epoch.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "since")) * time.Second)
		if rapid.Bool().Draw(t, "moved") {
			o.Moves = []Move{{At: epoch.Add(-30 * time.Second), Share: in.Cap.Share * share.Draw(t, "used")}}
		}
		cut := share.Draw(t, "previous")
		o.Previous = []Share{{names[i], cut}, {names[(i+1)%3], (1 - cut) * share.Draw(t, "served")}}
	}
	for i := range in.Links {
		in.Links[i].AvailableMbit = float64(rapid.IntRange(-1, 50).Draw(t, "room"))
	}
	return in
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInputs(t)
		plan := ComputePlan(in)
		for i, o := range plan.Origins {
			used, gained, sum := 0.0, 0.0, o.Refused
			for _, m := range in.Origins[i].Moves {
				used += m.Share
			}
			for r, reg := range in.Regions {
				s := o.ShareOf(reg.Name)
				sum += s
				before := previousShare(&in.Origins[i], reg.Name)
				if s > before {
					gained += s - before
				}
				if reg.Lost && s > 0 {
					t.Fatalf("lost region %s gets share %g, want 0", in.Regions[r].Name, s)
				}
			}
			if math.Abs(sum-1) > 1e-6 {
				t.Fatalf("shares and refused share of %s sum to %g, want 1", o.Region, sum)
			}
			if used+gained > in.Cap.Share+1e-6 || math.Abs(gained-o.Moved) > 1e-6 {
				t.Fatalf("%s gained %g after %g earlier in the window with a cap of %g; plan reports %g moved", o.Region, gained, used, in.Cap.Share, o.Moved)
			}
		}
		for r, reg := range in.Regions {
			load, excess := 0.0, 0.0
			for i, o := range plan.Origins {
				load += o.ShareOf(reg.Name) * in.Origins[i].Demand
				if o.Region == reg.Name {
					excess = o.Excess * in.Origins[i].Demand
				}
			}
			if limit := max(newTarget(&in).previousLoad(r), reg.Capacity) + excess; load > limit+1e-6 {
				t.Fatalf("%s gets a load of %g slots, limit %g\n%+v", reg.Name, load, limit, plan)
			}
		}
		data, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		var again Inputs
		if err := json.Unmarshal(data, &again); err != nil {
			t.Fatal(err)
		}
		recomputed := ComputePlan(again)
		if !plan.Equal(&recomputed) {
			t.Fatalf("recomputed plan differs:\n%+v\n%+v", plan, recomputed)
		}
	})
}

// previousShare returns the share of an origin's traffic that region served under the previous plan.
func previousShare(o *OriginInput, region steering.RegionName) float64 {
	if o.PreviousAt.IsZero() && len(o.Previous) == 0 {
		if region == o.Region {
			return 1
		}
		return 0
	}
	for _, s := range o.Previous {
		if s.Region == region {
			return s.Share
		}
	}
	return 0
}

// BenchmarkCompute47 computes the plan of one service in 47 regions, a third of them with more demand than slots.
func BenchmarkCompute47(b *testing.B) {
	const regions = 47
	in := Inputs{At: epoch, Service: "certdesk", Epoch: 1, Cap: steering.ShiftCap{Share: 0.2, Window: steering.Duration(time.Minute)}}
	for i := range regions {
		n := steering.RegionName(fmt.Sprintf("region-%02d", i))
		in.Regions = append(in.Regions, RegionInput{Name: n, Weight: 1, Capacity: 100})
		in.Origins = append(in.Origins, OriginInput{Region: n, Demand: float64(60 + i%3*35), PreviousAt: epoch.Add(-time.Second), Previous: []Share{{n, 1}}})
	}
	for _, from := range in.Regions {
		for _, to := range in.Regions {
			if from.Name != to.Name {
				in.Links = append(in.Links, LinkInput{From: from.Name, To: to.Name, AvailableMbit: -1})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ComputePlan(in)
	}
}

func BenchmarkPick(b *testing.B) {
	in := newTestInputs()
	in.Origins[0].Demand = 150
	in.Origins[0].Previous = []Share{{"batinah", 0.6}, {"muscat", 0.4}}
	table := NewTable(ComputePlan(in))
	b.ReportAllocs()
	key := uint64(1)
	for b.Loop() {
		key = key*6364136223846793005 + 1
		if _, ok := table.PickRegion("certdesk", "batinah", key); !ok {
			b.Fatal("no plan for certdesk and batinah")
		}
	}
}
