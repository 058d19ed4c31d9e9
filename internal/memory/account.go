// Package memory accounts for the bytes that a VM holds for its callers. What would exceed the account is not taken in:
// the sender waits, is refused, or another one's bytes are given up.
package memory

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// SmallBytes is the largest reservation that may use the whole account. Larger ones leave part of it free, so that
// ordinary requests find room beside large ones.
const SmallBytes = 32 << 10

// smallShare is the part of the account that only small reservations may use.
const smallShare = 1.0 / 8

// Account is the memory for what callers send and get. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	capacity      int64 // bytes
	largeCapacity int64 // of it, for reservations larger than SmallBytes
	used          atomic.Int64
	wanted        atomic.Int64 // bytes that callers of Await wait for

	mu    sync.Mutex
	freed chan struct{} // closed at the next release; nil if nobody waits
}

// NewAccount returns an Account of capacity bytes, nil if capacity is not positive.
func NewAccount(capacity int64) *Account {
	if capacity <= 0 {
		return nil
	}
	return &Account{capacity: capacity, largeCapacity: capacity - int64(smallShare*float64(capacity))}
}

// NoRoomError reports bytes for which there was no room.
type NoRoomError struct{ Bytes int64 }

// Error implements error.
func (e *NoRoomError) Error() string {
	return "no memory for " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// TryReserve reserves n bytes and reports whether there was room.
func (a *Account) TryReserve(n int64) bool {
	if a == nil {
		return true
	}
	limit := a.capacity
	if n > SmallBytes {
		limit = a.largeCapacity
	}
	for {
		used := a.used.Load()
		if used+n > limit {
			return false
		}
		if a.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n reserved bytes.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.used.Add(-n)
	if a.wanted.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Await reserves n bytes, waiting for at most limit. Each retryInterval it calls reclaim, which may make others release
// what they hold. Errors: *NoRoomError.
func (a *Account) Await(done <-chan struct{}, n int64, limit, retryInterval time.Duration, reclaim func()) error {
	if a.TryReserve(n) {
		return nil
	}
	a.wanted.Add(n)
	defer a.wanted.Add(-n)
	expired := time.NewTimer(limit)
	defer expired.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		freed := a.nextRelease()
		if a.TryReserve(n) {
			return nil
		}
		reclaim()
		select {
		case <-freed:
		case <-retry.C:
		case <-expired.C:
			return &NoRoomError{Bytes: n}
		case <-done:
			return &NoRoomError{Bytes: n}
		}
	}
}

// nextRelease returns a channel that is closed at the next release.
func (a *Account) nextRelease() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Wanted returns how many bytes callers of Await wait for.
func (a *Account) Wanted() int64 {
	if a == nil {
		return 0
	}
	return a.wanted.Load()
}

// Used returns how many bytes are reserved.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// Capacity returns the size of the account in bytes, 0 if it has no limit.
func (a *Account) Capacity() int64 {
	if a == nil {
		return 0
	}
	return a.capacity
}

const (
	// processBytes is what a VM needs besides the account: the program and its tables (16 MB at the peak of a quiet day
	// on the platform) and as much for its growth.
	processBytes = 32_000_000
	// The garbage collector lets as much garbage arise as there is live data, and what sockets hold unread is not in the
	// account, so the account takes less than half of the rest.
	liveShare = 0.4
	// minShare is the part of the memory that the account gets on a VM that is hardly larger than processBytes.
	minShare = 1.0 / 8
	// heapShare is the soft limit of the Go runtime. The rest is for the program's own pages and for what sockets hold.
	heapShare = 0.6
)

// CapacityFor returns the size of the account of a VM with total bytes of memory, 0 if total is 0.
func CapacityFor(total int64) int64 {
	return max(int64(liveShare*float64(total-processBytes)), int64(minShare*float64(total)))
}

// HeapLimitFor returns the soft memory limit of the Go runtime on a VM with total bytes of memory.
func HeapLimitFor(total int64) int64 { return int64(heapShare * float64(total)) }

// Holder reserves memory on behalf of one request. What it still has at the request's end is returned then.
type Holder interface {
	// Reserve reserves n bytes, and may wait for them while nothing is read from the caller. Errors: *NoRoomError.
	Reserve(n int64) error
	// TryReserve reserves n bytes if there is room now.
	TryReserve(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

// Unlimited is a Holder without a limit.
type Unlimited struct{}

var _ Holder = Unlimited{}

// Reserve implements Holder.
func (Unlimited) Reserve(int64) error { return nil }

// TryReserve implements Holder.
func (Unlimited) TryReserve(int64) bool { return true }

// Release implements Holder.
func (Unlimited) Release(int64) {}
