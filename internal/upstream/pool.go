// Package upstream selects a server for each attempt among the servers of one service in one zone.
//
// What this VM measures itself (requests in flight, latency, failures) takes precedence over the servers' own reports,
// which are discounted by age. Only Poller does I/O, through the interface Source. A Pool receives the current time
// with each call.
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

// Options configures a Pool. Zero fields get the defaults of withDefaults.
type Options struct {
	Service steering.ServiceName
	Zone    steering.ZoneName
	Policy  Policy
	Seed    uint64 // of the random choices; 0: not reproducible

	Warmup           time.Duration // time over which the slots of a new or restarted server ramp up
	Floor            float64       // minimum share of the servers that ejection leaves in use, 0 to 1
	Reserve          float64       // slots reserved for interactive requests above their mean, in square roots of it; negative: none
	HedgeUtilization float64       // share of this VM's slots above which no hedge is sent, 0 to 1
	SlowFactor       float64       // multiple of the median latency above which a server is ejected
	SlowMargin       time.Duration // latency above the median that an ejection requires in addition to SlowFactor
	SlowBackoff      time.Duration // first ejection of a slow server; doubles each time
	SlowLimit        time.Duration // longest ejection of a slow server
	FailBackoff      time.Duration // first ejection of a failing server; doubles each time
	FailLimit        time.Duration // longest ejection of a failing server
	FailThreshold    int           // consecutive failures that eject a server
	ReportTTL        time.Duration // age from which a load report is ignored
	ReportWeight     float64       // of a fresh report relative to this VM's own requests in flight, 0 (default) to 1
	UndrainAfter     time.Duration // a drain ends with the first report without one this long after its last notice

	// OnCapacity is called after a slot is released and when a server becomes reachable again. It must not block. It
	// may be nil.
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

// Query requests a server for one attempt.
type Query struct {
	Class   steering.Class
	Exclude []vm.Name // servers already tried for this request
	Hedge   bool      // an extra attempt: only with free capacity, see Options.HedgeUtilization
	NoTrial bool      // must not be the trial request of an ejected server
	Explain bool      // set Reservation.Candidates
	Now     time.Time
}

// Pool holds the servers of one service in one zone. It is safe for concurrent use.
type Pool struct {
	options  Options
	selector selector
	snapshot atomic.Pointer[snapshot]
	share    atomicFloat // share of each server's slots that this VM may use
	random   randomSource

	_              cacheLine // fields that every selection writes are on other cache lines than those it reads
	inFlight       atomic.Int64
	nonInteractive atomic.Int64 // attempts in flight that are not interactive
	_              cacheLine

	lastInteractive    atomic.Int64 // time of the last interactive query, to the tenth of a second
	interactiveMean    atomicFloat  // mean of the interactive attempts in flight, sampled at queries
	usableSlots        atomic.Int64 // of the servers in use
	nextTrial          atomic.Int64 // earliest end of an ejection; math.MaxInt64: none
	nextStragglerCheck atomic.Int64
	median             [steering.ClassCount]atomicFloat // of the servers' latency by class, nanoseconds

	mu sync.Mutex // guards writers: Update, and the start and end of drains and ejections
}

// cacheLine is padding that keeps fields on different lines of a processor's cache.
type cacheLine [64]byte

// snapshot is an immutable list of servers; their counters are atomics.
type snapshot struct {
	epoch   time.Time // origin of the times stored as nanoseconds
	servers []*server
	slots   int // of the servers that are not leaving
}

func (s *snapshot) at(now time.Time) int64 { return int64(now.Sub(s.epoch)) }

// NewPool returns a pool without servers. Pool.Update adds them.
func NewPool(options Options) *Pool {
	p := &Pool{options: options.withDefaults()}
	p.selector = newSelector(p.options.Policy)
	p.share.store(1)
	p.random.seed(p.options.Seed)
	p.nextTrial.Store(math.MaxInt64)
	p.snapshot.Store(&snapshot{})
	return p
}

// SetShare limits this VM to a share of each server's slots, 0 to 1. The limit is rounded up for a single server and
// down for all servers together.
func (p *Pool) SetShare(share float64) { p.share.store(min(max(share, 0), 1)) }

// SetUsableSlots limits this VM to a number of the slots of all servers, as its contract grants it.
func (p *Pool) SetUsableSlots(slots int) {
	if all := p.snapshot.Load().slots; all > 0 {
		p.SetShare(float64(slots) / float64(all))
	}
}

// rounding is the tolerance, in slots, for a share of slots that should be a whole number.
const rounding = 1e-6

// HasUsableServers reports whether a server is in use, whatever share of it this VM may use.
func (p *Pool) HasUsableServers() bool { return p.usableSlots.Load() > 0 }

// ServiceAndZone returns the service and the zone of the pool's servers.
func (p *Pool) ServiceAndZone() (steering.ServiceName, steering.ZoneName) {
	return p.options.Service, p.options.Zone
}

// Slots returns the number of slots that this VM may use now over all servers in use.
func (p *Pool) Slots() int { return int(float64(p.usableSlots.Load())*p.share.load() + rounding) }

// InFlight returns the number of attempts in flight from this VM.
func (p *Pool) InFlight() int { return int(p.inFlight.Load()) }

// Acquire acquires a slot of a server, or returns *NoServerError. The slot is in use until Reservation.Release.
func (p *Pool) Acquire(q Query) (*Reservation, error) {
	snap := p.snapshot.Load()
	v := view{pool: p, snap: snap, query: q, now: snap.at(q.Now), share: p.share.load()}
	p.recordClass(&v)
	if !p.acquireTotal(&v) {
		return nil, v.noServerError()
	}
	s, trial := p.acquireTrial(&v), true
	if s == nil {
		s, trial = p.acquireServer(&v), false
	}
	if s == nil {
		s = p.acquireEjected(&v)
	}
	if s == nil {
		p.releaseTotal(q.Class)
		return nil, v.noServerError()
	}
	s.startAttempt(q.Class, v.now)
	r := &Reservation{Server: s.vm, pool: p, server: s, class: q.Class, start: v.now, epoch: snap.epoch, trial: trial}
	if q.Explain {
		r.Candidates = v.candidates(s)
	}
	return r, nil
}

// recordClass updates the mean of the interactive attempts in flight, and decides whether slots are reserved for them.
func (p *Pool) recordClass(v *view) {
	const step = int64(100 * time.Millisecond)
	const reserveFor = int64(10 * time.Second) // after the last interactive query
	const sampleEvery = 8
	const weight = 0.08 // of a new sample in the moving mean
	last := p.lastInteractive.Load()
	if v.query.Class != steering.ClassInteractive {
		v.reserve = p.options.Reserve >= 0 && last != 0 && v.now-last < reserveFor
		return
	}
	if v.now-last > step {
		p.lastInteractive.Store(v.now)
	}
	if p.random.intn(sampleEvery) != 0 {
		return
	}
	inFlight := float64(p.inFlight.Load() - p.nonInteractive.Load())
	p.interactiveMean.update(func(mean float64) float64 { return mean + weight*(inFlight-mean) })
}

// acquireTotal counts the attempt against this VM's share of all slots. It returns false if the share is exhausted.
func (p *Pool) acquireTotal(v *view) bool {
	ownSlots := float64(v.snap.slots)*v.share + rounding
	allowed := ownSlots
	if v.query.Hedge {
		allowed *= p.options.HedgeUtilization
	}
	if !incrementBelow(&p.inFlight, allowed) {
		v.shareExhausted = true
		return false
	}
	if v.query.Class == steering.ClassInteractive {
		return true
	}
	allowed = ownSlots
	if v.reserve {
		mean := p.interactiveMean.load()
		allowed -= max(math.Floor(mean+p.options.Reserve*math.Sqrt(mean)), 1)
	}
	if !incrementBelow(&p.nonInteractive, allowed) {
		p.inFlight.Add(-1)
		v.shareExhausted = true
		return false
	}
	return true
}

// incrementBelow increments count unless the result would exceed allowed. The first increment is always allowed.
func incrementBelow(count *atomic.Int64, allowed float64) bool {
	if float64(count.Add(1)) <= max(allowed, 1) {
		return true
	}
	count.Add(-1)
	return false
}

// releaseTotal undoes acquireTotal.
func (p *Pool) releaseTotal(class steering.Class) {
	if class != steering.ClassInteractive {
		p.nonInteractive.Add(-1)
	}
	p.inFlight.Add(-1)
}

// acquireServer lets the policy select up to 3 times until a selected server has a free slot. Then it tries every
// server.
func (p *Pool) acquireServer(v *view) *server {
	const tries = 3
	for range tries {
		i := p.selector.pick(*v)
		if i < 0 {
			break
		}
		if s := v.snap.servers[i]; s.acquireSlot(v.limit(s)) {
			return s
		}
	}
	n := len(v.snap.servers)
	for k, start := 0, v.randomIndex(); k < n; k++ {
		i := (start + k) % n
		if s := v.snap.servers[i]; v.state(i) == stateUsable && s.acquireSlot(v.limit(s)) {
			return s
		}
	}
	return nil
}

// noServerError returns the error with the reason why no server could accept the attempt.
func (v *view) noServerError() error {
	e := &NoServerError{Service: v.pool.options.Service, Zone: v.pool.options.Zone}
	e.Servers = len(v.snap.servers)
	e.Candidates = v.candidates(nil)
	if v.shareExhausted {
		e.Constraint = review.ConstraintContract
		if v.query.Hedge {
			e.Constraint = review.ConstraintBudget
		}
		return e
	}
	e.Constraint = v.constraint()
	return e
}
