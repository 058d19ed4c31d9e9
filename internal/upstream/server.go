package upstream

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// server is one life of a server as this VM sees it. Times are nanoseconds since the epoch of the
// pool's snapshot; 0 means never.
type server struct {
	vm    vm.VM
	slots int32

	inFlight     atomic.Int32
	ejectedUntil atomic.Int64 // 0: in use
	shedUntil    atomic.Int64 // the server refused work: no more until then
	warmFrom     atomic.Int64 // begin of the ramp; 0: warm
	drainedAt    atomic.Int64 // last sign of a drain; 0: none
	listLeaving  atomic.Bool  // the VM list says that it leaves
	sightFor     atomic.Int64 // how long one sign of the server counts, nanoseconds; 0: it is not polled
	sightUntil   atomic.Int64 // end of the last sign's time
	trial        atomic.Bool  // a trial request is in flight
	report       atomic.Pointer[report]
	classes      [steering.ClassCount]classState

	ejection ejection // guarded by Pool.mu
	failures atomic.Int32
	sheds    atomic.Int32
}

// classState is what was seen of one class of work on a server.
type classState struct {
	inFlight atomic.Int32
	startSum atomic.Int64 // sum of the start times of the attempts in flight
	latency  atomicFloat  // moving average, nanoseconds; 0: none
	sampled  atomic.Int64 // time of the last sample
}

// report is a load report and when it was seen.
type report struct {
	load request.UpstreamLoad
	at   int64
}

func (s *server) leaving() bool { return s.listLeaving.Load() || s.drainedAt.Load() != 0 }

// unseen reports whether the last sign of a polled server is too old: it may have left or be out of reach.
func (s *server) unseen(now int64) bool { return s.sightFor.Load() != 0 && now > s.sightUntil.Load() }

// see notes a sign of the server at the time at and reports whether it was unseen until then.
func (s *server) see(at int64) bool {
	until := at + s.sightFor.Load()
	for {
		old := s.sightUntil.Load()
		if until <= old {
			return false
		}
		if s.sightUntil.CompareAndSwap(old, until) {
			return old < at
		}
	}
}

func (s *server) ejected() bool { return s.ejectedUntil.Load() != 0 }

// take takes a slot if fewer than limit are taken.
func (s *server) take(limit int32) bool {
	for {
		n := s.inFlight.Load()
		if n >= limit {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (s *server) begin(class steering.Class, now int64) {
	c := &s.classes[class]
	c.startSum.Add(now)
	c.inFlight.Add(1)
}

func (s *server) end(class steering.Class, start int64) {
	c := &s.classes[class]
	c.inFlight.Add(-1)
	c.startSum.Add(-start)
	s.inFlight.Add(-1)
}

// age returns the mean age of the attempts of a class in flight, nanoseconds.
func (c *classState) age(now int64) float64 {
	n := c.inFlight.Load()
	if n <= 0 {
		return 0
	}
	return float64(now) - float64(c.startSum.Load())/float64(n)
}

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.2

// latencyMemory is how long a sample counts; then the server is taken for an ordinary one.
const latencyMemory = int64(5 * time.Second)

// sample adds a latency in nanoseconds; one long request counts for no more than limit.
func (c *classState) sample(latency, limit float64, now int64) {
	if limit > 0 {
		latency = min(latency, limit)
	}
	c.sampled.Store(now)
	c.latency.update(func(old float64) float64 {
		if old == 0 {
			return latency
		}
		return old + latencyWeight*(latency-old)
	})
}

// estimate returns the latency to expect, nanoseconds: the moving average, which fades to median
// with its age, or the age of what is in flight if that is more.
func (c *classState) estimate(median float64, now int64) float64 {
	estimate := c.latency.load()
	if estimate == 0 {
		estimate = median
	}
	if age := now - c.sampled.Load(); estimate > median && age > 0 {
		weight := 1 - float64(min(age, latencyMemory))/float64(latencyMemory)
		estimate = median + weight*(estimate-median)
	}
	return max(estimate, c.age(now))
}

// others returns the load that others put on the server, in requests, discounted by the age of
// the report.
func (s *server) others(now, ttl int64) float64 {
	r := s.report.Load()
	if r == nil || now-r.at >= ttl {
		return 0
	}
	reported := float64(r.load.InFlight+r.load.Queued) - float64(s.inFlight.Load())
	return max(reported, 0) * (1 - float64(now-r.at)/float64(ttl))
}

// warmth returns how far the server has warmed up, 0 to 1.
func (s *server) warmth(now, warmup int64) float64 {
	from := s.warmFrom.Load()
	if from == 0 || now-from >= warmup {
		return 1
	}
	return max(float64(now-from)/float64(warmup), 0)
}

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) update(next func(float64) float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(next(math.Float64frombits(old)))) {
			return
		}
	}
}

// randomSource is a lock-free generator of random numbers: SplitMix64 if it has a seed, so that a
// run can be repeated, else the runtime's own, which processors do not share.
type randomSource struct {
	seeded bool
	state  atomic.Uint64
}

func (r *randomSource) seed(seed uint64) {
	r.seeded = seed != 0
	r.state.Store(seed)
}

func (r *randomSource) next() uint64 {
	if !r.seeded {
		return rand.Uint64()
	}
	z := r.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intn returns a number in [0, n).
func (r *randomSource) intn(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }
