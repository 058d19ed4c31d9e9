package placement

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// The simulation runs a load against servers in virtual time: slots, a queue, service that is faster for objects
// handled recently, and callers in regions. Decisions are left to a policy.

// simServer is a server of the simulation.
type simServer struct {
	member       Member
	warmCapacity int // objects that it keeps warm
	queueMax     int
	slowness     float64 // factor of the service time
	shedShare    float64 // share of the requests that it refuses although it has free capacity
	dead         bool

	running  int
	queue    []*simRequest
	order    *list.List
	elements map[uint64]*list.Element
}

// simRequest is a request of the simulation.
type simRequest struct {
	query     Query
	home      steering.RegionName // of its caller
	entry     int                 // entry VM that handles it
	arrived   time.Time
	placement *Placement
	server    *simServer
	attempts  int
	kind      string // whose requests are counted together; empty: none
	returned  bool   // its caller was refused before
}

// simPolicy decides where the requests of one entry VM go.
type simPolicy interface {
	Place(q *Query, now time.Time) (*Placement, *Refusal)
	RecordResult(p *Placement, r *Result, now time.Time) Effect
}

// simCount counts how the requests of a region ended.
type simCount struct{ requests, onTime, late, refused, remote, arrivals int }

// onTimeShare returns the share of the requests that got a response on time.
func (c simCount) onTimeShare() float64 { return float64(c.onTime) / float64(max(c.requests, 1)) }

// remoteShare returns the share of the attempts that reached another region.
func (c simCount) remoteShare() float64 { return float64(c.remote) / float64(max(c.arrivals, 1)) }

type simulation struct {
	now         time.Time
	rng         *rand.Rand
	events      simEvents
	servers     map[ServerID]*simServer
	policies    []simPolicy
	regions     []steering.RegionName // of the entry VMs
	route       *routing.Route
	warm        time.Duration
	cold        time.Duration
	remoteDelay time.Duration // one way between regions
	counts      map[steering.RegionName]*simCount
	windows     map[steering.RegionName][]simCount // of two seconds each
	kinds       map[string]*simCount
	gates       []*simGate // of the entry VMs; none: requests are placed in the order of arrival
	callersStay bool       // a refused caller returns once
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simEvents struct {
	items []simEvent
	seq   int
}

func (e *simEvents) Len() int { return len(e.items) }
func (e *simEvents) Less(i, j int) bool {
	if !e.items[i].at.Equal(e.items[j].at) {
		return e.items[i].at.Before(e.items[j].at)
	}
	return e.items[i].seq < e.items[j].seq
}
func (e *simEvents) Swap(i, j int) { e.items[i], e.items[j] = e.items[j], e.items[i] }
func (e *simEvents) Push(x any)    { e.items = append(e.items, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}

const (
	simSlots        = 6
	simQueue        = 18
	simWarmCapacity = 47
	simTarget       = 400 * time.Millisecond
)

// newSimulation returns a simulation with servers[i] servers in region i and two entry VMs in each region.
func newSimulation(seed uint64, servers ...int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), servers: make(map[ServerID]*simServer),
		warm: 120 * time.Millisecond, cold: 350 * time.Millisecond, remoteDelay: 35 * time.Millisecond,
		counts: make(map[steering.RegionName]*simCount), windows: make(map[steering.RegionName][]simCount),
		kinds: make(map[string]*simCount),
		route: &routing.Route{
			Name: "lookup", Affinity: true, TargetLatency: simTarget, Timeout: 2500 * time.Millisecond, MaxAttempts: 2,
			Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
		},
	}
	for i, n := range servers {
		region := simRegion(i)
		s.counts[region] = &simCount{}
		for k := range n {
			id := ServerID(fmt.Sprintf("%s-%d", region, k))
			s.servers[id] = &simServer{
				member: Member{
					ID: id, Service: "desk", Address: string(id), Slots: simSlots, Region: region,
					Zone: steering.ZoneName(fmt.Sprintf("%s-%c", region, 'a'+k%2)), Born: s.now,
				},
				warmCapacity: simWarmCapacity, queueMax: simQueue, slowness: 1, order: list.New(), elements: make(map[uint64]*list.Element),
			}
		}
		s.regions = append(s.regions, region, region)
	}
	return s
}

func simRegion(i int) steering.RegionName { return steering.RegionName(fmt.Sprintf("r%d", i)) }

// membership lists the running servers.
func (s *simulation) membership() *Membership {
	m := &Membership{}
	for _, server := range s.servers {
		if !server.dead {
			m.Members = append(m.Members, server.member)
		}
	}
	return m
}

// useChoosers sets a Chooser as the policy of each entry VM.
func (s *simulation) useChoosers() {
	for i, region := range s.regions {
		c := NewChooser(Options{
			Zone: steering.ZoneName(fmt.Sprintf("%s-%c", region, 'a'+i%2)), Region: region, MaxShift: 0.15,
			RetryRatio: 0.2, RetrySlack: 64,
		})
		c.SetMembership(s.membership())
		c.SetPeers(Peers{Fleet: len(s.regions), Region: 2, Serving: 2})
		s.policies = append(s.policies, c)
	}
}

func (s *simulation) at(t time.Time, run func()) {
	s.events.seq++
	heap.Push(&s.events, simEvent{at: t, seq: s.events.seq, run: run})
}

// load generates rate(t) requests per second from callers of region i for span.
func (s *simulation) load(i int, span time.Duration, rate func(t time.Duration) float64) {
	start, region := s.now, simRegion(i)
	var next func()
	next = func() {
		elapsed := s.now.Sub(start)
		if elapsed >= span {
			return
		}
		s.startRequest(region, 2*i+s.rng.IntN(2))
		gap := s.rng.ExpFloat64() / max(rate(elapsed), 0.1)
		s.at(s.now.Add(time.Duration(gap*float64(time.Second))), next)
	}
	s.at(start, next)
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// startRequest starts a request of a caller in region at an entry VM.
func (s *simulation) startRequest(region steering.RegionName, entry int) {
	const objects = 60 // of the callers of a region
	object := xxhash.Sum64String(fmt.Sprintf("%s %d", region, s.rng.IntN(objects)))
	s.startRequestOf(&simRequest{home: region, entry: entry, arrived: s.now, query: Query{
		Route: s.route, Service: "desk", Object: object, FirstAttempt: true, Bytes: 0,
	}})
}

func (s *simulation) startRequestOf(r *simRequest) {
	s.countEnd(r, func(c *simCount) { c.requests++ })
	s.sendAttempt(r)
}

// countEnd counts the end of a request, or its beginning.
func (s *simulation) countEnd(r *simRequest, add func(*simCount)) {
	s.count(r.home, add)
	if r.kind == "" {
		return
	}
	if s.kinds[r.kind] == nil {
		s.kinds[r.kind] = &simCount{}
	}
	add(s.kinds[r.kind])
}

func (s *simulation) count(region steering.RegionName, add func(*simCount)) {
	add(s.counts[region])
	index := int(s.now.Sub(time.Unix(1000, 0)) / (2 * time.Second))
	for len(s.windows[region]) <= index {
		s.windows[region] = append(s.windows[region], simCount{})
	}
	add(&s.windows[region][index])
}

// sendAttempt places a request and sends it to its server.
func (s *simulation) sendAttempt(r *simRequest) {
	if s.gates != nil {
		s.gates[r.entry].enter(r)
		return
	}
	p, refusal := s.place(r)
	if refusal != nil {
		s.refuse(r, refusal.RetryAfter)
		return
	}
	s.send(r, p)
}

// place asks the policy of the entry VM.
func (s *simulation) place(r *simRequest) (*Placement, *Refusal) {
	elapsed := s.now.Sub(r.arrived)
	r.query.TimeLeft, r.query.TargetLeft = s.route.Timeout-elapsed, simTarget-elapsed
	r.query.Random = s.rng.Float64()
	return s.policies[r.entry].Place(&r.query, s.now)
}

// refuse refuses a request, whose caller may return once.
func (s *simulation) refuse(r *simRequest, after time.Duration) {
	if !s.callersStay || r.returned || s.now.Add(after).After(r.arrived.Add(s.route.Timeout)) {
		s.countEnd(r, func(c *simCount) { c.refused++ })
		return
	}
	again := &simRequest{query: r.query, home: r.home, entry: r.entry, arrived: r.arrived, kind: r.kind, returned: true}
	again.query.FirstAttempt, again.query.Retry, again.query.Tried = true, false, nil
	s.at(s.now.Add(after), func() { s.sendAttempt(again) })
}

func (s *simulation) send(r *simRequest, p *Placement) {
	r.placement, r.server, r.attempts = p, s.servers[p.Server], r.attempts+1
	delay := time.Millisecond
	if r.server.member.Region != s.regions[r.entry] {
		delay = s.remoteDelay
	}
	s.at(s.now.Add(delay), func() { s.onArrival(r, delay) })
}

func (s *simulation) onArrival(r *simRequest, delay time.Duration) {
	server := r.server
	s.count(r.home, func(c *simCount) {
		c.arrivals++
		if server.member.Region != r.home {
			c.remote++
		}
	})
	switch {
	case server.dead:
		s.sendResponse(r, OutcomeNoConn, delay)
	case s.rng.Float64() < server.shedShare, server.running >= simSlots && len(server.queue) >= server.queueMax:
		s.sendResponse(r, OutcomeShed, delay)
	case server.running >= simSlots:
		server.queue = append(server.queue, r)
	default:
		s.startService(r, delay)
	}
}

func (s *simulation) startService(r *simRequest, delay time.Duration) {
	server := r.server
	server.running++
	took := s.cold
	if server.touch(r.query.Object) {
		took = s.warm
	}
	took = time.Duration(float64(took) * server.slowness * (0.85 + 0.3*s.rng.Float64()))
	s.at(s.now.Add(took), func() {
		server.running--
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			d := time.Millisecond
			if server.member.Region != s.regions[next.entry] {
				d = s.remoteDelay
			}
			s.startService(next, d)
		}
		s.sendResponse(r, OutcomeSuccess, delay)
	})
}

// touch records that the server handles an object and reports whether the object was warm there.
func (v *simServer) touch(object uint64) bool {
	if element := v.elements[object]; element != nil {
		v.order.MoveToFront(element)
		return true
	}
	v.elements[object] = v.order.PushFront(object)
	if v.order.Len() > v.warmCapacity {
		oldest := v.order.Back()
		delete(v.elements, v.order.Remove(oldest).(uint64))
	}
	return false
}

// sendResponse returns the server's response to the entry VM.
func (s *simulation) sendResponse(r *simRequest, o Outcome, delay time.Duration) {
	load := &Load{Running: r.server.running, Waiting: len(r.server.queue), Slots: simSlots, Slowness: 1}
	sent := r.placement.sent
	s.at(s.now.Add(delay), func() {
		result := &Result{Outcome: o, Latency: s.now.Sub(sent), Load: load}
		if o == OutcomeNoConn {
			result.Load = nil
		}
		s.policies[r.entry].RecordResult(r.placement, result, s.now)
		if s.gates != nil {
			s.gates[r.entry].recordEnded()
		}
		if o != OutcomeSuccess {
			s.retry(r, o, result)
			return
		}
		s.countEnd(r, func(c *simCount) {
			if s.now.Sub(r.arrived) <= simTarget {
				c.onTime++
			} else {
				c.late++
			}
		})
	})
}

// retry sends a request again that no server ran, as request forwarding does.
func (s *simulation) retry(r *simRequest, o Outcome, result *Result) {
	const maxAttempts = 3
	if r.attempts >= maxAttempts {
		s.countEnd(r, func(c *simCount) { c.refused++ })
		return
	}
	if !result.IsTransientShed() {
		r.query.Tried = append(r.query.Tried, r.placement.Server)
	}
	r.query.FirstAttempt = false
	r.query.Retry = r.query.Retry || o != OutcomeNoConn
	s.sendAttempt(r)
}

// run processes all events.
func (s *simulation) run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// total sums the counts of all regions.
func (s *simulation) total() simCount {
	var sum simCount
	for _, c := range s.counts {
		sum.requests += c.requests
		sum.onTime += c.onTime
		sum.late += c.late
		sum.refused += c.refused
		sum.arrivals += c.arrivals
		sum.remote += c.remote
	}
	return sum
}
