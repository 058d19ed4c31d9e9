package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/azureflow/azureflow/internal/steering"
)

func TestPickServiceFollowsTheWeights(t *testing.T) {
	route := Route{Destinations: []Destination{{"a", 90}, {"b", 10}, {"c", 0}}}
	rng := rand.New(rand.NewPCG(1, 2))
	const draws = 20_000
	counts := make(map[steering.ServiceName]float64)
	for range draws {
		counts[route.PickService(rng.Float64())]++
	}
	for service, want := range map[steering.ServiceName]float64{"a": 0.9, "b": 0.1, "c": 0} {
		if got := counts[service] / draws; math.Abs(got-want) > 0.01 {
			t.Errorf("%s gets %.3f of the requests, want %.1f", service, got, want)
		}
	}
	if got := (&Route{Destinations: []Destination{{"a", 0}, {"b", 0}}}).PickService(0.5); got != "b" {
		t.Errorf("without any weight %q is picked, want the last destination", got)
	}
}

func TestAllows(t *testing.T) {
	open, bound := Route{}, Route{AllowedRegions: []steering.RegionName{"north"}}
	if !open.Allows("south") || !bound.Allows("north") || bound.Allows("south") {
		t.Error("Allows does not follow the allowed regions")
	}
}

func TestOnlySafeRoutesAreIdempotent(t *testing.T) {
	for kind, want := range map[Kind]bool{KindSafe: true, KindUnsafe: false, KindUpload: false} {
		if kind.Idempotent() != want {
			t.Errorf("%v is idempotent: %v, want %v", kind, kind.Idempotent(), want)
		}
	}
}

func TestDifferenceCountsRoutesByName(t *testing.T) {
	table := func(routes ...Route) *Table { return NewTable(&Config{Routes: routes}) }
	old := table(Route{Name: "kept"}, Route{Name: "moved", Host: "a"}, Route{Name: "dropped"})
	got := table(Route{Name: "kept"}, Route{Name: "moved", Host: "b"}, Route{Name: "new"}, Route{Name: "newer"}).DiffFrom(old)
	if want := (Difference{Added: 2, Changed: 1, Removed: 1}); got != want {
		t.Errorf("difference from old %+v, want %+v", got, want)
	}
	if got := old.DiffFrom(nil); got != (Difference{Added: 3}) {
		t.Errorf("difference from no table %+v, want all 3 routes as added", got)
	}
}

func TestAdmissionIsOrderedWhereCallersAreDistinguished(t *testing.T) {
	plain := []Route{{Name: "lookup"}, {Name: "upload", Kind: KindUpload, Priority: 2}}
	download := append([]Route{{Name: "maps", Kind: KindDownload}}, plain...)
	for _, test := range []struct {
		config *Config
		want   bool
	}{
		{&Config{Routes: plain}, false},
		{&Config{Routes: download}, true},
		{&Config{Routes: plain, Accounts: []Account{{Name: "one"}}}, true},
	} {
		if got := NewTable(test.config).OrdersAdmission(); got != test.want {
			t.Errorf("%+v: %v, want %v", test.config, got, test.want)
		}
	}
}
