package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Exclusion is a reason why a server cannot get a request now.
type Exclusion string

// The exclusions.
const (
	ExclusionLeaving   Exclusion = "leaving"          // by the registry or by its own responses
	ExclusionBackoff   Exclusion = "backed-off"       // it asked for a pause
	ExclusionEvacuated Exclusion = "evacuated"        // its zone is
	ExclusionRegion    Exclusion = "home-regions"     // the route or the account may not run in its region
	ExclusionTried     Exclusion = "tried"            // the request was sent to it before
	ExclusionEjected   Exclusion = "ejected"          // it did not respond lately
	ExclusionTested    Exclusion = "being-tested"     // one request tests it after an ejection
	ExclusionColdRate  Exclusion = "cold-rate"        // it is cold, and gets no more requests of this entry VM now
	ExclusionShift     Exclusion = "change-of-region" // the bound on change of region
)

// Candidate is a server of the service of a request with what the request can expect there.
type Candidate struct {
	Server     ServerID
	Zone       steering.ZoneName
	Region     steering.RegionName
	Chosen     bool
	Warm       bool // for the object
	Cold       bool // the server started lately
	Preferred  bool // the object's home
	Wait       time.Duration
	Run        time.Duration
	RoundTrip  time.Duration
	Cost       time.Duration // by which servers are compared
	ReportAge  time.Duration // negative: there was no report
	Basis      Basis         // why it would be refused there; BasisNone: it would not
	Exclusions []Exclusion   // none: the server may get the request
}

// Explanation is what Place would do with a request, and why.
type Explanation struct {
	Refusal     *Refusal    // nil: the request is sent to the candidate that is Chosen
	Candidates  []Candidate // the chosen one first, then by cost; excluded ones last
	RetryBudget float64     // retries to the service that are allowed now
	// MayMove is the server to which a part of the requests for the object, a share of MoveShare, go now since it is the
	// object's home and lacks it; empty: none do.
	MayMove   ServerID
	MoveShare float64
}

// Explain returns what Place would do with q at now. It changes nothing.
func (c *Chooser) Explain(q *Query, now time.Time) *Explanation {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := &Explanation{}
	scratch := c.copyFor(q.Service)
	x.RetryBudget = scratch.retryBudget(q.Service).Balance()
	d := scratch.decide(q, now)
	x.Refusal = d.refusal
	x.Candidates = scratch.candidates(q, &d, now)
	moving := *q
	moving.Random, moving.FirstAttempt = 0, false
	if m := c.copyFor(q.Service).decide(&moving, now); m.refusal == nil && d.refusal == nil && m.best.server.member.ID != d.best.server.member.ID {
		x.MayMove, x.MoveShare = m.best.server.member.ID, migrateShare
	}
	return x
}

// candidates returns the servers of the service of q, of which d chose one. c is a copy.
func (c *Chooser) candidates(q *Query, d *decision, now time.Time) []Candidate {
	by := &comparison{preferred: c.preferredServers(q)}
	by.home = by.preferred[c.homeRegion(q, now)]
	if by.home == nil {
		by.home = by.preferred[c.opts.Region]
	}
	by.isAway = by.home != nil && by.home.member.Region != c.opts.Region
	permission := c.shiftPermission(q, now)
	c.updateAssumedLoad(q.Service)
	by.utilization = c.utilizationByRegion(q.Service, now)
	servers := c.services[q.Service]
	all := make([]Candidate, 0, len(servers))
	for _, s := range servers {
		e := c.compareAt(s, by, q, d.times, now)
		candidate := Candidate{
			Server: s.member.ID, Zone: s.member.Zone, Region: s.member.Region, Chosen: d.refusal == nil && s == d.best.server,
			Warm: e.warm, Cold: s.isCold(now), Preferred: e.preferred, Wait: toDuration(e.wait),
			Run: toDuration(e.service * e.slowness), RoundTrip: toDuration(e.rtt), Cost: toDuration(e.cost), ReportAge: -1,
			Basis: e.refusalBasis(q), Exclusions: c.exclusions(s, q, permission, now),
		}
		if !s.reportedAt.IsZero() {
			candidate.ReportAge = now.Sub(s.reportedAt)
		}
		all = append(all, candidate)
	}
	slices.SortStableFunc(all, func(a, b Candidate) int {
		return cmp.Or(firstIf(a.Chosen, b.Chosen), firstIf(len(a.Exclusions) == 0, len(b.Exclusions) == 0), cmp.Compare(a.Cost, b.Cost))
	})
	return all
}

// firstIf orders a value for which the condition holds before one for which it does not.
func firstIf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// exclusions returns all reasons why s cannot get the request. There are none if isEligible holds and permission admits
// the server.
func (c *Chooser) exclusions(s *Server, q *Query, permission shiftPermission, now time.Time) []Exclusion {
	var all []Exclusion
	for _, one := range []struct {
		holds     bool
		exclusion Exclusion
	}{
		{s.isLeaving(), ExclusionLeaving},
		{s.notice != nil && now.Before(s.notice.backoffUntil), ExclusionBackoff},
		{c.evacuated[s.member.Zone], ExclusionEvacuated},
		{!q.allows(s.member.Region), ExclusionRegion},
		{q.wasTried(s.member.ID), ExclusionTried},
		{now.Before(s.health.ejectedUntil), ExclusionEjected},
		{s.health.trialInFlight, ExclusionTested},
		{!c.coldRateAllows(s, now), ExclusionColdRate},
		{!permission.admits(s.member.Region == c.opts.Region), ExclusionShift},
	} {
		if one.holds {
			all = append(all, one.exclusion)
		}
	}
	return all
}

// copyFor returns a copy of what a decision about a request to service reads or changes. What decisions only read is
// shared with c, so the copy must not be used without c.mu, nor to place requests.
func (c *Chooser) copyFor(service steering.ServiceName) *Chooser {
	scratch := &Chooser{
		opts: c.opts, evacuated: c.evacuated, shift: c.shift, peers: c.peers, peersKnown: c.peersKnown,
		rankEpoch: c.rankEpoch, coldRates: c.coldRates, notices: c.notices, slots: c.slots,
		homePlans: maps.Clone(c.homePlans),
		services:  make(map[steering.ServiceName][]*Server),
		times:     make(map[string]map[steering.ServiceName]*RouteTimes, len(c.times)),
		budgets:   make(map[steering.ServiceName]*RetryBudget),
	}
	for _, s := range c.services[service] {
		one := *s
		scratch.services[service] = append(scratch.services[service], &one)
	}
	for route, services := range c.times {
		copies := make(map[steering.ServiceName]*RouteTimes, len(services))
		for name, times := range services {
			one := *times
			copies[name] = &one
		}
		scratch.times[route] = copies
	}
	if b := c.budgets[service]; b != nil {
		one := *b
		scratch.budgets[service] = &one
	}
	return scratch
}
