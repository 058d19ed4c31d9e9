// Package upstream chooses a server for each attempt among the servers of one service in one zone.
//
// What this VM saw itself (requests in flight, latency, failures) goes before the servers' own
// reports, which are discounted by age. The package does no I/O of its own, but for Poller, which
// polls through a narrow interface; the time comes in with each call.
package upstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Options configure a Pool. Zero fields take the defaults of withDefaults.
type Options struct {
	Service steering.ServiceName
	Zone    steering.ZoneName
	Policy  Policy
	Seed    uint64 // of the random choices; 0: not repeatable

	Warmup           time.Duration // a new or restarted server gets its slots over this time
	Floor            float64       // share of the servers that ejection leaves in use, 0 to 1
	Reserve          float64       // slots kept for interactive work above its mean, in square roots of the mean; negative: none kept
	HedgeUtilization float64       // share of all slots above which no hedge is placed, 0 to 1
	SlowFactor       float64       // latency as a multiple of the median that ejects a server
	SlowMargin       time.Duration // latency above the median that it takes besides SlowFactor
	SlowBackoff      time.Duration // first ejection of a slow server; doubles
	SlowLimit        time.Duration // longest ejection of a slow server
	FailBackoff      time.Duration // first ejection of a failing server; doubles
	FailLimit        time.Duration // longest ejection of a failing server
	FailThreshold    int           // consecutive failures that eject a server
	ReportTTL        time.Duration // age at which a load report counts for nothing
	ReportWeight     float64       // of a fresh report beside what this VM saw itself, 0 (default) to 1
	UndrainAfter     time.Duration // a drain ends once no sign of it was seen for this long

	// OnCapacity is called after a slot was given back; it must not block. It may be nil.
	OnCapacity func()
}

func (o Options) withDefaults() Options {
	setDefault(&o.Policy, PolicyLeastLoaded)
	setDefault(&o.Warmup, 10*time.Second)
	setDefault(&o.Floor, 0.5)
	setDefault(&o.Reserve, 1)
	setDefault(&o.HedgeUtilization, 0.8)
	setDefault(&o.SlowFactor, 4)
	setDefault(&o.SlowMargin, 5*time.Millisecond)
	setDefault(&o.SlowBackoff, 250*time.Millisecond)
	setDefault(&o.SlowLimit, 2*time.Second)
	setDefault(&o.FailBackoff, 500*time.Millisecond)
	setDefault(&o.FailLimit, 30*time.Second)
	setDefault(&o.FailThreshold, 3)
	setDefault(&o.ReportTTL, 5*time.Second)
	setDefault(&o.UndrainAfter, 30*time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Query asks for a server for one attempt.
type Query struct {
	Class   steering.Class
	Exclude []vm.Name // servers already tried
	Hedge   bool      // an extra attempt: only where there is spare room
	NoTrial bool      // not to be used to try an ejected server again
	Explain bool      // list the candidates in the Reservation
	Now     time.Time
}

// Pool holds the servers of one service in one zone. It is safe for concurrent use.
type Pool struct {
	options  Options
	selector selector
	snapshot atomic.Pointer[snapshot]
	share    atomicFloat // part of each server's slots that this VM may use
	random   randomSource

	_        cacheLine // what each decision writes lies apart from what it reads
	inFlight atomic.Int64
	lower    atomic.Int64 // in flight, but not interactive
	_        cacheLine

	interactiveAt atomic.Int64 // last interactive query, to the tenth of a second
	interactive   atomicFloat  // mean of interactive work in flight, as queries found it
	usableSlots   atomic.Int64 // of the servers in use
	nextTrial     atomic.Int64 // earliest end of an ejection; math.MaxInt64: none
	nextReview    atomic.Int64
	median        [steering.ClassCount]atomicFloat // of the servers' latency, nanoseconds

	mu sync.Mutex // guards writers: Update, drains, ejections and their ends
}

// cacheLine keeps fields on different lines of a processor's cache.
type cacheLine [64]byte

// snapshot is an immutable list of servers; their counters are atomics.
type snapshot struct {
	epoch   time.Time // origin of the times kept as nanoseconds
	servers []*server
	slots   int // of all servers that are not leaving
}

func (s *snapshot) at(now time.Time) int64 { return int64(now.Sub(s.epoch)) }

// NewPool returns a pool without servers; see Update.
func NewPool(options Options) *Pool {
	p := &Pool{options: options.withDefaults()}
	p.selector = newSelector(p.options.Policy)
	p.share.store(1)
	p.random.seed(p.options.Seed)
	p.nextTrial.Store(math.MaxInt64)
	p.snapshot.Store(&snapshot{})
	return p
}

// SetShare bounds this VM's part of each server's slots, 0 to 1. It is rounded up for a single
// server and down for all servers together.
func (p *Pool) SetShare(share float64) { p.share.store(min(max(share, 0), 1)) }

// SetUsableSlots bounds this VM's part to slots of all that the servers have, as its contract gives it.
func (p *Pool) SetUsableSlots(slots int) {
	if all := p.snapshot.Load().slots; all > 0 {
		p.SetShare(float64(slots) / float64(all))
	}
}

// rounding is what a part of slots may miss a whole number by, slots.
const rounding = 1e-6

// HasUsableServers reports whether a server is in use, whatever part of it this VM may use.
func (p *Pool) HasUsableServers() bool { return p.usableSlots.Load() > 0 }

// ServiceAndZone returns the service and the zone of the pool's servers.
func (p *Pool) ServiceAndZone() (steering.ServiceName, steering.ZoneName) {
	return p.options.Service, p.options.Zone
}

// Slots returns the slots that this VM may use now over all servers in use.
func (p *Pool) Slots() int { return int(float64(p.usableSlots.Load())*p.share.load() + rounding) }

// InFlight returns the attempts in flight from this VM.
func (p *Pool) InFlight() int { return int(p.inFlight.Load()) }

// Acquire takes a slot of a server, or returns *NoServerError. The slot is held until Done.
func (p *Pool) Acquire(q Query) (*Reservation, error) {
	snap := p.snapshot.Load()
	v := view{pool: p, snap: snap, query: q, now: snap.at(q.Now), share: p.share.load()}
	p.noteClass(&v)
	if !p.takeTotal(&v) {
		return nil, v.refuse()
	}
	s, trial := p.takeTrial(&v), true
	if s == nil {
		s, trial = p.take(&v), false
	}
	if s == nil {
		s = p.takeLast(&v)
	}
	if s == nil {
		p.giveTotal(q.Class)
		return nil, v.refuse()
	}
	s.begin(q.Class, v.now)
	r := &Reservation{Server: s.vm, pool: p, server: s, class: q.Class, start: v.now, epoch: snap.epoch, trial: trial}
	if q.Explain {
		r.Candidates = v.candidates(s)
	}
	return r, nil
}

// noteClass follows how much interactive work is about, for which slots are then reserved.
func (p *Pool) noteClass(v *view) {
	const step = int64(100 * time.Millisecond)
	const memory = int64(10 * time.Second)
	const sampleEvery = 8
	const weight = 0.08 // of a new sample in the mean
	last := p.interactiveAt.Load()
	if v.query.Class != steering.ClassInteractive {
		v.reserve = p.options.Reserve >= 0 && last != 0 && v.now-last < memory
		return
	}
	if v.now-last > step {
		p.interactiveAt.Store(v.now)
	}
	if p.random.intn(sampleEvery) != 0 {
		return
	}
	inFlight := float64(p.inFlight.Load() - p.lower.Load())
	p.interactive.update(func(mean float64) float64 { return mean + weight*(inFlight-mean) })
}

// takeTotal counts the attempt against this VM's part of all slots.
func (p *Pool) takeTotal(v *view) bool {
	part := float64(v.snap.slots)*v.share + rounding
	allowed := part
	if v.query.Hedge {
		allowed *= p.options.HedgeUtilization
	}
	if !takeBelow(&p.inFlight, allowed) {
		v.full = true
		return false
	}
	if v.query.Class == steering.ClassInteractive {
		return true
	}
	allowed = part
	if v.reserve {
		mean := p.interactive.load()
		allowed -= max(math.Floor(mean+p.options.Reserve*math.Sqrt(mean)), 1)
	}
	if !takeBelow(&p.lower, allowed) {
		p.inFlight.Add(-1)
		v.full = true
		return false
	}
	return true
}

// takeBelow counts one more unless that is above allowed; a first one always is allowed.
func takeBelow(count *atomic.Int64, allowed float64) bool {
	if float64(count.Add(1)) <= max(allowed, 1) {
		return true
	}
	count.Add(-1)
	return false
}

// giveTotal undoes takeTotal.
func (p *Pool) giveTotal(class steering.Class) {
	if class != steering.ClassInteractive {
		p.lower.Add(-1)
	}
	p.inFlight.Add(-1)
}

// take lets the policy choose until a chosen server has a slot; at last it tries each server.
func (p *Pool) take(v *view) *server {
	const tries = 3
	for range tries {
		i := p.selector.pick(*v)
		if i < 0 {
			break
		}
		if s := v.snap.servers[i]; s.take(v.limit(s)) {
			return s
		}
	}
	n := len(v.snap.servers)
	for k, start := 0, v.start(); k < n; k++ {
		i := (start + k) % n
		if s := v.snap.servers[i]; v.state(i) == stateUsable && s.take(v.limit(s)) {
			return s
		}
	}
	return nil
}

// refuse returns the error that says why no server could be taken.
func (v *view) refuse() error {
	e := &NoServerError{Service: v.pool.options.Service, Zone: v.pool.options.Zone}
	e.Servers = len(v.snap.servers)
	e.Candidates = v.candidates(nil)
	if v.full {
		e.Constraint = review.ConstraintContract
		if v.query.Hedge {
			e.Constraint = review.ConstraintBudget
		}
		return e
	}
	e.Constraint = v.constraint()
	return e
}
