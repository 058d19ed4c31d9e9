package gateway

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Bounds of a call to a peer: several times the delay between regions, and more for the first call, whose reply may be
// a complete copy that a narrow link carries in this time.
const (
	peerCallTimeout  = 300 * time.Millisecond
	firstCallTimeout = time.Second
)

// sharing keeps store reads few: one entry VM of each region reads the servers' entries, the others request the changes
// from it. An entry VM whose peers have no fresh copy reads for itself; one that cannot read at all queries peers of
// any region.
type sharing struct {
	peer.DRPCPeerUnimplementedServer

	follower  *follower
	presence  *presence
	pool      *peer.Pool
	quotaHome *quotaHome // set before calls are served
	seeds     []string   // peer addresses
	log       logrus.FieldLogger
	metrics   *Metrics

	mu            sync.Mutex
	positions     map[string]*peer.FetchStoreRequest // by peer address: how far its copies are applied
	fallbackIndex int                                // of the peer to query if the reader's copy is not fresh
	failures      map[string]int                     // of readers in a row, by peer address
	excludedUntil map[string]time.Time               // readers that gave no fresh copies, by peer address
}

// Readers that give no fresh copies are replaced by the next entry VM of the region.
const (
	maxReaderFailures = 2 // in a row; the copies that they gave are then no longer fresh
	readerExclusion   = 10 * time.Second
)

func newSharing(
	f *follower, p *presence, s *Settings, log logrus.FieldLogger, pool *peer.Pool, metrics *Metrics,
) *sharing {
	f.listedVMs = p.others
	return &sharing{
		follower: f, presence: p, pool: pool, log: log, metrics: metrics, positions: make(map[string]*peer.FetchStoreRequest),
		failures: make(map[string]int), excludedUntil: make(map[string]time.Time),
		seeds: slices.DeleteFunc(slices.Clone(s.Seeds), func(seed string) bool { return seed == p.self.Peer }),
	}
}

// servePeers responds to peers until ctx ends.
func (s *sharing) servePeers(ctx context.Context, l net.Listener) {
	if err := peer.Serve(ctx, l, s); err != nil && ctx.Err() == nil {
		s.log.WithFields(logrus.Fields{"error": err.Error()}).Error("peer listener ended")
	}
}

// FetchStore implements peer.DRPCPeerServer.
func (s *sharing) FetchStore(_ context.Context, r *peer.FetchStoreRequest) (*peer.FetchStoreReply, error) {
	f := s.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	reply := &peer.FetchStoreReply{
		Servers:  copyUpdate(f.servers, r.GetServers(), now),
		Operator: copyUpdate(f.operator, r.GetOperator(), now),
	}
	reply.Operator.ConfirmedAgeMs = f.confirmation.describe()
	reply.ListedVms = s.presence.listUpdate(r.GetListedVms(), now)
	if r.GetEntryVms() {
		reply.EntryVms = toListedVMs(s.presence.servingVMs())
	}
	return reply, nil
}

// copyUpdate returns what changed in c since the requester's position. A requester without a position whose copy agrees
// with c needs no entries.
func copyUpdate(c *storeCopy, position *peer.StoreCopy, now time.Time) *peer.StoreCopy {
	if c.readAt.IsZero() || !c.isOfOneEra() {
		return &peer.StoreCopy{}
	}
	incarnation, change := position.GetIncarnation(), position.GetChange()
	if incarnation == 0 && position.GetVersion() > 0 && position.GetDigest() == c.digest {
		incarnation, change = c.incarnation, c.change
	}
	var entries []kv.Entry
	complete := false
	if !isLaterEra(position, c) { // else the requester would not use them
		entries, complete = c.changesSince(incarnation, change)
	}
	m := &peer.StoreCopy{
		Incarnation: c.incarnation, Change: c.change, Whole: complete, Version: uint64(c.version),
		AgeMs: uint32(max(0, now.Sub(c.readAt).Milliseconds())), Digest: c.digest,
	}
	for i := range entries {
		e := &entries[i]
		m.Entries = append(m.Entries, &peer.StoreEntry{
			Key: e.Key, Version: uint64(e.Version), Value: e.Value, Deleted: e.Deleted,
		})
	}
	return m
}

// run queries peers until ctx ends.
func (s *sharing) run(ctx context.Context) {
	s.fetchFromSeeds(ctx)
	for clock.Sleep(ctx, s.follower.intervals.Load().shareInterval) == nil {
		s.fetchFromPeers(ctx)
	}
}

// fetchFromSeeds queries the seeds until this entry VM can serve or knows its peers: the store may be unreachable, and
// a seed may be nearer.
func (s *sharing) fetchFromSeeds(ctx context.Context) {
	for !s.follower.Ready() && s.presence.otherVMs.Load() == nil {
		var calls sync.WaitGroup
		for _, seed := range s.seeds {
			calls.Go(func() { s.fetchFrom(ctx, seed) })
		}
		calls.Wait()
		if clock.Sleep(ctx, s.follower.intervals.Load().shareInterval) != nil {
			return
		}
	}
}

// fetchFromPeers queries the region's reader. If that gives no fresh copies and own reads fail too, it queries another
// peer.
func (s *sharing) fetchFromPeers(ctx context.Context) {
	reader := s.presence.readerAddress(s.isExcluded)
	if reader != "" && s.fetchFrom(ctx, reader) {
		s.recordReader(reader, true)
		s.follower.setPeerCopyValidUntil(time.Now().Add(s.follower.intervals.Load().peerCopyValidity))
		return
	}
	s.recordReader(reader, false)
	if s.follower.hasFreshServers(time.Now()) && s.follower.hasFreshConfirmation() {
		return
	}
	if other := s.nextFallback(reader); other != "" {
		s.fetchFrom(ctx, other)
	}
}

// recordReader records whether the reader gave fresh copies, and excludes one that repeatedly did not.
func (s *sharing) recordReader(reader string, isFresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isFresh || reader == "" {
		delete(s.failures, reader)
		return
	}
	s.failures[reader]++
	if s.failures[reader] < maxReaderFailures {
		return
	}
	delete(s.failures, reader)
	s.excludedUntil[reader] = time.Now().Add(readerExclusion)
	s.log.WithFields(logrus.Fields{"peer": reader, "excluded_ms": readerExclusion.Milliseconds()}).Info("reader replaced")
}

// isExcluded reports whether the entry VM at address gave no fresh copies lately.
func (s *sharing) isExcluded(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.excludedUntil[address]
	if ok && !time.Now().Before(until) {
		delete(s.excludedUntil, address)
		return false
	}
	return ok
}

// nextFallback returns the next peer other than the reader, in rotation, or "" if there is none.
func (s *sharing) nextFallback(reader string) string {
	var others []string
	for _, r := range s.presence.others() {
		if r.Peer != reader && r.Peer != "" {
			others = append(others, r.Peer)
		}
	}
	if len(others) == 0 {
		return ""
	}
	sort.Strings(others)
	s.fallbackIndex++
	return others[s.fallbackIndex%len(others)]
}

// fetchFrom applies the copies of the peer at address and reports whether they are fresh.
func (s *sharing) fetchFrom(ctx context.Context, address string) bool {
	request, timeout := s.fetchRequest(address), peerCallTimeout
	if request.GetServers().GetIncarnation() == 0 {
		timeout = firstCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt, askedAt := time.Now(), s.follower.confirmation.now()
	var reply *peer.FetchStoreReply
	err := s.pool.Call(ctx, address, func(c peer.DRPCPeerClient) (err error) {
		reply, err = c.FetchStore(ctx, request)
		return err
	})
	s.metrics.recordPeerCall(callOutcome(err))
	s.follower.logReadOutcome("peer "+address, err)
	if err != nil {
		return false
	}
	s.applyReply(address, reply, requestedAt)
	s.follower.adoptConfirmation(reply.GetOperator(), askedAt)
	intervals := s.follower.intervals.Load()
	return !s.follower.hasLaterEra(reply) && isYounger(reply.GetServers(), intervals.shareMaxAge) &&
		isYounger(reply.GetOperator(), intervals.operatorMaxAge) && isYounger(reply.GetListedVms(), listMaxAge) &&
		isConfirming(reply.GetOperator(), intervals.confirmationMaxAge)
}

// isYounger reports whether a peer has the copy m, and read the store for it less than limit ago.
func isYounger(m *peer.StoreCopy, limit time.Duration) bool {
	return m.GetIncarnation() != 0 && time.Duration(m.GetAgeMs())*time.Millisecond < limit
}

// fetchRequest returns the request for the changes since the position in the peer's copies. Where there is none, the
// request describes this VM's own copies instead, since they may agree.
func (s *sharing) fetchRequest(address string) *peer.FetchStoreRequest {
	s.mu.Lock()
	position := s.positions[address]
	s.mu.Unlock()
	servers, operator := s.follower.describeCopies()
	return &peer.FetchStoreRequest{
		Servers:   cmp.Or(position.GetServers(), servers),
		Operator:  cmp.Or(position.GetOperator(), operator),
		ListedVms: cmp.Or(position.GetListedVms(), s.presence.describeList()),
		EntryVms:  s.presence.otherVMs.Load() == nil,
	}
}

// applyReply merges a peer's copies into this VM's own and records its position in them. If the two disagree
// afterwards, the next call requests the complete copy.
func (s *sharing) applyReply(address string, r *peer.FetchStoreReply, requestedAt time.Time) {
	position := &peer.FetchStoreRequest{}
	s.follower.updateServers(func(c *storeCopy) (changed bool) {
		changed, position.Servers = mergeCopy(c, r.GetServers(), requestedAt)
		return changed
	})
	s.follower.updateOperator(func(c *storeCopy) (changed bool) {
		changed, position.Operator = mergeCopy(c, r.GetOperator(), requestedAt)
		return changed
	})
	s.presence.updateList(func(c *storeCopy) (changed bool) {
		changed, position.ListedVms = mergeCopy(c, r.GetListedVms(), requestedAt)
		return changed
	})
	if s.presence.adoptPeerList(fromListedVMs(r.GetEntryVms())) {
		s.log.WithFields(logrus.Fields{"peer": address, "entry_vms": len(r.GetEntryVms())}).Info("entry VMs known from a peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions[address] = position
}

// toListedVMs converts entry VMs to the messages that peers receive.
func toListedVMs(records []presenceRecord) []*peer.ListedVM {
	listed := make([]*peer.ListedVM, len(records))
	for i := range records {
		r := &records[i]
		listed[i] = &peer.ListedVM{
			Zone: string(r.Zone), Region: string(r.Region), RequestsAddress: r.Requests, PeerAddress: r.Peer, LinkMbit: r.LinkMbit,
		}
	}
	return listed
}

// fromListedVMs converts the messages of a peer to entry VMs.
func fromListedVMs(listed []*peer.ListedVM) []presenceRecord {
	records := make([]presenceRecord, len(listed))
	for i, l := range listed {
		records[i] = presenceRecord{
			Zone: steering.ZoneName(l.GetZone()), Region: steering.RegionName(l.GetRegion()),
			Requests: l.GetRequestsAddress(), Peer: l.GetPeerAddress(), LinkMbit: l.GetLinkMbit(),
		}
	}
	return records
}

// mergeCopy applies a peer's copy, requested at requestedAt, to c. It returns whether c changed, and the position for
// the next request.
func mergeCopy(c *storeCopy, m *peer.StoreCopy, requestedAt time.Time) (changed bool, next *peer.StoreCopy) {
	if m.GetIncarnation() == 0 {
		return false, nil
	}
	entries := make([]kv.Entry, len(m.GetEntries()))
	for i, e := range m.GetEntries() {
		entries[i] = kv.Entry{Key: e.GetKey(), Version: kv.Version(e.GetVersion()), Value: e.GetValue(), Deleted: e.GetDeleted()}
	}
	if isEarlierEra(m, c) {
		return false, nil // neither the content nor its age counts
	}
	readAt := requestedAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	version := kv.Version(m.GetVersion())
	if m.GetWhole() {
		changed = c.applyList(entries, version, readAt)
		if !c.isConsistentWith(m.GetDigest(), version) {
			return changed, nil
		}
	} else {
		c.beginUpdate(version)
		changed = c.applyEntries(entries)
		if !c.isConsistentWith(m.GetDigest(), version) {
			return changed, nil // the copy is not complete up to version
		}
		c.advanceTo(version, readAt)
	}
	return changed, &peer.StoreCopy{Incarnation: m.GetIncarnation(), Change: m.GetChange()}
}
