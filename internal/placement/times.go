package placement

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	minServiceTime = 0.001 // seconds
	timeWeight     = 0.05  // of a new sample of a route's service time
	bytesWeight    = 0.05
	// Before any sample, a request is taken to need its target latency, and a third of that where the
	// server has the object at hand.
	warmGuess      = 0.33
	homeWarmGuess  = 0.5
	homeWarmWeight = 0.1         // of a new sample
	sampleMax      = 2           // bounds a sample beside the mean
	objectiveGuess = time.Second // where a route names neither a target latency nor a timeout
)

// For how long evidence may refuse requests. Without newer evidence a request is sent on trial, as to a server that
// was ejected; like there, the time doubles with each trial in a row that failed.
const (
	firstTrust   = 2 * time.Second // in which a server's factor goes half of the way back to 1
	longestTrust = 16 * time.Second
)

// For how many samples other beliefs count beside a new one.
const (
	guessSamples = 5 // the guess: single samples differ by as much as fast and slow servers do
	trialSamples = 3 // all earlier ones, beside the sample of a request that they spoke against

	// From so many samples on an estimate tells which servers are slower than others; before, mostly how good the guess was.
	settledSamples = 2 * guessSamples
)

// serviceTime is an estimate of a service time at a server of usual speed. Only what was measured may refuse a
// request, and only while it is recent: refused requests measure nothing.
type serviceTime struct {
	mean     float64 // seconds, by which servers are chosen: the guess counts beside the samples
	measured float64 // seconds, by which requests are refused: of the samples alone
	samples  int
	sampled  time.Time     // when the last sample came
	floor    float64       // seconds of the longest run that did not end in its time, while there are no samples
	ceiling  float64       // seconds of the shortest request that also waited, while there are no samples; 0: none
	shown    time.Time     // when the last evidence came: an answer, or a run that did not end in its time
	trust    time.Duration // of the last evidence
	trials   int           // requests in flight that the estimate speaks against
}

// learn takes a sample in seconds. A single long request says little about the others, so a sample counts for
// sampleMax times the mean at most.
func (s *serviceTime) learn(seconds float64, now time.Time) {
	s.take(seconds, guessSamples+s.samples, now)
}

// take moves the mean by a sample beside which earlier beliefs count for others samples.
func (s *serviceTime) take(seconds float64, others int, now time.Time) {
	s.mean += (min(seconds, sampleMax*s.mean) - s.mean) * max(timeWeight, 1/float64(others+1))
	sample := min(seconds, sampleMax*max(s.mean, s.measured))
	s.measured += (sample - s.measured) * max(timeWeight, 1/float64(min(others, s.samples)+1))
	s.samples++
	s.floor, s.ceiling = 0, 0
	s.sampled, s.shown, s.trust = now, now, firstTrust
}

// learnTrial takes a sample of a request that the estimate spoke against, one that may include a wait if it is shorter than
// the estimate even so.
func (s *serviceTime) learnTrial(seconds float64, now time.Time) {
	s.take(seconds, trialSamples, now)
}

// learnWaited takes the time of a request that also waited, which its service time is at most. It confirms the estimate
// unless it was much shorter even so.
func (s *serviceTime) learnWaited(seconds float64, now time.Time) {
	switch {
	case s.samples == 0 && (s.ceiling == 0 || seconds < s.ceiling):
		s.ceiling = seconds
	case s.samples > 0 && sampleMax*seconds < s.measured:
		return
	}
	s.shown, s.trust = now, firstTrust
}

// learnUnfinished takes the time of a run that did not end in it.
func (s *serviceTime) learnUnfinished(seconds float64, now time.Time) {
	if s.samples == 0 {
		s.floor = max(s.floor, seconds)
	}
	s.shown, s.trust = now, min(max(2*s.trust, firstTrust), longestTrust)
}

// supported returns how many of the expected seconds recent evidence supports.
func (s *serviceTime) supported(expected float64, now time.Time) float64 {
	switch {
	case s.shown.IsZero() || now.Sub(s.shown) > s.trust:
		return 0
	case s.samples == 0:
		return max(s.floor, min(s.ceiling, expected))
	default:
		return s.believed(expected)
	}
}

// believed returns the seconds that a request is taken to run, from those that are expected by the mean: as much more or less
// as the samples are beside that mean. Where there are none, the bounds hold.
func (s *serviceTime) believed(expected float64) float64 {
	switch {
	case s.samples > 0:
		return expected * s.measured / s.mean
	case s.ceiling > 0:
		return max(s.floor, min(expected, s.ceiling))
	default:
		return max(s.floor, expected)
	}
}

// admitsTrial reports whether a request may be sent that the estimate speaks against but no recent evidence does: one
// at a time, but any on a mere guess that takes a free slot, or that answers which also waited speak against.
func (s *serviceTime) admitsTrial(freeSlot bool) bool {
	return s.trials == 0 || s.samples == 0 && (s.ceiling > 0 || freeSlot && s.shown.IsZero())
}

// settled reports whether the estimate rests on samples enough to compare servers by.
func (s *serviceTime) settled() bool { return s.samples >= settledSamples }

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

// newRouteTimes returns times for a route whose answers are wanted within objective.
func newRouteTimes(objective time.Duration) *RouteTimes {
	if objective <= 0 {
		objective = objectiveGuess
	}
	seconds := max(objective.Seconds(), minServiceTime)
	return &RouteTimes{
		warm: serviceTime{mean: warmGuess * seconds}, cold: serviceTime{mean: seconds}, homeWarm: homeWarmGuess,
	}
}

// guess returns times that expect the same and rest on nothing.
func (t *RouteTimes) guess() *RouteTimes {
	return &RouteTimes{
		warm: serviceTime{mean: t.warm.mean}, cold: serviceTime{mean: t.cold.mean}, homeWarm: t.homeWarm, bytes: t.bytes,
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

// routeTimes returns the times of a route at a service.
func (c *Chooser) routeTimes(r *routing.Route, service steering.ServiceName) *RouteTimes {
	services := c.times[r.Name]
	if services == nil {
		services = make(map[steering.ServiceName]*RouteTimes)
		c.times[r.Name] = services
	}
	t := services[service]
	if t == nil {
		t = firstTimes(r, services)
		services[service] = t
	}
	return t
}

// firstTimes returns the times of a route at a service that it was not sent to before. Those at another service are
// the better guess.
func firstTimes(r *routing.Route, services map[steering.ServiceName]*RouteTimes) *RouteTimes {
	for _, other := range services {
		return other.guess()
	}
	return newRouteTimes(r.LatencyObjective())
}
