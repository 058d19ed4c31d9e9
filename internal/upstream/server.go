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

// server is the state of one incarnation of a server as this VM knows it. Times are nanoseconds since the epoch of the
// pool's snapshot; 0 means never.
type server struct {
	vm    vm.VM
	slots int32

	inFlight      atomic.Int32
	ejectedUntil  atomic.Int64 // 0: in use
	shedUntil     atomic.Int64 // end of the backoff after the server shed a request
	warmFrom      atomic.Int64 // start of the warm-up ramp; 0: warm
	drainedAt     atomic.Int64 // last notice of a drain; 0: none
	listLeaving   atomic.Bool  // the VM list marks the server as leaving
	contactTTL    atomic.Int64 // how long a contact is valid, nanoseconds; 0: the server is not polled
	contactExpiry atomic.Int64 // end of the validity of the last contact
	trialInFlight atomic.Bool  // a trial request is in flight
	report        atomic.Pointer[report]
	classes       [steering.ClassCount]classState

	ejection ejection     // guarded by Pool.mu
	failures atomic.Int32 // consecutive
	sheds    atomic.Int32 // consecutive
}

// classState is what this VM measured of one class of requests on a server.
type classState struct {
	inFlight atomic.Int32
	startSum atomic.Int64 // sum of the start times of the attempts in flight
	latency  atomicFloat  // moving average, nanoseconds; 0: no sample
	sampled  atomic.Int64 // time of the last sample
}

// report is a load report and when it was received.
type report struct {
	load request.UpstreamLoad
	at   int64
}

func (s *server) leaving() bool { return s.listLeaving.Load() || s.drainedAt.Load() != 0 }

// isContactExpired reports whether the last contact with a polled server is too old: it may have left or be
// unreachable.
func (s *server) isContactExpired(now int64) bool {
	return s.contactTTL.Load() != 0 && now > s.contactExpiry.Load()
}

// recordContact records a contact with the server at the time at and reports whether the previous contact had expired.
func (s *server) recordContact(at int64) bool {
	until := at + s.contactTTL.Load()
	for {
		old := s.contactExpiry.Load()
		if until <= old {
			return false
		}
		if s.contactExpiry.CompareAndSwap(old, until) {
			return old < at
		}
	}
}

func (s *server) ejected() bool { return s.ejectedUntil.Load() != 0 }

// acquireSlot acquires a slot if fewer than limit are in use.
func (s *server) acquireSlot(limit int32) bool {
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

func (s *server) startAttempt(class steering.Class, now int64) {
	c := &s.classes[class]
	c.startSum.Add(now)
	c.inFlight.Add(1)
}

func (s *server) endAttempt(class steering.Class, start int64) {
	c := &s.classes[class]
	c.inFlight.Add(-1)
	c.startSum.Add(-start)
	s.inFlight.Add(-1)
}

// meanInFlightAge returns the mean age of the attempts of a class in flight, nanoseconds.
func (c *classState) meanInFlightAge(now int64) float64 {
	n := c.inFlight.Load()
	if n <= 0 {
		return 0
	}
	return float64(now) - float64(c.startSum.Load())/float64(n)
}

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.2

// latencySampleTTL is how long a latency above the median counts after its last sample. Then the server is assumed to
// have the median latency.
const latencySampleTTL = int64(5 * time.Second)

// addLatency adds a latency in nanoseconds to the moving average. One long request counts for at most limit, if limit
// is above 0.
func (c *classState) addLatency(latency, limit float64, now int64) {
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

// expectedLatency returns the expected latency, nanoseconds: the moving average, whose part above median decays with
// the age of the last sample, or the mean age of the attempts in flight if that is higher.
func (c *classState) expectedLatency(median float64, now int64) float64 {
	estimate := c.latency.load()
	if estimate == 0 {
		estimate = median
	}
	if age := now - c.sampled.Load(); estimate > median && age > 0 {
		weight := 1 - float64(min(age, latencySampleTTL))/float64(latencySampleTTL)
		estimate = median + weight*(estimate-median)
	}
	return max(estimate, c.meanInFlightAge(now))
}

// loadOfOthers returns the load on the server that does not come from this VM, in requests, discounted by the age of
// the report.
func (s *server) loadOfOthers(now, ttl int64) float64 {
	r := s.report.Load()
	if r == nil || now-r.at >= ttl {
		return 0
	}
	reported := float64(r.load.InFlight+r.load.Queued) - float64(s.inFlight.Load())
	return max(reported, 0) * (1 - float64(now-r.at)/float64(ttl))
}

// warmth returns the progress of the server's warm-up, 0 to 1.
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

// randomSource is a lock-free generator of random numbers: SplitMix64 if it has a seed, so that runs are reproducible,
// else the runtime's generator, whose state is not shared between processors.
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

// intn returns a random number in [0, n).
func (r *randomSource) intn(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }
