package gateway

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/steering"
)

// riseBound is the time until each entry VM knows that the store came back older: a watch that was not cut short, a
// failed read and its pause, and one request to a peer that has read.
const riseBound = defaultOperatorWait + retryMax + 2*defaultShareInterval

// storeState is what a fakeStore held at one moment.
type storeState struct {
	items       map[string]kv.Entry
	log         []kv.Entry
	version     kv.Version
	compactedAt kv.Version
}

func (s *fakeStore) state() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeState{maps.Clone(s.items), slices.Clone(s.log), s.version, s.compactedAt}
}

// comeBackAs returns the store to an earlier state, in the next era.
func (s *fakeStore) comeBackAs(old storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := kv.FirstOf(s.version.Era() + 1)
	inEra := func(e kv.Entry) kv.Entry {
		e.Version = first + kv.Version(e.Version.Revision())
		if e.Created != 0 {
			e.Created = first + kv.Version(e.Created.Revision())
		}
		return e
	}
	s.items, s.log = make(map[string]kv.Entry), nil
	for key, e := range old.items {
		s.items[key] = inEra(e)
	}
	for _, e := range old.log {
		s.log = append(s.log, inEra(e))
	}
	s.version = first + kv.Version(old.version.Revision())
	s.compactedAt = first + kv.Version(old.compactedAt.Revision())
	close(s.changed)
	s.changed = make(chan struct{})
}

// hasEvacuated reports whether a zone counts as evacuated.
func (f *follower) hasEvacuated(zone steering.ZoneName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.evacuated[zone]
}

// rewindScene is a store that lost its last seconds: a server that joined, a configuration and an evacuation.
type rewindScene struct {
	t    *testing.T
	fl   *fleet
	calm storeState // before the writes that are lost
}

// loseSeconds lets the fleet follow what is written for lost, then the store comes back without it.
func loseSeconds(t *testing.T, fl *fleet, lost time.Duration, version int) *rewindScene {
	o := &rewindScene{t: t, fl: fl, calm: fl.store.state()}
	o.write(version)
	time.Sleep(lost)
	fl.store.comeBackAs(o.calm)
	return o
}

// write writes what the scene is about, as the operator and the servers do.
func (o *rewindScene) write(version int) {
	o.fl.store.putJSON("operator/config", fakeConfig{Version: routingVersion(version)})
	o.fl.store.putJSON("operator/evacuate/south-a", struct{}{})
	o.fl.store.putJSON("server/b", fakeServer{Zone: "north-b", Born: 2})
	o.beat()
}

// beat writes a heartbeat of the server that was there before.
func (o *rewindScene) beat() { o.fl.store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1}) }

// checkKept fails if a running entry VM loses one of them during span.
func (o *rewindScene) checkKept(span time.Duration, version int) {
	o.t.Helper()
	const step = 50 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(step) {
		for name, f := range o.fl.followers {
			if o.fl.isDown(name) {
				continue
			}
			if known := f.knownServers(); !known["a"] || !known["b"] || !f.hasEvacuated("south-a") || f.Table().Version() != routingVersion(version) {
				o.t.Fatalf("%s: servers %v, evacuated %v, version %d; want all as before the store came back older",
					name, known, f.hasEvacuated("south-a"), f.Table().Version())
			}
		}
	}
}

// checkEra fails if an entry VM does not know that the store is in era.
func (o *rewindScene) checkEra(era kv.Era) {
	o.t.Helper()
	for name, f := range o.fl.followers {
		servers, operator := f.describeCopies()
		if got := min(kv.Version(servers.GetVersion()).Era(), kv.Version(operator.GetVersion()).Era()); got != era {
			o.t.Errorf("%s is in era %d, want %d", name, got, era)
		}
	}
}

// What the store lost is kept until its writers could write it again, whether they do early or late, and the VMs are in
// the new era in time: in calm, while watches hang, with VMs that hear of it from peers only, and twice within a minute.
func TestStoreThatComesBackOlderLosesNothingForCallers(t *testing.T) {
	for _, test := range []struct {
		name     string
		lost     time.Duration
		rewrites time.Duration // after the store's return
		begin    func(fl *fleet)
	}{
		{"half a second", 500 * time.Millisecond, 100 * time.Millisecond, nil},
		{"ten seconds", 10 * time.Second, time.Second, nil},
		{"written again late", 3 * time.Second, reregisterTime, nil},
		{"watches hang", 3 * time.Second, time.Second, func(fl *fleet) { fl.store.stallWatches() }},
		{"reader cut off", 3 * time.Second, time.Second, func(fl *fleet) { fl.links["vm-1"].isCut.Store(true) }},
		{"one reads, two hear of it", 3 * time.Second, time.Second, func(fl *fleet) {
			fl.links["vm-1"].isCut.Store(true)
			fl.links["vm-2"].isCut.Store(true)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, fl *fleet) {
				for round := range 2 {
					if round == 1 && test.begin != nil {
						break // links stay cut
					}
					version := 2 + round
					o := &rewindScene{t: t, fl: fl, calm: fl.store.state()}
					o.write(version)
					time.Sleep(max(test.lost, riseBound)) // until all have it
					if test.begin != nil {
						test.begin(fl)
					}
					fl.store.comeBackAs(o.calm)
					synctest.Wait()
					fl.store.resumeWatches() // not those that hang
					o.checkKept(test.rewrites, version)
					o.write(version)
					o.checkKept(riseBound, version)
					o.checkEra(kv.Era(round + 1))
					for range 10 {
						o.write(version)
						o.checkKept(time.Second, version)
					}
				}
			}, "vm-1", "vm-2", "vm-3")
		})
	}
}

// What is not written again is not kept for ever.
func TestWhatIsNotWrittenAgainIsDropped(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		o := loseSeconds(t, fl, 3*time.Second, 2)
		o.checkKept(reregisterTime, 2)
		time.Sleep(reregisterMargin + riseBound)
		for name, f := range fl.followers {
			if f.knownServers()["b"] || !f.hasEvacuated("south-a") {
				t.Errorf("%s: servers %v, evacuated %v; want b gone and the zone still evacuated", name, f.knownServers(), f.hasEvacuated("south-a"))
			}
		}
		time.Sleep(operatorRewriteTime + riseBound - reregisterTime)
		for name, f := range fl.followers {
			if f.hasEvacuated("south-a") || f.Table().Version() != 2 {
				t.Errorf("%s: evacuated %v, version %d; want no evacuation, and the configuration that was in force", name, f.hasEvacuated("south-a"), f.Table().Version())
			}
		}
		fl.store.putJSON("server/b", fakeServer{Zone: "north-b", Born: 2})
		fl.store.putJSON("operator/config", fakeConfig{Version: 5})
		time.Sleep(drainBound)
		for name, f := range fl.followers {
			if !f.knownServers()["b"] || f.Table().Version() != 5 {
				t.Errorf("%s: servers %v, version %d; want b, which came late, and version 5", name, f.knownServers(), f.Table().Version())
			}
		}
	}, "vm-1", "vm-2", "vm-3")
}

// A server that was leaving or gone is ready in the older state; its last heartbeat is written again by a slow writer.
func TestServerThatLeftDoesNotReturnWithTheOlderState(t *testing.T) {
	for _, reader := range []string{"own reads", "peer"} {
		for _, away := range []time.Duration{0, time.Minute} {
			withFleet(t, func(t *testing.T, fl *fleet) {
				beat := func(s fakeServer) { fl.store.putJSON("server/left", s) }
				beat(fakeServer{Zone: "north-a", Born: 1, Beat: 5})
				fl.store.putJSON("server/leaving", fakeServer{Zone: "north-a", Born: 1, Beat: 5})
				time.Sleep(drainBound)
				old := fl.store.state()
				beat(fakeServer{Zone: "north-a", Born: 1, Beat: 6})
				fl.store.putJSON("server/leaving", fakeServer{Zone: "north-a", Born: 1, Beat: 6, Draining: true})
				time.Sleep(time.Second)
				fl.store.remove("server/left")
				time.Sleep(drainBound)
				fl.store.setError(&kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}})
				time.Sleep(away) // longer than entries count as written late
				if reader == "peer" {
					fl.links["vm-1"].isCut.Store(true)
				}
				fl.store.setError(nil)
				fl.store.comeBackAs(old)
				for range 10 {
					time.Sleep(500 * time.Millisecond)
					for name, f := range fl.followers {
						if known := f.knownServers(); known["left"] || known["leaving"] {
							t.Fatalf("%s, away %v: %s uses %v, of which two were leaving or gone", reader, away, name, known)
						}
					}
				}
				beat(fakeServer{Zone: "north-a", Born: 9, Beat: 1})
				time.Sleep(drainBound)
				for name, f := range fl.followers {
					if !f.knownServers()["left"] {
						t.Errorf("%s does not use a server that started again", name)
					}
				}
			}, "vm-1", "vm-2")
		}
	}
}

// A VM that restarts while the store is rewound gets what the store has, and takes nothing of an earlier era from peers.
func TestRestartWhileTheStoreComesBackOlder(t *testing.T) {
	for _, after := range []time.Duration{-time.Second, 0, 100 * time.Millisecond, time.Second} {
		withFleet(t, func(t *testing.T, fl *fleet) {
			o := &rewindScene{t: t, fl: fl, calm: fl.store.state()}
			o.write(2)
			time.Sleep(3 * time.Second)
			fl.stopVM("vm-2")
			time.Sleep(max(0, -after))
			fl.store.comeBackAs(o.calm)
			time.Sleep(max(0, after))
			fl.startVM(t.Context(), t, "vm-2")
			time.Sleep(time.Second)
			o.write(2)
			time.Sleep(riseBound)
			o.checkEra(1)
			o.checkKept(10*time.Second, 2)
		}, "vm-1", "vm-2", "vm-3")
	}
}

// Without eras nothing of this takes effect: an older list changes nothing, and nothing is kept that the store removed.
func TestStoreWithoutErasKeepsNothing(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("operator/evacuate/north-a", struct{}{})
		old := store.state()
		time.Sleep(drainBound)
		store.remove("operator/evacuate/north-a")
		store.remove("server/b")
		time.Sleep(drainBound)
		f.updateServers(func(c *storeCopy) bool {
			return c.applyList(slices.Collect(maps.Values(old.items)), old.version, time.Now())
		})
		if f.knownServers()["b"] || f.hasEvacuated("north-a") || f.keepsEvacuations || f.registry.hasRetained() ||
			!f.servers.rewind.roseAt.IsZero() || !f.operator.rewind.roseAt.IsZero() || f.storeEra() != 0 {
			t.Errorf("servers %v, state %+v", f.knownServers(), f.servers.rewind)
		}
	})
}

// A reader that has not read since the store's return has young copies, but of an earlier era: they do not replace own
// reads of a VM that has.
func TestReaderInAnEarlierEraIsNotFresh(t *testing.T) {
	withFleet(t, func(t *testing.T, fl *fleet) {
		for _, wantFresh := range []bool{true, false} {
			if fresh := fl.shares["vm-2"].fetchFrom(t.Context(), "vm-1"); fresh != wantFresh {
				t.Errorf("fresh %v, want %v", fresh, wantFresh)
			}
			fl.links["vm-1"].isCut.Store(true)
			fl.store.comeBackAs(fl.store.state())
			f := fl.followers["vm-2"]
			if _, _, err := f.listKeys(t.Context(), readServerList, f.catalog.ServerPrefix, f.updateServers); err != nil {
				t.Fatal(err)
			}
		}
	}, "vm-1", "vm-2")
}
