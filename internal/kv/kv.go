// Package kv is the interface of the platform's key-value store: compare-and-swap, leases and
// watches. It depends on no other package of the project, so that every package can use it;
// package refplatform names the same types.
package kv

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1_000_000

// Version orders the writes of the store; it rises with each write to any key, and with the store's era.
type Version uint64

// LeaseID identifies a lease of the store; 0 means none. Any number may be one. A store that came back older may give
// it to another holder.
type LeaseID uint64

// Entry is a key of the store with its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`           // of the last write to Key
	Deleted bool    `json:"deleted,omitempty"` // only in events of a watch
	Created Version `json:"created,omitempty"` // of the write that created Key; 0: not known
}

// Lease is a lease of the store as its holder knows it.
type Lease struct {
	ID    LeaseID
	TTL   time.Duration
	Epoch Version // fencing: rises with each lease
}

// Store is the platform's key-value service. Every call counts against its rate limit; a waiting
// watch counts as one call. Errors are those of this package.
type Store interface {
	// Get returns the entry at key, or *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key begins with prefix, sorted by key, and the store's version.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// CompareAndSwap writes value if key is at version expect (0: absent), else *ConflictError.
	// *EffectUnknownError means that the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// Delete removes key if it is at version expect, else *ConflictError.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until keys with prefix changed after version and returns the last state of each.
	// It may return no entries after a long wait. A returned version below after means that the store
	// was reset to an earlier state; the entries are then all that it holds with prefix. A store that counts its eras
	// returns *CompactedError instead if it is not in the era of after.
	Watch(ctx context.Context, prefix string, after Version) ([]Entry, Version, error)
	// Grant creates a lease that expires after ttl unless it is renewed; its keys are deleted with it.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease, or returns *LeaseExpiredError, also if the lease is of an era that has passed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, id LeaseID) error
}
