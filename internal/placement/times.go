package placement

import (
	"math"
	"time"
)

const (
	minServiceTime = 0.001 // seconds
	timeWeight     = 0.05  // of a new sample of a route's service time
	bytesWeight    = 0.05
	// Before any sample, a request is taken to need its target latency, and a third of that where the
	// server has the object at hand.
	warmGuess      = 0.33
	homeWarmGuess  = 0.5
	homeWarmWeight = 0.1 // of a new sample
	sampleMax      = 2   // bounds a sample beside the mean
)

// serviceTime is an estimate of a service time at a server of usual speed.
type serviceTime struct {
	mean    float64 // seconds; a guess while there are no samples
	samples int
	sampled time.Time // when the last sample came
}

// learn takes a sample in seconds. A single long request says little about the others, so a sample counts for
// sampleMax times the mean at most.
func (s *serviceTime) learn(seconds float64, now time.Time) {
	s.mean += (min(seconds, sampleMax*s.mean) - s.mean) * timeWeight
	s.samples++
	s.sampled = now
}

// evidence returns what the estimate rests on at now.
func (s *serviceTime) evidence(now time.Time) Evidence {
	if s.samples == 0 {
		return Evidence{Age: -1}
	}
	return Evidence{Samples: s.samples, Age: now.Sub(s.sampled)}
}

// Evidence says what an estimate of a service time rests on.
type Evidence struct {
	Samples int           // 0: it is a guess
	Age     time.Duration // of the last sample; negative if there is none
}

// RouteTimes are the measured service times and sizes of the requests of one route, in seconds at a server of
// usual speed, and in bytes both ways.
type RouteTimes struct {
	warm, cold serviceTime
	homeWarm   float64 // share of the objects that this entry VM did not send home, but others did
	bytes      float64
	answered   bool // a request of the route was answered
}

// newRouteTimes returns times for a route whose answers are wanted within target.
func newRouteTimes(target time.Duration) *RouteTimes {
	seconds := max(target.Seconds(), minServiceTime)
	return &RouteTimes{
		warm: serviceTime{mean: warmGuess * seconds}, cold: serviceTime{mean: seconds}, homeWarm: homeWarmGuess,
	}
}

// at returns the estimate for a server that has the object at hand, or has not.
func (t *RouteTimes) at(warm bool) *serviceTime {
	if warm {
		return &t.warm
	}
	return &t.cold
}

// home returns the expected service time at an object's home to which this entry VM did not send it yet: the other
// entry VMs of the region send it there too.
func (t *RouteTimes) home() float64 { return t.homeWarm*t.warm.mean + (1-t.homeWarm)*t.cold.mean }

// learnHome takes the service time of an object's first request at its home. It shows whether the object was at
// hand there.
func (t *RouteTimes) learnHome(seconds float64, now time.Time) {
	warm := seconds < math.Sqrt(t.warm.mean*t.cold.mean)
	sample := 0.0
	if warm {
		sample = 1
	}
	t.homeWarm += (sample - t.homeWarm) * homeWarmWeight
	t.at(warm).learn(seconds, now)
}

func (t *RouteTimes) learnBytes(n int) { t.bytes += (float64(n) - t.bytes) * bytesWeight }
