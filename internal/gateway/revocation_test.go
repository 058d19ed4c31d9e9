package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
)

const (
	revokeBound = 5 * time.Second // revoke_ms of the deployments that have it
	// A VM whose last confirmation is younger must serve; at older ones callers with keys are not owed a response.
	servedAge = 3 * time.Second

	keptKey      = "kept-secret"
	withdrawnKey = "withdrawn-secret"
)

var unavailable = &unreadableEntryError{}

// revocation is a fleet in which keys of a client account are withdrawn.
type revocation struct {
	*fleet
	withdrawnAt time.Time
}

// withRevocation runs test with a fleet that serves two keys.
func withRevocation(t *testing.T, test func(t *testing.T, r *revocation), names ...string) {
	withFleetAndBounds(t, Bounds{Revoke: revokeBound}, func(t *testing.T, fl *fleet) {
		fl.store.putJSON("operator/config", fakeConfig{Version: 2, Keys: []string{keptKey, withdrawnKey}})
		time.Sleep(2 * time.Second)
		r := &revocation{fleet: fl}
		for name := range fl.followers {
			if !r.runs(name, keptKey) || !r.runs(name, withdrawnKey) {
				t.Fatalf("%s refuses keys from the start", name)
			}
		}
		test(t, r)
	}, names...)
}

// reasonRecorder keeps how the last request ended.
type reasonRecorder struct {
	discardJournal
	reason forward.Reason
}

func (j *reasonRecorder) RequestDone(r *forward.FinishedRequest) { j.reason = r.Reason }

// runs reports whether a request with key, or without one if it is empty, would be sent to a server by the entry VM.
func (fl *fleet) runs(name, key string) bool {
	f, journal := fl.followers[name], &reasonRecorder{}
	handler := forward.NewHandler(forward.Options{
		Headers: testCatalog().Headers, Table: f.Table, KeysConfirmed: f.keysConfirmed, Journal: journal,
		Chooser: placement.NewChooser(placement.Options{}), // knows no server, so that placement refuses what gets there
	})
	r := httptest.NewRequest("GET", "/open/x", nil)
	if key != "" {
		r = httptest.NewRequest("GET", "/x", nil)
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Host = "desk.example"
	handler.ServeHTTP(httptest.NewRecorder(), r)
	switch journal.reason {
	case forward.ReasonUnknownKey, forward.ReasonKeysUnconfirmed, forward.ReasonNoConfiguration:
		return false
	case forward.Reason(placement.ReasonNoServer):
		return true
	}
	panic("unexpected outcome " + journal.reason)
}

// withdraw writes a configuration without one of the keys.
func (r *revocation) withdraw() {
	r.store.putJSON("operator/config", fakeConfig{Version: 3, Keys: []string{keptKey}})
	r.withdrawnAt = time.Now()
}

// watch checks for span, at all entry VMs, that the withdrawn key runs nowhere after the bound and that anonymous requests
// run always. VMs for which mustServe is true have to run the other key at all times. A server writes meanwhile: in a store
// without writes the copies of a reader get older, and peers read for themselves.
func (r *revocation) watch(t *testing.T, span time.Duration, mustServe func(name string) bool) {
	t.Helper()
	const step = 100 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end) && !t.Failed(); time.Sleep(step) {
		r.store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
		for name := range r.followers {
			if r.isDown(name) {
				continue
			}
			after := time.Since(r.withdrawnAt)
			if !r.withdrawnAt.IsZero() && after > revokeBound && r.runs(name, withdrawnKey) {
				t.Errorf("%s runs the withdrawn key after %v", name, after)
			}
			if mustServe(name) && !r.runs(name, keptKey) {
				t.Errorf("%s refuses a good key %v after the withdrawal of another", name, after)
			}
			if !r.runs(name, "") {
				t.Errorf("%s refuses anonymous requests", name)
			}
		}
	}
}

func always(string) bool { return true }

func never(string) bool { return false }

// VMs in touch with the store never refuse a good key, also when the reader of their region is lost at any moment.
func TestKeysStayConfirmedInTouch(t *testing.T) {
	for lossAt := time.Duration(0); lossAt < 2*time.Second; lossAt += 300 * time.Millisecond {
		withRevocation(t, func(t *testing.T, r *revocation) {
			r.watch(t, lossAt, always)
			r.stopVM("vm-1")
			r.watch(t, 2*revokeBound, always)
			r.withdraw()
			r.watch(t, 2*revokeBound, always)
		}, "vm-1", "vm-2", "vm-3")
	}
}

// A VM that reaches nobody for a day stops running keys within the bound, and serves them again when it is back.
func TestDayLongPartitionStopsKeys(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.links["vm-1"].isCut.Store(true)
		cutAt := time.Now()
		r.withdraw()
		r.watch(t, 3*revokeBound, func(string) bool { return time.Since(cutAt) < servedAge-time.Second })
		time.Sleep(24 * time.Hour)
		r.watch(t, time.Second, never)
		if r.runs("vm-1", keptKey) {
			t.Error("a key runs that was confirmed a day ago")
		}
		r.links["vm-1"].isCut.Store(false)
		time.Sleep(2 * time.Second)
		r.watch(t, time.Second, always)
	}, "vm-1")
}

// The store serves the operator but none of the entry VMs, which go on passing their copies round: that renews nothing.
func TestWithdrawalWhileTheStoreIsAway(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.store.setError(unavailable)
		awayAt := time.Now()
		r.withdraw()
		r.watch(t, 4*revokeBound, func(string) bool { return time.Since(awayAt) < servedAge-time.Second })
		for name := range r.followers {
			if r.runs(name, keptKey) {
				t.Errorf("%s runs keys that nobody could confirm", name)
			}
		}
		r.store.setError(nil)
		time.Sleep(2 * time.Second)
		r.watch(t, time.Second, always)
	}, "vm-1", "vm-2", "vm-3")
}

// Of five entry VMs the store serves one: the others go on by its confirmations, and learn of the withdrawal.
func TestStoreThatServesSomeVMsConfirmsKeysForAll(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		served := "vm-5"
		for name, link := range r.links {
			link.isCut.Store(name != served)
		}
		r.watch(t, 2*revokeBound, func(name string) bool { return name == served })
		r.withdraw()
		r.watch(t, 4*revokeBound, always)
	}, "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
}

// Watches deliver nothing and stale reads are old: the linearizable reads confirm, and bring the withdrawal.
func TestDeafWatchConfirmsNothing(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.store.stallWatches()
		r.withdraw()
		r.watch(t, 3*revokeBound, always)
	}, "vm-1", "vm-2")
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.links["vm-1"].listsFail.Store(true) // watches and stale reads succeed
		time.Sleep(revokeBound)
		if r.runs("vm-1", keptKey) {
			t.Error("a watch or a stale read confirmed keys")
		}
	}, "vm-1")
}

// The linearizable reads of the region's reader fail while its watches succeed: its copies are fresh, but confirm nothing.
// The others read in its place, and it goes on by their confirmations.
func TestReaderWithoutConfirmationIsReplaced(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.links["vm-1"].listsFail.Store(true)
		r.watch(t, 6*revokeBound, always)
		r.withdraw()
		r.watch(t, 2*revokeBound, always)
	}, "vm-1", "vm-2", "vm-3")
}

// One read of the region's reader that times out does not make the others read for themselves.
func TestOneFailedReadIsRepeatedBeforeOthersRead(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 200 * time.Millisecond {
		withRevocation(t, func(t *testing.T, r *revocation) {
			r.watch(t, readerExclusion+2*time.Second+offset, always) // a reader that was slow to start is excluded no longer
			reader, before := r.links["vm-1"], r.links["vm-2"].lists.Load()+r.links["vm-3"].lists.Load()
			reader.listsFail.Store(true)
			started := reader.lists.Load()
			for range 20 {
				if r.watch(t, 100*time.Millisecond, always); reader.lists.Load() > started {
					break
				}
			}
			if reader.lists.Load() == started {
				t.Fatal("the reader read nothing for 2 s")
			}
			reader.listsFail.Store(false)
			r.watch(t, 2*revokeBound, always)
			if n := r.links["vm-2"].lists.Load() + r.links["vm-3"].lists.Load() - before; n != 0 {
				t.Errorf("%d reads by others than the reader", n)
			}
		}, "vm-1", "vm-2", "vm-3")
	}
}

// A VM is suspended, which its steady clock does not count. It must not run keys by what it knew before.
func TestSuspendedVMRunsNoKeysOnWaking(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.links["vm-1"].isCut.Store(true)
		r.suspended.Store(int64(revokeBound))
		if r.runs("vm-1", keptKey) {
			t.Error("a key runs right after the VM woke")
		}
		r.links["vm-1"].isCut.Store(false)
		time.Sleep(2 * time.Second)
		if !r.runs("vm-1", keptKey) {
			t.Error("keys are refused after the VM woke and read the store")
		}
	}, "vm-1")
}

// A process that starts while the store is away has its peers' copies with their old confirmation, not a new one.
func TestRestartRenewsNoConfirmation(t *testing.T) {
	for restartAfter := time.Duration(0); restartAfter <= revokeBound; restartAfter += time.Second {
		withRevocation(t, func(t *testing.T, r *revocation) {
			r.store.setError(unavailable)
			awayAt := time.Now()
			r.withdraw()
			r.stopVM("vm-2")
			time.Sleep(restartAfter)
			r.seeds = []string{"vm-1"}
			r.startVM(t.Context(), t, "vm-2")
			time.Sleep(500 * time.Millisecond)
			r.watch(t, 3*revokeBound, func(string) bool { return time.Since(awayAt) < servedAge-time.Second })
		}, "vm-1", "vm-2")
	}
}

// A configuration that cannot be decoded may withdraw keys: its read confirms nothing.
func TestConfigurationThatCannotBeDecodedConfirmsNoKeys(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.store.putJSON("operator/config", "none")
		r.withdrawnAt = time.Now()
		r.watch(t, 2*revokeBound, never)
		if r.runs("vm-2", keptKey) {
			t.Error("keys run by a configuration that is not the newest")
		}
		r.withdraw()
		time.Sleep(2 * time.Second)
		r.watch(t, time.Second, always)
	}, "vm-1", "vm-2")
}

// The age of a peer's confirmation counts from before the call, and a copy that differs from the peer's is not confirmed.
func TestAgeOfAPeersConfirmation(t *testing.T) {
	f := newTestFollower(t, newFakeStore(), "one")
	f.confirmation.bound.Store(int64(revokeBound))
	now := time.Now()
	f.confirmation.now = func() moment { return moment{at: now} }
	askedAt := f.confirmation.now()
	now = now.Add(time.Second)
	f.adoptConfirmation(&peer.StoreCopy{Digest: f.operator.digest + 1, ConfirmedAgeMs: 1}, askedAt)
	f.adoptConfirmation(&peer.StoreCopy{Digest: f.operator.digest}, askedAt)
	if age, ok := f.confirmation.age(); ok {
		t.Fatalf("confirmed %v ago by a peer without a confirmation of the same copy", age)
	}
	f.adoptConfirmation(&peer.StoreCopy{Digest: f.operator.digest, ConfirmedAgeMs: 700}, askedAt)
	f.adoptConfirmation(&peer.StoreCopy{Digest: f.operator.digest, ConfirmedAgeMs: 900}, askedAt) // an older one
	if age, _ := f.confirmation.age(); age != 1700*time.Millisecond {
		t.Errorf("age %v, want 1.7 s", age)
	}
	if age := f.confirmation.describe(); age != 1701 {
		t.Errorf("a peer gets an age of %d ms, want 1701", age)
	}
}

// Without the time since boot, suspended time shows in the time of day.
func TestSpansCountSuspendedTime(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name     string
		from, to moment
		want     time.Duration
	}{
		{"steady", moment{at: start}, moment{at: start.Add(time.Second)}, time.Second},
		{"time of day went on", moment{at: start}, moment{at: start.Round(0).Add(9 * time.Second)}, 9 * time.Second},
		{"suspended", moment{start, time.Hour}, moment{start.Add(time.Second), time.Hour + 9*time.Second}, 9 * time.Second},
		{"time of day stepped", moment{start.Round(0), time.Hour}, moment{start.Round(0).Add(-time.Minute), time.Hour + time.Second}, time.Second},
		{"earlier moment", moment{start, time.Hour}.before(time.Second), moment{start, time.Hour}, time.Second},
	} {
		if got := test.to.since(test.from); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Without the bound, nothing is read for confirmations, peers get none, and keys are never refused.
func TestWithoutABoundKeysNeedNoConfirmation(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		store.putJSON("operator/config", fakeConfig{Version: 4, Keys: []string{keptKey}})
		time.Sleep(time.Second)
		calls, stale := store.callCount(), store.staleCallCount()
		time.Sleep(10 * time.Second)
		// Watches of the operator's keys (1.4 s) and of the servers (1.2 s).
		if n := store.callCount() - calls; n > 17 {
			t.Errorf("%d calls to the store in 10 s, want at most 17", n)
		}
		if n := store.staleCallCount() - stale; n < 9 {
			t.Errorf("%d stale reads in 10 s, want one each second", n)
		}
		store.setError(unavailable)
		time.Sleep(time.Hour)
		if !f.keysConfirmed() || !f.hasFreshConfirmation() || f.confirmation.describe() != 0 {
			t.Error("keys need a confirmation without a bound")
		}
	})
}

// BenchmarkKeysConfirmed measures what the check adds to each request.
func BenchmarkKeysConfirmed(b *testing.B) {
	c := newConfirmation(time.Hour)
	c.record(c.now())
	b.ReportAllocs()
	for b.Loop() {
		if !c.allowsKeys() {
			b.Fatal("unconfirmed")
		}
	}
}
