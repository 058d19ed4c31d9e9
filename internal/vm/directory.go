package vm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Liveness is the state of an entry VM as a Directory sees it.
type Liveness string

// The liveness states of an entry VM.
const (
	Live    Liveness = "live"
	Suspect Liveness = "suspect" // no heartbeat for longer than DirectoryOptions.SuspectAfter
	Dead    Liveness = "dead"    // no heartbeat for longer than DirectoryOptions.DeadAfter, which exceeds any pause that matters
	Leaving Liveness = "leaving" // reported by the VM itself or by the VM list
)

// DirectoryOptions configure a Directory. Zero values take the defaults.
type DirectoryOptions struct {
	Self         Name
	SuspectAfter time.Duration // without heartbeat; default 2 s
	DeadAfter    time.Duration // without heartbeat; default 6 s
	ForgetAfter  time.Duration // dead and absent from the VM list; default 60 s

	// DirectVMs is the fleet size up to which every VM receives heartbeats directly from every other; default 9. In
	// a larger fleet, heartbeats are relayed by other VMs, and SuspectAfter and DeadAfter are extended by RelayDelay
	// plus RelayPerVM for each VM; defaults 4 s and 60 ms.
	DirectVMs  int
	RelayDelay time.Duration
	RelayPerVM time.Duration
}

func (o DirectoryOptions) withDefaults() DirectoryOptions {
	if o.SuspectAfter == 0 {
		o.SuspectAfter = 2 * time.Second
	}
	if o.DeadAfter == 0 {
		o.DeadAfter = 6 * time.Second
	}
	if o.ForgetAfter == 0 {
		o.ForgetAfter = time.Minute
	}
	if o.DirectVMs == 0 {
		o.DirectVMs = 9
	}
	if o.RelayDelay == 0 {
		o.RelayDelay = 4 * time.Second
	}
	if o.RelayPerVM == 0 {
		o.RelayPerVM = 60 * time.Millisecond
	}
	return o
}

// Entry is the state of one entry VM in a Directory.
type Entry struct {
	VM          VM
	Incarnation Incarnation
	Liveness    Liveness
	Revision    steering.Revision // in force on the VM
	LastContact time.Time         // when its heartbeat last increased, by the local clock
	Loads       []*peer.ServiceLoad
	Origins     []*peer.OriginLoad
	Listed      bool // in the VM list when it was last read
}

// View is an immutable snapshot of a Directory. Consecutive views share the entries that did not change.
type View struct {
	At        time.Time
	ListAt    time.Time // when the VM list was last read
	Entries   []*Entry  // sorted by name, self included
	Upstreams []VM      // sorted by name
}

// EntryByName returns the entry VM with the given name, or nil.
func (v *View) EntryByName(name Name) *Entry {
	i := sort.Search(len(v.Entries), func(i int) bool { return v.Entries[i].VM.Name >= name })
	if i < len(v.Entries) && v.Entries[i].VM.Name == name {
		return v.Entries[i]
	}
	return nil
}

// member is the mutable state behind an Entry.
type member struct {
	row         VM
	listRead    uint64        // sequence number of the last read of the VM list that contained the VM
	state       *peer.VMState // last received; nil before the first
	lastContact time.Time
	change      uint64 // sequence number of the last change that must be passed on to peers
	entry       *Entry // in the current View; nil if row, state or lastContact has changed since
}

// Directory holds the state of the other VMs as known from the VM list and from heartbeats. View is
// lock-free; all methods are safe for concurrent use.
type Directory struct {
	opts DirectoryOptions
	view atomic.Pointer[View]

	mu        sync.Mutex
	members   map[Name]*member
	sorted    []*member // all members by name
	upstreams []VM
	listAt    time.Time
	listReads uint64 // number of reads of the VM list so far
	random    *rand.Rand
	changes   uint64 // number of changes so far
}

// NewDirectory returns a Directory that contains only self.
func NewDirectory(self VM, opts DirectoryOptions) *Directory {
	opts.Self = self.Name
	d := &Directory{opts: opts.withDefaults(), members: make(map[Name]*member)}
	d.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(self.Name)), 1))
	known := &Entry{VM: self, Liveness: Live}
	d.add(&member{row: self, entry: known})
	d.view.Store(&View{Entries: []*Entry{known}})
	return d
}

// add inserts a member that is not in the directory yet.
func (d *Directory) add(m *member) {
	d.members[m.row.Name] = m
	i, _ := slices.BinarySearchFunc(d.sorted, m.row.Name, func(other *member, name Name) int {
		return cmp.Compare(other.row.Name, name)
	})
	d.sorted = slices.Insert(d.sorted, i, m)
}

// isListed reports whether the last read of the VM list contained m.
func (d *Directory) isListed(m *member) bool { return m.listRead > 0 && m.listRead == d.listReads }

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// UpdateList applies the rows of the VM list read at now. An entry VM that is not in the list is retained
// as long as its heartbeat increases, because the list lags behind.
func (d *Directory) UpdateList(rows []VM, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listAt = now
	d.upstreams = d.upstreams[:0:0]
	d.listReads++
	for _, row := range rows {
		if row.Kind == KindUpstream {
			d.upstreams = append(d.upstreams, row)
			continue
		}
		d.applyListRow(row, now)
	}
	sort.Slice(d.upstreams, func(i, j int) bool { return d.upstreams[i].Name < d.upstreams[j].Name })
	d.publish(now)
}

func (d *Directory) applyListRow(row VM, now time.Time) {
	m := d.members[row.Name]
	if m == nil {
		m = &member{row: row, lastContact: now}
		d.add(m)
	}
	m.listRead = d.listReads
	if row.Name != d.opts.Self && row != m.row {
		m.row = row
		m.entry = nil
	}
}

// Merge applies states received at now, each either of the peer itself or relayed by it. A state replaces the known one
// only if it has a higher incarnation, or a higher heartbeat of the same incarnation.
func (d *Directory) Merge(states []*peer.VMState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range states {
		d.merge(s, now)
	}
	d.publish(now)
}

func (d *Directory) merge(s *peer.VMState, now time.Time) {
	name := Name(s.GetName())
	if name == d.opts.Self || name == "" {
		return
	}
	m := d.members[name]
	if m == nil {
		m = &member{row: rowOf(s)}
		d.add(m)
	}
	if !isNewer(s, m.state) {
		return
	}
	if m.state == nil || hasUrgentChange(s, m.state) {
		d.changes++
		m.change = d.changes
	}
	m.state = s
	m.lastContact = now
	m.entry = nil
	if !d.isListed(m) {
		m.row = rowOf(s)
	}
}

// UpdateSelf applies the state of this VM.
func (d *Directory) UpdateSelf(state *peer.VMState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[d.opts.Self]
	m.state = state
	m.lastContact = now
	m.entry = nil
	if state.GetLeaving() {
		m.row.State = StateLeaving
	}
	d.publish(now)
}

// Refresh updates the liveness of all members at now and removes those that are not in the VM list and had no contact
// for longer than ForgetAfter.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sorted = slices.DeleteFunc(d.sorted, func(m *member) bool {
		forget := !d.isListed(m) && now.Sub(m.lastContact) > d.opts.ForgetAfter && m.row.Name != d.opts.Self
		if forget {
			delete(d.members, m.row.Name)
		}
		return forget
	})
	d.publish(now)
}

// ChangedSince returns up to limit states whose change number is above since, in order of that number: the states to
// send to a peer that received all changes up to since. The second result is the change number up to
// which the peer is up to date once it has received them.
func (d *Directory) ChangedSince(since uint64, limit int) ([]*peer.VMState, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*member
	for _, m := range d.sorted {
		if m.state != nil && m.change > since {
			changed = append(changed, m)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].change < changed[j].change })
	changed = changed[:min(len(changed), limit)]
	states := make([]*peer.VMState, len(changed))
	for i, m := range changed {
		states[i] = m.state
		since = m.change
	}
	return states, since
}

// RelayStates returns up to limit states to relay to a peer, different ones each time. In a large fleet most heartbeats
// arrive this way. A fleet in which all VMs exchange heartbeats directly relays none.
func (d *Directory) RelayStates(limit int) []*peer.VMState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) <= d.opts.DirectVMs {
		return nil
	}
	view := d.view.Load()
	var states []*peer.VMState
	// Starts at a random index, so that a peer does not receive the same part of the fleet each time.
	start := d.random.IntN(len(view.Entries))
	for i := range view.Entries {
		if len(states) == limit {
			break
		}
		e := view.Entries[(start+i)%len(view.Entries)]
		m := d.members[e.VM.Name]
		if m != nil && m.state != nil && e.Liveness == Live && e.VM.Name != d.opts.Self {
			states = append(states, m.state)
		}
	}
	return states
}

// relayAllowance returns how much longer a relayed heartbeat may take than a direct one in a fleet of this size.
func (d *Directory) relayAllowance() time.Duration {
	if len(d.members) <= d.opts.DirectVMs {
		return 0
	}
	return d.opts.RelayDelay + time.Duration(len(d.members))*d.opts.RelayPerVM
}

// publish stores a new View. It iterates over all members but builds only the entries that changed: a
// heartbeat changes only one.
func (d *Directory) publish(now time.Time) {
	v := &View{At: now, ListAt: d.listAt, Upstreams: d.upstreams, Entries: make([]*Entry, len(d.sorted))}
	allowance := d.relayAllowance()
	for i, m := range d.sorted {
		liveness, listed := d.liveness(m, now, allowance), d.isListed(m)
		if m.entry == nil || m.entry.Liveness != liveness || m.entry.Listed != listed {
			m.entry = newEntry(m, liveness, listed)
		}
		v.Entries[i] = m.entry
	}
	d.view.Store(v)
}

func newEntry(m *member, liveness Liveness, listed bool) *Entry {
	e := &Entry{VM: m.row, LastContact: m.lastContact, Liveness: liveness, Listed: listed}
	if m.state != nil {
		e.Incarnation = Incarnation(m.state.GetIncarnation())
		e.Revision = steering.Revision(m.state.GetRevision())
		e.Loads = m.state.GetLoads()
		e.Origins = m.state.GetOrigins()
	}
	return e
}

// liveness returns the liveness of m at now. Heartbeats may arrive later than direct ones by allowance.
func (d *Directory) liveness(m *member, now time.Time, allowance time.Duration) Liveness {
	if m.row.Name == d.opts.Self {
		if m.row.State == StateLeaving {
			return Leaving
		}
		return Live
	}
	sinceContact := now.Sub(m.lastContact) - allowance
	switch {
	case sinceContact > d.opts.DeadAfter:
		return Dead
	case m.row.State == StateLeaving || m.state != nil && m.state.GetLeaving():
		return Leaving
	case sinceContact > d.opts.SuspectAfter:
		return Suspect
	}
	return Live
}

// isNewer reports whether s is newer than the known state, which may be nil.
func isNewer(s, known *peer.VMState) bool {
	if known == nil {
		return true
	}
	if s.GetIncarnation() != known.GetIncarnation() {
		return s.GetIncarnation() > known.GetIncarnation()
	}
	return s.GetHeartbeat() > known.GetHeartbeat()
}

// hasUrgentChange reports whether s differs from known in a field that every VM must receive soon.
func hasUrgentChange(s, known *peer.VMState) bool {
	return s.GetIncarnation() != known.GetIncarnation() ||
		s.GetLeaving() != known.GetLeaving() ||
		s.GetRevision() != known.GetRevision()
}

func rowOf(s *peer.VMState) VM {
	row := VM{
		Name:        Name(s.GetName()),
		Kind:        KindEntry,
		Region:      steering.RegionName(s.GetRegion()),
		Zone:        steering.ZoneName(s.GetZone()),
		Address:     s.GetAddress(),
		PeerAddress: s.GetPeerAddress(),
		State:       StateLive,
	}
	if s.GetLeaving() {
		row.State = StateLeaving
	}
	return row
}
