package gateway

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
)

// A copy of an earlier era changes nothing and confirms nothing; one of a later era counts at once.
func TestPeersCopyOfAnEarlierEra(t *testing.T) {
	store := newFakeStore()
	ahead, behind := newStoreCopy(inspectValue), newStoreCopy(inspectValue)
	list := func(c *storeCopy, at int64) {
		entries, version, _ := store.List(t.Context(), "")
		c.applyList(entries, version, time.Unix(at, 0))
	}
	store.writeEntry(kv.Entry{Key: "kept"})
	old := store.state()
	for range 5 {
		store.writeEntry(kv.Entry{Key: "lost"})
	}
	list(ahead, 1)
	list(behind, 1)
	_, position := mergeCopy(ahead, copyUpdate(behind, nil, time.Unix(1, 0)), time.Unix(1, 0))
	store.writeEntry(kv.Entry{Key: "kept", Value: []byte("lost")})
	list(behind, 9)
	store.comeBackAs(old)
	list(ahead, 2)
	for _, from := range []*peer.StoreCopy{position, nil, ahead.describe()} {
		m := copyUpdate(behind, from, time.Unix(9, 0))
		if changed, next := mergeCopy(ahead, m, time.Unix(9, 0)); changed || next != nil {
			t.Errorf("position %v: changed %v, next position %v; want nothing", from, changed, next)
		}
	}
	if m := copyUpdate(behind, ahead.describe(), time.Unix(9, 0)); len(m.GetEntries()) != 0 {
		t.Errorf("%d entries are sent to a VM in a later era, which does not use them", len(m.GetEntries()))
	}
	if entries := ahead.entries(); len(entries) != 1 || len(entries[0].Value) != 0 || !ahead.readAt.Equal(time.Unix(2, 0)) {
		t.Errorf("entries %v read at %v, want those of the store since it came back", entries, ahead.readAt)
	}
	_, _ = mergeCopy(behind, copyUpdate(ahead, behind.describe(), time.Unix(9, 0)), time.Unix(9, 0))
	if len(behind.entries()) != 1 || behind.rewind.era != 1 || behind.version != ahead.version {
		t.Errorf("entries %v as of %v, want those of %v", behind.entries(), behind.version, ahead.version)
	}
}

// The last write of a server may be written again as it was, an older one not; and an entry that the store has kept is
// no new one.
func TestWritesThatAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFollower(t, newFakeStore(), "one")
		list := func(version kv.Version, entries ...kv.Entry) {
			f.updateServers(func(c *storeCopy) bool { return c.applyList(entries, version, time.Now()) })
		}
		entry := func(key string, version, created kv.Version, value string) kv.Entry {
			return kv.Entry{Key: "server/" + key, Version: version, Created: created, Value: []byte(value)}
		}
		const seventh, sixth = `{"Zone":"north-a","Born":1,"Beat":7}`, `{"Zone":"north-a","Born":1,"Beat":6}`
		next := kv.FirstOf(1)
		list(60, entry("kept", 50, 40, seventh), entry("again", 55, 41, seventh), entry("older", 56, 42, seventh))
		list(next+52, entry("kept", next+50, next+40, seventh))
		if got := f.servers.entries(); len(got) != 1 || got[0].Key != "server/kept" {
			t.Errorf("entries %v, want the one that the store has kept", got)
		}
		time.Sleep(reregisterTime + reregisterMargin)
		list(next+55, entry("kept", next+50, next+40, seventh), entry("again", next+53, next+53, seventh), entry("older", next+54, next+54, sixth))
		if known := f.knownServers(); !known["kept"] || !known["again"] || known["older"] {
			t.Errorf("servers %v, want kept and again", known)
		}
	})
}

// A copy between two eras is given to no peer, changes within another era do not apply to it, and a peer that is behind
// does not count as fresh.
func TestCopyBetweenTwoEras(t *testing.T) {
	now, next := time.Unix(1, 0), kv.FirstOf(1)
	value := []byte(`{"Zone":"north-a","Born":1,"Beat":7}`)
	f := newTestFollower(t, newFakeStore(), "one")
	f.updateServers(func(c *storeCopy) bool {
		return c.applyList([]kv.Entry{{Key: "server/a", Version: 5, Value: value}}, 9, now)
	})
	behind := &peer.FetchStoreReply{Servers: copyUpdate(f.servers, nil, now)}
	if f.hasLaterEra(behind) {
		t.Error("a peer's copy of the same era counts as one of an earlier era")
	}
	f.updateServers(func(c *storeCopy) bool {
		if c.applyChanges([]kv.Entry{{Key: "server/b", Version: next + 6, Value: value}}, next+6, now) {
			t.Error("changes within a later era are applied to a copy of an earlier one")
		}
		return false
	})
	partial := &peer.StoreCopy{Incarnation: 1, Version: uint64(next + 6), Entries: []*peer.StoreEntry{
		{Key: "server/b", Version: uint64(next + 6), Value: value},
	}}
	f.updateServers(func(c *storeCopy) bool {
		changed, position := mergeCopy(c, partial, now)
		if position != nil {
			t.Error("a position in a copy that disagrees is kept")
		}
		return changed
	})
	if m := copyUpdate(f.servers, nil, now); m.GetIncarnation() != 0 || len(m.GetEntries()) != 0 {
		t.Errorf("a copy that is complete for era 0 and has entries of era 1 is given away: %v", m)
	}
	if f.storeEra() != 1 || !f.hasLaterEra(behind) {
		t.Errorf("era %d, want 1, and the peer's copy of before to count as one of an earlier era", f.storeEra())
	}
}

// strangeStore answers some calls otherwise than a fakeStore.
type strangeStore struct {
	*fakeStore
	leaseEnded atomic.Bool                // the next renewal says so
	stale      atomic.Pointer[storeState] // of stale reads, if not nil
}

func (s *strangeStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if s.leaseEnded.CompareAndSwap(true, false) {
		return &kv.LeaseExpiredError{ID: id}
	}
	return s.fakeStore.KeepAlive(ctx, id)
}

func (s *strangeStore) ListStale(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if old := s.stale.Load(); old != nil {
		return slices.Collect(maps.Values(old.items)), old.version, nil
	}
	return s.fakeStore.ListStale(ctx, prefix)
}

// A lease that ended in the same era is replaced at once, as before.
func TestLeaseThatEndedInItsEraIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &strangeStore{fakeStore: newFakeStore()}
		p := newPresence(store, testSettings("one"), placement.NewChooser(placement.Options{}), discardLog())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go p.keepListed(ctx)
		synctest.Wait()
		store.remove(presencePrefix + "one")
		store.leaseEnded.Store(true)
		time.Sleep(presenceRenewInterval)
		synctest.Wait()
		if _, ok := store.state().items[presencePrefix+"one"]; !ok || store.leaseEnded.Load() {
			t.Errorf("not listed again at the renewal that said that the lease has ended")
		}
	})
}

// A stale read of an earlier era says nothing about the present list of entry VMs, neither what it holds nor its age.
func TestStaleListOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &strangeStore{fakeStore: newFakeStore()}
		p := newPresence(store, testSettings("one"), placement.NewChooser(placement.Options{}), discardLog())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go p.pollList(ctx, func(ctx context.Context) bool { return ctx.Err() == nil })
		store.putJSON(presencePrefix+"a", presenceRecord{Requests: "a"})
		time.Sleep(2 * presenceReadInterval)
		old := store.state()
		store.comeBackAs(storeState{})
		time.Sleep(relistTime + presenceReadInterval)
		store.stale.Store(&old)
		age := func() time.Duration {
			p.mu.Lock()
			defer p.mu.Unlock()
			return time.Since(p.list.readAt)
		}
		time.Sleep(5 * presenceReadInterval)
		if len(p.others()) != 0 || age() < 4*presenceReadInterval {
			t.Errorf("listed %v, the copy counts as %v old; want none, and the age of the last read of this era", p.others(), age())
		}
	})
}

// An entry VM whose lease is gone with the store's era lists itself again, after a pause that spreads such writes.
func TestEntryVMIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		key := presencePrefix + "one"
		listedIn := func() (kv.Era, bool) { e, ok := store.state().items[key]; return e.Version.Era(), ok }
		p := newPresence(store, testSettings("one"), placement.NewChooser(placement.Options{}), discardLog())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		old := store.state()
		go p.keepListed(ctx)
		synctest.Wait()
		if _, ok := listedIn(); !ok {
			t.Fatal("not listed at the start")
		}
		for era := range kv.Era(2) {
			store.comeBackAs(old)
			time.Sleep(relistTime)
			if got, ok := listedIn(); !ok || got != era+1 {
				t.Errorf("listed %v in era %d, want era %d", ok, got, era+1)
			}
		}
	})
}

// Entry VMs that the store lacks since it came back older stay in the directory until they could list themselves again;
// one that was gone does not return with the older state.
func TestListedEntryVMsAfterARewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		p := newPresence(store, testSettings("one"), placement.NewChooser(placement.Options{}), discardLog())
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		others := func() (names []string) {
			for _, r := range p.others() {
				names = append(names, r.Requests)
			}
			slices.Sort(names)
			return names
		}
		put := func(name string) { store.putJSON(presencePrefix+name, presenceRecord{Requests: name}) }
		go p.pollList(ctx, func(ctx context.Context) bool { return ctx.Err() == nil })
		put("gone")
		old := store.state()
		put("here")
		time.Sleep(2 * presenceReadInterval)
		store.remove(presencePrefix + "gone")
		time.Sleep(2 * presenceReadInterval)
		store.comeBackAs(old)
		for _, step := range []struct {
			after time.Duration
			do    func()
			want  []string
		}{
			{2 * presenceReadInterval, nil, []string{"here"}},
			{500 * time.Millisecond, func() { store.remove(presencePrefix + "gone") }, []string{"here"}},
			{relistTime, nil, nil},
			{2 * presenceReadInterval, func() { put("here"); put("gone") }, []string{"gone", "here"}},
		} {
			if step.do != nil {
				step.do()
			}
			time.Sleep(step.after)
			if got := others(); !slices.Equal(got, step.want) {
				t.Errorf("listed %v, want %v", got, step.want)
			}
		}
	})
}
