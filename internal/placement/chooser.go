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
	MaxShift   float64             // of the share of requests that run in other regions, per 2 s
	RetryRatio float64             // sendings beyond the first, for each request
	RetrySlack float64             // sendings beyond that, of all entry VMs together
	MinPeers   Peers               // that divide the allowances although they are not known, such as after a power loss
}

// Query asks where one request should be sent.
type Query struct {
	Route        *routing.Route
	Service      steering.ServiceName
	Object       uint64        // hash of the object that the request concerns; 0: none
	TimeLeft     time.Duration // until the final answer is due
	TargetLeft   time.Duration // until an answer is late; not positive: it already is
	Bytes        int           // of the request's body
	Tried        []ServerID    // servers that this request was sent to
	FirstAttempt bool          // the request was not placed before: it earns retry budget
	Retry        bool          // a server got it before: spends the retry budget
	Random       float64       // uniform in [0, 1): decides what happens to a share of the requests
}

// Placement is the right to send a request to a server. It ends with Chooser.Done.
type Placement struct {
	Server          ServerID
	Address         string
	Zone            steering.ZoneName
	Region          steering.RegionName
	Warm            bool          // the server is taken to have the object at hand
	ExpectedLatency time.Duration // until the answer
	Wait            time.Duration // part of Expected that the request waits for a slot
	ReportAge       time.Duration // of the server's report that decided; negative: there was none
	Candidates      int           // servers that were weighed
	Trial           bool          // sent against an estimate for which there is no recent evidence

	server  *Server
	times   *RouteTimes
	object  uint64
	settled bool         // service rests on samples enough to compare servers by
	trial   *serviceTime // that the request is tried against, nil if it is expected to be answered in time
	atHome  bool         // the server is the object's home
	service float64      // expected service time without slowness, in seconds
	slow    float64      // slowness that Expected contains
	rtt     float64      // seconds of Expected that the way takes
	sent    time.Time
}

// Result is what a sending showed.
type Result struct {
	Outcome Outcome
	Latency time.Duration // from sending to the whole answer
	Load    *Load         // the server's report, if any
	ColdFor time.Duration // the server says that it is cold for so long
	Bytes   int           // both ways
	// Unfinished says that the time of the request ended before the run did.
	Unfinished bool
}

// full reports whether the server refused because it had no room.
func (r *Result) full() bool {
	return r.Outcome == OutcomeShed && r.Load != nil && r.Load.Running >= r.Load.Slots
}

// IsTransientShed reports a refusal that another try at the same server may not meet: it had room.
func (r *Result) IsTransientShed() bool {
	return r.Outcome == OutcomeShed && r.Load != nil && r.Load.Running < r.Load.Slots
}

// Chooser places requests. It is safe for concurrent use.
type Chooser struct {
	opts Options

	mu       sync.Mutex
	services map[steering.ServiceName][]*Server
	servers  map[ServerID]*Server
	away     map[steering.ZoneName]bool                      // evacuated
	times    map[string]map[steering.ServiceName]*RouteTimes // by route and the service that it leads to
	budgets  map[steering.ServiceName]*RetryBudget
	shift    shiftLimiter
	peers    Peers
	cold     map[steering.ServiceName]float64 // requests a second that a cold server bears
}

// Peers counts the live entry VMs, this one included. Those of the fleet and of the region divide the allowances.
type Peers struct {
	Fleet   int
	Region  int
	Serving int // of the region, those that callers are told of
}

// NewChooser returns a Chooser that knows no server.
func NewChooser(opts Options) *Chooser {
	return &Chooser{
		opts:     opts,
		services: make(map[steering.ServiceName][]*Server),
		servers:  make(map[ServerID]*Server),
		times:    make(map[string]map[steering.ServiceName]*RouteTimes),
		budgets:  make(map[steering.ServiceName]*RetryBudget),
		shift:    shiftLimiter{bound: opts.MaxShift},
		peers:    Peers{Fleet: 1, Region: 1},
		cold:     make(map[steering.ServiceName]float64),
	}
}

// SetMembership replaces what is known of the servers. Servers that are not listed are gone.
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
		s.update(member)
		servers[member.ID] = s
		services[member.Service] = append(services[member.Service], s)
	}
	c.servers, c.services, c.away = servers, services, m.Evacuated
}

// SetPeers takes the number of live entry VMs.
func (c *Chooser) SetPeers(p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = p
}

// sharers returns the number of entry VMs that the allowances are divided among.
func (c *Chooser) sharers() Peers {
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
	c.shift.bound = opts.MaxShift
}

// SetTable takes what a newer configuration says of the services, and forgets the routes that it lacks.
func (c *Chooser) SetTable(t *routing.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.services {
		if s := t.Service(name); s != nil {
			c.cold[name] = s.ColdPerSecond
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
	budget := c.budget(q.Service)
	if q.FirstAttempt {
		budget.Deposit()
	}
	times := c.routeTimes(q.Route, q.Service)
	best, candidates := c.best(q, times, now)
	if best.server == nil {
		return nil, &Refusal{
			Reason: ReasonNoServer, RetryAfter: noServerRetry, TimeLeft: q.TimeLeft, TargetLeft: q.TargetLeft, Candidates: candidates,
		}
	}
	basis := best.tooLate(q)
	switch {
	case basis != BasisNone:
		return nil, best.noRoom(q, basis, candidates, now)
	case q.Retry && !budget.TryWithdraw():
		return nil, best.refusal(q, ReasonBudget, leastRetry, candidates, now)
	}
	return c.commit(q, times, &best, candidates, now), nil
}

// commit notes that the request is sent.
func (c *Chooser) commit(q *Query, times *RouteTimes, best *estimate, candidates int, now time.Time) *Placement {
	s := best.server
	p := &Placement{
		Server: s.member.ID, Address: s.member.Address, Zone: s.member.Zone, Region: s.member.Region,
		Warm: best.warm, ExpectedLatency: seconds(best.total()), Wait: seconds(best.wait), ReportAge: -1, Candidates: candidates,
		server: s, times: times, object: q.Object, atHome: best.home, service: best.service, slow: best.slow, rtt: best.rtt, sent: now,
		settled: best.times.settled(),
	}
	if best.trial(q) {
		p.trial = best.times
		p.trial.trials++
		p.Trial = true
	}
	if !s.reported.IsZero() {
		p.ReportAge = now.Sub(s.reported)
	}
	if s.cold(now) {
		s.coldRate.take()
	}
	s.running[p] = struct{}{}
	s.health.sent()
	if q.Object != 0 {
		s.warm.touch(q.Object)
	}
	c.shift.note(s.member.Region != c.opts.Region, now)
	return p
}

// RecordResult takes what the sending showed. It reports whether the server was ejected for it.
func (c *Chooser) RecordResult(p *Placement, r *Result, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := p.server
	if _, ok := s.running[p]; !ok {
		return false
	}
	if r.Load != nil {
		s.report(*r.Load, now)
	}
	delete(s.running, p)
	if p.trial != nil {
		p.trial.trials--
	}
	if r.Unfinished && p.Wait == 0 {
		p.times.at(p.Warm).learnUnfinished(r.Latency.Seconds()/p.slow, now)
	}
	if r.ColdFor > 0 {
		s.coldUntil = now.Add(r.ColdFor)
	}
	switch r.Outcome {
	case OutcomeSuccess:
		c.learn(p, r, now)
	case OutcomeShed, OutcomeNoConn, OutcomeWrongServer:
		if !p.Warm {
			s.warm.forget(p.object)
		}
	}
	if r.full() {
		s.health.alive()
		return false // its report tells that it is full; it is no failure
	}
	return s.health.note(r.Outcome, now)
}

// learn takes the time of an answered request. Only one that did not have to wait shows its service time: none
// was expected, and the server reports no queue.
func (c *Chooser) learn(p *Placement, r *Result, now time.Time) {
	s := p.server
	p.times.answered = true
	if p.settled {
		s.busy += (p.service - s.busy) * timeWeight
	}
	took := max(r.Latency.Seconds()-p.rtt, minServiceTime)
	if p.Wait > 0 || (r.Load != nil && r.Load.Waiting > 0) {
		c.learnWaited(p, took/p.slow, now)
		return
	}
	p.times.learnBytes(r.Bytes)
	if p.settled {
		s.learn(took, p.service*p.slow, now)
	}
	switch {
	case p.trial != nil:
		p.trial.learnTrial(took/p.slow, now)
	case p.atHome && !p.Warm:
		p.times.learnHome(took/p.slow, now)
	default:
		p.times.at(p.Warm).learn(took/p.slow, now)
	}
}

// learnWaited takes the time of an answered request that also waited for a slot.
func (c *Chooser) learnWaited(p *Placement, seconds float64, now time.Time) {
	if p.trial != nil && p.trial.samples > 0 && seconds < p.trial.measured {
		p.trial.learnTrial(seconds, now)
		return
	}
	p.times.at(p.Warm).learnWaited(seconds, now)
}

// RecordRoundTrip takes a round trip to a server that was measured at now.
func (c *Chooser) RecordRoundTrip(p *Placement, d time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := p.server; s.rtt == 0 || d.Seconds() < s.rtt || now.Sub(s.dialed) > rttHalf {
		s.rtt, s.dialed = d.Seconds(), now
	}
}

func (c *Chooser) budget(service steering.ServiceName) *RetryBudget {
	b := c.budgets[service]
	if b == nil {
		b = &RetryBudget{}
		c.budgets[service] = b
	}
	b.Ratio = c.opts.RetryRatio * budgetPart
	b.Burst = c.opts.RetrySlack * budgetPart / float64(c.sharers().Fleet)
	return b
}

// budgetPart is the part of the users' bound that is planned for; the rest covers counts that differ between
// windows, and entry VMs that are not known yet.
const budgetPart = 0.8

// rank orders servers for an object: the highest rank is its home. It is the same on every entry VM, and only
// the objects of a server that comes or goes change their home.
func rank(object uint64, id ServerID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], object)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, math.MaxInt32) * float64(time.Second))
}

func (q *Query) tried(id ServerID) bool { return slices.Contains(q.Tried, id) }
