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
	// Before any sample, a request is assumed to need its target latency, and a third of that where the server is warm
	// for the object.
	warmGuess           = 0.33
	preferredWarmGuess  = 0.5
	preferredWarmWeight = 0.1         // of a new sample
	maxSampleRatio      = 2           // limit of a sample relative to the mean
	defaultObjective    = time.Second // where a route has neither a target latency nor a timeout
)

// For how long evidence may refuse requests. Without newer evidence a request is sent as a trial, as to a server that
// was ejected; as there, the time doubles with each failed trial in a row.
const (
	minEvidenceLifetime = 2 * time.Second // as factorHalfLife, in which a server's factor moves halfway back to 1
	maxEvidenceLifetime = 16 * time.Second
)

// Weight of the earlier estimate beside a new sample, as a number of samples.
const (
	priorSamples      = 5 // of the guess: single samples differ by as much as fast and slow servers do
	trialPriorSamples = 3 // of all earlier samples, beside the sample of a request that they predicted to be too late

	// From this many samples on an estimate shows which servers are slower than others; before, mostly how good the guess
	// was.
	minSamplesToCompare = 2 * priorSamples
)

// serviceTime is an estimate of a service time at a server of usual speed. Only measurements may refuse a request, and
// only while they are recent: refused requests measure nothing.
type serviceTime struct {
	mean             float64 // seconds, by which servers are chosen: the guess counts beside the samples
	measured         float64 // seconds, by which requests are refused: of the samples alone
	samples          int
	sampledAt        time.Time     // time of the last sample
	lowerBound       float64       // seconds of the longest run that did not end in its time, while there are no samples
	upperBound       float64       // seconds of the shortest request that also waited, while there are no samples; 0: none
	evidenceAt       time.Time     // time of the last evidence: a response, or a run that did not end in its time
	evidenceLifetime time.Duration // for how long the last evidence may refuse requests
	trials           int           // requests in flight that the estimate predicts to be too late
}

// addSample adds a sample in seconds. A single long request says little about the others, so a sample counts for at
// most maxSampleRatio times the mean.
func (s *serviceTime) addSample(seconds float64, now time.Time) {
	s.updateMeans(seconds, priorSamples+s.samples, now)
}

// updateMeans adds a sample to the means. The earlier estimate has the weight of others samples.
func (s *serviceTime) updateMeans(seconds float64, others int, now time.Time) {
	s.mean += (min(seconds, maxSampleRatio*s.mean) - s.mean) * max(timeWeight, 1/float64(others+1))
	sample := min(seconds, maxSampleRatio*max(s.mean, s.measured))
	s.measured += (sample - s.measured) * max(timeWeight, 1/float64(min(others, s.samples)+1))
	s.samples++
	s.lowerBound, s.upperBound = 0, 0
	s.sampledAt, s.evidenceAt, s.evidenceLifetime = now, now, minEvidenceLifetime
}

// addTrialSample adds the sample of a request that the estimate predicted to be too late. The sample may include a wait
// if it is shorter than the estimate nevertheless.
func (s *serviceTime) addTrialSample(seconds float64, now time.Time) {
	s.updateMeans(seconds, trialPriorSamples, now)
}

// addQueuedSample adds the time of a request that also waited, which is an upper bound of its service time. It confirms
// the estimate unless it is much shorter than the estimate nevertheless.
func (s *serviceTime) addQueuedSample(seconds float64, now time.Time) {
	switch {
	case s.samples == 0 && (s.upperBound == 0 || seconds < s.upperBound):
		s.upperBound = seconds
	case s.samples > 0 && maxSampleRatio*seconds < s.measured:
		return
	}
	s.evidenceAt, s.evidenceLifetime = now, minEvidenceLifetime
}

// addUnfinishedRun adds the time of a run that did not end within that time.
func (s *serviceTime) addUnfinishedRun(seconds float64, now time.Time) {
	if s.samples == 0 {
		s.lowerBound = max(s.lowerBound, seconds)
	}
	s.evidenceAt, s.evidenceLifetime = now, min(max(2*s.evidenceLifetime, minEvidenceLifetime), maxEvidenceLifetime)
}

// supportedSeconds returns how many of the expected seconds recent evidence supports.
func (s *serviceTime) supportedSeconds(expected float64, now time.Time) float64 {
	switch {
	case s.evidenceAt.IsZero() || now.Sub(s.evidenceAt) > s.evidenceLifetime:
		return 0
	case s.samples == 0:
		return max(s.lowerBound, min(s.upperBound, expected))
	default:
		return s.assumedSeconds(expected)
	}
}

// assumedSeconds returns the seconds that a request is assumed to run, from those that are expected by the mean: scaled
// by the ratio of the samples alone to that mean. Without samples the bounds apply.
func (s *serviceTime) assumedSeconds(expected float64) float64 {
	switch {
	case s.samples > 0:
		return expected * s.measured / s.mean
	case s.upperBound > 0:
		return max(s.lowerBound, min(expected, s.upperBound))
	default:
		return max(s.lowerBound, expected)
	}
}

// admitsTrial reports whether a request may be sent that the estimate predicts to be too late while no recent evidence
// does. One such request is allowed at a time, but any number if the estimate is a mere guess and the request takes a
// free slot, or if the estimate rests only on responses that also waited.
func (s *serviceTime) admitsTrial(freeSlot bool) bool {
	return s.trials == 0 || s.samples == 0 && (s.upperBound > 0 || freeSlot && s.evidenceAt.IsZero())
}

// hasSamplesToCompare reports whether the estimate rests on enough samples to compare servers.
func (s *serviceTime) hasSamplesToCompare() bool { return s.samples >= minSamplesToCompare }

// evidence returns what the estimate rests on at now.
func (s *serviceTime) evidence(now time.Time) Evidence {
	if s.samples == 0 {
		return Evidence{Age: -1}
	}
	return Evidence{Samples: s.samples, Age: now.Sub(s.sampledAt)}
}

// Evidence describes what an estimate of a service time rests on.
type Evidence struct {
	Samples int           // 0: the estimate is a guess
	Age     time.Duration // of the last sample; negative if there is none
}

// RouteTimes are the measured service times and sizes of the requests of one route at one service, in seconds at a
// server of usual speed, and in bytes in both directions.
type RouteTimes struct {
	warm, cold         serviceTime
	preferredWarmShare float64 // of the objects new to this VM, the share that others sent to the preferred server
	bytes              float64
	demand             demand
	served             bool // a request of the route got a response
}

// newRouteTimes returns times for a route whose responses are wanted within objective.
func newRouteTimes(objective time.Duration) *RouteTimes {
	if objective <= 0 {
		objective = defaultObjective
	}
	seconds := max(objective.Seconds(), minServiceTime)
	return &RouteTimes{
		warm: serviceTime{mean: warmGuess * seconds}, cold: serviceTime{mean: seconds}, preferredWarmShare: preferredWarmGuess,
	}
}

// withoutEvidence returns times with the same expectations that rest on no evidence.
func (t *RouteTimes) withoutEvidence() *RouteTimes {
	return &RouteTimes{
		warm: serviceTime{mean: t.warm.mean}, cold: serviceTime{mean: t.cold.mean}, preferredWarmShare: t.preferredWarmShare, bytes: t.bytes,
	}
}

// serviceTime returns the estimate for a server that is warm for the object, or is not.
func (t *RouteTimes) serviceTime(warm bool) *serviceTime {
	if warm {
		return &t.warm
	}
	return &t.cold
}

// preferredServiceTime returns the expected service time at an object's preferred server to which this entry VM did not
// send it yet: the other entry VMs of the region send it there too.
func (t *RouteTimes) preferredServiceTime() float64 {
	return t.preferredWarmShare*t.warm.mean + (1-t.preferredWarmShare)*t.cold.mean
}

// addPreferredSample adds the service time of an object's first request at its preferred server. It shows whether the
// server was warm for the object.
func (t *RouteTimes) addPreferredSample(seconds float64, now time.Time) {
	warm := seconds < math.Sqrt(t.warm.mean*t.cold.mean)
	sample := 0.0
	if warm {
		sample = 1
	}
	t.preferredWarmShare += (sample - t.preferredWarmShare) * preferredWarmWeight
	t.serviceTime(warm).addSample(seconds, now)
}

func (t *RouteTimes) addBytesSample(n int) { t.bytes += (float64(n) - t.bytes) * bytesWeight }

// routeTimes returns the times of a route at a service.
func (c *Chooser) routeTimes(r *routing.Route, service steering.ServiceName) *RouteTimes {
	services := c.times[r.Name]
	if services == nil {
		services = make(map[steering.ServiceName]*RouteTimes)
		c.times[r.Name] = services
	}
	t := services[service]
	if t == nil {
		t = initialTimes(r, services)
		services[service] = t
	}
	return t
}

// initialTimes returns the times of a route at a service that it was not sent to before. The times at another service
// are a better guess than the objective.
func initialTimes(r *routing.Route, services map[steering.ServiceName]*RouteTimes) *RouteTimes {
	for _, other := range services {
		return other.withoutEvidence()
	}
	return newRouteTimes(r.LatencyObjective())
}
