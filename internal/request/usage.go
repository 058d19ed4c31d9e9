package request

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	// Of one measurement in the averages of hold times, once there are enough: few long requests must not move what is
	// expected, but times that were measured while servers were slow must not refuse work long after.
	holdWeight        = 0.01
	recentHoldWeight  = 0.1
	demandHalfLife    = 4 * time.Second
	decayStep         = 5 * time.Millisecond   // rates fade in steps of at least this
	demandWarmUp      = time.Second            // three quarters of the capacity are kept until demand is known for this long
	capacityProbe     = 5 * time.Second        // without a missing room, capacity is assumed one higher
	maxLongWaitShare  = 0.2                    // of interactive requests may wait longer than they are served
	goodLongWaitShare = 0.03                   // the same, where it leaves longer work its share
	reserveSpareShare = 0.2                    // of what interactive work leaves, spent to reach goodLongWaitShare
	reserveInterval   = 100 * time.Millisecond // between calculations of the reserve
	holdMarginDevs    = 2                      // mean deviations added to the expected hold time
	minLongInFlight   = 1                      // requests of longer classes that are always admitted
)

// usage follows what the requests of a service occupy. Its owner locks it.
type usage struct {
	inFlight [steering.ClassCount]int
	hold     [steering.ClassCount]holdTime
	rate     decayingRate // of interactive arrivals
	held     decayingRate // of seconds held by interactive requests that ended
	ends     decayingRate // of interactive requests that ended
	capacity int          // requests that fit at a time; 0: not known
	reported bool         // capacity is the placer's own figure
	probed   time.Time    // when an assumed capacity was last changed
	reserve  int          // of the capacity, for interactive work
	reserved time.Time    // when reserve was last calculated
}

// holdTime estimates the seconds from placement to release of one class.
type holdTime struct{ usual, recent average }

func (h *holdTime) add(seconds float64) {
	h.usual.add(seconds, holdWeight)
	h.recent.add(seconds, recentHoldWeight)
}

// expected returns the shorter estimate: work is refused only for what was measured both lately and on the whole.
func (h *holdTime) expected() *average {
	if h.recent.mean < h.usual.mean {
		return &h.recent
	}
	return &h.usual
}

// average is an exponentially weighted mean with its mean deviation. The first values weigh alike.
type average struct {
	mean, dev float64
	weight    float64 // of the next value
}

// add takes a value, which later weighs least.
func (a *average) add(x, least float64) {
	if a.weight == 0 {
		a.weight = 1
	}
	a.mean += a.weight * (x - a.mean)
	a.dev += a.weight * (math.Abs(x-a.mean) - a.dev)
	a.weight = max(least, a.weight/(1+a.weight))
}

// decayingRate is an exponentially decaying rate, corrected for the short time since it began.
type decayingRate struct {
	count float64 // decayed sum
	span  float64 // decayed seconds
	last  time.Time
}

func (r *decayingRate) add(x float64, now time.Time) {
	r.decay(now)
	r.count += x
}

func (r *decayingRate) decay(now time.Time) {
	if r.last.IsZero() {
		r.last = now
	}
	gone := now.Sub(r.last)
	if gone < decayStep {
		return
	}
	fade := math.Exp2(-gone.Seconds() / demandHalfLife.Seconds())
	r.count *= fade
	r.span = r.span*fade + gone.Seconds()
	r.last = now
}

// perSecond returns the rate; it is too high until some time has passed.
func (r *decayingRate) perSecond() float64 {
	if r.span == 0 {
		return 0
	}
	return r.count / r.span
}

func (u *usage) arrive(c steering.Class, now time.Time) {
	if c == steering.ClassInteractive {
		u.rate.add(1, now)
		return
	}
	u.rate.decay(now)
}

func (u *usage) start(c steering.Class) { u.inFlight[c]++ }

func (u *usage) end(c steering.Class, held time.Duration, now time.Time) {
	u.inFlight[c]--
	u.hold[c].add(held.Seconds())
	if c == steering.ClassInteractive {
		u.held.add(held.Seconds(), now)
		u.ends.add(1, now)
	}
}

// interactiveLoad estimates the slots that interactive work needs on average.
func (u *usage) interactiveLoad() float64 {
	if u.ends.count == 0 {
		return 0
	}
	return u.rate.perSecond() * u.held.count / u.ends.count
}

// full notes that the placer had no room: what is in flight is the capacity.
func (u *usage) full(now time.Time) {
	if u.reported {
		return
	}
	u.capacity = max(1, u.total())
	u.probed = now
}

// probe assumes a little more capacity when room was not missing for long.
func (u *usage) probe(now time.Time) {
	if u.reported || u.capacity == 0 || now.Sub(u.probed) < capacityProbe {
		return
	}
	u.capacity++
	u.probed = now
}

// report takes the placer's own figure of the capacity.
func (u *usage) report(capacity int) {
	u.capacity = capacity
	u.reported = true
}

func (u *usage) total() int {
	n := 0
	for _, x := range u.inFlight {
		n += x
	}
	return n
}

// admitsLong reports whether one more request of class c leaves the interactive work its reserve.
func (u *usage) admitsLong(c steering.Class) bool {
	if c == steering.ClassInteractive || u.capacity == 0 {
		return true
	}
	long := u.inFlight[steering.ClassBulk] + u.inFlight[steering.ClassDeferrable]
	if long < minLongInFlight {
		return true
	}
	return long < u.capacity-u.reserve
}

// reserveDue reports whether the reserve was last calculated some time ago.
func (u *usage) reserveDue(now time.Time) bool { return now.Sub(u.reserved) >= reserveInterval }

// updateReserve calculates the reserve from the interactive work of late.
func (u *usage) updateReserve(now time.Time) {
	u.reserved = now
	u.reserve = reserveFor(u.interactiveLoad(), u.capacity)
	if u.rate.span < demandWarmUp.Seconds() {
		u.reserve = max(u.reserve, u.capacity*3/4)
	}
}

// reserveFor returns the slots kept for interactive work of load erlangs.
func reserveFor(load float64, capacity int) int {
	least := serversFor(load, capacity, maxLongWaitShare)
	good := serversFor(load, capacity, goodLongWaitShare)
	spare := int(load + reserveSpareShare*(float64(capacity)-load))
	return max(least, min(good, spare))
}

// serversFor returns the least number of servers, up to limit, at which no more than share of the requests
// of an M/M/c queue wait longer than they are served on average. load is in erlangs.
func serversFor(load float64, limit int, share float64) int {
	if load == 0 {
		return 0
	}
	blocked := 1.0 // Erlang B of the servers so far
	for c := 1; c < limit; c++ {
		blocked = load * blocked / (float64(c) + load*blocked)
		if float64(c) <= load {
			continue
		}
		waits := blocked / (1 - load/float64(c)*(1-blocked)) // Erlang C
		if waits*math.Exp(load-float64(c)) <= share {
			return c
		}
	}
	return limit
}

// expectedWait estimates the wait of a request with ahead others of its class before it.
func (u *usage) expectedWait(c steering.Class, ahead int) time.Duration {
	servers := max(1, u.inFlight[c])
	return seconds(float64(ahead+1) * u.hold[c].expected().mean / float64(servers))
}

// expectedHold estimates the time from placement to release, on the safe side.
func (u *usage) expectedHold(c steering.Class) time.Duration {
	hold := u.hold[c].expected()
	return seconds(hold.mean + holdMarginDevs*hold.dev)
}

// shortestHold estimates the time that a request needs at least.
func (u *usage) shortestHold(c steering.Class) time.Duration {
	return seconds(u.hold[c].expected().mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
