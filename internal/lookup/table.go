package lookup

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	defaultLifetime      = 30 * time.Second
	defaultStaleLifetime = 5 * time.Second
	defaultStaleAfter    = 15 * time.Second
	defaultSpread        = 1.15
	fullUtilization      = 0.9
)

// Options configure a Table.
type Options struct {
	Self          VMView        // this VM, returned if no other is known
	Lifetime      time.Duration // of a decision; default 30 s
	StaleLifetime time.Duration // of a decision from a stale view; default 5 s
	StaleAfter    time.Duration // a view older than this is stale; default 15 s
	MaxLoadRatio  float64       // max load of a VM as a multiple of the mean; default 1.15
	Sites         *Sites        // sites of caller blocks; nil: only the regions of callers are known

	blocksBySite []int
}

// Table chooses entry VMs for callers. Decide may be called from any goroutine, also during an Update.
// Update may be called from one goroutine at a time.
type Table struct {
	options Options
	current atomic.Pointer[snapshot]
}

// NewTable returns a Table that contains no VM other than o.Self.
func NewTable(o Options) *Table {
	if o.Lifetime <= 0 {
		o.Lifetime = defaultLifetime
	}
	if o.StaleLifetime <= 0 {
		o.StaleLifetime = defaultStaleLifetime
	}
	if o.StaleAfter <= 0 {
		o.StaleAfter = defaultStaleAfter
	}
	if o.MaxLoadRatio <= 1 {
		o.MaxLoadRatio = defaultSpread
	}
	if o.Sites != nil {
		o.blocksBySite = o.Sites.blocksBySite()
	}
	t := &Table{options: o}
	t.Update(View{})
	return t
}

// Update replaces the view of entry VMs.
func (t *Table) Update(view View) {
	t.current.Store(build(&view, &t.options, t.options.Sites, t.current.Load()))
}

// Decide returns the entry VMs that a caller should use, best first. It allocates no heap memory.
func (t *Table) Decide(q Query) Decision {
	s := t.current.Load()
	d := Decision{Revision: s.revision}
	d.KnowledgeAge = max(0, q.Now.Sub(s.learnedAt))
	if s.learnedAt.IsZero() {
		d.KnowledgeAge = unknownAge
	}
	d.Stale = d.KnowledgeAge > t.options.StaleAfter || s.onlyUnresponsive
	key := mix(xxhash.Sum64String(string(q.Service)), uint64(q.Block))
	class, reason := s.classOf(q)
	d.Reason = reason
	if class >= 0 {
		s.rank(&d, &s.classes[class], key)
	}
	if s.onlySelf {
		d.Reason = ReasonOnlyVM
	}
	d.Lifetime = t.lifetime(d.Stale || s.onlySelf, key)
	return d
}

// unknownAge is the reported age of a view that was never updated with data.
const unknownAge = 24 * time.Hour

// lifetime returns how long a decision is valid. It varies by up to a fifth with the key, so that decisions do not
// all expire at the same time.
func (t *Table) lifetime(stale bool, key uint64) time.Duration {
	lifetime := t.options.Lifetime
	if stale {
		lifetime = t.options.StaleLifetime
	}
	const steps = 1 << 10
	return lifetime - lifetime/5*time.Duration(key%steps)/steps
}

// classOf returns the class of a caller, or -1 if there is none, and the reason for it.
func (s *snapshot) classOf(q Query) (int32, Reason) {
	if site, listed := s.sites.find(q.Block); listed && s.bySite[site] >= 0 {
		return s.bySite[site], ReasonNearest
	}
	if c, known := s.byRegion[q.Origin]; known {
		return c, ReasonNearest
	}
	return s.defaultClass, ReasonUnknownOrigin
}
