package gateway

import (
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

// shareTimeout bounds a call to a peer. It is several times the delay between regions.
const shareTimeout = 300 * time.Millisecond

// sharing keeps store reads few: one entry VM of each region reads the servers' entries, the others ask it for
// what changed. An entry VM whose peers know nothing fresh reads for itself; one that cannot read at all asks
// peers of any region.
type sharing struct {
	peer.DRPCPeerUnimplementedServer

	follower *follower
	presence *presence
	pool     *peer.Pool
	seeds    []string // peer addresses
	log      logrus.FieldLogger
	metrics  *Metrics

	mu    sync.Mutex
	known map[string]*peer.FetchStoreRequest // by peer address: the copies that this VM has of it
	turn  int                                // of the peer to ask where the reader does not help
}

func newSharing(
	f *follower, p *presence, s *Settings, log logrus.FieldLogger, pool *peer.Pool, metrics *Metrics,
) *sharing {
	return &sharing{
		follower: f, presence: p, pool: pool, log: log, metrics: metrics, known: make(map[string]*peer.FetchStoreRequest),
		seeds: slices.DeleteFunc(slices.Clone(s.Seeds), func(seed string) bool { return seed == p.self.Peer }),
	}
}

// serve answers peers until ctx ends.
func (s *sharing) serve(ctx context.Context, l net.Listener) {
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
		Servers:  copyMessage(f.servers, r.GetServers(), now),
		Operator: copyMessage(f.operator, r.GetOperator(), now),
	}
	if r.GetEntryVms() {
		reply.EntryVms = listMessage(s.presence.known())
	}
	return reply, nil
}

// copyMessage returns what changed in c since the copy that the asker knows.
func copyMessage(c *storeCopy, known *peer.StoreCopy, now time.Time) *peer.StoreCopy {
	if c.readAt.IsZero() {
		return &peer.StoreCopy{}
	}
	entries, whole := c.since(known.GetIncarnation(), known.GetChange())
	m := &peer.StoreCopy{
		Incarnation: c.incarnation, Change: c.change, Whole: whole, Version: uint64(c.version),
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

// run asks peers until ctx ends.
func (s *sharing) run(ctx context.Context) {
	s.join(ctx)
	for clock.Sleep(ctx, s.follower.pace.Load().shareInterval) == nil {
		s.round(ctx)
	}
}

// join asks the seeds until this entry VM can serve or knows its peers: the store may be away, and a seed may be nearer.
func (s *sharing) join(ctx context.Context) {
	for !s.follower.Ready() && s.presence.live.Load() == nil {
		var calls sync.WaitGroup
		for _, seed := range s.seeds {
			calls.Go(func() { s.ask(ctx, seed) })
		}
		calls.Wait()
		if clock.Sleep(ctx, s.follower.pace.Load().shareInterval) != nil {
			return
		}
	}
}

// round asks the region's reader, or another peer where that does not help and own reads fail too.
func (s *sharing) round(ctx context.Context) {
	reader := s.presence.reader()
	if reader != "" && s.ask(ctx, reader) {
		s.follower.cover(time.Now().Add(s.follower.pace.Load().cover))
		return
	}
	if s.follower.fresh(time.Now()) {
		return
	}
	if other := s.another(reader); other != "" {
		s.ask(ctx, other)
	}
}

// another returns the peers but the reader in turn, "" if there is none.
func (s *sharing) another(reader string) string {
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
	s.turn++
	return others[s.turn%len(others)]
}

// ask takes what the peer at address knows and reports whether that is fresh.
func (s *sharing) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	asked := time.Now()
	var reply *peer.FetchStoreReply
	err := s.pool.Call(ctx, address, func(c peer.DRPCPeerClient) (err error) {
		reply, err = c.FetchStore(ctx, s.request(address))
		return err
	})
	s.metrics.peerCall(callOutcome(err))
	s.follower.told("peer "+address, err)
	if err != nil {
		return false
	}
	s.take(address, reply, asked)
	age := time.Duration(reply.GetServers().GetAgeMs()) * time.Millisecond
	return reply.GetServers().GetIncarnation() != 0 && age < s.follower.pace.Load().shareFresh
}

func (s *sharing) request(address string) *peer.FetchStoreRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[address]
	return &peer.FetchStoreRequest{
		Servers: known.GetServers(), Operator: known.GetOperator(), EntryVms: s.presence.live.Load() == nil,
	}
}

// take merges a peer's copies into this VM's own and remembers how far they go. Where the two do not agree
// afterwards, the next call asks for the whole copy.
func (s *sharing) take(address string, r *peer.FetchStoreReply, asked time.Time) {
	known := &peer.FetchStoreRequest{}
	s.follower.takeServers(func(c *storeCopy) (changed bool) {
		changed, known.Servers = merge(c, r.GetServers(), asked)
		return changed
	})
	s.follower.takeOperator(func(c *storeCopy) (changed bool) {
		changed, known.Operator = merge(c, r.GetOperator(), asked)
		return changed
	})
	if s.presence.adopt(listedVMs(r.GetEntryVms())) {
		s.log.WithFields(logrus.Fields{"peer": address, "entry_vms": len(r.GetEntryVms())}).Info("entry VMs known from a peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[address] = known
}

// listMessage returns entry VMs as a peer is told of them.
func listMessage(records []presenceRecord) []*peer.ListedVM {
	listed := make([]*peer.ListedVM, len(records))
	for i := range records {
		r := &records[i]
		listed[i] = &peer.ListedVM{
			Zone: string(r.Zone), Region: string(r.Region), RequestsAddress: r.Requests, PeerAddress: r.Peer, LinkMbit: r.LinkMbit,
		}
	}
	return listed
}

// listedVMs returns the entry VMs that a peer told of.
func listedVMs(listed []*peer.ListedVM) []presenceRecord {
	records := make([]presenceRecord, len(listed))
	for i, l := range listed {
		records[i] = presenceRecord{
			Zone: steering.ZoneName(l.GetZone()), Region: steering.RegionName(l.GetRegion()),
			Requests: l.GetRequestsAddress(), Peer: l.GetPeerAddress(), LinkMbit: l.GetLinkMbit(),
		}
	}
	return records
}

// merge takes a peer's copy, asked for at asked, into c. It returns whether c changed, and the position from which
// to ask next.
func merge(c *storeCopy, m *peer.StoreCopy, asked time.Time) (changed bool, next *peer.StoreCopy) {
	if m.GetIncarnation() == 0 {
		return false, nil
	}
	entries := make([]kv.Entry, len(m.GetEntries()))
	for i, e := range m.GetEntries() {
		entries[i] = kv.Entry{Key: e.GetKey(), Version: kv.Version(e.GetVersion()), Value: e.GetValue(), Deleted: e.GetDeleted()}
	}
	readAt := asked.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
	version := kv.Version(m.GetVersion())
	if m.GetWhole() {
		changed = c.takeAll(entries, version, readAt)
	} else {
		changed = c.takeChanges(entries, version, readAt)
	}
	if !c.agrees(m.GetDigest(), version) {
		return changed, nil
	}
	return changed, &peer.StoreCopy{Incarnation: m.GetIncarnation(), Change: m.GetChange()}
}
