package request

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	// Weights of one measurement in the averages of hold times, once there are enough measurements. A few long
	// requests must not move the expected hold time, but times measured while servers were slow must not refuse
	// requests long afterwards.
	holdWeight           = 0.01
	recentHoldWeight     = 0.1
	demandHalfLife       = 4 * time.Second
	decayStep            = 5 * time.Millisecond   // minimum step in which rates decay
	demandWarmUp         = time.Second            // 3/4 of the capacity is reserved until demand is known for this long
	capacityGrowInterval = 5 * time.Second        // after this time without a full placer the assumed capacity grows by one
	maxLongWaitShare     = 0.2                    // maximum share of interactive requests that wait longer than served
	goodLongWaitShare    = 0.03                   // the same, where it leaves longer classes their share
	reserveSpareShare    = 0.2                    // of the capacity that interactive requests leave, used for goodLongWaitShare
	reserveInterval      = 100 * time.Millisecond // time between updates of the reserve
	holdMarginDevs       = 2                      // mean deviations added to the expected hold time
	minLongInFlight      = 1                      // number of requests of longer classes that are always admitted
)

// usage tracks the slots that the requests of a service occupy. Its owner holds the lock.
type usage struct {
	inFlight          [steering.ClassCount]int
	hold              [steering.ClassCount]holdTime
	interactiveRate   decayingRate // of interactive arrivals
	interactiveHeld   decayingRate // of the hold time in seconds of interactive requests that ended
	interactiveEnds   decayingRate // of interactive requests that ended
	capacity          int          // maximum number of concurrent requests; 0 if unknown
	capacityReported  bool         // capacity was reported by the placer
	capacityChangedAt time.Time    // when an assumed capacity was last changed
	reserve           int          // part of the capacity reserved for interactive requests
	reserveUpdatedAt  time.Time    // when reserve was last updated
}

// holdTime estimates the seconds from placement to release of one class.
type holdTime struct{ longTerm, recent average }

func (h *holdTime) add(seconds float64) {
	h.longTerm.add(seconds, holdWeight)
	h.recent.add(seconds, recentHoldWeight)
}

// expected returns the shorter estimate: a request is refused only if both the recent and the long-term average call
// for it.
func (h *holdTime) expected() *average {
	if h.recent.mean < h.longTerm.mean {
		return &h.recent
	}
	return &h.longTerm
}

// average is an exponentially weighted mean with its mean deviation. The first values have equal weight.
type average struct {
	mean, dev float64
	weight    float64 // weight of the next value
}

// add adds the value x. The weight of later values falls to minWeight.
func (a *average) add(x, minWeight float64) {
	if a.weight == 0 {
		a.weight = 1
	}
	a.mean += a.weight * (x - a.mean)
	a.dev += a.weight * (math.Abs(x-a.mean) - a.dev)
	a.weight = max(minWeight, a.weight/(1+a.weight))
}

// decayingRate is an exponentially decaying rate, corrected for a short time since its start.
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
	elapsed := now.Sub(r.last)
	if elapsed < decayStep {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	r.count *= factor
	r.span = r.span*factor + elapsed.Seconds()
	r.last = now
}

// perSecond returns the rate; it is too high until some time has passed.
func (r *decayingRate) perSecond() float64 {
	if r.span == 0 {
		return 0
	}
	return r.count / r.span
}

func (u *usage) recordArrival(c steering.Class, now time.Time) {
	if c == steering.ClassInteractive {
		u.interactiveRate.add(1, now)
		return
	}
	u.interactiveRate.decay(now)
}

func (u *usage) recordStart(c steering.Class) { u.inFlight[c]++ }

func (u *usage) recordEnd(c steering.Class, held time.Duration, now time.Time) {
	u.inFlight[c]--
	u.hold[c].add(held.Seconds())
	if c == steering.ClassInteractive {
		u.interactiveHeld.add(held.Seconds(), now)
		u.interactiveEnds.add(1, now)
	}
}

// interactiveLoad estimates the slots that interactive requests occupy on average.
func (u *usage) interactiveLoad() float64 {
	if u.interactiveEnds.count == 0 {
		return 0
	}
	return u.interactiveRate.perSecond() * u.interactiveHeld.count / u.interactiveEnds.count
}

// recordFull records that the placer had no free capacity: the capacity is the number of requests in flight.
func (u *usage) recordFull(now time.Time) {
	if u.capacityReported {
		return
	}
	u.capacity = max(1, u.total())
	u.capacityChangedAt = now
}

// growCapacity raises the assumed capacity by one after capacityGrowInterval in which the placer was never full.
func (u *usage) growCapacity(now time.Time) {
	if u.capacityReported || u.capacity == 0 || now.Sub(u.capacityChangedAt) < capacityGrowInterval {
		return
	}
	u.capacity++
	u.capacityChangedAt = now
}

// setReportedCapacity sets the capacity that the placer reports.
func (u *usage) setReportedCapacity(capacity int) {
	u.capacity = capacity
	u.capacityReported = true
}

func (u *usage) total() int {
	n := 0
	for _, x := range u.inFlight {
		n += x
	}
	return n
}

// admitsLong reports whether one more request of class c leaves the reserve for interactive requests free.
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

// reserveDue reports whether the last update of the reserve is at least reserveInterval ago.
func (u *usage) reserveDue(now time.Time) bool { return now.Sub(u.reserveUpdatedAt) >= reserveInterval }

// updateReserve calculates the reserve from the recent interactive load.
func (u *usage) updateReserve(now time.Time) {
	u.reserveUpdatedAt = now
	u.reserve = reserveFor(u.interactiveLoad(), u.capacity)
	if u.interactiveRate.span < demandWarmUp.Seconds() {
		u.reserve = max(u.reserve, u.capacity*3/4)
	}
}

// reserveFor returns the slots reserved for an interactive load of load erlangs.
func reserveFor(load float64, capacity int) int {
	minimum := serversFor(load, capacity, maxLongWaitShare)
	good := serversFor(load, capacity, goodLongWaitShare)
	spare := int(load + reserveSpareShare*(float64(capacity)-load))
	return max(minimum, min(good, spare))
}

// serversFor returns the smallest number of servers, up to limit, at which no more than share of the requests of an
// M/M/c queue wait longer than the mean service time. load is in erlangs.
func serversFor(load float64, limit int, share float64) int {
	if load == 0 {
		return 0
	}
	blocked := 1.0 // Erlang B with the servers so far
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

// expectedWait estimates the wait of a request behind ahead other requests of its class.
func (u *usage) expectedWait(c steering.Class, ahead int) time.Duration {
	servers := max(1, u.inFlight[c])
	return seconds(float64(ahead+1) * u.hold[c].expected().mean / float64(servers))
}

// expectedHold conservatively estimates the time from placement to release.
func (u *usage) expectedHold(c steering.Class) time.Duration {
	hold := u.hold[c].expected()
	return seconds(hold.mean + holdMarginDevs*hold.dev)
}

// shortestHold estimates the minimum time from placement to release.
func (u *usage) shortestHold(c steering.Class) time.Duration {
	return seconds(u.hold[c].expected().mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
