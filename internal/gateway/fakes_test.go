package gateway

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// fakeStore is an in-memory store that can be made to fail.
type fakeStore struct {
	beats          atomic.Uint64 // numbers of servers' entries that were given
	mu             sync.Mutex
	items          map[string]kv.Entry
	version        kv.Version
	log            []kv.Entry // every change
	compactedAt    kv.Version // changes up to this version are not in the history
	changed        chan struct{}
	err            error
	calls          int // without stale reads
	staleCalls     int
	lease          kv.LeaseID
	leaseEras      map[kv.LeaseID]kv.Era // in which they were granted
	watchesStalled bool                  // watches deliver no events and do not return before their context ends
	staleItems     map[string]kv.Entry   // what stale reads return, if not nil
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items: make(map[string]kv.Entry), changed: make(chan struct{}), leaseEras: make(map[kv.LeaseID]kv.Era),
	}
}

func (s *fakeStore) writeEntry(e kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	e.Version = s.version
	if e.Created = s.items[e.Key].Created; e.Created == 0 {
		e.Created = s.version
	}
	if e.Deleted {
		e.Created = 0
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// putJSON writes value. A server numbers its entries, so that one without a number gets the next.
func (s *fakeStore) putJSON(key string, value any) {
	if server, ok := value.(fakeServer); ok && server.Beat == 0 {
		server.Beat = s.beats.Add(1)
		value = server
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.writeEntry(kv.Entry{Key: key, Value: data})
}

func (s *fakeStore) remove(key string) { s.writeEntry(kv.Entry{Key: key, Deleted: true}) }

func (s *fakeStore) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// staleCallCount returns the number of stale reads so far.
func (s *fakeStore) staleCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleCalls
}

// storeLink is the connection of one entry VM to the store, which can be cut.
type storeLink struct {
	*fakeStore
	isCut     atomic.Bool
	listsFail atomic.Bool  // linearizable reads of the operator's keys time out
	lists     atomic.Int64 // calls of List that were started
}

func (s *storeLink) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if prefix == testCatalog().OperatorPrefix {
		s.lists.Add(1)
		if s.listsFail.Load() {
			time.Sleep(time.Second) // the time limit of the platform's client
			return nil, 0, &kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}}
		}
	}
	if s.isCut.Load() {
		return nil, 0, &kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}}
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *storeLink) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Entry, kv.Version, error) {
	if s.isCut.Load() {
		return nil, 0, &kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}}
	}
	return s.fakeStore.Watch(ctx, prefix, after)
}

func (s *storeLink) ListStale(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if s.isCut.Load() {
		return nil, 0, &kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}}
	}
	return s.fakeStore.ListStale(ctx, prefix)
}

func (s *fakeStore) compactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.list(prefix)
}

func (s *fakeStore) list(prefix string) ([]kv.Entry, kv.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, 0, s.err
	}
	var found []kv.Entry
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.version, nil
}

func (s *fakeStore) ListStale(_ context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	s.mu.Lock()
	stale := s.staleItems
	s.staleCalls++
	s.mu.Unlock()
	if stale == nil {
		return s.list(prefix)
	}
	var found []kv.Entry
	for key, e := range stale {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found, 1, nil
}

// stallWatches freezes the result of stale reads at the current items, and lets watches deliver no events from now on.
func (s *fakeStore) stallWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled, s.staleItems = true, maps.Clone(s.items)
}

// resumeWatches ends the effect of stallWatches; watches that stalled stay so.
func (s *fakeStore) resumeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled, s.staleItems = false, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Entry, kv.Version, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		found, version, changed, err := s.changesSince(prefix, after)
		stalled := s.watchesStalled
		s.mu.Unlock()
		if stalled {
			<-ctx.Done()
			return nil, 0, &kv.UnavailableError{Op: "watch", Cause: ctx.Err()}
		}
		if err != nil || len(found) > 0 {
			return found, version, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, version, nil
		}
	}
}

func (s *fakeStore) changesSince(prefix string, after kv.Version) ([]kv.Entry, kv.Version, chan struct{}, error) {
	if s.err != nil {
		return nil, 0, nil, s.err
	}
	if after < s.compactedAt || after.Era() != s.version.Era() {
		return nil, 0, nil, &kv.CompactedError{Prefix: prefix, After: after}
	}
	var found []kv.Entry
	for _, e := range s.log {
		if e.Version > after && strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.version, s.changed, nil
}

func (s *fakeStore) Get(context.Context, string) (kv.Entry, error) { return kv.Entry{}, nil }

func (s *fakeStore) CompareAndSwap(
	_ context.Context, key string, expect kv.Version, value []byte, _ kv.LeaseID,
) (kv.Version, error) {
	s.mu.Lock()
	current, err := s.items[key], s.err
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if current.Version != expect {
		return 0, &kv.ConflictError{Key: key, Expected: expect, Current: current.Version}
	}
	s.writeEntry(kv.Entry{Key: key, Value: value})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Version, nil
}

func (s *fakeStore) Delete(context.Context, string, kv.Version) error { return nil }

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease++
	s.leaseEras[s.lease] = s.version.Era()
	return kv.Lease{ID: s.lease, TTL: ttl}, s.err
}

func (s *fakeStore) KeepAlive(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.leaseEras[id] < s.version.Era() {
		return &kv.LeaseExpiredError{ID: id, EraPassed: true}
	}
	return s.err
}

func (s *fakeStore) Revoke(context.Context, kv.LeaseID) error { return nil }

// fakeServer is the entry of a server in the tests' own format.
type fakeServer struct {
	Zone     string
	Draining bool
	Born     int64  // Unix seconds
	Beat     uint64 // number of the heartbeat
	Broken   bool   // cannot be decoded
}

// unreadableEntryError reports an entry that a test made unreadable.
type unreadableEntryError struct{}

func (*unreadableEntryError) Error() string { return "unreadable entry" }

// fakeConfig is the configuration in the tests' own format.
type fakeConfig struct {
	Version routing.Version
	Keys    []string // of a client account; none: requests need no key
}

func decodeFakeConfig(data []byte) (*routing.Config, error) {
	var c fakeConfig
	if err := json.Unmarshal(data, &c); err != nil || len(c.Keys) == 0 {
		return &routing.Config{Version: c.Version}, err
	}
	to := []routing.Destination{{Service: "desk", Weight: 1}}
	return &routing.Config{
		Version: c.Version, Accounts: []routing.Account{{Name: "desk", Keys: c.Keys}},
		Routes: []routing.Route{
			{Name: "open", Host: "desk.example", Prefix: "/open/", AllowAnonymous: true, Destinations: to},
			{Name: "closed", Host: "desk.example", Prefix: "/", Destinations: to},
		},
	}, nil
}

func testCatalog() *Catalog {
	return &Catalog{
		OperatorPrefix: "operator/", ConfigKey: "operator/config", ServerPrefix: "server/",
		DecodeConfig: decodeFakeConfig,
		DecodeServer: func(key string, data []byte) (ServerEntry, error) {
			var s fakeServer
			if err := json.Unmarshal(data, &s); err != nil || s.Broken {
				return ServerEntry{}, &unreadableEntryError{}
			}
			return ServerEntry{Seq: s.Beat, Member: placement.Member{
				ID: placement.ServerID(strings.TrimPrefix(key, "server/")), Service: "desk", Address: key,
				Zone: steering.ZoneName(s.Zone), Slots: 4, Draining: s.Draining, Born: time.Unix(s.Born, 0),
			}}, nil
		},
		EvacuatedZone: func(key string) (steering.ZoneName, bool) {
			zone, ok := strings.CutPrefix(key, "operator/evacuate/")
			return steering.ZoneName(zone), ok
		},
	}
}

func testSettings(name string) *Settings {
	return &Settings{
		Name: name, IP: "10.0.0.1", Region: "north", Zone: "north-a",
		Zones:  map[steering.ZoneName]steering.RegionName{"north-a": "north", "north-b": "north", "south-a": "south"},
		Listen: ListenSettings{Requests: name + ":1", Peer: "10.0.0.1:2"},
		Bounds: Bounds{Drain: 2500 * time.Millisecond, DirectoryTTL: 5 * time.Second, Grace: 6 * time.Second},
	}
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newTestFollower(t *testing.T, store kv.StaleReader, name string) *follower {
	t.Helper()
	s := testSettings(name)
	chooser := placement.NewChooser(placement.Options{Zone: s.Zone, Region: s.Region})
	return newFollower(store, testCatalog(), chooser, s, discardLog(), NewMetrics(prometheus.NewRegistry()))
}

// knownServers returns the ids of the follower's servers that are not draining.
func (f *follower) knownServers() map[placement.ServerID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make(map[placement.ServerID]bool)
	for id, m := range f.registry.members {
		if !m.Draining {
			ids[id] = true
		}
	}
	return ids
}
