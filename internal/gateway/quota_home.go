package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/quota"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	joinCallTimeout = peerCallTimeout
	joinCallsAtOnce = 64 // bounds the connections that a start opens at a time
	joinRetry       = 200 * time.Millisecond
	joinListRetry   = 300 * time.Millisecond
	// joinListInterval is the time between reads of the list while some VMs do not reply: their leases end at any time,
	// and the list that the VM follows otherwise may lie seconds behind.
	joinListInterval = 600 * time.Millisecond
	ledgerSweepEvery = 30 * time.Second
)

// quotaHome is this VM's part as the home of shards of quotas: it grants tokens to the VMs that ask, itself included.
type quotaHome struct {
	presence *presence
	pool     *peer.Pool
	table    func() *routing.Table
	log      logrus.FieldLogger
	metrics  *quotaMetrics
	bounds   func() quota.Bounds
	self     quota.VM
	onUse    func() // called by each call of a peer

	mu         sync.Mutex // guards the fields below
	role       *quota.Role
	ledger     *quota.Ledger
	joinedAs   *listing          // the listing under which this VM joined; nil: none
	joins      uint64            // of the role at the last sweep of the ledger
	applied    *[]presenceRecord // what role has as the list
	accounts   map[routing.AccountName]*routing.Account
	accountsOf *routing.Table // which accounts is from
	sweptAt    time.Time
}

func newQuotaHome(p *presence, pool *peer.Pool, table func() *routing.Table, s *Settings, bounds func() quota.Bounds, m *quotaMetrics, log logrus.FieldLogger) *quotaHome {
	self := toQuotaVM(&p.self)
	return &quotaHome{
		presence: p, pool: pool, table: table, log: log, metrics: m, bounds: bounds, self: self,
		role: quota.NewRole(self, regionsOf(s.Zones)), ledger: quota.NewLedger(),
	}
}

func toQuotaVM(r *presenceRecord) quota.VM {
	return quota.VM{Address: r.Peer, Region: r.Region, LinkMbit: r.LinkMbit}
}

// regionsOf returns the regions of a deployment in alphabetical order.
func regionsOf(zones map[steering.ZoneName]steering.RegionName) []steering.RegionName {
	var regions []steering.RegionName
	for _, region := range zones {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// refresh brings the role up to date with the list of entry VMs. The caller holds h.mu.
func (h *quotaHome) refresh(now time.Time) {
	records, version, readAt := h.presence.otherVMsAsOf()
	if records == nil {
		return
	}
	if records == h.applied {
		h.role.ConfirmList(uint64(version), readAt, now)
	} else {
		others := make([]quota.VM, 0, len(*records))
		for i := range *records {
			if r := &(*records)[i]; r.Peer != "" {
				others = append(others, toQuotaVM(r))
			}
		}
		h.applied = records
		h.role.SetList(others, uint64(version), readAt, now)
	}
	if h.joinedAs != h.presence.listing.Load() {
		h.joinedAs = nil
		h.role.Leave()
		h.ledger.Clear()
	}
	if joins := h.role.Joins(); joins != h.joins {
		h.joins = joins
		h.ledger.RemoveUnless(h.role.IsHome)
	}
}

// homesOf returns the addresses of the homes of an account's shards, and which of them are in this VM's region.
func (h *quotaHome) homesOf(account routing.AccountName) (homes [quota.Shards]string, near [quota.Shards]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh(time.Now())
	for i := range homes {
		homes[i] = h.role.HomeOf(quota.Shard{Account: account, Index: i})
		near[i] = h.role.RegionOf(homes[i]) == h.self.Region
	}
	return homes, near
}

// grant takes tokens of a shard for a holder. life is 0 if this VM may not grant any.
func (h *quotaHome) grant(s quota.Shard, holder string, want int) (granted int, life time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.refresh(now)
	account := h.account(s.Account)
	if account == nil || s.Index < 0 || s.Index >= quota.Shards || h.joinedAs == nil || h.presence.isLeaving.Load() ||
		!h.role.MayGrant(*h.joinedAs.until.Load(), now) || !h.role.IsHome(s) {
		return 0, 0
	}
	terms := h.bounds().TermsOf(account.Rate, account.Burst)
	granted = h.ledger.Grant(s, terms, holder, want, h.role.Since(), now)
	h.metrics.granted.Add(float64(granted))
	h.sweep(now)
	return granted, terms.Life
}

// account returns the account called name in the table in force, or nil. The caller holds h.mu.
func (h *quotaHome) account(name routing.AccountName) *routing.Account {
	if table := h.table(); table != h.accountsOf {
		h.accountsOf = table
		h.accounts = make(map[routing.AccountName]*routing.Account)
		if table != nil {
			for _, a := range table.Accounts() {
				h.accounts[a.Name] = a
			}
		}
	}
	return h.accounts[name]
}

// sweep removes buckets that are not needed. The caller holds h.mu.
func (h *quotaHome) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < ledgerSweepEvery {
		return
	}
	h.sweptAt = now
	h.ledger.RemoveIdle(func(s quota.Shard) (quota.Terms, bool) {
		account := h.account(s.Account)
		if account == nil {
			return quota.Terms{}, false
		}
		return h.bounds().TermsOf(account.Rate, account.Burst), true
	}, now)
}

// bucketCount returns the number of shards whose home this VM is and that were asked for.
func (h *quotaHome) bucketCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Len()
}

// adopt counts a VM that joins among the entry VMs.
func (h *quotaHome) adopt(vm quota.VM, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.refresh(now)
	h.role.Adopt(vm, version, now)
	h.refresh(now)
}

// run joins whenever this VM was listed anew, until ctx ends.
func (h *quotaHome) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l := h.presence.listing.Load(); l != nil && !h.isJoined(l) {
			h.join(ctx, l)
		}
		if l := h.presence.listing.Load(); l != nil && !h.isJoined(l) {
			continue // listed again meanwhile
		}
		select {
		case <-ctx.Done():
			return
		case <-h.presence.relisted:
		}
	}
}

func (h *quotaHome) isJoined(l *listing) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.joinedAs == l
}

// join announces this VM to all listed entry VMs, so that those which were homes in its place stop. It waits for
// each until it replied, has left the list, or must have seen this VM there.
func (h *quotaHome) join(ctx context.Context, l *listing) {
	startedAt := time.Now()
	pending, version, err := h.listVMs(ctx)
	for err != nil {
		if clock.Sleep(ctx, joinListRetry) != nil || h.presence.listing.Load() != l {
			return
		}
		pending, version, err = h.listVMs(ctx)
	}
	asked, listedAt := len(pending), startedAt
	for {
		pending = h.announce(ctx, pending, uint64(l.version))
		if len(pending) == 0 || time.Since(l.at) >= quota.JoinWait {
			break
		}
		if clock.Sleep(ctx, joinRetry) != nil || h.presence.listing.Load() != l {
			return
		}
		if time.Since(listedAt) >= joinListInterval {
			listedAt = time.Now()
			_, _, _ = h.listVMs(ctx) // stillListed goes by what was read last
		}
		pending = h.stillListed(pending, version)
	}
	now := time.Now()
	h.mu.Lock()
	h.refresh(now)
	h.ledger.Clear()
	h.role.Join(now)
	h.joinedAs = l
	h.mu.Unlock()
	h.log.WithFields(logrus.Fields{
		"took_ms": now.Sub(startedAt).Milliseconds(), "vms": asked, "without_reply": len(pending),
	}).Info("home of quotas")
}

// listVMs reads which other VMs are listed now. The read is not a stale one: of two VMs that join at the same time, one
// finds the other. The role knows the list before the VM joins.
func (h *quotaHome) listVMs(ctx context.Context) (addresses []string, version kv.Version, err error) {
	requestedAt := time.Now()
	entries, version, err := h.presence.store.List(ctx, presencePrefix)
	if err != nil {
		return nil, 0, err
	}
	h.presence.updateList(func(c *storeCopy) bool { return c.applyList(entries, version, requestedAt) })
	for _, r := range h.presence.decodeList(entries) {
		if r.Peer != "" {
			addresses = append(addresses, r.Peer)
		}
	}
	return addresses, version, nil
}

// stillListed returns those of addresses that have not left the list since version.
func (h *quotaHome) stillListed(addresses []string, version kv.Version) []string {
	records, listVersion, readAt := h.presence.otherVMsAsOf()
	if records == nil || readAt.IsZero() || listVersion < version {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool {
		return !slices.ContainsFunc(*records, func(r presenceRecord) bool { return r.Peer == address })
	})
}

// announce announces this VM to those at addresses and returns the ones that did not reply.
func (h *quotaHome) announce(ctx context.Context, addresses []string, version uint64) []string {
	request := &peer.JoinQuotaRequest{Vm: toListedVMs([]presenceRecord{h.presence.self})[0], Version: version}
	var (
		mu     sync.Mutex
		failed []string
		calls  sync.WaitGroup
	)
	slots := make(chan struct{}, joinCallsAtOnce)
	for _, address := range addresses {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, joinCallTimeout)
			defer cancel()
			err := h.pool.Call(callCtx, address, func(c peer.DRPCPeerClient) error {
				_, err := c.JoinQuota(callCtx, request)
				return err
			})
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, address)
			}
		})
	}
	calls.Wait()
	return failed
}

// AskQuota implements peer.DRPCPeerServer.
func (s *sharing) AskQuota(_ context.Context, r *peer.AskQuotaRequest) (*peer.AskQuotaReply, error) {
	s.quotaHome.onUse()
	reply := &peer.AskQuotaReply{Grants: make([]*peer.QuotaGrant, len(r.GetAsks()))}
	for i, a := range r.GetAsks() {
		shard := quota.Shard{Account: routing.AccountName(a.GetAccount()), Index: int(a.GetShard())}
		granted, life := s.quotaHome.grant(shard, r.GetHolder(), int(a.GetTokens()))
		reply.Grants[i] = &peer.QuotaGrant{Tokens: uint32(granted), LifeMs: uint32(life.Milliseconds())}
	}
	return reply, nil
}

// JoinQuota implements peer.DRPCPeerServer.
func (s *sharing) JoinQuota(_ context.Context, r *peer.JoinQuotaRequest) (*peer.JoinQuotaReply, error) {
	s.quotaHome.onUse()
	records := fromListedVMs([]*peer.ListedVM{r.GetVm()})
	s.quotaHome.adopt(toQuotaVM(&records[0]), r.GetVersion())
	return &peer.JoinQuotaReply{}, nil
}
