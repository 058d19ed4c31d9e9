package entry

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

// newTestPeers returns the peers of entry-1 in batinah-a, which has just heard of the others.
func newTestPeers(now time.Time) *peers {
	self := Identity{Name: "entry-1", Region: "batinah", Zone: "batinah-a"}
	d := vm.NewDirectory(vm.VM{Name: self.Name, Kind: vm.KindEntry, Region: self.Region, Zone: self.Zone}, vm.DirectoryOptions{})
	d.Merge([]*peer.VMState{
		{Name: "entry-2", Region: "batinah", Zone: "batinah-a", Revision: 9, Heartbeat: 1},
		{Name: "entry-3", Region: "batinah", Zone: "batinah-b", Revision: 7, Heartbeat: 1},
		{Name: "entry-4", Region: "muscat", Zone: "muscat-a", Revision: 12, Heartbeat: 1},
		{Name: "entry-5", Region: "dhofar", Zone: "dhofar-a", Revision: 3, Heartbeat: 1, Leaving: true},
	}, now)
	return &peers{self: self, directory: d, leaders: vm.NewLeaders(self.Name)}
}

func TestPeersAreChosen(t *testing.T) {
	now := time.Now()
	p := newTestPeers(now)
	cases := []struct {
		name      string
		got, want []vm.Name
	}{
		{"the highest revision first", p.byRevision(), []vm.Name{"entry-4", "entry-2", "entry-3"}},
		{"mirrors in other zones first", p.mirrorTargets(), []vm.Name{"entry-3", "entry-4", "entry-2"}},
		{"all of a region, itself too", p.EntryVMs("batinah"), []vm.Name{"entry-1", "entry-2", "entry-3"}},
	}
	for _, c := range cases {
		if !slices.Equal(c.got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
	p.directory.Refresh(now.Add(time.Minute - time.Second)) // silent for longer than any pause
	if got := p.mirrorTargets(); len(got) != 0 {
		t.Errorf("records would be mirrored to %v", got)
	}
}

func TestPeersWithoutAnAddress(t *testing.T) {
	p := newTestPeers(time.Now())
	var unknown *UnknownPeerError
	if _, err := p.fetchPlans(context.Background(), "entry-2"); !errors.As(err, &unknown) {
		t.Errorf("error %v", err)
	}
	var none *NoLeaderError
	if _, err := p.leaderOf("dhofar-b"); !errors.As(err, &none) {
		t.Errorf("error %v", err)
	}
	if leader, err := p.leaderOf("muscat-a"); err != nil || leader != "entry-4" {
		t.Errorf("leader %s, %v", leader, err)
	}
}
