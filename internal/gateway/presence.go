package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

// presencePrefix starts the key under which each entry VM lists itself for the duration of its lease.
const presencePrefix = "azureflow/entry-vms/"

const (
	presenceTTL           = 3 * time.Second         // until no lookup result has a killed VM; the required bound is 7 s
	presenceRenewInterval = 1400 * time.Millisecond // two attempts within a lease, plus the retries after failures
	presenceReadInterval  = time.Second
)

// presenceRecord is the entry of an entry VM in the store.
type presenceRecord struct {
	Zone     steering.ZoneName   `json:"zone"`
	Region   steering.RegionName `json:"region"`
	Requests string              `json:"requests"` // address for callers
	Peer     string              `json:"peer"`     // address for other entry VMs
	LinkMbit float64             `json:"link_mbit,omitempty"`

	// Addresses that are no servers'.
	Directory string `json:"directory,omitempty"`
	Readiness string `json:"readiness,omitempty"`
}

// isValid reports whether the record names an entry VM that callers can reach.
func (r *presenceRecord) isValid() bool { return r.Requests != "" }

// presence lists this entry VM in the store and knows the others.
type presence struct {
	store     kv.StaleReader
	self      presenceRecord
	name      string
	chooser   *placement.Chooser
	log       logrus.FieldLogger
	lookupTTL time.Duration // of lookup results for callers
	leaseTTL  time.Duration

	otherVMs  atomic.Pointer[[]presenceRecord] // without this VM; nil: not known yet
	canServe  atomic.Bool                      // this VM can serve requests
	isLeaving atomic.Bool
	lease     kv.LeaseID // owned by the loop that renews it
	listing   atomic.Pointer[listing]
	relisted  chan struct{} // holds a value after listing was replaced

	mu            sync.Mutex // guards the fields below
	list          *storeCopy // of the entry VMs' entries
	keepsVanished bool       // entry VMs count as listed that the store which came back older lacks
}

func newPresence(store kv.StaleReader, s *Settings, chooser *placement.Chooser, log logrus.FieldLogger) *presence {
	const defaultTTL = 2 * time.Second // short, so that callers soon leave a lost entry VM
	p := &presence{
		store: store, name: s.Name, chooser: chooser, log: log, lookupTTL: defaultTTL,
		leaseTTL: max(presenceTTL, s.MinLeaseTTL),
		list:     newStoreCopy(inspectValue), relisted: make(chan struct{}, 1),
		self: presenceRecord{
			Zone: s.Zone, Region: s.Region, Requests: s.Listen.Requests,
			Peer:     s.Listen.Peer,
			LinkMbit: s.LinkMbit, Directory: s.Listen.Directory, Readiness: s.Listen.Readiness,
		},
	}
	p.list.rewind.rewriteTime, p.list.rewind.hidesReturned = relistTime, true
	if s.Bounds.DirectoryTTL > 0 {
		p.lookupTTL = min(p.lookupTTL, s.Bounds.DirectoryTTL)
	}
	return p
}

// keepListed keeps this entry VM listed until ctx ends, then removes it from the list.
func (p *presence) keepListed(ctx context.Context) {
	waits := newRetryWaits()
	for ctx.Err() == nil {
		if err := p.renewLease(ctx); err != nil {
			p.log.WithFields(logrus.Fields{"error": err.Error()}).Warn("entry VM not listed")
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		waits.Reset()
		_ = clock.Sleep(ctx, presenceRenewInterval)
	}
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), presenceRenewInterval)
	defer cancel()
	if p.lease != 0 {
		if err := p.store.Revoke(revokeCtx, p.lease); err != nil {
			p.log.WithFields(logrus.Fields{"error": err.Error()}).Warn("entry VM stays listed until its lease lapses")
		}
	}
}

// renewLease renews the lease, or acquires a new one and lists this entry VM under it.
func (p *presence) renewLease(ctx context.Context) error {
	sentAt := time.Now()
	if p.lease != 0 {
		err := p.store.KeepAlive(ctx, p.lease)
		expired, ok := err.(*kv.LeaseExpiredError)
		if !ok {
			if err == nil {
				p.listing.Load().extend(sentAt)
			}
			return err
		}
		if expired.EraPassed { // so are the leases of the other entry VMs
			_ = clock.Sleep(ctx, rand.N(relistJitter))
		}
		sentAt = time.Now()
	}
	lease, err := p.store.Grant(ctx, p.leaseTTL)
	if err != nil {
		return err
	}
	version, err := p.writeRecord(ctx, lease.ID)
	if err != nil {
		return err
	}
	p.lease = lease.ID
	p.recordListing(version, sentAt, lease.TTL)
	return nil
}

// writeRecord writes the entry of this VM under a lease and returns its version.
func (p *presence) writeRecord(ctx context.Context, lease kv.LeaseID) (kv.Version, error) {
	value, err := json.Marshal(p.self)
	if err != nil {
		return 0, err
	}
	version, err := p.store.CompareAndSwap(ctx, presencePrefix+p.name, 0, value, lease)
	conflict, ok := err.(*kv.ConflictError)
	if !ok {
		return version, err
	}
	return p.store.CompareAndSwap(ctx, presencePrefix+p.name, conflict.Current, value, lease)
}

// pollList reads the list of entry VMs until ctx ends. awaitOwnReads waits while a peer's copy replaces own reads, and
// returns false once ctx has ended. While the store is unreachable, the last list stays.
func (p *presence) pollList(ctx context.Context, awaitOwnReads func(ctx context.Context) bool) {
	for awaitOwnReads(ctx) {
		requestedAt := time.Now()
		entries, version, err := p.store.ListStale(ctx, presencePrefix)
		if err == nil {
			p.updateList(func(c *storeCopy) bool {
				changed := c.applyList(entries, version, requestedAt)
				if version.Era() == c.rewind.era {
					c.confirm(requestedAt) // a list older than the copy says that no newer one is to be had
				}
				return changed
			})
		}
		_ = clock.Sleep(ctx, presenceReadInterval)
	}
}

// updateList lets update change the copy of the list and applies the result.
func (p *presence) updateList(update func(*storeCopy) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasRead, era := !p.list.readAt.IsZero(), p.list.rewind.era
	changed := update(p.list)
	logRise(p.log, "entry-vms", era, p.list)
	if changed || p.keepsVanished || !wasRead && !p.list.readAt.IsZero() {
		vanished := p.list.vanishedEntries(time.Now())
		p.keepsVanished = len(vanished) > 0
		p.applyList(append(p.list.entries(), vanished...))
	}
}

// listUpdate returns what changed in the copy of the list since a peer's position.
func (p *presence) listUpdate(position *peer.StoreCopy, now time.Time) *peer.StoreCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return copyUpdate(p.list, position, now)
}

// describeList describes the copy of the list to a peer.
func (p *presence) describeList() *peer.StoreCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.describe()
}

// applyList replaces the known other entry VMs by the store's list.
func (p *presence) applyList(entries []kv.Entry) {
	listed := p.decodeList(entries)
	p.otherVMs.Store(&listed)
	p.updatePeerCounts()
}

// decodeList returns the other entry VMs among the entries of the store's list.
func (p *presence) decodeList(entries []kv.Entry) []presenceRecord {
	listed := make([]presenceRecord, 0, len(entries))
	for _, e := range entries {
		var r presenceRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			p.log.WithFields(logrus.Fields{"key": e.Key, "error": err.Error()}).Warn("entry ignored")
			continue
		}
		if !r.isValid() {
			problem := &StrangeEntryError{Problem: "it lacks an address"}
			p.log.WithFields(logrus.Fields{"key": e.Key, "error": problem.Error()}).Warn("entry ignored")
			continue
		}
		listed = append(listed, r)
	}
	return p.withoutSelf(listed)
}

// adoptPeerList uses the entry VMs that a peer knows, unless the store has listed them already. It reports whether it
// did.
func (p *presence) adoptPeerList(records []presenceRecord) bool {
	listed := p.withoutSelf(records)
	if len(listed) == 0 || !p.otherVMs.CompareAndSwap(nil, &listed) {
		return false
	}
	p.updatePeerCounts()
	return true
}

func (p *presence) withoutSelf(records []presenceRecord) []presenceRecord {
	return slices.DeleteFunc(records, func(r presenceRecord) bool { return r.Requests == p.self.Requests })
}

// updatePeerCounts passes the number of entry VMs to the chooser.
func (p *presence) updatePeerCounts() {
	peers := placement.Peers{Fleet: 1, Region: 1, Serving: p.servingCount()}
	for _, r := range p.others() {
		peers.Fleet++
		if r.Region == p.self.Region {
			peers.Region++
			peers.OthersInRegion = append(peers.OthersInRegion, r.Requests)
		}
	}
	p.chooser.SetPeers(peers)
}

// others returns the other entry VMs that are known.
func (p *presence) others() []presenceRecord {
	if listed := p.otherVMs.Load(); listed != nil {
		return *listed
	}
	return nil
}

// servingVMs returns the entry VMs that callers could use, this one included if it can serve and is not leaving.
func (p *presence) servingVMs() []presenceRecord {
	records := slices.Clone(p.others())
	if p.canServe.Load() && !p.isLeaving.Load() {
		records = append(records, p.self)
	}
	return records
}

// readerAddress returns the peer address of the entry VM that reads for this region, or "" if that is this one. It is
// the one with the widest link, since all others copy from it, and among equals the first by address. VMs for which
// isExcluded returns true are passed over.
func (p *presence) readerAddress(isExcluded func(address string) bool) string {
	reader := &p.self
	for _, r := range p.others() {
		if r.Region == p.self.Region && r.Peer != "" && r.ranksBefore(reader) && !isExcluded(r.Peer) {
			reader = &r
		}
	}
	if reader == &p.self {
		return ""
	}
	return reader.Peer
}

// ranksBefore orders entry VMs: the wider link first, then the lower peer address.
func (r *presenceRecord) ranksBefore(other *presenceRecord) bool {
	if r.LinkMbit != other.LinkMbit {
		return r.LinkMbit > other.LinkMbit
	}
	return r.Peer < other.Peer
}

// setLeaving removes this entry VM from its own lookup results.
func (p *presence) setLeaving() { p.isLeaving.Store(true) }
