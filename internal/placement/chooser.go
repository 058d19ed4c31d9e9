package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// Options configure a Chooser.
type Options struct {
	Zone       steering.ZoneName   // of this entry VM
	Region     steering.RegionName // of this entry VM
	MaxShift   float64             // greatest change per 2 s of the share of requests that run in other regions
	RetryRatio float64             // retries for each request
	RetrySlack float64             // retries beyond that ratio, of all entry VMs together
	MinPeers   Peers               // minimum divisors of the allowances, for unknown peers such as after a power loss
	VM         string              // identity of this entry VM among Peers.OthersInRegion
	Cold       ColdBounds          // of the requests that a cold server may get
}

// Query describes one request that is to be sent to a server.
type Query struct {
	Route        *routing.Route
	Account      *routing.Account // nil: the request has none
	Service      steering.ServiceName
	Object       uint64        // hash of the object that the request concerns; 0: none
	TimeLeft     time.Duration // until the final response is due
	TargetLeft   time.Duration // until a response is late; not positive if it already is
	Bytes        int           // of the request's body
	Tried        []ServerID    // servers that this request was sent to
	FirstAttempt bool          // the request was not placed before and adds to the retry budget
	Retry        bool          // a server received the request before, so that placing it spends retry budget
	Random       float64       // uniform in [0, 1); decides what happens to a share of the requests
	WaitBounds   *WaitBounds   // nil: requests are sent in the order of arrival
}

// WaitBounds are the longest expected waits for a slot with which a request may be sent to a server, so that others
// find room there.
type WaitBounds struct {
	InTime time.Duration // if the response is expected within the target latency
	Late   time.Duration // otherwise
}

// Placement is the permission to send a request to a server. It ends with Chooser.RecordResult.
type Placement struct {
	Server          ServerID
	Address         string
	Zone            steering.ZoneName
	Region          steering.RegionName
	Warm            bool          // the server is assumed to be warm for the object
	ExpectedLatency time.Duration // until the response
	Wait            time.Duration // part of ExpectedLatency that the request waits for a slot
	ReportAge       time.Duration // of the server's report that the choice used; negative if there was none
	Candidates      int           // servers that were compared
	Trial           bool          // sent although the estimate is too long, since no recent evidence supports the estimate
	Cold            bool          // the server is believed to be cold
	RegionVMs       int           // entry VMs of this region, of which some or all share the rate of a cold server

	server              *Server
	times               *RouteTimes
	object              uint64
	hasSamplesToCompare bool         // service rests on enough samples to compare servers
	trial               *serviceTime // estimate that the request tests as a trial; nil if a response in time is expected
	onPreferredServer   bool         // the server is the object's preferred server
	service             float64      // expected service time without slowness, in seconds
	slowness            float64      // slowness included in ExpectedLatency
	rtt                 float64      // seconds of ExpectedLatency that are network round trip
	sent                time.Time
}

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	Latency time.Duration // from sending to the complete response
	Load    *Load         // the server's report, if any
	ColdFor time.Duration // the server reports that it is cold for this long
	Bytes   int           // in both directions
	// Unfinished is true if the time of the request ended before the run did.
	Unfinished bool
	Leaving    bool          // the server says that it is leaving
	Backoff    time.Duration // the server wants no requests from this entry VM for this long; 0: it does not say
}

// Effect is what a Result changed about its server.
type Effect struct {
	Ejected        bool          // the server gets no requests for a while
	StartedLeaving bool          // the server gets no more requests
	Backoff        time.Duration // the server gets no requests for this long, at its own request
}

// isServerFull reports whether the server shed the request because it had no free capacity.
func (r *Result) isServerFull() bool {
	return r.Outcome == OutcomeShed && r.Load != nil && r.Load.Running >= r.Load.Slots
}

// IsTransientShed reports whether the server shed the request although it had free capacity, so that a retry at the
// same server may succeed.
func (r *Result) IsTransientShed() bool {
	return r.Outcome == OutcomeShed && r.Load != nil && r.Load.Running < r.Load.Slots
}

// Chooser places requests. It is safe for concurrent use.
type Chooser struct {
	opts Options

	mu         sync.Mutex
	services   map[steering.ServiceName][]*Server
	servers    map[ServerID]*Server
	evacuated  map[steering.ZoneName]bool                      // zones
	times      map[string]map[steering.ServiceName]*RouteTimes // by route and the service that it leads to
	budgets    map[steering.ServiceName]*RetryBudget
	shift      shiftLimiter
	peers      Peers
	peersKnown bool                             // SetPeers was called
	rankEpoch  int                              // changes with what the ranks among senders depend on
	coldRates  map[steering.ServiceName]float64 // requests per second that a cold server can handle
	notices    map[ServerID]*notice             // of servers that said that they are leaving or want a pause
	homePlans  map[steering.ServiceName]homePlan
	slots      map[steering.ServiceName]map[steering.RegionName]float64 // of servers that get requests
}

// Peers describes the live entry VMs. The counts include this one. The allowances are divided by the counts of fleet and
// region.
type Peers struct {
	Fleet   int
	Region  int
	Serving int // of the region, those that lookups return to callers
	// OthersInRegion identifies the other entry VMs of the region. The order does not matter.
	OthersInRegion []string
}

// NewChooser returns a Chooser without servers.
func NewChooser(opts Options) *Chooser {
	return &Chooser{
		opts:      opts,
		services:  make(map[steering.ServiceName][]*Server),
		servers:   make(map[ServerID]*Server),
		times:     make(map[string]map[steering.ServiceName]*RouteTimes),
		budgets:   make(map[steering.ServiceName]*RetryBudget),
		shift:     shiftLimiter{bound: opts.MaxShift},
		peers:     Peers{Fleet: 1, Region: 1},
		coldRates: make(map[steering.ServiceName]float64),
		notices:   make(map[ServerID]*notice),
		homePlans: make(map[steering.ServiceName]homePlan),
	}
}

// SetMembership replaces the servers. Servers that are not listed are removed.
func (c *Chooser) SetMembership(m *Membership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := make(map[ServerID]*Server, len(m.Members))
	services := make(map[steering.ServiceName][]*Server)
	for _, member := range m.Members {
		s := c.servers[member.ID]
		if s == nil {
			s = newServer(member)
		}
		s.applyMember(member)
		c.attachNotice(s)
		servers[member.ID] = s
		services[member.Service] = append(services[member.Service], s)
	}
	c.servers, c.services, c.evacuated = servers, services, m.Evacuated
	c.countSlots()
}

// SetPeers sets the live entry VMs. Before the first call, no request is sent to cold servers.
func (c *Chooser) SetPeers(p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers, c.peersKnown = p, true
	c.rankEpoch++
}

// allowancePeers returns the numbers of entry VMs that the allowances are divided by.
func (c *Chooser) allowancePeers() Peers {
	return Peers{
		Fleet:  max(c.peers.Fleet, c.opts.MinPeers.Fleet, 1),
		Region: max(c.peers.Region, c.opts.MinPeers.Region, 1),
	}
}

// SetOptions replaces the options.
func (c *Chooser) SetOptions(opts Options) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts = opts
	c.rankEpoch++
	c.shift.bound = opts.MaxShift
}

// SetTable applies a newer configuration of the services and removes the measured times of routes that it lacks.
func (c *Chooser) SetTable(t *routing.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.services {
		if s := t.Service(name); s != nil {
			c.coldRates[name] = s.ColdPerSecond
		}
	}
	for name := range c.times {
		if t.RouteByName(name) == nil {
			delete(c.times, name)
		}
	}
}

// Place returns where to send the request, or why it is refused.
func (c *Chooser) Place(q *Query, now time.Time) (*Placement, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.decide(q, now)
	if d.refusal != nil {
		return nil, d.refusal
	}
	return c.recordPlacement(q, d.times, &d.best, d.candidates, now), nil
}

// recordPlacement records that the request is sent and returns its Placement.
func (c *Chooser) recordPlacement(q *Query, times *RouteTimes, best *estimate, candidates int, now time.Time) *Placement {
	s := best.server
	p := &Placement{
		Server: s.member.ID, Address: s.member.Address, Zone: s.member.Zone, Region: s.member.Region,
		Warm: best.warm, ExpectedLatency: toDuration(best.expectedLatency()), Wait: toDuration(best.wait), ReportAge: -1, Candidates: candidates,
		server: s, times: times, object: q.Object, onPreferredServer: best.preferred, service: best.service, slowness: best.slowness, rtt: best.rtt, sent: now,
		hasSamplesToCompare: best.times.hasSamplesToCompare(),
		Cold:                s.isCold(now), RegionVMs: c.allowancePeers().Region,
	}
	if best.isTrial(q) {
		p.trial = best.times
		p.trial.trials++
		p.Trial = true
	}
	if !s.reportedAt.IsZero() {
		p.ReportAge = now.Sub(s.reportedAt)
	}
	if p.Cold {
		s.coldRate.tryTake()
	}
	s.running[p] = struct{}{}
	s.health.onSend()
	if q.Object != 0 {
		s.warm.touch(q.Object)
	}
	c.shift.record(s.member.Region != c.opts.Region, now)
	return p
}

// RecordResult records how an attempt ended and returns what that changed.
func (c *Chooser) RecordResult(p *Placement, r *Result, now time.Time) Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := p.server
	if _, ok := s.running[p]; !ok {
		return Effect{}
	}
	var effect Effect
	effect.StartedLeaving, effect.Backoff = c.recordNotice(s, r, now)
	if r.Load != nil {
		s.applyReport(*r.Load, now)
	}
	delete(s.running, p)
	if p.trial != nil {
		p.trial.trials--
	}
	if r.Unfinished && p.Wait == 0 {
		p.times.serviceTime(p.Warm).addUnfinishedRun(r.Latency.Seconds()/p.slowness, now)
	}
	if r.ColdFor > 0 {
		s.coldUntil = now.Add(r.ColdFor)
	}
	switch r.Outcome {
	case OutcomeSuccess:
		c.recordSuccess(p, r, now)
	case OutcomeShed, OutcomeNoConn, OutcomeWrongServer:
		if !p.Warm {
			s.warm.remove(p.object)
		}
	}
	if r.isServerFull() {
		s.health.endTrial()
		return effect // the report shows that the server is full, which is no failure
	}
	effect.Ejected = s.health.recordOutcome(r.Outcome, now)
	return effect
}

// recordSuccess records the time of a request that got a response. Only a request that did not have to wait shows its
// service time: no wait was expected, and the server reports no queue.
func (c *Chooser) recordSuccess(p *Placement, r *Result, now time.Time) {
	s := p.server
	p.times.served = true
	if p.hasSamplesToCompare {
		s.slotHoldTime += (p.service - s.slotHoldTime) * timeWeight
	}
	took := max(r.Latency.Seconds()-p.rtt, minServiceTime)
	if p.Wait > 0 || (r.Load != nil && r.Load.Waiting > 0) {
		c.recordQueuedSuccess(p, took/p.slowness, now)
		return
	}
	p.times.addBytesSample(r.Bytes)
	if p.hasSamplesToCompare {
		s.updateFactor(took, p.service*p.slowness, now)
	}
	switch {
	case p.trial != nil:
		p.trial.addTrialSample(took/p.slowness, now)
	case p.onPreferredServer && !p.Warm:
		p.times.addPreferredSample(took/p.slowness, now)
	default:
		p.times.serviceTime(p.Warm).addSample(took/p.slowness, now)
	}
}

// recordQueuedSuccess records the time of a request that got a response but also waited for a slot.
func (c *Chooser) recordQueuedSuccess(p *Placement, seconds float64, now time.Time) {
	if p.trial != nil && p.trial.samples > 0 && seconds < p.trial.measured {
		p.trial.addTrialSample(seconds, now)
		return
	}
	p.times.serviceTime(p.Warm).addQueuedSample(seconds, now)
}

// RecordRoundTrip records a round trip to the server of p that was measured at now.
func (c *Chooser) RecordRoundTrip(p *Placement, d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := p.server; s.rtt == 0 || d.Seconds() < s.rtt || now.Sub(s.rttMeasured) > rttHalfLife {
		s.rtt, s.rttMeasured = d.Seconds(), now
	}
}

func (c *Chooser) retryBudget(service steering.ServiceName) *RetryBudget {
	b := c.budgets[service]
	if b == nil {
		b = &RetryBudget{}
		c.budgets[service] = b
	}
	b.Ratio = c.opts.RetryRatio * budgetFraction
	b.Burst = c.opts.RetrySlack * budgetFraction / float64(c.allowancePeers().Fleet)
	return b
}

// budgetFraction is the fraction of the required bound on retries that is used; the rest covers counts that differ
// between windows, and entry VMs that are not known yet.
const budgetFraction = 0.8

// rendezvousScore returns the score of a server for an object: the server with the highest score is the object's
// preferred server. All entry VMs compute the same score, and only the objects of a server that joins or leaves move.
func rendezvousScore(object uint64, id ServerID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], object)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

func toDuration(s float64) time.Duration {
	return time.Duration(math.Min(s, math.MaxInt32) * float64(time.Second))
}

// allows reports whether the request may be handled in region.
func (q *Query) allows(region steering.RegionName) bool {
	return q.Route.Allows(region) && q.Account.Allows(region)
}

func (q *Query) wasTried(id ServerID) bool { return slices.Contains(q.Tried, id) }
