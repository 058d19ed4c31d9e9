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

// Outcomes of a call to the store or to a peer.
const (
	callSucceeded = "done" // also a watch that ended without a change
	callTimeout   = "timeout"
	callFailed    = "failed"
)

// countedStore counts the calls to a store and logs the counts at intervals.
type countedStore struct {
	store   kv.StaleReader
	metrics *Metrics
	log     logrus.FieldLogger

	mu     sync.Mutex
	counts map[string]int // calls by name since the last log line
}

var _ kv.StaleReader = (*countedStore)(nil)

func newCountedStore(store kv.StaleReader, metrics *Metrics, log logrus.FieldLogger) *countedStore {
	return &countedStore{store: store, metrics: metrics, log: log, counts: make(map[string]int)}
}

// callsLogInterval is the time between two log lines with the counts.
const callsLogInterval = 10 * time.Second

// run logs the counts until ctx ends.
func (s *countedStore) run(ctx context.Context) {
	for clock.Sleep(ctx, callsLogInterval) == nil {
		s.logCounts()
	}
}

func (s *countedStore) logCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := logrus.Fields{"span_ms": callsLogInterval.Milliseconds()}
	for call, n := range s.counts {
		fields[call] = n
	}
	clear(s.counts)
	s.log.WithFields(fields).Info("store calls")
}

// recordCall counts a call that started at start and ended with err.
func (s *countedStore) recordCall(call string, start time.Time, err *error) {
	s.metrics.recordStoreCall(call, callOutcome(*err), time.Since(start))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[call]++
}

func callOutcome(err error) string {
	switch {
	case err == nil:
		return callSucceeded
	case errors.Is(err, context.DeadlineExceeded):
		return callTimeout
	default:
		return callFailed
	}
}

// Get implements kv.Store.
func (s *countedStore) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	defer s.recordCall(callGet, time.Now(), &err)
	return s.store.Get(ctx, key)
}

// List implements kv.Store.
func (s *countedStore) List(ctx context.Context, prefix string) (entries []kv.Entry, version kv.Version, err error) {
	defer s.recordCall(callList, time.Now(), &err)
	return s.store.List(ctx, prefix)
}

// ListStale implements kv.StaleReader.
func (s *countedStore) ListStale(ctx context.Context, prefix string) (entries []kv.Entry, version kv.Version, err error) {
	defer s.recordCall(callStale, time.Now(), &err)
	return s.store.ListStale(ctx, prefix)
}

// Watch implements kv.Store.
func (s *countedStore) Watch(
	ctx context.Context, prefix string, after kv.Version,
) (entries []kv.Entry, version kv.Version, err error) {
	defer s.recordCall(callWatch, time.Now(), &err)
	return s.store.Watch(ctx, prefix, after)
}

// CompareAndSwap implements kv.Store.
func (s *countedStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Version, value []byte, lease kv.LeaseID,
) (version kv.Version, err error) {
	defer s.recordCall(callSwap, time.Now(), &err)
	return s.store.CompareAndSwap(ctx, key, expect, value, lease)
}

// Delete implements kv.Store.
func (s *countedStore) Delete(ctx context.Context, key string, expect kv.Version) (err error) {
	defer s.recordCall(callDelete, time.Now(), &err)
	return s.store.Delete(ctx, key, expect)
}

// Grant implements kv.Store.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (lease kv.Lease, err error) {
	defer s.recordCall(callGrant, time.Now(), &err)
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *countedStore) KeepAlive(ctx context.Context, id kv.LeaseID) (err error) {
	defer s.recordCall(callKeepAlive, time.Now(), &err)
	return s.store.KeepAlive(ctx, id)
}

// Revoke implements kv.Store.
func (s *countedStore) Revoke(ctx context.Context, id kv.LeaseID) (err error) {
	defer s.recordCall(callRevoke, time.Now(), &err)
	return s.store.Revoke(ctx, id)
}
