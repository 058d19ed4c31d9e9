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
	Self          VMView        // this VM, named when no other is known
	Lifetime      time.Duration // of an answer; default 30 s
	StaleLifetime time.Duration // of an answer from old knowledge; default 5 s
	StaleAfter    time.Duration // knowledge older than this is old; default 15 s
	MaxLoadRatio  float64       // most that a VM is given, as a multiple of the mean; default 1.15
	Sites         *Sites        // where blocks are; nil: callers are known by region only

	blocksBySite []int
}

// Table answers which entry VM to use. Decide may be called from any goroutine, while Update, from
// one at a time, replaces what is known.
type Table struct {
	options Options
	current atomic.Pointer[snapshot]
}

// NewTable returns a Table that knows no VM but o.Self.
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

// Update replaces what is known of entry VMs.
func (t *Table) Update(view View) {
	t.current.Store(build(&view, &t.options, t.options.Sites, t.current.Load()))
}

// Decide returns which entry VMs a caller should use, best first. It allocates nothing.
func (t *Table) Decide(q Query) Decision {
	s := t.current.Load()
	d := Decision{Revision: s.revision}
	d.KnowledgeAge = max(0, q.Now.Sub(s.learnedAt))
	if s.learnedAt.IsZero() {
		d.KnowledgeAge = unknownAge
	}
	d.Stale = d.KnowledgeAge > t.options.StaleAfter || s.silent
	key := mix(xxhash.Sum64String(string(q.Service)), uint64(q.Block))
	class, reason := s.classOf(q)
	d.Reason = reason
	if class >= 0 {
		s.rank(&d, &s.classes[class], key)
	}
	if s.alone {
		d.Reason = ReasonOnlyVM
	}
	d.Lifetime = t.lifetime(d.Stale || s.alone, key)
	return d
}

// unknownAge is the age of knowledge where nothing was ever learned.
const unknownAge = 24 * time.Hour

// lifetime spreads the ends of answers over a fifth of their length.
func (t *Table) lifetime(stale bool, key uint64) time.Duration {
	whole := t.options.Lifetime
	if stale {
		whole = t.options.StaleLifetime
	}
	const steps = 1 << 10
	return whole - whole/5*time.Duration(key%steps)/steps
}

// classOf returns the class of a caller, or -1.
func (s *snapshot) classOf(q Query) (int32, Reason) {
	if site, listed := s.sites.find(q.Block); listed && s.bySite[site] >= 0 {
		return s.bySite[site], ReasonNearest
	}
	if c, known := s.byRegion[q.Origin]; known {
		return c, ReasonNearest
	}
	return s.home, ReasonUnknownOrigin
}
