package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
)

// drainBound is the required bound on how long a leaving server may still get requests.
const drainBound = 2500 * time.Millisecond

// withFollower runs test beside a follower in virtual time.
func withFollower(t *testing.T, test func(t *testing.T, store *fakeStore, f *follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.putJSON("operator/config", fakeConfig{Version: 3})
		store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
		store.putJSON("server/b", fakeServer{Zone: "south-a", Born: 1})
		f := newTestFollower(t, store, "one")
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); synctest.Wait() }()
		go f.watchOperator(ctx)
		go f.pollOperator(ctx)
		go f.pollServers(ctx)
		time.Sleep(time.Second)
		if !f.Ready() {
			t.Fatal("not ready a second after the start")
		}
		test(t, store, f)
	})
}

// A store without writes for some time is not unreachable. Regression test (sohar-proof, mix, seed 695615568892): an
// old read counted as an outage, and a server that had left was kept for 2.57 s.
func TestQuietStoreIsNoOutage(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		for quiet := 2300 * time.Millisecond; quiet < 4*time.Second; quiet += 100 * time.Millisecond {
			store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
			time.Sleep(2 * time.Second)
			time.Sleep(quiet)
			store.remove("server/a")
			time.Sleep(drainBound)
			if f.knownServers()["a"] {
				t.Fatalf("after %v without writes, a server is still known %v after it left", quiet, drainBound)
			}
		}
	})
}

func TestLeavingServerIsDroppedWithinTheBound(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1, Draining: true})
		time.Sleep(drainBound)
		if f.knownServers()["a"] {
			t.Fatal("a leaving server is still used after the bound")
		}
	})
}

func TestEntriesThatLapsedInAnOutageAreKeptUntilTheyCouldReturn(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("server/b", fakeServer{Zone: "south-a", Born: 1, Draining: true})
		time.Sleep(drainBound)
		store.setError(&kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}})
		time.Sleep(6 * time.Second)
		store.remove("server/a")
		store.remove("server/b")
		store.setError(nil)
		time.Sleep(reregisterTime)
		if !f.knownServers()["a"] {
			t.Error("a server whose entry expired in the outage was removed before it could return")
		}
		time.Sleep(reregisterMargin + 2*defaultServerReadInterval)
		if f.knownServers()["a"] {
			t.Error("a server whose entry did not return is still used")
		}
	})
}

func TestConfigurationsOnlyRise(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		for _, step := range []struct{ write, want int }{{5, 5}, {4, 5}, {9, 9}, {3, 9}} {
			store.putJSON("operator/config", fakeConfig{Version: routingVersion(step.write)})
			time.Sleep(time.Second)
			if got := f.Table().Version(); got != routingVersion(step.want) {
				t.Errorf("after version %d was written, %d is in force, want %d", step.write, got, step.want)
			}
		}
	})
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("server/c", fakeServer{Zone: "north-b", Born: 1})
		store.remove("server/a")
		store.compactHistory()
		time.Sleep(drainBound)
		if known := f.knownServers(); known["a"] || !known["c"] {
			t.Errorf("after the history was compacted, the known servers are %v, want c and not a", known)
		}
	})
}

// Reproduces deploy/days/history-forgotten-twice on zollbrugg-gate, seed 503241270175: watches deliver no events and do
// not even end, and stale reads are seconds old. A configuration came into force 4.5 s after its acknowledgment.
func TestStalledWatchDoesNotDelayAConfiguration(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.stallWatches()
		time.Sleep(100 * time.Millisecond)
		store.putJSON("operator/config", fakeConfig{Version: 8})
		store.remove("server/a")
		const applyBound = 2500 * time.Millisecond // config_apply_ms of the settings
		time.Sleep(applyBound)
		if got := f.Table().Version(); got != 8 {
			t.Errorf("version %d is in force after %v, want 8", got, applyBound)
		}
		if f.knownServers()["a"] {
			t.Errorf("a server that left is still used after %v", applyBound)
		}
	})
}

func TestUnreadableEntriesAddNoServer(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("server/bad", fakeServer{Broken: true})
		store.writeEntry(kv.Entry{Key: "server/worse", Value: []byte("\xff")})
		store.putJSON("server/c", fakeServer{Zone: "north-a", Born: 1})
		time.Sleep(drainBound)
		if known := f.knownServers(); len(known) != 3 || !known["c"] {
			t.Errorf("known servers are %v, want a, b and c", known)
		}
	})
}

func TestEvacuationsStartAndEnd(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		evacuated := func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.registry.evacuated["north-a"]
		}
		store.putJSON("operator/evacuate/north-a", struct{}{})
		time.Sleep(time.Second)
		if !evacuated() {
			t.Error("the evacuation is not in force 1 s after it was written")
		}
		store.remove("operator/evacuate/north-a")
		time.Sleep(time.Second)
		if evacuated() {
			t.Error("the zone is still evacuated 1 s after the key was removed")
		}
	})
}

func TestRestartUnderTheSameIDIsReported(t *testing.T) {
	g := newRegistry(testSettings("one").Zones)
	first := placement.Member{ID: "a", Zone: "north-a", Born: time.Unix(1, 0)}
	second := first
	second.Born = time.Unix(2, 0)
	cold := second
	cold.ColdFor = time.Second
	leaving := second
	leaving.Draining = true
	now := time.Unix(10, 0)
	for _, step := range []struct {
		servers []placement.Member
		want    string
	}{
		{[]placement.Member{first}, "server joined"},
		{[]placement.Member{first}, ""},
		{[]placement.Member{second}, "server restarted"},
		{[]placement.Member{cold}, "server cold"},
		{[]placement.Member{leaving}, "server leaving"},
		{nil, "server gone"},
	} {
		changes := g.applyList(step.servers, now)
		got := ""
		if len(changes) == 1 {
			got = changes[0].event
		}
		if got != step.want || len(changes) > 1 {
			t.Errorf("changes %v, want one change with event %q, or none if it is empty", changes, step.want)
		}
	}
}

// An entry of a zone that the deployment does not have names no server to use.
func TestServersOfUnknownZonesAreNotUsed(t *testing.T) {
	g := newRegistry(testSettings("one").Zones)
	g.applyList([]placement.Member{{ID: "a", Zone: "nowhere"}, {ID: "b", Zone: "north-a"}}, time.Unix(10, 0))
	if m := g.membership().Members; len(m) != 1 || m[0].ID != "b" {
		t.Errorf("members %+v, want only the one of a known zone", m)
	}
}
