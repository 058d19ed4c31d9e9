package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// mirrorWorld returns the peers of every VM of zone a. Zone b is in the same region, zone c is not; each has
// as many VMs. The first VM of zone b is silent if said so.
func mirrorWorld(perZone int, silent bool) []*peers {
	const deadAfter = time.Minute
	began := time.Unix(1_764_844_800, 0)
	var states []*peer.VMState
	for _, zone := range []string{"a", "b", "c"} {
		region := "near"
		if zone == "c" {
			region = "far"
		}
		for i := range perZone {
			states = append(states, &peer.VMState{Name: fmt.Sprintf("entry-%s-%02d", zone, i), Zone: zone, Region: region, Incarnation: 1})
		}
	}
	var all []*peers
	for _, s := range states[:perZone] {
		self := Identity{Name: vm.Name(s.GetName()), Zone: steering.ZoneName(s.GetZone()), Region: steering.RegionName(s.GetRegion())}
		d := vm.NewDirectory(vm.VM{Name: self.Name, Zone: self.Zone, Region: self.Region}, vm.DirectoryOptions{DeadAfter: deadAfter, DirectVMs: len(states)})
		d.Merge(states, began)
		if silent {
			now := began.Add(2 * deadAfter)
			d.Merge(beats(states[:perZone]), now)
			d.Merge(beats(states[perZone+1:]), now)
		}
		all = append(all, &peers{self: self, directory: d})
	}
	return all
}

func beats(states []*peer.VMState) []*peer.VMState {
	out := make([]*peer.VMState, len(states))
	for i, s := range states {
		out[i] = &peer.VMState{Name: s.GetName(), Zone: s.GetZone(), Region: s.GetRegion(), Incarnation: 1, Heartbeat: 1}
	}
	return out
}

// TestMirrorsAreSpread holds that no VM keeps the records of more than two others of a zone, also when one
// of those that could is silent, and that they leave the zone but not the region.
func TestMirrorsAreSpread(t *testing.T) {
	for _, perZone := range []int{2, 7, 20, 40} {
		for _, silent := range []bool{false, true} {
			kept, most := make(map[vm.Name]int), 0
			for _, p := range mirrorWorld(perZone, silent) {
				target := p.mirrorTargets()[0]
				kept[target]++
				most = max(most, kept[target])
				if e := p.directory.View().EntryByName(target); e.VM.Zone != "b" || e.Liveness != vm.Live {
					t.Errorf("%s mirrors to %s, %s, zone %s", p.self.Name, target, e.Liveness, e.VM.Zone)
				}
			}
			t.Logf("%d VMs a zone, one silent %v: at most %d mirror to the same", perZone, silent, most)
			if most > 2 {
				t.Errorf("%d VMs a zone: %d mirror to the same", perZone, most)
			}
		}
	}
}
