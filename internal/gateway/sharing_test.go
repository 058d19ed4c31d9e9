package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/pipenet"
	"github.com/azureflow/azureflow/internal/placement"
)

// fleet is some followers of one region over one store, which share its reads over pipes.
type fleet struct {
	store     *fakeStore
	bounds    Bounds
	names     []string
	seeds     []string               // if not nil, entry VMs that start know these only
	gates     map[string]*gatedStore // by entry VM
	followers map[string]*follower   // of the process that runs, or ran last

	mu     sync.Mutex
	shares map[string]*sharing
	calls  map[string]int  // of peers, by the address called
	down   map[string]bool // addresses that do not answer
	stops  map[string]context.CancelFunc
}

// startFleet starts the entry VMs called names; their presence is known to all. drain is the time after which a leaving
// server gets nothing, 0 for that of the test settings.
func startFleet(ctx context.Context, t *testing.T, drain time.Duration, names ...string) *fleet {
	fl := &fleet{
		store: newFakeStore(), bounds: testSettings("").Bounds, names: names, gates: make(map[string]*gatedStore),
		followers: make(map[string]*follower), shares: make(map[string]*sharing), calls: make(map[string]int),
		down: make(map[string]bool), stops: make(map[string]context.CancelFunc),
	}
	fl.store.put("operator/config", fakeConfig{Version: 1})
	fl.store.put("server/a", fakeServer{Zone: "north-a", Born: 1})
	if drain != 0 {
		fl.bounds.Drain = drain
	}
	for _, name := range names {
		fl.gates[name] = &gatedStore{fakeStore: fl.store}
	}
	for _, name := range names {
		fl.start(ctx, t, name)
	}
	return fl
}

// start starts a process of an entry VM that does not run.
func (fl *fleet) start(ctx context.Context, t *testing.T, name string) {
	f := newTestFollower(t, fl.gates[name], name)
	f.pace.Store(newPace(&fl.bounds))
	p := fl.presenceOf(f, name)
	s := newSharing(f, p, &Settings{Seeds: fl.seeds}, f.log, peer.NewPool(fl.dial), NewMetrics(prometheus.NewRegistry()))
	own, stop := context.WithCancel(ctx)
	fl.followers[name] = f
	fl.mu.Lock()
	fl.shares[name], fl.stops[name] = s, stop
	delete(fl.down, name)
	fl.mu.Unlock()
	go f.watchOperator(own)
	go f.pollServers(own)
	go s.run(own)
}

// presenceOf returns the presence of an entry VM that knows all others, or none if there are seeds.
func (fl *fleet) presenceOf(f *follower, name string) *presence {
	p := newPresence(fl.store, testSettings(name), f.chooser, f.log)
	p.self.Peer = name
	p.serves.Store(true)
	if fl.seeds != nil {
		return p
	}
	var others []presenceRecord
	for _, other := range fl.names {
		if other != name {
			others = append(others, presenceRecord{Region: "north", Zone: "north-a", Requests: other + ":1", Peer: other})
		}
	}
	p.live.Store(&others)
	return p
}

// dial connects to a peer by a pipe, or waits until ctx ends if it is down.
func (fl *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	fl.mu.Lock()
	fl.calls[address]++
	down, s := fl.down[address], fl.shares[address]
	fl.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := pipenet.Listen(pipenet.Addr(address))
	go s.serve(ctx, l)
	return l.Dial(ctx)
}

// lose makes an entry VM stop and answer nothing.
func (fl *fleet) lose(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.down[name] = true
	fl.stops[name]()
}

// neverStart makes the address of an entry VM that does not run answer nothing.
func (fl *fleet) neverStart(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.down[name] = true
}

func (fl *fleet) isDown(name string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.down[name]
}

func sharingTest(t *testing.T, test func(t *testing.T, fl *fleet), names ...string) {
	sharingTestWithin(t, 0, test, names...)
}

func sharingTestWithin(t *testing.T, drain time.Duration, test func(t *testing.T, fl *fleet), names ...string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
		fl := startFleet(ctx, t, drain, names...)
		time.Sleep(3 * time.Second)
		test(t, fl)
	})
}

func TestOneEntryVMOfARegionReadsForAll(t *testing.T) {
	sharingTest(t, func(t *testing.T, fl *fleet) {
		const span = 10 * time.Second
		before := fl.store.called()
		for range int(span / time.Second) {
			fl.store.put("server/a", fakeServer{Zone: "north-a", Born: 1, Beat: fl.store.called()})
			time.Sleep(time.Second)
		}
		calls := fl.store.called() - before
		// The reader asks once each usualServerReads, which is 13 times; each VM keeps its watch of the operator.
		if most := int(span/usualServerReads) + 10; calls > most {
			t.Errorf("%d calls to the store in %v, at most %d expected of three entry VMs", calls, span, most)
		}
		fl.store.put("server/b", fakeServer{Zone: "north-b", Born: 1})
		fl.store.remove("server/a")
		time.Sleep(drainBound)
		for name, f := range fl.followers {
			if known := f.known(); known["a"] || !known["b"] {
				t.Errorf("%s knows %v", name, known)
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// The reader of a region dies at the moment at which a server leaves: the others must learn it in time.
func TestLossOfTheReaderKeepsTheDrainBound(t *testing.T) {
	sharingTest(t, func(t *testing.T, fl *fleet) {
		fl.lose("vm-1")
		fl.store.remove("server/a")
		time.Sleep(drainBound)
		for _, name := range []string{"vm-2", "vm-3"} {
			if fl.followers[name].known()["a"] {
				t.Errorf("%s still uses a server %v after it left", name, drainBound)
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// A VM that the reader covers waits long for changes of its own. When watches go deaf and the reader dies, it must not go on waiting.
func TestConfigurationComesInTimeWhenTheReaderDiesUnderADeafWatch(t *testing.T) {
	const applyBound = 2500 * time.Millisecond // the users' config_apply_ms
	const moment = 250 * time.Millisecond      // between the moments of the loss that are tried
	for lossAt := time.Duration(0); lossAt < coveredWait; lossAt += moment {
		sharingTest(t, func(t *testing.T, fl *fleet) {
			fl.store.forget()
			time.Sleep(lossAt)
			fl.lose("vm-1")
			fl.store.put("operator/config", fakeConfig{Version: 2})
			time.Sleep(applyBound)
			for _, name := range []string{"vm-2", "vm-3"} {
				if got := fl.followers[name].Table().Version(); got != 2 {
					t.Errorf("lost %v in: version %d is in force at %s after %v, want 2", lossAt, got, name, applyBound)
				}
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// Deployments name their own bound on the time until a leaving server gets nothing.
func TestNarrowerDrainBoundIsKept(t *testing.T) {
	const bound = 600 * time.Millisecond
	const step = 100 * time.Millisecond // between the moments of the loss that are tried
	for lossAt := time.Duration(0); lossAt < usualServerReads; lossAt += step {
		sharingTestWithin(t, bound, func(t *testing.T, fl *fleet) {
			time.Sleep(lossAt)
			fl.lose("vm-1")
			fl.store.remove("server/a")
			time.Sleep(bound)
			for _, name := range []string{"vm-2", "vm-3"} {
				if fl.followers[name].known()["a"] {
					t.Errorf("lost %v in: %s still uses a server %v after it left", lossAt, name, bound)
				}
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// A VM that the store turns away goes on with what its peers read.
func TestVMThatTheStoreTurnsAwayFollowsItsPeers(t *testing.T) {
	sharingTest(t, func(t *testing.T, fl *fleet) {
		f := fl.followers["vm-1"] // the reader itself
		fl.gates["vm-1"].cut.Store(true)
		fl.store.put("operator/config", fakeConfig{Version: 2})
		fl.store.remove("server/a")
		time.Sleep(10 * time.Second)
		if got := f.Table().Version(); got != 2 {
			t.Errorf("version %d is in force, want 2", got)
		}
		if f.known()["a"] {
			t.Error("a server that left is still used")
		}
	}, "vm-1", "vm-2")
}

// A process that starts while the store is away, as in restarts one after the other, has only its seeds to ask.
func TestEntryVMThatStartsWhileTheStoreIsAwayServes(t *testing.T) {
	const startBound = time.Second // a second after its start the platform asks whether it is ready
	for _, seeds := range [][]string{{"vm-1"}, {"vm-2", "vm-3", "vm-1"}, {"gone", "vm-3"}} {
		sharingTest(t, func(t *testing.T, fl *fleet) {
			fl.store.put("operator/config", fakeConfig{Version: 2})
			time.Sleep(time.Second)
			fl.store.fail(&kv.UnavailableError{Op: "test", Cause: &brokenEntryError{}})
			fl.lose("vm-2")
			fl.neverStart("gone")
			fl.seeds = seeds
			fl.start(t.Context(), t, "vm-2")
			time.Sleep(startBound)
			f := fl.followers["vm-2"]
			if !f.Ready() || f.Table().Version() != 2 || !f.known()["a"] {
				t.Errorf("seeds %v: ready %v, servers %v %v after its start", seeds, f.Ready(), f.known(), startBound)
			}
			if others := fl.shares["vm-2"].presence.others(); len(others) != 2 {
				t.Errorf("seeds %v: knows %+v, want two other entry VMs", seeds, others)
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// What a peer said of entry VMs ends with the first list of the store.
func TestListOfTheStoreReplacesWhatAPeerKnew(t *testing.T) {
	p := newPresence(newFakeStore(), testSettings("self"), placement.NewChooser(placement.Options{}), silentLog())
	self := presenceRecord{Requests: "self:1"}
	if p.adopt([]presenceRecord{self}) {
		t.Error("a list without other entry VMs was taken")
	}
	if !p.adopt([]presenceRecord{self, {Requests: "a:1"}}) || len(p.others()) != 1 {
		t.Errorf("knows %+v, want the other one", p.others())
	}
	if p.adopt([]presenceRecord{{Requests: "b:1"}, {Requests: "c:1"}}) {
		t.Error("a second peer's list was taken")
	}
	p.take(nil)
	if p.adopt([]presenceRecord{{Requests: "a:1"}}) || len(p.others()) != 0 {
		t.Errorf("knows %+v, but the store lists none", p.others())
	}
}
