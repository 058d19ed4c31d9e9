package placement

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Weights of the cost, in seconds unless noted otherwise.
const (
	rttZone   = 0.001 // used until the round trip is measured
	rttRegion = 0.003
	rttRemote = 0.09
	// Links are narrow between regions and shared within them: the cost of a byte to other traffic there.
	byteCostBetweenZones   = 1.2e-6
	byteCostBetweenRegions = 2.6e-6
	// Utilization of a region's slots below which it is sent requests that the neighboring regions have no capacity for.
	freeCapacityThreshold = 0.4
	// Utilization of a region's slots from which a wait is a lack of room and not just the queue of one server.
	fullThreshold = 1.0
	// A cold run holds a slot for longer, and its object displaces another one. The time that a warm server saves counts
	// this many times: on idle servers, and in addition where all slots are in use.
	duplicateWeightIdle     = 1.0
	duplicateWeightBusy     = 6.0
	remoteDuplicateFraction = 0.25 // fraction of that cost at the object's preferred server in another region
	// A late response is worth a fraction of one on time, so lateness counts in addition to the time itself.
	lateWeight = 0.5
	// A failed request costs its caller several times the target latency: the time spent and a retry.
	errorFactor = 3.0
	coldFactor  = 2.0 // of the service time at a server that has just started: by the protocol, "slow for some seconds"
)

// estimate is what a request can expect of one server.
type estimate struct {
	server           *Server
	warm             bool
	preferred        bool    // the server is the object's home
	wait             float64 // seconds
	service          float64 // seconds, at a server of usual speed
	slowness         float64
	rtt              float64
	times            *serviceTime // that service rests on
	cost             float64
	supportedService float64 // seconds of service that recent evidence supports
	wouldBeRefused   bool    // the response would come too late for the request to be sent
	hasFreeCapacity  bool    // its region has free capacity for cold work
	isRegionFull     bool    // hardly a slot of its region is free
}

// expectedLatency returns the expected seconds until the response.
func (e *estimate) expectedLatency() float64 { return e.wait + e.service*e.slowness + e.rtt }

// supportedLatency returns the seconds until the response as far as recent evidence supports them.
func (e *estimate) supportedLatency() float64 { return e.wait + e.supportedService*e.slowness + e.rtt }

// latencyForTargetCheck returns the seconds until the response that are compared with the time left until the request
// is late. The wait for a slot decides there, and that estimate decays by itself, so old measurements count too.
func (e *estimate) latencyForTargetCheck() float64 {
	if e.times.samples == 0 {
		return e.supportedLatency()
	}
	return e.assumedLatency()
}

// assumedServiceTime returns the seconds that the request is assumed to run at a server of usual speed.
func (e *estimate) assumedServiceTime() float64 { return e.times.assumedSeconds(e.service) }

// assumedLatency returns the assumed seconds until the response, whether or not recent evidence supports them.
func (e *estimate) assumedLatency() float64 {
	return e.wait + e.assumedServiceTime()*e.slowness + e.rtt
}

// isTrial reports whether the request is sent although no response in time is expected.
func (e *estimate) isTrial(q *Query) bool { return e.assumedLatency() > q.TimeLeft.Seconds() }

// selectServer returns the estimate of the best server by isBetterThan, and how many servers were compared. If the
// request moves its object to its preferred server, no other server is compared.
func (c *Chooser) selectServer(q *Query, times *RouteTimes, now time.Time) (estimate, int) {
	var best estimate
	candidates := 0
	preferred := c.preferredServers(q)
	home := preferred[c.homeRegion(q, now)]
	if home == nil {
		home = preferred[c.opts.Region]
	}
	isAway := home != nil && home.member.Region != c.opts.Region
	permission := c.shiftPermission(q, now)
	if home != nil && permission.admits(home.member.Region == c.opts.Region) && c.shouldMigrate(home, q, now) {
		if e := c.estimate(home, home, q, times, now); e.refusalBasis(q) == BasisNone {
			return e, 1
		}
	}
	c.updateAssumedLoad(q.Service)
	by := &comparison{home: home, preferred: preferred, utilization: c.utilizationByRegion(q.Service, now), isAway: isAway}
	for _, s := range c.services[q.Service] {
		if !c.isEligible(s, q, now) || !permission.admits(s.member.Region == c.opts.Region) {
			continue
		}
		candidates++
		e := c.compareAt(s, by, q, times, now)
		if best.server == nil || e.isBetterThan(&best) {
			best = e
		}
	}
	return best, candidates
}

// comparison is what the servers of a service are compared by for one request.
type comparison struct {
	home        *Server // of the request's object; nil: none
	preferred   map[steering.RegionName]*Server
	utilization map[steering.RegionName]float64
	isAway      bool // home is in another region
}

// compareAt returns the estimate of s with its whole cost.
func (c *Chooser) compareAt(s *Server, by *comparison, q *Query, times *RouteTimes, now time.Time) estimate {
	e := c.estimate(s, by.home, q, times, now)
	utilization := by.utilization[s.member.Region]
	if q.Object != 0 && !e.warm {
		e.cost += c.coldCost(s, by.home, by.preferred, times, utilization)
	}
	if by.isAway && s.member.Region == c.opts.Region {
		e.cost += awayCost
	}
	e.wouldBeRefused = e.refusalBasis(q) != BasisNone
	e.hasFreeCapacity = utilization < freeCapacityThreshold
	e.isRegionFull = utilization >= fullThreshold
	return e
}

// isBetterThan reports whether e is the better choice: the one with the lower cost, but a server that can accept the
// request in a region with free capacity before a server that would refuse it.
func (e *estimate) isBetterThan(o *estimate) bool {
	switch {
	case e.wouldBeRefused && !o.wouldBeRefused && o.hasFreeCapacity:
		return false
	case o.wouldBeRefused && !e.wouldBeRefused && e.hasFreeCapacity:
		return true
	}
	return e.cost < o.cost
}

// shiftPermission returns where the bound on change of region lets the request go. The bound does not apply if only
// this region, or only the other regions, have a server for the request.
func (c *Chooser) shiftPermission(q *Query, now time.Time) shiftPermission {
	permission := c.shift.permission(now)
	if permission == shiftAnywhere {
		return permission
	}
	for _, s := range c.services[q.Service] {
		if !permission.admits(s.member.Region == c.opts.Region) || !c.isEligible(s, q, now) {
			continue
		}
		if permission != shiftRemoteIfWarm || q.Object == 0 || s.warm.contains(q.Object) {
			return permission
		}
	}
	return shiftAnywhere
}

// admits reports whether a server of this region, or of another one, may get the request.
func (r shiftPermission) admits(local bool) bool {
	return r == shiftAnywhere || (r == shiftLocalOnly) == local
}

// migrateShare is the share of an object's requests that move it to its preferred server, if that server has free
// capacity but not the object: a server that joined takes over its objects within seconds, but not all at once.
const migrateShare = 0.1

// shouldMigrate reports whether the request moves its object to its preferred server. The first request for a server
// that has handled no object always does.
func (c *Chooser) shouldMigrate(preferred *Server, q *Query, now time.Time) bool {
	if preferred == nil || preferred.warm.contains(q.Object) || preferred.isCold(now) || !c.isEligible(preferred, q, now) {
		return false
	}
	return (q.Random < migrateShare || preferred.warm.isEmpty()) && preferred.load(now)+1 <= float64(preferred.member.Slots)
}

// coldCost returns the cost to other requests if a server that does not have the object gets the request: the object
// displaces another one there. It is 0 at the object's home.
func (c *Chooser) coldCost(
	s, home *Server, preferred map[steering.RegionName]*Server, times *RouteTimes, utilization float64,
) float64 {
	if s == home {
		return 0
	}
	cost := (duplicateWeightIdle + duplicateWeightBusy*utilization*utilization) * (times.cold.mean - times.warm.mean)
	if s == preferred[s.member.Region] {
		cost *= remoteDuplicateFraction
	}
	return cost
}

// updateAssumedLoad sets the load of other entry VMs that is assumed at this region's servers of a service where no
// report shows it: each of those VMs is assumed to have as much as this VM on average. Every VM of the region
// distributes objects in the same way.
func (c *Chooser) updateAssumedLoad(service steering.ServiceName) {
	inFlight, servers := 0, 0
	for _, s := range c.services[service] {
		if s.member.Region == c.opts.Region {
			inFlight += len(s.running)
			servers++
		}
	}
	for _, s := range c.services[service] {
		s.assumedLoad = 0
		if s.member.Region == c.opts.Region {
			s.assumedLoad = float64(inFlight) / float64(servers) * float64(max(0, c.peers.Serving-1))
		}
	}
}

// utilizationByRegion returns the share of a service's slots that is in use in each region, at most 1.
func (c *Chooser) utilizationByRegion(service steering.ServiceName, now time.Time) map[steering.RegionName]float64 {
	load := make(map[steering.RegionName]float64)
	slots := make(map[steering.RegionName]float64)
	for _, s := range c.services[service] {
		if s.isLeaving() || c.evacuated[s.member.Zone] {
			continue
		}
		load[s.member.Region] += s.load(now)
		slots[s.member.Region] += float64(s.member.Slots)
	}
	for region := range load {
		load[region] = min(load[region]/slots[region], 1)
	}
	return load
}

// isEligible reports whether the request may be sent to s at all.
func (c *Chooser) isEligible(s *Server, q *Query, now time.Time) bool {
	if !s.notice.admits(now) || !c.isListedFor(s, q) || !s.health.isUsable(now) {
		return false
	}
	return c.coldRateAllows(s, now)
}

// isListedFor reports whether s may run the request by the registry and the configuration.
func (c *Chooser) isListedFor(s *Server, q *Query) bool {
	m := &s.member
	return !m.Draining && !c.evacuated[m.Zone] && q.allows(m.Region) && !q.wasTried(m.ID)
}

// preferredServers returns the preferred server of q's object in each region: the one with the highest rendezvous
// score. The callers of a region share their objects, so its zones share the preferred server.
func (c *Chooser) preferredServers(q *Query) map[steering.RegionName]*Server {
	if q.Object == 0 {
		return nil
	}
	preferred := make(map[steering.RegionName]*Server)
	highest := make(map[steering.RegionName]uint64)
	for _, s := range c.services[q.Service] {
		m := &s.member
		if s.isLeaving() || c.evacuated[m.Zone] || !q.allows(m.Region) {
			continue
		}
		if r := rendezvousScore(q.Object, m.ID); preferred[m.Region] == nil || r > highest[m.Region] {
			preferred[m.Region], highest[m.Region] = s, r
		}
	}
	return preferred
}

// Distances from this entry VM.
const (
	distanceZone = iota
	distanceRegion
	distanceRemote
)

func (c *Chooser) distance(zone steering.ZoneName, region steering.RegionName) int {
	switch {
	case zone == c.opts.Zone:
		return distanceZone
	case region == c.opts.Region:
		return distanceRegion
	default:
		return distanceRemote
	}
}

func (c *Chooser) estimate(s, home *Server, q *Query, times *RouteTimes, now time.Time) estimate {
	e := estimate{server: s, warm: q.Object != 0 && s.warm.contains(q.Object), slowness: s.slownessAt(now)}
	e.times, e.preferred = times.serviceTime(e.warm), s == home
	e.service = e.times.mean
	if e.preferred && !e.warm {
		e.service = times.preferredServiceTime()
	}
	e.supportedService = e.times.supportedSeconds(e.service, now)
	if s.isCold(now) {
		e.slowness *= coldFactor
	}
	if s.slotHoldTime == 0 {
		s.slotHoldTime = e.service
	}
	slots := float64(s.member.Slots)
	e.wait = max(0, s.load(now)+1-slots) / slots * s.slotHoldTime * e.slowness
	distance := c.distance(s.member.Zone, s.member.Region)
	e.rtt = s.roundTrip([...]float64{rttZone, rttRegion, rttRemote}[distance], now)
	bytes := max(times.bytes, float64(q.Bytes))
	e.cost = e.expectedLatency() + bytes*[...]float64{0, byteCostBetweenZones, byteCostBetweenRegions}[distance]
	e.cost += lateWeight * max(0, e.expectedLatency()-q.TargetLeft.Seconds())
	e.cost += errorFactor * s.health.errorRate(now) * q.Route.LatencyObjective().Seconds()
	return e
}
