package request

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	holdWeight      = 0.05 // of one measurement in the averages of hold times
	demandHalfLife  = 2 * time.Second
	reserveStdDevs  = 1.5 // of a Poisson demand, kept free for interactive work
	holdMarginDevs  = 2   // mean deviations added to the expected hold time
	minLongInFlight = 1   // requests of longer classes that are always admitted
)

// usage follows what the requests of a service occupy. Its owner locks it.
type usage struct {
	inFlight [steering.ClassCount]int
	hold     [steering.ClassCount]average // seconds from placement to release
	rate     arrivalRate                  // of interactive requests
	capacity int                          // in flight when room was last missing; 0: never
}

// average is an exponentially weighted mean with its mean deviation.
type average struct {
	mean, dev float64
	known     bool
}

func (a *average) add(x float64) {
	if !a.known {
		a.mean, a.dev, a.known = x, 0, true
		return
	}
	a.dev += holdWeight * (math.Abs(x-a.mean) - a.dev)
	a.mean += holdWeight * (x - a.mean)
}

// arrivalRate is an exponentially decaying rate.
type arrivalRate struct {
	perSecond float64
	last      time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.decay(now)
	r.perSecond += math.Ln2 / demandHalfLife.Seconds()
}

func (r *arrivalRate) decay(now time.Time) {
	if !r.last.IsZero() {
		r.perSecond *= math.Exp2(-now.Sub(r.last).Seconds() / demandHalfLife.Seconds())
	}
	r.last = now
}

func (u *usage) arrive(c steering.Class, now time.Time) {
	if c == steering.ClassInteractive {
		u.rate.add(now)
		return
	}
	u.rate.decay(now)
}

func (u *usage) start(c steering.Class) {
	u.inFlight[c]++
	u.capacity = max(u.capacity, u.total())
}

func (u *usage) end(c steering.Class, held time.Duration) {
	u.inFlight[c]--
	u.hold[c].add(held.Seconds())
}

// full notes that the placer had no room.
func (u *usage) full() { u.capacity = max(1, u.total()) }

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
	need := u.rate.perSecond * u.hold[steering.ClassInteractive].mean
	reserve := int(math.Ceil(need + reserveStdDevs*math.Sqrt(need)))
	return long < u.capacity-reserve
}

// expectedWait estimates the wait of a request with ahead others of its class before it.
func (u *usage) expectedWait(c steering.Class, ahead int) time.Duration {
	servers := max(1, u.inFlight[c])
	return seconds(float64(ahead+1) * u.hold[c].mean / float64(servers))
}

// expectedHold estimates the time from placement to release, on the safe side.
func (u *usage) expectedHold(c steering.Class) time.Duration {
	return seconds(u.hold[c].mean + holdMarginDevs*u.hold[c].dev)
}

// shortestHold estimates the time that a request needs at least.
func (u *usage) shortestHold(c steering.Class) time.Duration {
	return seconds(u.hold[c].mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
