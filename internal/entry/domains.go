package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
	"github.com/azureflow/azureflow/internal/zone"
)

// domain is this VM's side of one zone of its region: who leads it, and the ledger of its slots.
type domain struct {
	zone    steering.ZoneName
	home    bool
	elector *zone.Elector
	grantor *contract.Grantor
}

// domainDeps is what a domain is made of.
type domainDeps struct {
	self      Identity
	store     refplatform.Store
	directory *vm.Directory
	book      *contract.SlotPool
	leaders   *vm.Leaders
	peers     *peers
	contacts  *contacts
	onLeader  func(steering.ZoneName, zone.State)
	onChange  func() // room may have appeared
}

// domains holds a domain for every zone of this VM's region. Looking one up takes no lock.
type domains struct {
	deps domainDeps

	mu   sync.Mutex // serialises writers
	ctx  context.Context
	runs sync.WaitGroup
	all  atomic.Pointer[map[steering.ZoneName]*domain]
}

func newDomains(deps domainDeps) *domains {
	d := &domains{deps: deps}
	d.all.Store(&map[steering.ZoneName]*domain{})
	return d
}

// run serves the home zone, and those that ensure adds, until ctx ends.
func (d *domains) run(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.ensure([]steering.ZoneName{d.deps.self.Zone})
	<-ctx.Done()
	d.runs.Wait()
}

// ensure adds the zones that have no domain yet.
func (d *domains) ensure(zones []steering.ZoneName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil {
		return
	}
	next := make(map[steering.ZoneName]*domain)
	for name, old := range *d.all.Load() {
		next[name] = old
	}
	for _, name := range zones {
		if next[name] == nil {
			next[name] = d.start(name)
		}
	}
	d.all.Store(&next)
}

// get returns the domain of a zone, or nil for a zone of another region.
func (d *domains) get(name steering.ZoneName) *domain { return (*d.all.Load())[name] }

// leads reports whether this VM leads a zone now.
func (d *domains) leads(name steering.ZoneName) bool {
	own := d.get(name)
	return own != nil && own.elector.State(time.Now()).Held
}

func (d *domains) start(name steering.ZoneName) *domain {
	out := &domain{zone: name, home: name == d.deps.self.Zone}
	options := d.electorOptions(name, out.home)
	out.grantor = contract.NewGrantor(contract.GrantorOptions{
		Zone:       name,
		IsMember:   func(holder vm.Name) bool { return slices.Contains(options.Members(), holder) },
		Pool:       d.deps.book,
		Leadership: func(now time.Time) contract.Leadership { return out.elector.Leadership(now) },
		FloorUntil: func(now time.Time) time.Time { return out.elector.FloorUntil(now) },
	})
	options.UpstreamsReachableSince = func() time.Time { return d.deps.contacts.since(name) }
	options.OnFloorChange = out.grantor.SetFloorParts
	out.elector = zone.NewElector(options)
	d.runs.Go(func() { out.elector.Run(d.ctx) })
	d.runs.Go(func() { out.grantor.Run(d.ctx) })
	return out
}

func (d *domains) electorOptions(name steering.ZoneName, home bool) zone.ElectorOptions {
	return zone.ElectorOptions{
		Store:          d.deps.store,
		Zone:           name,
		Self:           d.deps.self.Name,
		Incarnation:    d.deps.self.Incarnation,
		Home:           home,
		Members:        func() []vm.Name { return d.entries(func(e *vm.Entry) bool { return e.VM.Zone == name }) },
		Successors:     func() []vm.Name { return d.successors(name) },
		LastContact:    d.heard,
		IsListed:       d.listed,
		RequestPromise: d.deps.peers.askGrantAt,
		OnChange:       func(s zone.State) { d.deps.onLeader(name, s) },
		Seed:           uint64(d.deps.self.Incarnation),
	}
}

// successors returns the VMs that may take a zone over: its other members first, then those of the region's
// other zones.
func (d *domains) successors(name steering.ZoneName) []vm.Name {
	members := d.entries(func(e *vm.Entry) bool { return e.VM.Zone == name && e.VM.Name != d.deps.self.Name })
	others := d.entries(func(e *vm.Entry) bool { return e.VM.Region == d.deps.self.Region && e.VM.Zone != name })
	others = slices.DeleteFunc(others, func(n vm.Name) bool { return n == d.deps.self.Name })
	return append(members, others...)
}

func (d *domains) entries(keep func(*vm.Entry) bool) []vm.Name {
	var names []vm.Name
	view := d.deps.directory.View()
	for i := range view.Entries {
		if keep(view.Entries[i]) {
			names = append(names, view.Entries[i].VM.Name)
		}
	}
	return names
}

func (d *domains) heard(name vm.Name) time.Time {
	if e := d.deps.directory.View().EntryByName(name); e != nil {
		return e.LastContact
	}
	return time.Time{}
}

func (d *domains) listed(name vm.Name) bool {
	e := d.deps.directory.View().EntryByName(name)
	return e != nil && e.Listed
}

// setCapacity tells the ledgers what the zones have, from the VM list and the floors in force.
func (d *domains) setCapacity(cfg *steering.Configuration, slots map[contract.Key]int, now time.Time) {
	for name, own := range *d.all.Load() {
		for i := range cfg.Services {
			s := &cfg.Services[i]
			total := slots[contract.Key{Service: s.Name, Zone: name}]
			if zoneDrained(s, name, now) {
				total = 0
			}
			own.grantor.SetCapacity(s.Name, contract.Capacity{Slots: total, FloorShare: s.Floor.Share})
		}
	}
	d.deps.onChange()
}

// zoneDrained reports whether a drain of the zone began. The drain of a whole region is the plan's
// matter: it moves under the shift cap.
func zoneDrained(s *steering.Service, zone steering.ZoneName, now time.Time) bool {
	for _, d := range s.Drains {
		if d.Zone == zone && !now.Before(d.Start) {
			return true
		}
	}
	return false
}

// AskGrant implements peer.DRPCPeerServer. A request that names no service is about the zone's leader.
func (d *domains) AskGrant(ctx context.Context, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	own := d.get(steering.ZoneName(req.GetZone()))
	if own == nil {
		return nil, &contract.WrongZoneError{Requested: steering.ZoneName(req.GetZone()), Zone: d.deps.self.Zone}
	}
	if req.GetService() == "" {
		return own.elector.HandlePromiseRequest(ctx, req)
	}
	return own.grantor.AskGrant(ctx, req)
}

// ReturnGrant implements peer.DRPCPeerServer.
func (d *domains) ReturnGrant(ctx context.Context, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error) {
	own := d.get(steering.ZoneName(req.GetZone()))
	if own == nil {
		return nil, &contract.WrongZoneError{Requested: steering.ZoneName(req.GetZone()), Zone: d.deps.self.Zone}
	}
	return own.grantor.ReturnGrant(ctx, req)
}
