package entry

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const testService = steering.ServiceName("scanvault")

// newTestPlacer returns the placer of an entry VM whose contract gives it held slots of the ten servers of
// its zone, five slots each.
func newTestPlacer(held int) *placer {
	const servers, slots = 10, 5
	now := time.Now()
	self := Identity{Name: "entry-1", Region: "batinah", Zone: "batinah-a"}
	cfg := &steering.Configuration{
		Platform: steering.Platform{Regions: []steering.Region{{Name: self.Region, Zones: []steering.ZoneName{self.Zone}}}},
		Services: []steering.Service{{Name: testService}},
	}
	p := &placer{self: self, config: func() *steering.Configuration { return cfg }, rooms: newRooms(), flows: newFlows(), book: provideBook(self)}
	p.pools = newPools(p.rooms, Options{})
	var upstreams []vm.VM
	for i := range servers {
		upstreams = append(upstreams, vm.VM{
			Name: vm.Name(fmt.Sprintf("scanvault-%d", i)), Kind: vm.KindUpstream, State: vm.StateLive,
			Service: testService, Region: self.Region, Zone: self.Zone, Slots: slots,
		})
	}
	p.pools.update(upstreams, now)
	p.table = region.NewTable(region.Plan{Service: testService, Epoch: 7, Origins: []region.OriginPlan{
		{Region: self.Region, Shares: []region.Share{{Region: self.Region, Share: 1}}},
	}})
	grantor := contract.NewGrantor(contract.GrantorOptions{
		Zone: self.Zone, Pool: p.book, IsMember: func(vm.Name) bool { return true },
		Leadership: func(time.Time) contract.Leadership { return contract.Leadership{} },
	})
	grantor.SetFloorParts(1, 0)
	grantor.SetCapacity(testService, contract.Capacity{Slots: servers * slots, FloorShare: float64(held) / (servers * slots)})
	return p
}

// fill places requests of a class until there is no room, and returns their placements.
func (p *placer) fill(t *testing.T, class steering.Class) []*request.Placement {
	t.Helper()
	var placed []*request.Placement
	for key := range uint64(1000) {
		q := &request.PlacementQuery{
			Service: testService, Origin: "batinah", Operation: &steering.Operation{Class: class, Idempotent: true}, Key: key, Now: time.Now(),
		}
		got, err := p.Place(q)
		var noRoom *request.NoCapacityError
		switch {
		case err == nil:
			placed = append(placed, got)
		case errors.As(err, &noRoom):
			return placed
		default:
			t.Fatal(err)
		}
	}
	t.Fatal("there is room for everything")
	return nil
}

func TestPlacerKeepsWithinTheContract(t *testing.T) {
	for _, held := range []int{1, 8, 25, 50} {
		t.Run(fmt.Sprint(held), func(t *testing.T) {
			p := newTestPlacer(held)
			placed := p.fill(t, steering.ClassInteractive)
			if len(placed) != held {
				t.Errorf("%d placed, the contract gives %d", len(placed), held)
			}
			if placed[0].PlanEpoch != 7 {
				t.Errorf("plan epoch %d", placed[0].PlanEpoch)
			}
			for _, one := range placed {
				one.Release(request.AttemptResult{})
			}
			if again := p.fill(t, steering.ClassInteractive); len(again) != held {
				t.Errorf("%d placed after all were released", len(again))
			}
		})
	}
}

// TestUploadsLeaveSlotsOfTheContract: of the slots that its contract gives it, a VM keeps some for lookups.
func TestUploadsLeaveSlotsOfTheContract(t *testing.T) {
	const held = 20
	p := newTestPlacer(held)
	for _, one := range p.fill(t, steering.ClassInteractive) {
		one.Release(request.AttemptResult{})
	}
	uploads := p.fill(t, steering.ClassBulk)
	lookups := p.fill(t, steering.ClassInteractive)
	t.Logf("of %d slots held, uploads took %d and left %d", held, len(uploads), len(lookups))
	if len(lookups) < 1 || len(uploads)+len(lookups) != held {
		t.Errorf("%d uploads and %d lookups of %d slots", len(uploads), len(lookups), held)
	}
}

// TestServersShareTheContract: no server gets more of a VM's requests than its part of the slots, rounded up.
func TestServersShareTheContract(t *testing.T) {
	const held, most = 20, 2 // of 50 slots, 5 a server
	counts := make(map[vm.Name]int)
	for _, one := range newTestPlacer(held).fill(t, steering.ClassInteractive) {
		counts[one.Server.Name]++
	}
	for name, n := range counts {
		if n > most {
			t.Errorf("%s has %d of the VM's requests, its part is %d", name, n, most)
		}
	}
}

func TestOrderOfZones(t *testing.T) {
	zones := []steering.ZoneName{"a", "b", "c"}
	cases := []struct {
		own  steering.ZoneName
		key  uint64
		want []steering.ZoneName
	}{
		{"b", 0, []steering.ZoneName{"b", "a", "c"}},
		{"elsewhere", 0, []steering.ZoneName{"a", "b", "c"}},
		{"elsewhere", 2, []steering.ZoneName{"c", "a", "b"}},
	}
	for _, c := range cases {
		if got := order(zones, c.own, c.key); !slices.Equal(got, c.want) {
			t.Errorf("own %s, key %d: %v, want %v", c.own, c.key, got, c.want)
		}
	}
}
