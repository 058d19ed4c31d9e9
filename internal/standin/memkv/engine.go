// Package memkv is a key-value store in memory that stands in for the platform's: versions,
// compare-and-swap, leases that lapse by time.Now, watches, and faults that can be switched on.
package memkv

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// record is the state of one key; a deleted key stays as a tombstone, for watches.
type record struct {
	value   []byte
	version kv.Version
	lease   kv.LeaseID
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// engine holds keys and leases. Every method takes the lock and lapses due leases first.
type engine struct {
	mu        sync.Mutex
	version   kv.Version
	nextLease kv.LeaseID
	records   map[string]record
	leases    map[kv.LeaseID]lease
	changed   chan struct{} // closed and replaced by each change
}

func newEngine() *engine {
	return &engine{
		records: make(map[string]record),
		leases:  make(map[kv.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// lock takes the lock and lapses the leases that are due.
func (e *engine) lock() {
	e.mu.Lock()
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(e.leases)) {
		if !now.Before(e.leases[id].expires) {
			e.dropLease(id)
		}
	}
}

func (e *engine) dropLease(id kv.LeaseID) {
	delete(e.leases, id)
	for _, key := range slices.Sorted(maps.Keys(e.records)) {
		if r := e.records[key]; r.lease == id && !r.deleted {
			e.put(key, record{deleted: true})
		}
	}
}

func (e *engine) put(key string, r record) kv.Version {
	e.version++
	r.version = e.version
	e.records[key] = r
	e.announce()
	return e.version
}

func (e *engine) announce() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *engine) currentVersion(key string) kv.Version {
	if r, ok := e.records[key]; ok && !r.deleted {
		return r.version
	}
	return 0
}

func (e *engine) get(key string) (kv.Entry, error) {
	e.lock()
	defer e.mu.Unlock()
	return getRecord(e.records, key)
}

func getRecord(records map[string]record, key string) (kv.Entry, error) {
	r, ok := records[key]
	if !ok || r.deleted {
		return kv.Entry{}, &kv.NotFoundError{Key: key}
	}
	return kv.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version}, nil
}

func (e *engine) list(prefix string) ([]kv.Entry, kv.Version) {
	e.lock()
	defer e.mu.Unlock()
	return listRecords(e.records, prefix), e.version
}

func listRecords(records map[string]record, prefix string) []kv.Entry {
	var entries []kv.Entry
	for key, r := range records {
		if strings.HasPrefix(key, prefix) && !r.deleted {
			entries = append(entries, kv.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version})
		}
	}
	sortEntries(entries)
	return entries
}

func sortEntries(entries []kv.Entry) {
	slices.SortFunc(entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
}

func (e *engine) compareAndSwap(key string, expect kv.Version, value []byte, id kv.LeaseID) (kv.Version, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, &kv.ValueTooLargeError{Key: key, Bytes: len(value), Limit: kv.MaxValueBytes}
	}
	e.lock()
	defer e.mu.Unlock()
	if _, ok := e.leases[id]; id != 0 && !ok {
		return 0, &kv.LeaseExpiredError{ID: id}
	}
	if current := e.currentVersion(key); current != expect {
		return 0, &kv.ConflictError{Key: key, Expected: expect, Current: current}
	}
	return e.put(key, record{value: slices.Clone(value), lease: id}), nil
}

func (e *engine) remove(key string, expect kv.Version) error {
	e.lock()
	defer e.mu.Unlock()
	if current := e.currentVersion(key); current != expect {
		return &kv.ConflictError{Key: key, Expected: expect, Current: current}
	}
	if expect != 0 {
		e.put(key, record{deleted: true})
	}
	return nil
}

// changes returns what changed with prefix after a version, a channel closed by the next change
// and the time until the next lease is due (0: there is none).
func (e *engine) changes(prefix string, after kv.Version) ([]kv.Entry, kv.Version, <-chan struct{}, time.Duration) {
	e.lock()
	defer e.mu.Unlock()
	if e.version < after {
		return listRecords(e.records, prefix), e.version, e.changed, 0
	}
	return changedRecords(e.records, prefix, after), e.version, e.changed, e.untilNextLapse()
}

func changedRecords(records map[string]record, prefix string, after kv.Version) []kv.Entry {
	var entries []kv.Entry
	for key, r := range records {
		if r.version > after && strings.HasPrefix(key, prefix) {
			entries = append(entries, kv.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version, Deleted: r.deleted})
		}
	}
	sortEntries(entries)
	return entries
}

func (e *engine) untilNextLapse() time.Duration {
	var next time.Duration
	for _, l := range e.leases {
		if d := time.Until(l.expires); next == 0 || d < next {
			next = max(d, 1)
		}
	}
	return next
}

func (e *engine) grant(ttl time.Duration) kv.Lease {
	e.lock()
	defer e.mu.Unlock()
	e.nextLease++
	e.version++
	e.leases[e.nextLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return kv.Lease{ID: e.nextLease, TTL: ttl, Epoch: e.version}
}

func (e *engine) keepAlive(id kv.LeaseID) error {
	e.lock()
	defer e.mu.Unlock()
	l, ok := e.leases[id]
	if !ok {
		return &kv.LeaseExpiredError{ID: id}
	}
	l.expires = time.Now().Add(l.ttl)
	e.leases[id] = l
	return nil
}

func (e *engine) revoke(id kv.LeaseID) error {
	e.lock()
	defer e.mu.Unlock()
	if _, ok := e.leases[id]; !ok {
		return &kv.LeaseExpiredError{ID: id}
	}
	e.dropLease(id)
	return nil
}
