package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/link"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

// adminHandler is the handler of the administration API.
type adminHandler http.Handler

// NotReadyError says why this VM does not serve yet.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Reason }

// alarms keeps the alarms raised on this VM, the latest of each kind.
type alarms struct {
	mu    sync.Mutex
	known []admin.Alarm
}

func (a *alarms) add(alarm steering.Alarm, now time.Time) {
	row := admin.Alarm{Name: string(alarm.Kind), Detail: alarm.Reason, Since: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.known {
		if a.known[i].Name == row.Name {
			a.known[i] = row
			return
		}
	}
	a.known = append(a.known, row)
}

func (a *alarms) list() []admin.Alarm {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]admin.Alarm{}, a.known...)
}

// adminSources shows the state of this VM. It implements the sources of package admin.
type adminSources struct {
	self      Identity
	follower  *steering.Follower
	alarms    *alarms
	lags      *lags
	directory *vm.Directory
	leaders   *vm.Leaders
	domains   *domains
	links     *links
	book      *contract.SlotPool
	pools     *pools
	flows     *flows
	table     *region.Table
	topology  *topology
	peers     *peers
	store     refplatform.Store
	records   *review.Log
}

func provideAdmin(
	s *steering.Settings, self Identity, f *steering.Follower, a *alarms, lags *lags, d *vm.Directory, l *vm.Leaders, dom *domains,
	links *links, book *contract.SlotPool, pools *pools, flows *flows, table *region.Table, t *topology, p *peers,
	store refplatform.Store, records *review.Log, registry *prometheus.Registry,
) adminHandler {
	src := &adminSources{
		self: self, follower: f, alarms: a, lags: lags, directory: d, leaders: l, domains: dom, links: links, book: book,
		pools: pools, flows: flows, table: table, topology: t, peers: p, store: store, records: records,
	}
	return admin.NewHandler(admin.Options{
		Token:    s.Admin.Token,
		Revision: src, VMs: src, Zones: src, Regions: src, Links: src, Contracts: src, Upstreams: src, Teams: src,
		Decisions: records,
		Explain:   src.sources,
		Ready:     src.ready,
		Gatherer:  registry,
	})
}

func (a *adminSources) ready() error {
	if !a.topology.ready.Load() {
		return &NotReadyError{Reason: "no configuration is in force yet, or the VM list was not read yet"}
	}
	return nil
}

// sources returns where records are looked for.
func (a *adminSources) sources() review.Sources {
	s := review.Sources{Local: a.records, Peers: a.peers.sources(), Recompute: recompute}
	if cfg := a.follower.Current(); cfg != nil {
		s.Digests = &review.DigestReader{Store: a.store, Zones: allZones(cfg)}
	}
	return s
}

func allZones(cfg *steering.Configuration) []steering.ZoneName {
	var zones []steering.ZoneName
	for i := range cfg.Platform.Regions {
		zones = append(zones, cfg.Platform.Regions[i].Zones...)
	}
	return zones
}

// ServicesOf implements admin.TeamSource.
func (a *adminSources) ServicesOf(team steering.TeamName) ([]steering.ServiceName, bool) {
	cfg := a.follower.Current()
	if cfg == nil {
		return nil, false
	}
	for _, t := range cfg.Platform.Teams {
		if t.Name == team {
			return t.Services, true
		}
	}
	return nil, false
}

// RevisionStatus implements admin.RevisionSource.
func (a *adminSources) RevisionStatus(context.Context) (admin.RevisionStatus, error) {
	status := a.follower.Status()
	out := admin.RevisionStatus{
		InForce: status.Revision, Since: status.AppliedAt, Source: status.Source, PublishedAt: status.PublishedAt,
		Alarms: a.alarms.list(), StoreBehind: status.StoreBehind, Unreadable: status.Unreadable,
	}
	if !status.StoreFailing.IsZero() {
		out.StoreFailing = &admin.StoreFailing{Since: status.StoreFailing, Error: status.StoreError}
	}
	a.lags.observe(a.directory.View(), a.self.Name, status.Revision, time.Now())
	out.Highest, out.Lagging = a.lags.known()
	return out, nil
}

// VMRows implements admin.VMSource.
func (a *adminSources) VMRows(context.Context) ([]admin.VMRow, error) {
	view := a.directory.View()
	now := time.Now()
	rows := make([]admin.VMRow, 0, len(view.Entries))
	for i := range view.Entries {
		e := view.Entries[i]
		rows = append(rows, admin.VMRow{
			Name: e.VM.Name, Incarnation: e.Incarnation, Region: e.VM.Region, Zone: e.VM.Zone, Address: e.VM.Address,
			State: string(e.Liveness), Revision: e.Revision, HeardMs: now.Sub(e.LastContact).Milliseconds(),
			Utilization: utilization(e), CarriedPerS: carried(e),
		})
	}
	return rows, nil
}

// ZoneRows implements admin.ZoneSource.
func (a *adminSources) ZoneRows(context.Context) ([]admin.ZoneRow, error) {
	cfg := a.follower.Current()
	if cfg == nil {
		return nil, nil
	}
	var rows []admin.ZoneRow
	for _, r := range cfg.Platform.Regions {
		for _, z := range r.Zones {
			rows = append(rows, a.zoneRow(r.Name, z))
		}
	}
	return rows, nil
}

func (a *adminSources) zoneRow(r steering.RegionName, z steering.ZoneName) admin.ZoneRow {
	row := admin.ZoneRow{Name: z, Region: r}
	row.Leader, row.LeaderEpoch = a.leaders.Of(z)
	view := a.directory.View()
	var heard time.Time
	for i := range view.Entries {
		e := view.Entries[i]
		if e.VM.Zone != z {
			continue
		}
		row.EntryVMs++
		row.Reachable = row.Reachable || e.Liveness == vm.Live || e.Liveness == vm.Leaving
		if e.LastContact.After(heard) {
			heard = e.LastContact
		}
	}
	for i := range view.Upstreams {
		if view.Upstreams[i].Zone == z {
			row.Upstreams++
		}
	}
	if !heard.IsZero() {
		row.HeardMs = time.Since(heard).Milliseconds()
	}
	return row
}

// RegionRows implements admin.RegionSource.
func (a *adminSources) RegionRows(context.Context) ([]admin.RegionRow, error) {
	cfg := a.follower.Current()
	if cfg == nil {
		return nil, nil
	}
	var rows []admin.RegionRow
	slots := zoneSlots(a.directory.View())
	plans := a.table.Plans()
	now := time.Now()
	for i := range cfg.Services {
		for j := range cfg.Platform.Regions {
			rows = append(rows, a.regionRow(&cfg.Services[i], &cfg.Platform.Regions[j], slots, plans, now))
		}
	}
	return rows, nil
}

func (a *adminSources) regionRow(
	s *steering.Service, r *steering.Region, slots map[contract.Key]int, plans []region.Plan, now time.Time,
) admin.RegionRow {
	row := admin.RegionRow{Region: r.Name, Service: s.Name, Constraint: review.ConstraintNone}
	for _, z := range r.Zones {
		row.Slots += slots[contract.Key{Service: s.Name, Zone: z}]
		row.Usable += a.book.Usable(s.Name, z, now)
		row.InFlight += a.book.Demand(s.Name, z).InUse
	}
	for _, w := range s.Weights {
		if w.Region == r.Name {
			row.Weight = w.Weight
		}
	}
	for _, d := range s.Drains {
		row.Draining = row.Draining || d.Region == r.Name && !now.Before(d.Start)
	}
	for i := range plans {
		if plans[i].Service != s.Name {
			continue
		}
		row.PlanEpoch = plans[i].Epoch
		if o := plans[i].Origin(a.self.Region); o != nil {
			row.Share = o.ShareOf(r.Name)
			row.Constraint = o.Constraint
		}
	}
	return row
}

// LinkRows implements admin.LinkSource.
func (a *adminSources) LinkRows(context.Context) ([]admin.LinkRow, error) {
	cfg := a.follower.Current()
	if cfg == nil {
		return nil, nil
	}
	var rows []admin.LinkRow
	now := time.Now()
	for _, key := range a.links.directions() {
		if own := a.links.lane(key); own != nil {
			rows = append(rows, linkRow(cfg, key, own.pacer, now))
		}
	}
	return rows, nil
}

func linkRow(cfg *steering.Configuration, key direction, pacer *link.Pacer, now time.Time) admin.LinkRow {
	u := pacer.Usage(now)
	row := admin.LinkRow{From: key.from, To: key.to, ShareMbit: u.CapacityMbit, PeakMbit: u.PeakMbit1s}
	if k := cfg.Platform.Link(key.from, key.to); k != nil {
		row.CapacityMbit = k.CapacityMbit
	}
	row.UsedMbit = u.CapacityMbit - u.HeadroomMbit
	if u.CapacityMbit > 0 {
		row.HeadroomShare = u.HeadroomMbit / u.CapacityMbit
	}
	return row
}

// ContractRows implements admin.ContractSource.
func (a *adminSources) ContractRows(context.Context) ([]admin.ContractRow, error) {
	var rows []admin.ContractRow
	now := time.Now()
	for _, key := range a.book.Keys() {
		grant, slots := a.book.Grant(key, now)
		row := admin.ContractRow{
			Service: key.Service, Zone: key.Zone, Holder: a.self.Name, Kind: "home",
			Slots: a.book.Usable(key.Service, key.Zone, now), InUse: a.book.Demand(key.Service, key.Zone).InUse,
		}
		if slots > 0 {
			row.Kind, row.Grant = "grant", grant
		}
		_, row.Epoch = a.leaders.Of(key.Zone)
		rows = append(rows, row)
	}
	return rows, nil
}

// UpstreamRows implements admin.UpstreamSource.
func (a *adminSources) UpstreamRows(context.Context) ([]admin.UpstreamRow, error) {
	var rows []admin.UpstreamRow
	cfg := a.follower.Current()
	if cfg == nil {
		return nil, nil
	}
	now := time.Now()
	for _, pool := range a.pools.list() {
		_, zone := pool.ServiceAndZone()
		for _, s := range pool.Servers(now) {
			rows = append(rows, upstreamRow(pool, &s, cfg.Platform.RegionOf(zone)))
		}
	}
	return rows, nil
}

func upstreamRow(pool *upstream.Pool, s *upstream.ServerStatus, region steering.RegionName) admin.UpstreamRow {
	service, zone := pool.ServiceAndZone()
	return admin.UpstreamRow{
		Name: s.Name, Service: service, Region: region, Zone: zone, Address: s.Address,
		State: upstreamState(s), Slots: s.Slots, InFlight: s.InFlight, Reported: s.Reported,
		ReportMs: s.ReportAge.Milliseconds(), LatencyMs: float64(s.Latency) / float64(time.Millisecond),
	}
}

// upstreamState names the state of a server for the API.
func upstreamState(s *upstream.ServerStatus) string {
	const warm = 1
	switch {
	case s.Leaving:
		return "draining"
	case s.Ejected != "":
		return "ejected"
	case s.Warmth < warm:
		return "cold"
	}
	return "serving"
}
