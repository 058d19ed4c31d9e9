package placement

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Two choosers get the same requests and results; one is also asked before each. They decide alike throughout, and the
// answer is what Place then does.
func TestExplainChangesNothingAndSaysWhatPlaceDoes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	members := []Member{member("a", "north"), member("b", "north"), member("c", "south"), member("d", "south")}
	members[1].ColdFor = 3 * time.Second
	asked, other := testChooser(members...), testChooser(members...)
	for _, c := range []*Chooser{asked, other} {
		c.SetPeers(Peers{Fleet: 2, Region: 1, Serving: 2})
		c.coldRates["desk"] = 2
	}
	now := start
	type pair struct{ a, b *Placement }
	var inFlight []pair
	refused, moves := 0, 0
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		q := testQuery(uint64(random.IntN(30)))
		q.Random = random.Float64()
		q.Retry = random.IntN(10) == 0
		q.FirstAttempt = !q.Retry
		if q.Retry {
			q.Tried = []ServerID{"a"}
		}
		x := asked.Explain(q, now)
		if x.MayMove != "" {
			moves++
		}
		a, refusalA := asked.Place(q, now)
		b, refusalB := other.Place(q, now)
		if !reflect.DeepEqual(refusalA, refusalB) || !reflect.DeepEqual(refusalA, x.Refusal) {
			t.Fatalf("refused with %+v, %+v where nothing was asked, %+v in the answer", refusalA, refusalB, x.Refusal)
		}
		if a == nil {
			refused++
		} else {
			if a.Server != b.Server || a.ExpectedLatency != b.ExpectedLatency || a.Candidates != b.Candidates {
				t.Fatalf("placed on %+v, and on %+v where nothing was asked", a, b)
			}
			if first := x.Candidates[0]; !first.Chosen || first.Server != a.Server || first.Wait != a.Wait || first.Warm != a.Warm {
				t.Fatalf("answer %+v, placed on %+v", first, a)
			}
			inFlight = append(inFlight, pair{a, b})
		}
		if n := len(inFlight); n > 0 && random.IntN(30) < n {
			i := random.IntN(n)
			r := &Result{Outcome: Outcome(random.IntN(20)), Latency: time.Duration(50+random.IntN(400)) * time.Millisecond}
			if r.Outcome > OutcomeNoResponse {
				r.Outcome = OutcomeSuccess
			}
			asked.RecordResult(inFlight[i].a, r, now)
			other.RecordResult(inFlight[i].b, r, now)
			inFlight = slices.Delete(inFlight, i, i+1)
		}
	}
	for _, p := range inFlight {
		asked.RecordResult(p.a, success(), now)
		other.RecordResult(p.b, success(), now)
	}
	if !reflect.DeepEqual(asked, other) {
		t.Error("the state differs from that of the chooser that was not asked")
	}
	if refused == 0 || moves == 0 {
		t.Errorf("%d refusals and %d offers to move: the requests show too little", refused, moves)
	}
}

func TestExplainNamesWhatExcludesAServer(t *testing.T) {
	leaving, cold := member("leaving", "north"), member("cold", "south")
	leaving.Draining, cold.ColdFor = true, time.Minute
	c := testChooser(leaving, cold, member("ejected", "north"), member("paused", "north"), member("tried", "north"), member("free", "north"))
	c.servers["ejected"].health.eject(0, start)
	c.servers["paused"].notice = &notice{backoffUntil: start.Add(time.Second)}
	evacuated := member("evacuated", "north")
	evacuated.Zone = "north-b"
	members := &Membership{Evacuated: map[steering.ZoneName]bool{"north-b": true}}
	for _, s := range c.servers {
		members.Members = append(members.Members, s.member)
	}
	members.Members = append(members.Members, evacuated)
	noticed := c.servers["paused"].notice
	c.SetMembership(members)
	c.servers["paused"].notice = noticed
	q := testQuery(0)
	q.Tried = []ServerID{"tried"}
	q.Route.AllowedRegions = []steering.RegionName{"north"}
	got := make(map[ServerID][]Exclusion)
	for _, one := range c.Explain(q, start).Candidates {
		got[one.Server] = one.Exclusions
	}
	want := map[ServerID][]Exclusion{
		"leaving": {ExclusionLeaving}, "cold": {ExclusionRegion, ExclusionColdRate}, "ejected": {ExclusionEjected},
		"paused": {ExclusionBackoff}, "tried": {ExclusionTried}, "free": nil, "evacuated": {ExclusionEvacuated},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
