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
	callDone    = "done"
	callTimeout = "timeout" // also a watch without a change
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

// note counts a call begun at start.
func (s *countedStore) note(call string, start time.Time, err error) {
	s.metrics.storeCall(call, callOutcome(err), time.Since(start))
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
func (s *countedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	start := time.Now()
	e, err := s.store.Get(ctx, key)
	s.note(callGet, start, err)
	return e, err
}

// List implements kv.Store.
func (s *countedStore) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	start := time.Now()
	entries, version, err := s.store.List(ctx, prefix)
	s.note(callList, start, err)
	return entries, version, err
}

// ListStale implements kv.StaleReader.
func (s *countedStore) ListStale(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	start := time.Now()
	entries, version, err := s.store.ListStale(ctx, prefix)
	s.note(callStale, start, err)
	return entries, version, err
}

// Watch implements kv.Store.
func (s *countedStore) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Entry, kv.Version, error) {
	start := time.Now()
	entries, version, err := s.store.Watch(ctx, prefix, after)
	s.note(callWatch, start, err)
	return entries, version, err
}

// CompareAndSwap implements kv.Store.
func (s *countedStore) CompareAndSwap(
	ctx context.Context, key string, expect kv.Version, value []byte, lease kv.LeaseID,
) (kv.Version, error) {
	start := time.Now()
	version, err := s.store.CompareAndSwap(ctx, key, expect, value, lease)
	s.note(callSwap, start, err)
	return version, err
}

// Delete implements kv.Store.
func (s *countedStore) Delete(ctx context.Context, key string, expect kv.Version) error {
	start := time.Now()
	err := s.store.Delete(ctx, key, expect)
	s.note(callDelete, start, err)
	return err
}

// Grant implements kv.Store.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	start := time.Now()
	lease, err := s.store.Grant(ctx, ttl)
	s.note(callGrant, start, err)
	return lease, err
}

// KeepAlive implements kv.Store.
func (s *countedStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	start := time.Now()
	err := s.store.KeepAlive(ctx, id)
	s.note(callKeepAlive, start, err)
	return err
}

// Revoke implements kv.Store.
func (s *countedStore) Revoke(ctx context.Context, id kv.LeaseID) error {
	start := time.Now()
	err := s.store.Revoke(ctx, id)
	s.note(callRevoke, start, err)
	return err
}
