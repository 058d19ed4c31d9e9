package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

// presencePrefix begins the key under which each entry VM lists itself, for as long as its lease lasts.
const presencePrefix = "azureflow/entry-vms/"

const (
	presenceTTL   = 3 * time.Second         // a killed VM is named in no answer after it; the users allow 7 s
	presenceRenew = 1400 * time.Millisecond // two tries within the life of the lease, and those after a failure
	presenceReads = time.Second
)

// presenceRecord is the entry of an entry VM in the store.
type presenceRecord struct {
	Zone     steering.ZoneName   `json:"zone"`
	Region   steering.RegionName `json:"region"`
	Requests string              `json:"requests"` // address for callers
	Peer     string              `json:"peer"`     // address for other entry VMs
	LinkMbit float64             `json:"link_mbit,omitempty"`
}

// presence lists this entry VM in the store and knows the others.
type presence struct {
	store   kv.StaleReader
	self    presenceRecord
	name    string
	chooser *placement.Chooser
	log     logrus.FieldLogger
	ttl     time.Duration // of answers to callers
	listing time.Duration // life of the lease

	live   atomic.Pointer[[]presenceRecord] // this VM not included; nil: not known yet
	serves atomic.Bool                      // this VM can serve requests
	leaves atomic.Bool
	lease  kv.LeaseID // of the loop that renews it
}

func newPresence(store kv.StaleReader, s *Settings, chooser *placement.Chooser, log logrus.FieldLogger) *presence {
	const answerTTL = 2 * time.Second // short, so that callers leave a lost entry VM soon
	p := &presence{
		store: store, name: s.Name, chooser: chooser, log: log, ttl: answerTTL,
		listing: max(presenceTTL, s.MinLeaseTTL),
		self: presenceRecord{
			Zone: s.Zone, Region: s.Region, Requests: s.Listen.Requests,
			Peer:     s.Listen.Peer,
			LinkMbit: s.LinkMbit,
		},
	}
	if s.Bounds.DirectoryTTL > 0 {
		p.ttl = min(p.ttl, s.Bounds.DirectoryTTL)
	}
	return p
}

// announce keeps this entry VM listed until ctx ends, then takes it off the list.
func (p *presence) announce(ctx context.Context) {
	waits := newRetryWaits()
	for ctx.Err() == nil {
		if err := p.renew(ctx); err != nil {
			p.log.WithFields(logrus.Fields{"error": err.Error()}).Warn("entry VM not listed")
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		waits.Reset()
		_ = clock.Sleep(ctx, presenceRenew)
	}
	ended, cancel := context.WithTimeout(context.WithoutCancel(ctx), presenceRenew)
	defer cancel()
	if p.lease != 0 {
		if err := p.store.Revoke(ended, p.lease); err != nil {
			p.log.WithFields(logrus.Fields{"error": err.Error()}).Warn("entry VM stays listed until its lease lapses")
		}
	}
}

// renew keeps the lease, or takes a new one and lists this entry VM under it.
func (p *presence) renew(ctx context.Context) error {
	if p.lease != 0 {
		err := p.store.KeepAlive(ctx, p.lease)
		if _, lapsed := err.(*kv.LeaseLapsedError); !lapsed {
			return err
		}
	}
	lease, err := p.store.Grant(ctx, p.listing)
	if err != nil {
		return err
	}
	if err := p.list(ctx, lease.ID); err != nil {
		return err
	}
	p.lease = lease.ID
	return nil
}

func (p *presence) list(ctx context.Context, lease kv.LeaseID) error {
	value, err := json.Marshal(p.self)
	if err != nil {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, presencePrefix+p.name, 0, value, lease)
	conflict, ok := err.(*kv.ConflictError)
	if !ok {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, presencePrefix+p.name, conflict.Current, value, lease)
	return err
}

// follow reads the list of entry VMs until ctx ends. While the store is away, the last list stays.
func (p *presence) follow(ctx context.Context) {
	for ctx.Err() == nil {
		entries, _, err := p.store.ListStale(ctx, presencePrefix)
		if err == nil {
			p.take(entries)
		}
		_ = clock.Sleep(ctx, presenceReads)
	}
}

// take replaces what is known of the other entry VMs by the store's list.
func (p *presence) take(entries []kv.Entry) {
	live := make([]presenceRecord, 0, len(entries))
	for _, e := range entries {
		var r presenceRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			p.log.WithFields(logrus.Fields{"key": e.Key, "error": err.Error()}).Warn("entry ignored")
			continue
		}
		live = append(live, r)
	}
	live = p.withoutSelf(live)
	p.live.Store(&live)
	p.countPeers()
}

// adopt takes the entry VMs that a peer knows, until the store has listed them. It reports whether it did.
func (p *presence) adopt(records []presenceRecord) bool {
	live := p.withoutSelf(records)
	if len(live) == 0 || !p.live.CompareAndSwap(nil, &live) {
		return false
	}
	p.countPeers()
	return true
}

func (p *presence) withoutSelf(records []presenceRecord) []presenceRecord {
	return slices.DeleteFunc(records, func(r presenceRecord) bool { return r.Requests == p.self.Requests })
}

// countPeers tells the chooser how many entry VMs there are.
func (p *presence) countPeers() {
	peers := placement.Peers{Fleet: 1, Region: 1, Serving: p.serving()}
	for _, r := range p.others() {
		peers.Fleet++
		if r.Region == p.self.Region {
			peers.Region++
		}
	}
	p.chooser.SetPeers(peers)
}

// others returns the other entry VMs that are known.
func (p *presence) others() []presenceRecord {
	if live := p.live.Load(); live != nil {
		return *live
	}
	return nil
}

// known returns the entry VMs that callers could be sent to, this one included if it can serve and stays.
func (p *presence) known() []presenceRecord {
	records := slices.Clone(p.others())
	if p.serves.Load() && !p.leaves.Load() {
		records = append(records, p.self)
	}
	return records
}

// reader returns the peer address of the entry VM that reads for this region, or "" if that is this one. It is
// the one with the widest link, since all others take copies from it, and of these the first by address.
func (p *presence) reader() string {
	reader := &p.self
	for _, r := range p.others() {
		if r.Region == p.self.Region && r.Peer != "" && r.widerThan(reader) {
			reader = &r
		}
	}
	if reader == &p.self {
		return ""
	}
	return reader.Peer
}

// widerThan orders entry VMs: the wider link first, then the lower address.
func (r *presenceRecord) widerThan(other *presenceRecord) bool {
	if r.LinkMbit != other.LinkMbit {
		return r.LinkMbit > other.LinkMbit
	}
	return r.Peer < other.Peer
}

// leave takes this entry VM out of its own answers.
func (p *presence) leave() { p.leaves.Store(true) }
