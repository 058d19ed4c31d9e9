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

// Liveness is what a Directory believes of an entry VM.
type Liveness string

// The beliefs about an entry VM.
const (
	Live    Liveness = "live"
	Suspect Liveness = "suspect" // its heartbeat stopped a moment ago
	Dead    Liveness = "dead"    // its heartbeat stopped for longer than any pause that matters
	Leaving Liveness = "leaving" // it said so, or the VM list did
)

// DirectoryOptions configure a Directory. Zero values take the defaults.
type DirectoryOptions struct {
	Self         Name
	SuspectAfter time.Duration // without heartbeat; default 2 s
	DeadAfter    time.Duration // without heartbeat; default 6 s
	ForgetAfter  time.Duration // dead and absent from the VM list; default 60 s

	// DirectVMs is the size up to which every VM hears every other directly; default 9. In a larger
	// fleet heartbeats arrive through others, and the times without one grow by RelayDelay and by
	// RelayPerVM for each VM; defaults 4 s and 60 ms.
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

// Entry is what a Directory knows of one entry VM.
type Entry struct {
	VM          VM
	Incarnation Incarnation
	Liveness    Liveness
	Revision    steering.Revision // in force there
	LastContact time.Time         // when its heartbeat last rose, by the local clock
	Loads       []*peer.ServiceLoad
	Origins     []*peer.OriginLoad
	Listed      bool // in the VM list when that was last read
}

// View is an immutable snapshot of a Directory. Consecutive ones share the entries that did not change.
type View struct {
	At        time.Time
	ListAt    time.Time // when the VM list was last read
	Entries   []*Entry  // sorted by name, self included
	Upstreams []VM      // sorted by name
}

// EntryByName returns the entry VM called name, or nil.
func (v *View) EntryByName(name Name) *Entry {
	i := sort.Search(len(v.Entries), func(i int) bool { return v.Entries[i].VM.Name >= name })
	if i < len(v.Entries) && v.Entries[i].VM.Name == name {
		return v.Entries[i]
	}
	return nil
}

// member is the mutable state behind an Entry.
type member struct {
	row     VM
	reading uint64        // number of the last reading of the VM list that had it
	state   *peer.VMState // last heard, nil before
	heardAt time.Time
	change  uint64 // number of the last change of a part that others must learn
	entry   *Entry // in the current View; nil when row, state or heardAt changed since
}

// Directory keeps what this VM knows of the others from the VM list and from heartbeats. Reading
// View is lock-free; all methods are safe for concurrent use.
type Directory struct {
	opts DirectoryOptions
	view atomic.Pointer[View]

	mu        sync.Mutex
	members   map[Name]*member
	sorted    []*member // all members by name
	upstreams []VM
	listAt    time.Time
	readings  uint64 // of the VM list so far
	random    *rand.Rand
	changes   uint64 // counted so far
}

// NewDirectory returns a Directory that knows only self.
func NewDirectory(self VM, opts DirectoryOptions) *Directory {
	opts.Self = self.Name
	d := &Directory{opts: opts.withDefaults(), members: make(map[Name]*member)}
	d.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(self.Name)), 1))
	known := &Entry{VM: self, Liveness: Live}
	d.add(&member{row: self, entry: known})
	d.view.Store(&View{Entries: []*Entry{known}})
	return d
}

// add inserts a member that is not known yet.
func (d *Directory) add(m *member) {
	d.members[m.row.Name] = m
	i, _ := slices.BinarySearchFunc(d.sorted, m.row.Name, func(other *member, name Name) int {
		return cmp.Compare(other.row.Name, name)
	})
	d.sorted = slices.Insert(d.sorted, i, m)
}

// inList reports whether the last reading of the VM list had m.
func (d *Directory) inList(m *member) bool { return m.reading > 0 && m.reading == d.readings }

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// UpdateList takes the rows of the VM list read at now. An entry VM absent from the list stays known
// while its heartbeat rises: the list lags.
func (d *Directory) UpdateList(rows []VM, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listAt = now
	d.upstreams = d.upstreams[:0:0]
	d.readings++
	for _, row := range rows {
		if row.Kind == KindUpstream {
			d.upstreams = append(d.upstreams, row)
			continue
		}
		d.listed(row, now)
	}
	sort.Slice(d.upstreams, func(i, j int) bool { return d.upstreams[i].Name < d.upstreams[j].Name })
	d.publish(now)
}

func (d *Directory) listed(row VM, now time.Time) {
	m := d.members[row.Name]
	if m == nil {
		m = &member{row: row, heardAt: now}
		d.add(m)
	}
	m.reading = d.readings
	if row.Name != d.opts.Self && row != m.row {
		m.row = row
		m.entry = nil
	}
}

// Merge takes states heard at now, of the callee itself or passed on. Only a higher incarnation or a
// higher heartbeat of the same incarnation counts as news.
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
	if !newer(s, m.state) {
		return
	}
	if m.state == nil || announces(s, m.state) {
		d.changes++
		m.change = d.changes
	}
	m.state = s
	m.heardAt = now
	m.entry = nil
	if !d.inList(m) {
		m.row = rowOf(s)
	}
}

// UpdateSelf notes what this VM says of itself.
func (d *Directory) UpdateSelf(state *peer.VMState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[d.opts.Self]
	m.state = state
	m.heardAt = now
	m.entry = nil
	if state.GetLeaving() {
		m.row.State = StateLeaving
	}
	d.publish(now)
}

// Refresh ages the beliefs at now.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sorted = slices.DeleteFunc(d.sorted, func(m *member) bool {
		gone := !d.inList(m) && now.Sub(m.heardAt) > d.opts.ForgetAfter && m.row.Name != d.opts.Self
		if gone {
			delete(d.members, m.row.Name)
		}
		return gone
	})
	d.publish(now)
}

// ChangedSince returns up to limit states whose change has a number above since, the earliest first: what a
// peer that was told up to since has to learn. With them it is told up to the number returned.
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

// RelayStates returns up to limit states for others to hear of, other ones each time: a large fleet hears most
// heartbeats that way. A fleet that hears all of its VMs directly relays none.
func (d *Directory) RelayStates(limit int) []*peer.VMState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) <= d.opts.DirectVMs {
		return nil
	}
	view := d.view.Load()
	var states []*peer.VMState
	// A random place, so that no peer is told of the same part of the fleet each time.
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

// slack returns how much longer than directly a heartbeat may take in a fleet of this size.
func (d *Directory) slack() time.Duration {
	if len(d.members) <= d.opts.DirectVMs {
		return 0
	}
	return d.opts.RelayDelay + time.Duration(len(d.members))*d.opts.RelayPerVM
}

// publish makes a new View. It walks all members, but builds only the entries that changed: a heartbeat
// changes one of them.
func (d *Directory) publish(now time.Time) {
	v := &View{At: now, ListAt: d.listAt, Upstreams: d.upstreams, Entries: make([]*Entry, len(d.sorted))}
	slack := d.slack()
	for i, m := range d.sorted {
		liveness, listed := d.liveness(m, now, slack), d.inList(m)
		if m.entry == nil || m.entry.Liveness != liveness || m.entry.Listed != listed {
			m.entry = newEntry(m, liveness, listed)
		}
		v.Entries[i] = m.entry
	}
	d.view.Store(v)
}

func newEntry(m *member, liveness Liveness, listed bool) *Entry {
	e := &Entry{VM: m.row, LastContact: m.heardAt, Liveness: liveness, Listed: listed}
	if m.state != nil {
		e.Incarnation = Incarnation(m.state.GetIncarnation())
		e.Revision = steering.Revision(m.state.GetRevision())
		e.Loads = m.state.GetLoads()
		e.Origins = m.state.GetOrigins()
	}
	return e
}

// liveness returns the belief about m at now, when heartbeats may take longer than directly by slack.
func (d *Directory) liveness(m *member, now time.Time, slack time.Duration) Liveness {
	if m.row.Name == d.opts.Self {
		if m.row.State == StateLeaving {
			return Leaving
		}
		return Live
	}
	silent := now.Sub(m.heardAt) - slack
	switch {
	case silent > d.opts.DeadAfter:
		return Dead
	case m.row.State == StateLeaving || m.state != nil && m.state.GetLeaving():
		return Leaving
	case silent > d.opts.SuspectAfter:
		return Suspect
	}
	return Live
}

// newer reports whether s tells more than the state known before, which may be nil.
func newer(s, known *peer.VMState) bool {
	if known == nil {
		return true
	}
	if s.GetIncarnation() != known.GetIncarnation() {
		return s.GetIncarnation() > known.GetIncarnation()
	}
	return s.GetHeartbeat() > known.GetHeartbeat()
}

// announces reports whether s differs from known in a part that every VM has to learn soon.
func announces(s, known *peer.VMState) bool {
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
