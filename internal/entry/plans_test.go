package entry

import (
	"context"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// peersView is what a VM that just started sees: the VM list, read at start, with itself and others.
func peersView(start time.Time, others ...vm.Name) *vm.View {
	v := &vm.View{ListAt: start}
	for _, name := range append([]vm.Name{"self"}, others...) {
		v.Entries = append(v.Entries, &vm.Entry{VM: vm.VM{Name: name, Region: "batinah"}, Liveness: vm.Live})
	}
	return v
}

func TestFirstPlans(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name  string
		view  *vm.View
		after time.Duration // since the first attempt
		plans map[vm.Name][]region.Plan
		ready bool
		epoch uint64 // of the plan that is gone on from; 0: none
	}{
		{"VM list not read", &vm.View{}, 0, nil, false, 0},
		{"no peers", peersView(start), 0, nil, true, 0},
		{"peers silent", peersView(start, "a", "b"), 0, nil, false, 0},
		{"peers silent for too long", peersView(start, "a", "b"), planFetchLimit, nil, true, 0},
		{"a peer without plans", peersView(start, "a"), 0, map[vm.Name][]region.Plan{"a": {}}, true, 0},
		{"the longest-lived plan", peersView(start, "a", "b", "c"), 0, map[vm.Name][]region.Plan{
			"a": {{Service: "saldo", Epoch: 3}}, "b": {{Service: "saldo", Epoch: 900}}, "c": {{Service: "saldo", Epoch: 1}},
		}, true, 900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &firstPlans{self: Identity{Name: "self", Region: "batinah"}, began: start}
			f.fetch = func(_ context.Context, from vm.Name) ([]region.Plan, error) {
				if plans, ok := c.plans[from]; ok {
					return plans, nil
				}
				return nil, &UnknownPeerError{Name: from}
			}
			if got := f.ready(t.Context(), c.view, start.Add(c.after)); got != c.ready {
				t.Errorf("ready %v, want %v", got, c.ready)
			}
			var epoch uint64
			if p := f.of(steering.ServiceName("saldo")); p != nil {
				epoch = p.Epoch
			}
			if epoch != c.epoch {
				t.Errorf("goes on from epoch %d, want %d", epoch, c.epoch)
			}
		})
	}
}
