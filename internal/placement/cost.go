package placement

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Weights of the cost, in seconds unless said otherwise.
const (
	rttZone   = 0.001 // guesses until the round trip was measured
	rttRegion = 0.003
	rttRemote = 0.09
	// The letter's links are narrow between regions and shared within them: what a byte costs others there.
	byteBetweenZones   = 1.2e-6
	byteBetweenRegions = 2.6e-6
	// Part of the slots that a region may have taken and still be sent what its neighbours have no room for.
	roomyPressure = 0.4
	// A cold run takes a slot for longer, and its object the place of another one: how often the time that warmth
	// saves counts, on idle servers and in addition where all slots are taken.
	duplicateIdle = 1.0
	duplicateBusy = 6.0
	awayPart      = 0.25 // of that at the object's home in another region
	// A late answer is worth a fraction; lateness counts beyond the time itself.
	lateWeight = 0.5
	// A failed request costs its caller several times the target latency: the time and another try.
	errorFactor = 3.0
	coldFactor  = 2.0 // service time at a server that has just started, by the protocol's "slow for some seconds"
)

// estimate is what a request may expect of one server.
type estimate struct {
	server  *Server
	warm    bool
	home    bool    // the server is the object's home in this region
	wait    float64 // seconds
	service float64 // seconds, at a server of usual speed
	slow    float64
	rtt     float64
	times   *serviceTime // that service rests on
	cost    float64
	proven  float64 // seconds of service that recent evidence supports
	refused bool    // it would answer too late to be sent the request
	roomy   bool    // its region has room for cold work
}

// total returns the expected seconds until the answer.
func (e *estimate) total() float64 { return e.wait + e.service*e.slow + e.rtt }

// supported returns the seconds until the answer as far as recent evidence supports them.
func (e *estimate) supported() float64 { return e.wait + e.proven*e.slow + e.rtt }

// late returns the seconds until the answer by which a request that would be late is judged. The wait for a slot decides
// there, which fades by itself, so that old measurements count too.
func (e *estimate) late() float64 {
	if e.times.samples == 0 {
		return e.supported()
	}
	return e.believed()
}

// run returns the seconds that the request is taken to run at a server of usual speed.
func (e *estimate) run() float64 { return e.times.believed(e.service) }

// believed returns the seconds until the answer, whatever supports them.
func (e *estimate) believed() float64 { return e.wait + e.run()*e.slow + e.rtt }

// trial reports whether the request is sent although it is not expected to be answered in time.
func (e *estimate) trial(q *Query) bool { return e.believed() > q.TimeLeft.Seconds() }

// best returns the server of least cost, and how many were weighed.
func (c *Chooser) best(q *Query, times *RouteTimes, now time.Time) (estimate, int) {
	var best estimate
	candidates := 0
	homes := c.homes(q)
	room := c.shiftRoom(q, now)
	if home := homes[c.opts.Region]; room <= shiftStay && c.migrates(home, q, now) {
		if e := c.estimate(home, home, q, times, now); e.tooLate(q) == BasisNone {
			return e, 1
		}
	}
	c.assumeOthers(q.Service)
	pressure := c.pressures(q.Service, now)
	for _, s := range c.services[q.Service] {
		if !c.eligible(s, q, now) || !room.admits(s.member.Region == c.opts.Region) {
			continue
		}
		candidates++
		e := c.estimate(s, homes[c.opts.Region], q, times, now)
		if q.Object != 0 && !e.warm {
			e.cost += c.coldCost(s, homes, times, pressure[s.member.Region])
		}
		e.refused = e.tooLate(q) != BasisNone
		e.roomy = pressure[s.member.Region] < roomyPressure
		if best.server == nil || e.before(&best) {
			best = e
		}
	}
	return best, candidates
}

// before reports whether e is the better choice: the cheaper one, but a server in a region with room before one
// that would have to refuse.
func (e *estimate) before(o *estimate) bool {
	switch {
	case e.refused && !o.refused && o.roomy:
		return false
	case o.refused && !e.refused && e.roomy:
		return true
	}
	return e.cost < o.cost
}

// shiftRoom returns where the bound on change of region lets the request go. Where only one of the two, this region
// or the others, has a server for it, the bound has no say.
func (c *Chooser) shiftRoom(q *Query, now time.Time) shiftRoom {
	room := c.shift.room(now)
	if room == shiftAnywhere {
		return room
	}
	for _, s := range c.services[q.Service] {
		if !room.admits(s.member.Region == c.opts.Region) || !c.eligible(s, q, now) {
			continue
		}
		if room != shiftAwayIfWarm || q.Object == 0 || s.warm.has(q.Object) {
			return room
		}
	}
	return shiftAnywhere
}

// admits reports whether a server of this region, or of another one, may get the request.
func (r shiftRoom) admits(local bool) bool {
	return r == shiftAnywhere || (r == shiftStay) == local
}

// migrateShare is the share of an object's requests that move it to its home, if the home has room but not the
// object: a server that joined takes over its part of the objects within seconds, and not all at once.
const migrateShare = 0.1

// migrates reports whether the request moves its object to its home. The first request for a server that has
// handled none always does.
func (c *Chooser) migrates(home *Server, q *Query, now time.Time) bool {
	if home == nil || home.warm.has(q.Object) || home.cold(now) || !c.eligible(home, q, now) {
		return false
	}
	return (q.Random < migrateShare || home.warm.empty()) && home.load(now)+1 <= float64(home.member.Slots)
}

// coldCost is what it costs others that a server without the object gets it: it takes the place of another
// object there. Nothing at the object's home, where it belongs.
func (c *Chooser) coldCost(s *Server, homes map[steering.RegionName]*Server, times *RouteTimes, pressure float64) float64 {
	if s == homes[c.opts.Region] {
		return 0
	}
	cost := (duplicateIdle + duplicateBusy*pressure*pressure) * (times.cold.mean - times.warm.mean)
	if s == homes[s.member.Region] {
		cost *= awayPart
	}
	return cost
}

// assumeOthers says what other entry VMs are taken to have at this region's servers of a service where no report
// tells: as much as this VM on average, each of them. Objects are spread alike from every VM of the region.
func (c *Chooser) assumeOthers(service steering.ServiceName) {
	inFlight, servers := 0, 0
	for _, s := range c.services[service] {
		if s.member.Region == c.opts.Region {
			inFlight += len(s.running)
			servers++
		}
	}
	for _, s := range c.services[service] {
		s.assumed = 0
		if s.member.Region == c.opts.Region {
			s.assumed = float64(inFlight) / float64(servers) * float64(max(0, c.peers.Serving-1))
		}
	}
}

// pressures returns which part of the slots of a service in each region is taken, 1 if all are.
func (c *Chooser) pressures(service steering.ServiceName, now time.Time) map[steering.RegionName]float64 {
	load := make(map[steering.RegionName]float64)
	slots := make(map[steering.RegionName]float64)
	for _, s := range c.services[service] {
		if s.member.Draining || c.away[s.member.Zone] {
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

// eligible reports whether the request may be sent to s at all.
func (c *Chooser) eligible(s *Server, q *Query, now time.Time) bool {
	m := &s.member
	if m.Draining || c.away[m.Zone] || !q.Route.Allows(m.Region) || q.tried(m.ID) || !s.health.usable(now) {
		return false
	}
	return c.coldAllows(s, now)
}

// coldAllows reports whether s is warm, or bears one more request now. Only entry VMs of its region send to a
// cold server; they divide its rate.
func (c *Chooser) coldAllows(s *Server, now time.Time) bool {
	if !s.cold(now) {
		return true
	}
	if s.member.Region != c.opts.Region {
		return false
	}
	share := c.cold[s.member.Service] / float64(c.sharers().Region)
	s.coldRate.refill(share, 1, now)
	return s.coldRate.tokens >= 1
}

// homes returns the server of each region where the object of q belongs: the one of highest rank. The callers of
// a region share their objects, so its zones share the home.
func (c *Chooser) homes(q *Query) map[steering.RegionName]*Server {
	if q.Object == 0 {
		return nil
	}
	homes := make(map[steering.RegionName]*Server)
	highest := make(map[steering.RegionName]uint64)
	for _, s := range c.services[q.Service] {
		m := &s.member
		if m.Draining || c.away[m.Zone] || !q.Route.Allows(m.Region) {
			continue
		}
		if r := rank(q.Object, m.ID); homes[m.Region] == nil || r > highest[m.Region] {
			homes[m.Region], highest[m.Region] = s, r
		}
	}
	return homes
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
	e := estimate{server: s, warm: q.Object != 0 && s.warm.has(q.Object), slow: s.slownessAt(now)}
	e.times, e.home = times.at(e.warm), s == home
	e.service = e.times.mean
	if e.home && !e.warm {
		e.service = times.home()
	}
	e.proven = e.times.supported(e.service, now)
	if s.cold(now) {
		e.slow *= coldFactor
	}
	if s.busy == 0 {
		s.busy = e.service
	}
	slots := float64(s.member.Slots)
	e.wait = max(0, s.load(now)+1-slots) / slots * s.busy * e.slow
	distance := c.distance(s.member.Zone, s.member.Region)
	e.rtt = s.roundTrip([...]float64{rttZone, rttRegion, rttRemote}[distance], now)
	bytes := max(times.bytes, float64(q.Bytes))
	e.cost = e.total() + bytes*[...]float64{0, byteBetweenZones, byteBetweenRegions}[distance]
	e.cost += lateWeight * max(0, e.total()-q.TargetLeft.Seconds())
	e.cost += errorFactor * s.health.errorRate(now) * q.Route.LatencyObjective().Seconds()
	return e
}
