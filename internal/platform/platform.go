// Package platform is the client of the platform's key-value store and VM list.
package platform

import (
	"context"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// Version orders the writes of the store; it rises with each write to any key.
type Version uint64

// LeaseID names a lease of the store; 0 means none.
type LeaseID uint64

// Entry is a key of the store with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version // of the last write to Key
	Deleted bool    // only in events of a watch
}

// Lease is a lease of the store as its holder knows it.
type Lease struct {
	ID    LeaseID
	TTL   time.Duration
	Epoch Version // fencing: rises with each lease
}

// Store is the platform's key-value service. Every call counts against its rate, a waiting watch
// as one. Errors are those of this package.
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
	// Watch waits until keys with prefix changed after version and returns the changes.
	Watch(ctx context.Context, prefix string, after Version) ([]Entry, Version, error)
	// Grant makes a lease that lapses after ttl unless kept alive; its keys vanish with it.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease, or returns *LeaseLapsedError.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, id LeaseID) error
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	VMs(ctx context.Context) ([]vm.VM, error)
}
