package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
)

// Names of store calls in metrics and log lines.
const (
	callGet       = "get"
	callList      = "list"
	callStale     = "stale-list"
	callWatch     = "watch"
	callSwap      = "compare-and-swap"
	callDelete    = "delete"
	callGrant     = "grant"
	callKeepAlive = "keep-alive"
	callRevoke    = "revoke"
)

// Outcomes of a store call or a call of a peer.
const (
	callDone    = "done" // also a watch in whose time nothing changed
	callTimeout = "timeout"
	callFailed  = "failed"
)

// countedStore counts the calls of a store and says now and then how many there were.
type countedStore struct {
	store   kv.StaleReader
	metrics *Metrics
	log     logrus.FieldLogger

	mu    sync.Mutex
	since map[string]int // calls since the last line
}

var _ kv.StaleReader = (*countedStore)(nil)

func newCountedStore(store kv.StaleReader, metrics *Metrics, log logrus.FieldLogger) *countedStore {
	return &countedStore{store: store, metrics: metrics, log: log, since: make(map[string]int)}
}

// callsInterval is the time between two lines that tell the calls.
const callsInterval = 10 * time.Second

// run tells the calls until ctx ends.
func (s *countedStore) run(ctx context.Context) {
	for clock.Sleep(ctx, callsInterval) == nil {
		s.tell()
	}
}

func (s *countedStore) tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{"span_ms": callsInterval.Milliseconds()}
	for call, n := range s.since {
		fields[call] = n
	}
	clear(s.since)
	s.log.WithFields(fields).Info("store calls")
}

// note counts a call begun at start that ended with err.
func (s *countedStore) note(call string, start time.Time, err *error) {
	s.metrics.storeCall(call, callOutcome(*err), time.Since(start))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since[call]++
}

func callOutcome(err error) string {
	switch {
	case err == nil:
		return callDone
	case errors.Is(err, context.DeadlineExceeded):
		return callTimeout
	default:
		return callFailed
	}
}

// Get implements kv.Store.
func (s *countedStore) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	defer s.note(callGet, time.Now(), &err)
	return s.store.Get(ctx, key)
}

// List implements kv.Store.
func (s *countedStore) List(ctx context.Context, prefix string) (entries []kv.Entry, version kv.Version, err error) {
	defer s.note(callList, time.Now(), &err)
	return s.store.List(ctx, prefix)
}

// ListStale implements kv.StaleReader.
func (s *countedStore) ListStale(ctx context.Context, prefix string) (entries []kv.Entry, version kv.Version, err error) {
	defer s.note(callStale, time.Now(), &err)
	return s.store.ListStale(ctx, prefix)
}

// Watch implements kv.Store.
func (s *countedStore) Watch(
	ctx context.Context, prefix string, after kv.Version,
) (entries []kv.Entry, version kv.Version, err error) {
	defer s.note(callWatch, time.Now(), &err)
	return s.store.Watch(ctx, prefix, after)
}

// CompareAndSwap implements kv.Store.
func (s *countedStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Version, value []byte, lease kv.LeaseID,
) (version kv.Version, err error) {
	defer s.note(callSwap, time.Now(), &err)
	return s.store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Delete implements kv.Store.
func (s *countedStore) Delete(ctx context.Context, key string, expect kv.Version) (err error) {
	defer s.note(callDelete, time.Now(), &err)
	return s.store.Delete(ctx, key, expect)
}

// Grant implements kv.Store.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (lease kv.Lease, err error) {
	defer s.note(callGrant, time.Now(), &err)
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *countedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (err error) {
	defer s.note(callKeepAlive, time.Now(), &err)
	return s.store.KeepAlive(ctx, id)
}

// Revoke implements kv.Store.
func (s *countedStore) Revoke(ctx context.Context, id kv.LeaseID) (err error) {
	defer s.note(callRevoke, time.Now(), &err)
	return s.store.Revoke(ctx, id)
}
