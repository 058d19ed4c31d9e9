package vm

import (
	"math/rand/v2"
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
	HeardAt     time.Time         // when its heartbeat last rose, by the local clock
	Loads       []*peer.ServiceLoad
	Origins     []*peer.OriginLoad
	Listed      bool // in the VM list when that was last read
}

// View is an immutable snapshot of a Directory.
type View struct {
	At        time.Time
	ListAt    time.Time // when the VM list was last read
	Entries   []Entry   // sorted by name, self included
	Upstreams []VM      // sorted by name
}

// EntryByName returns the entry VM called name, or nil.
func (v *View) EntryByName(name Name) *Entry {
	i := sort.Search(len(v.Entries), func(i int) bool { return v.Entries[i].VM.Name >= name })
	if i < len(v.Entries) && v.Entries[i].VM.Name == name {
		return &v.Entries[i]
	}
	return nil
}

// member is the mutable state behind an Entry.
type member struct {
	row     VM
	inList  bool
	state   *peer.VMState // last heard, nil before
	heardAt time.Time
	change  uint64 // number of the last change of a part that others must learn
}

// Directory keeps what this VM knows of the others from the VM list and from heartbeats. Reading
// View is lock-free; all methods are safe for concurrent use.
type Directory struct {
	opts DirectoryOptions
	view atomic.Pointer[View]

	mu        sync.Mutex
	members   map[Name]*member
	upstreams []VM
	listAt    time.Time
	random    *rand.Rand
	changes   uint64 // counted so far
}

// NewDirectory returns a Directory that knows only self.
func NewDirectory(self VM, opts DirectoryOptions) *Directory {
	opts.Self = self.Name
	d := &Directory{opts: opts.withDefaults(), members: make(map[Name]*member)}
	d.random = rand.New(rand.NewPCG(xxhash.Sum64String(string(self.Name)), 1))
	d.members[self.Name] = &member{row: self}
	d.view.Store(&View{Entries: []Entry{{VM: self, Liveness: Live}}})
	return d
}

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// UpdateList takes the rows of the VM list read at now. An entry VM absent from the list stays known
// while its heartbeat rises: the list lags.
func (d *Directory) UpdateList(rows []VM, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listAt = now
	d.upstreams = d.upstreams[:0:0]
	for _, m := range d.members {
		m.inList = false
	}
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
		m = &member{heardAt: now}
		d.members[row.Name] = m
	}
	m.inList = true
	if row.Name != d.opts.Self {
		m.row = row
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
		d.members[name] = m
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
	if !m.inList {
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
	if state.GetLeaving() {
		m.row.State = StateLeaving
	}
	d.publish(now)
}

// Refresh ages the beliefs at now.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, m := range d.members {
		gone := !m.inList && now.Sub(m.heardAt) > d.opts.ForgetAfter
		if gone && name != d.opts.Self {
			delete(d.members, name)
		}
	}
	d.publish(now)
}

// Changed returns up to limit states whose change has a number above since, the earliest first: what a
// peer that was told up to since has to learn. With them it is told up to the number returned.
func (d *Directory) Changed(since uint64, limit int) ([]*peer.VMState, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []*member
	for _, m := range d.members {
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

// Relay returns up to limit states for others to hear of, other ones each time: a large fleet hears most
// heartbeats that way. A fleet that hears all of its VMs directly relays none.
func (d *Directory) Relay(limit int) []*peer.VMState {
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
		e := &view.Entries[(start+i)%len(view.Entries)]
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

func (d *Directory) publish(now time.Time) {
	v := &View{At: now, ListAt: d.listAt, Upstreams: d.upstreams}
	v.Entries = make([]Entry, 0, len(d.members))
	for _, m := range d.members {
		v.Entries = append(v.Entries, d.entry(m, now))
	}
	sort.Slice(v.Entries, func(i, j int) bool { return v.Entries[i].VM.Name < v.Entries[j].VM.Name })
	d.view.Store(v)
}

func (d *Directory) entry(m *member, now time.Time) Entry {
	e := Entry{VM: m.row, HeardAt: m.heardAt, Liveness: d.liveness(m, now), Listed: m.inList}
	if m.state != nil {
		e.Incarnation = Incarnation(m.state.GetIncarnation())
		e.Revision = steering.Revision(m.state.GetRevision())
		e.Loads = m.state.GetLoads()
		e.Origins = m.state.GetOrigins()
	}
	return e
}

func (d *Directory) liveness(m *member, now time.Time) Liveness {
	if m.row.Name == d.opts.Self {
		if m.row.State == StateLeaving {
			return Leaving
		}
		return Live
	}
	silent := now.Sub(m.heardAt) - d.slack()
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
