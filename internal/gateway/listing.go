package gateway

import (
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// listing is the entry of this VM in the store under one lease.
type listing struct {
	version kv.Version                // of the entry; later lists contain it while the lease is valid
	at      time.Time                 // when the entry was certainly written
	ttl     time.Duration             // of the lease
	until   atomic.Pointer[time.Time] // until then the lease is certainly valid
}

// leaseMarginPart is the part of a lease's TTL that is not relied on: the clocks of this VM and of the store may run at
// different rates.
const leaseMarginPart = 20

// extend records that the lease was granted or renewed by a call that was sent at sentAt.
func (l *listing) extend(sentAt time.Time) {
	until := sentAt.Add(l.ttl - l.ttl/leaseMarginPart)
	l.until.Store(&until)
}

// recordListing records that this VM was listed anew, under a lease that was requested at requestedAt.
func (p *presence) recordListing(version kv.Version, requestedAt time.Time, ttl time.Duration) {
	l := &listing{version: version, at: time.Now(), ttl: ttl}
	l.extend(requestedAt)
	p.listing.Store(l)
	select {
	case p.relisted <- struct{}{}:
	default:
	}
}

// otherVMsAsOf returns the other entry VMs that are known, the version of the store's list that they are from, and when
// its read was requested (zero: they are from a peer).
func (p *presence) otherVMsAsOf() (records *[]presenceRecord, version kv.Version, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.otherVMs.Load(), p.list.version, p.list.readAt
}
