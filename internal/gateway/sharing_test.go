package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/pipenet"
	"github.com/azureflow/azureflow/internal/placement"
)

// fleet is a set of followers in one region with one store, which share its reads over pipes.
type fleet struct {
	store     *fakeStore
	bounds    Bounds
	names     []string
	seeds     []string              // if not nil, entry VMs that start know only these
	links     map[string]*storeLink // by entry VM
	followers map[string]*follower  // of the current process, or of the last one
	startedAt time.Time
	suspended atomic.Int64 // time in which the VMs were suspended, nanoseconds

	mu     sync.Mutex
	shares map[string]*sharing
	calls  map[string]int  // calls to peers, by address
	down   map[string]bool // addresses that do not respond
	stops  map[string]context.CancelFunc
}

// startFleet starts the entry VMs called names, each of which knows all others. Of bounds, Drain (0: that of the test
// settings) and Revoke apply.
func startFleet(ctx context.Context, t *testing.T, bounds Bounds, names ...string) *fleet {
	fl := &fleet{
		store: newFakeStore(), bounds: testSettings("").Bounds, names: names, links: make(map[string]*storeLink),
		followers: make(map[string]*follower), shares: make(map[string]*sharing), calls: make(map[string]int),
		down: make(map[string]bool), stops: make(map[string]context.CancelFunc), startedAt: time.Now(),
	}
	fl.store.putJSON("operator/config", fakeConfig{Version: 1})
	fl.store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
	if bounds.Drain != 0 {
		fl.bounds.Drain = bounds.Drain
	}
	fl.bounds.Revoke = bounds.Revoke
	for _, name := range names {
		fl.links[name] = &storeLink{fakeStore: fl.store}
		fl.store.putJSON(presencePrefix+name, fl.record(name))
	}
	for _, name := range names {
		fl.startVM(ctx, t, name)
	}
	return fl
}

// startVM starts a process of an entry VM that is not running.
func (fl *fleet) startVM(ctx context.Context, t *testing.T, name string) {
	f := newTestFollower(t, fl.links[name], name)
	f.intervals.Store(newIntervals(&fl.bounds))
	f.confirmation.bound.Store(int64(fl.bounds.Revoke))
	f.confirmation.now = func() moment {
		return moment{at: time.Now(), sinceBoot: time.Hour + time.Since(fl.startedAt) + time.Duration(fl.suspended.Load())}
	}
	p := fl.presenceOf(f, name)
	s := newSharing(f, p, &Settings{Seeds: fl.seeds}, f.log, peer.NewPool(fl.dial), NewMetrics(prometheus.NewRegistry()))
	own, stop := context.WithCancel(ctx)
	fl.followers[name] = f
	fl.mu.Lock()
	fl.shares[name], fl.stops[name] = s, stop
	delete(fl.down, name)
	fl.mu.Unlock()
	go f.watchOperator(own)
	if fl.bounds.Revoke > 0 {
		go f.pollOperator(own)
	}
	go f.pollServers(own)
	go p.pollList(own, f.awaitOwnReads)
	go s.run(own)
}

// presenceOf returns the presence of an entry VM that knows all others, or none of them if there are seeds.
func (fl *fleet) presenceOf(f *follower, name string) *presence {
	p := newPresence(fl.links[name], testSettings(name), f.chooser, f.log)
	p.self = fl.record(name)
	p.canServe.Store(true)
	if fl.seeds != nil {
		return p
	}
	var others []presenceRecord
	for _, other := range fl.names {
		if other != name {
			others = append(others, fl.record(other))
		}
	}
	p.otherVMs.Store(&others)
	return p
}

// record returns the entry of an entry VM.
func (fl *fleet) record(name string) presenceRecord {
	return presenceRecord{Region: "north", Zone: "north-a", Requests: name + ":1", Peer: name}
}

// dial connects to a peer by a pipe, or waits until ctx ends if the peer is down.
func (fl *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	fl.mu.Lock()
	fl.calls[address]++
	down, s := fl.down[address], fl.shares[address]
	fl.mu.Unlock()
	for ; s == nil && !down; down, s = fl.isDown(address), fl.share(address) {
		if err := clock.Sleep(ctx, time.Millisecond); err != nil { // the fleet is being started
			return nil, err
		}
	}
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := pipenet.Listen(pipenet.Addr(address))
	go s.servePeers(ctx, l)
	return l.Dial(ctx)
}

// share returns the sharing of an entry VM, nil before it was started.
func (fl *fleet) share(name string) *sharing {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.shares[name]
}

// stopVM stops an entry VM; its address no longer responds.
func (fl *fleet) stopVM(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.down[name] = true
	fl.stops[name]()
}

// markDown makes the address of an entry VM that is not running unresponsive.
func (fl *fleet) markDown(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.down[name] = true
}

func (fl *fleet) isDown(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.down[name]
}

func withFleet(t *testing.T, test func(t *testing.T, fl *fleet), names ...string) {
	withFleetAndDrain(t, 0, test, names...)
}

func withFleetAndDrain(t *testing.T, drain time.Duration, test func(t *testing.T, fl *fleet), names ...string) {
	withFleetAndBounds(t, Bounds{Drain: drain}, test, names...)
}

func withFleetAndBounds(t *testing.T, bounds Bounds, test func(t *testing.T, fl *fleet), names ...string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
		fl := startFleet(ctx, t, bounds, names...)
		time.Sleep(3 * time.Second)
		test(t, fl)
	})
}

func TestOneEntryVMOfARegionReadsForAll(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		const span = 10 * time.Second
		before, staleBefore := fl.store.callCount(), fl.store.staleCallCount()
		for range int(span / time.Second) {
			fl.store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
			time.Sleep(time.Second)
		}
		calls := fl.store.callCount() - before
		// The reader reads once per defaultServerReadInterval, which is 13 times, and watches the operator's keys.
		if maxCalls := int(span/defaultServerReadInterval) + 10; calls > maxCalls {
			t.Errorf("%d calls to the store in %v, want at most %d from three entry VMs", calls, span, maxCalls)
		}
		if stale, most := fl.store.staleCallCount()-staleBefore, int(span/presenceReadInterval)+1; stale > most {
			t.Errorf("%d stale reads in %v, want at most %d from three entry VMs", stale, span, most)
		}
		fl.store.putJSON("server/b", fakeServer{Zone: "north-b", Born: 1})
		fl.store.remove("server/a")
		time.Sleep(drainBound)
		for name, f := range fl.followers {
			if known := f.knownServers(); known["a"] || !known["b"] {
				t.Errorf("%s knows servers %v, want b and not a", name, known)
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// The reader of a region is lost at the moment a server leaves: the others must learn in time that it left.
func TestLossOfTheReaderKeepsTheDrainBound(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		fl.stopVM("vm-1")
		fl.store.remove("server/a")
		time.Sleep(drainBound)
		for _, name := range []string{"vm-2", "vm-3"} {
			if fl.followers[name].knownServers()["a"] {
				t.Errorf("%s still uses a server %v after it left", name, drainBound)
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// The long watch of a VM with a peer copy must end when that copy expires. Otherwise, if watches stall and the
// reader is lost, the VM receives a new configuration too late.
func TestConfigurationComesInTimeWhenTheReaderDiesUnderAStalledWatch(t *testing.T) {
	const applyBound = 2500 * time.Millisecond // config_apply_ms of the settings
	const span = 10 * time.Second              // of the tested times of the loss, longer than any interval between reads
	const step = 250 * time.Millisecond        // between them
	for lossAt := time.Duration(0); lossAt < span; lossAt += step {
		withFleet(t, func(t *testing.T, fl *fleet) {
			fl.store.stallWatches()
			time.Sleep(lossAt)
			fl.stopVM("vm-1")
			fl.store.putJSON("operator/config", fakeConfig{Version: 2})
			time.Sleep(applyBound)
			for _, name := range []string{"vm-2", "vm-3"} {
				if got := fl.followers[name].Table().Version(); got != 2 {
					t.Errorf("reader lost after %v: version %d is in force at %s after %v, want 2", lossAt, got, name, applyBound)
				}
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// Deployments may set a narrower bound on the time until a leaving server gets no requests.
func TestNarrowerDrainBoundIsKept(t *testing.T) {
	const bound = 600 * time.Millisecond
	const step = 100 * time.Millisecond // between the tested times of the loss
	for lossAt := time.Duration(0); lossAt < defaultServerReadInterval; lossAt += step {
		withFleetAndDrain(t, bound, func(t *testing.T, fl *fleet) {
			time.Sleep(lossAt)
			fl.stopVM("vm-1")
			fl.store.remove("server/a")
			time.Sleep(bound)
			for _, name := range []string{"vm-2", "vm-3"} {
				if fl.followers[name].knownServers()["a"] {
					t.Errorf("reader lost after %v: %s still uses a server %v after it left", lossAt, name, bound)
				}
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// A VM whose calls the store rejects continues with what its peers read.
func TestVMThatTheStoreTurnsAwayFollowsItsPeers(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		f := fl.followers["vm-1"] // the reader
		fl.links["vm-1"].isCut.Store(true)
		fl.store.putJSON("operator/config", fakeConfig{Version: 2})
		fl.store.remove("server/a")
		time.Sleep(10 * time.Second)
		if got := f.Table().Version(); got != 2 {
			t.Errorf("version %d is in force, want 2", got)
		}
		if f.knownServers()["a"] {
			t.Error("a server that left is still used")
		}
	}, "vm-1", "vm-2")
}

// A process that starts while the store is unreachable, as in rolling restarts, can only query its seeds.
func TestEntryVMThatStartsWhileTheStoreIsAwayServes(t *testing.T) {
	const startBound = time.Second // the platform checks readiness a second after the start
	for _, seeds := range [][]string{{"vm-1"}, {"vm-2", "vm-3", "vm-1"}, {"gone", "vm-3"}} {
		withFleet(t, func(t *testing.T, fl *fleet) {
			fl.store.putJSON("operator/config", fakeConfig{Version: 2})
			time.Sleep(time.Second)
			fl.store.setError(&kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}})
			fl.stopVM("vm-2")
			fl.markDown("gone")
			fl.seeds = seeds
			fl.startVM(t.Context(), t, "vm-2")
			time.Sleep(startBound)
			f := fl.followers["vm-2"]
			if !f.Ready() || f.Table().Version() != 2 || !f.knownServers()["a"] {
				t.Errorf("seeds %v: ready %v, servers %v %v after its start", seeds, f.Ready(), f.knownServers(), startBound)
			}
			if others := fl.shares["vm-2"].presence.others(); len(others) != 2 {
				t.Errorf("seeds %v: other entry VMs are %+v, want two", seeds, others)
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// The first list of the store replaces the entry VMs that a peer listed.
func TestListOfTheStoreReplacesWhatAPeerKnew(t *testing.T) {
	p := newPresence(newFakeStore(), testSettings("self"), placement.NewChooser(placement.Options{}), discardLog())
	self := presenceRecord{Requests: "self:1"}
	if p.adoptPeerList([]presenceRecord{self}) {
		t.Error("a peer's list without other entry VMs was adopted")
	}
	if !p.adoptPeerList([]presenceRecord{self, {Requests: "a:1"}}) || len(p.others()) != 1 {
		t.Errorf("other entry VMs are %+v, want a:1 only", p.others())
	}
	if p.adoptPeerList([]presenceRecord{{Requests: "b:1"}, {Requests: "c:1"}}) {
		t.Error("a second peer's list was adopted")
	}
	p.applyList(nil)
	if p.adoptPeerList([]presenceRecord{{Requests: "a:1"}}) || len(p.others()) != 0 {
		t.Errorf("other entry VMs are %+v, but the store lists none", p.others())
	}
}

// The reader of a region lives, but the store turns it away: the next VM reads in its place, and the others go on
// without reads of their own.
func TestReaderThatIsTurnedAwayIsReplaced(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		fl.links["vm-1"].isCut.Store(true)
		time.Sleep(3 * time.Second)
		const span = 6 * time.Second
		before := fl.store.callCount()
		for range int(span / time.Second) {
			fl.store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
			time.Sleep(time.Second)
		}
		if calls, maxCalls := fl.store.callCount()-before, int(span/defaultServerReadInterval)+7; calls > maxCalls {
			t.Errorf("%d calls to the store in %v, want at most %d from five entry VMs", calls, span, maxCalls)
		}
		fl.store.remove("server/a")
		fl.store.putJSON("operator/config", fakeConfig{Version: 2})
		time.Sleep(drainBound)
		for name, f := range fl.followers {
			if f.knownServers()["a"] || f.Table().Version() != 2 {
				t.Errorf("%s knows servers %v and version %d after %v", name, f.knownServers(), f.Table().Version(), drainBound)
			}
		}
	}, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
}

// The list of entry VMs reaches those that do not read it: a VM that joined, and one that is gone.
func TestListOfEntryVMsComesFromTheReader(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		fl.store.putJSON(presencePrefix+"vm-9", fl.record("vm-9"))
		fl.store.remove(presencePrefix + "vm-2")
		time.Sleep(presenceReadInterval + 2*defaultShareInterval)
		for name, s := range fl.shares {
			known := make(map[string]bool)
			for _, r := range s.presence.others() {
				known[r.Peer] = true
			}
			if !known["vm-9"] || known["vm-2"] {
				t.Errorf("%s knows the entry VMs %v, want vm-9 and not vm-2", name, known)
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// Regression, review/5: an entry VM that reads for the others since a moment knows from them which heartbeats are old.
func TestLateHeartbeatAfterTheLossOfTheReader(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		beat := func(n uint64) { fl.store.putJSON("server/b", fakeServer{Zone: "north-a", Born: 2, Beat: n}) }
		for n := range uint64(4) {
			beat(n + 1)
			time.Sleep(1500 * time.Millisecond)
		}
		fl.store.remove("server/b")
		time.Sleep(time.Second)
		fl.stopVM("one") // the reader
		time.Sleep(time.Second)
		beat(3)
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			for _, name := range []string{"three", "two"} {
				if fl.followers[name].knownServers()["b"] {
					t.Fatalf("%s uses a server that has left, by a heartbeat from before", name)
				}
			}
		}
		beat(5)
		time.Sleep(2 * time.Second)
		for _, name := range []string{"three", "two"} {
			if !fl.followers[name].knownServers()["b"] {
				t.Errorf("%s does not use a server whose entry returned", name)
			}
		}
	}, "one", "three", "two")
}
