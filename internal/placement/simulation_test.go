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

// The simulation replays a load against servers in virtual time: slots, a queue, service that is fast for
// objects handled lately, and callers in regions. It decides nothing itself: a policy does.

// simServer is a server of the simulation.
type simServer struct {
	member   Member
	keeps    int // objects that it remembers
	queueMax int
	slow     float64 // service takes so many times as long
	sheds    float64 // share of the requests that it refuses though it has room
	dead     bool

	running int
	queue   []*simRequest
	order   *list.List
	places  map[uint64]*list.Element
}

// simRequest is a request of the simulation.
type simRequest struct {
	query   Query
	home    steering.RegionName // of its caller
	entry   int                 // entry VM that has it
	arrived time.Time
	placed  *Placement
	server  *simServer
	tries   int
}

// simPolicy decides where the requests of one entry VM go.
type simPolicy interface {
	Place(q *Query, now time.Time) (*Placement, *Refusal)
	RecordResult(p *Placement, r *Result, now time.Time) bool
}

// simCount counts how the requests of a region ended.
type simCount struct{ asked, onTime, late, refused, remote, arrivals int }

// onTimeShare returns the share of the requests that were answered on time.
func (c simCount) onTimeShare() float64 { return float64(c.onTime) / float64(max(c.asked, 1)) }

// remoteShare returns the share of the sendings that reached another region.
func (c simCount) remoteShare() float64 { return float64(c.remote) / float64(max(c.arrivals, 1)) }

type simulation struct {
	now      time.Time
	rng      *rand.Rand
	events   simEvents
	servers  map[ServerID]*simServer
	policies []simPolicy
	regions  []steering.RegionName // of the entry VMs
	route    *routing.Route
	warm     time.Duration
	cold     time.Duration
	far      time.Duration // one way between regions
	counts   map[steering.RegionName]*simCount
	windows  map[steering.RegionName][]simCount // of two seconds each
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
	simSlots  = 6
	simQueue  = 18
	simKeeps  = 47
	simTarget = 400 * time.Millisecond
)

// newSimulation returns a simulation with servers[i] servers in region i and two entry VMs in each region.
func newSimulation(seed uint64, servers ...int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), servers: make(map[ServerID]*simServer),
		warm: 120 * time.Millisecond, cold: 350 * time.Millisecond, far: 35 * time.Millisecond,
		counts: make(map[steering.RegionName]*simCount), windows: make(map[steering.RegionName][]simCount),
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
				keeps: simKeeps, queueMax: simQueue, slow: 1, order: list.New(), places: make(map[uint64]*list.Element),
			}
		}
		s.regions = append(s.regions, region, region)
	}
	return s
}

func simRegion(i int) steering.RegionName { return steering.RegionName(fmt.Sprintf("r%d", i)) }

// membership lists the servers that are alive.
func (s *simulation) membership() *Membership {
	m := &Membership{}
	for _, server := range s.servers {
		if !server.dead {
			m.Members = append(m.Members, server.member)
		}
	}
	return m
}

// useChoosers lets a Chooser for each entry VM decide.
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

// load lets callers of region i ask rate(t) times a second for span.
func (s *simulation) load(i int, span time.Duration, rate func(t time.Duration) float64) {
	start, region := s.now, simRegion(i)
	var next func()
	next = func() {
		elapsed := s.now.Sub(start)
		if elapsed >= span {
			return
		}
		s.ask(region, 2*i+s.rng.IntN(2))
		gap := s.rng.ExpFloat64() / max(rate(elapsed), 0.1)
		s.at(s.now.Add(time.Duration(gap*float64(time.Second))), next)
	}
	s.at(start, next)
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// ask begins a request of a caller in region at an entry VM.
func (s *simulation) ask(region steering.RegionName, entry int) {
	const objects = 60 // of the callers of a region
	object := xxhash.Sum64String(fmt.Sprintf("%s %d", region, s.rng.IntN(objects)))
	s.count(region, func(c *simCount) { c.asked++ })
	s.send(&simRequest{home: region, entry: entry, arrived: s.now, query: Query{
		Route: s.route, Service: "desk", Object: object, FirstAttempt: true, Bytes: 0,
	}})
}

func (s *simulation) count(region steering.RegionName, add func(*simCount)) {
	add(s.counts[region])
	index := int(s.now.Sub(time.Unix(1000, 0)) / (2 * time.Second))
	for len(s.windows[region]) <= index {
		s.windows[region] = append(s.windows[region], simCount{})
	}
	add(&s.windows[region][index])
}

// send places a request and lets it reach its server.
func (s *simulation) send(r *simRequest) {
	elapsed := s.now.Sub(r.arrived)
	r.query.TimeLeft, r.query.TargetLeft = s.route.Timeout-elapsed, simTarget-elapsed
	r.query.Random = s.rng.Float64()
	p, refusal := s.policies[r.entry].Place(&r.query, s.now)
	if refusal != nil {
		s.count(r.home, func(c *simCount) { c.refused++ })
		return
	}
	r.placed, r.server, r.tries = p, s.servers[p.Server], r.tries+1
	delay := time.Millisecond
	if r.server.member.Region != s.regions[r.entry] {
		delay = s.far
	}
	s.at(s.now.Add(delay), func() { s.reach(r, delay) })
}

func (s *simulation) reach(r *simRequest, delay time.Duration) {
	server := r.server
	s.count(r.home, func(c *simCount) {
		c.arrivals++
		if server.member.Region != r.home {
			c.remote++
		}
	})
	switch {
	case server.dead:
		s.finish(r, OutcomeNoConn, delay)
	case s.rng.Float64() < server.sheds, server.running >= simSlots && len(server.queue) >= server.queueMax:
		s.finish(r, OutcomeShed, delay)
	case server.running >= simSlots:
		server.queue = append(server.queue, r)
	default:
		s.start(r, delay)
	}
}

func (s *simulation) start(r *simRequest, delay time.Duration) {
	server := r.server
	server.running++
	took := s.cold
	if server.touch(r.query.Object) {
		took = s.warm
	}
	took = time.Duration(float64(took) * server.slow * (0.85 + 0.3*s.rng.Float64()))
	s.at(s.now.Add(took), func() {
		server.running--
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			d := time.Millisecond
			if server.member.Region != s.regions[next.entry] {
				d = s.far
			}
			s.start(next, d)
		}
		s.finish(r, OutcomeSuccess, delay)
	})
}

// touch notes that the server handles an object and reports whether it had it at hand.
func (v *simServer) touch(object uint64) bool {
	if place := v.places[object]; place != nil {
		v.order.MoveToFront(place)
		return true
	}
	v.places[object] = v.order.PushFront(object)
	if v.order.Len() > v.keeps {
		oldest := v.order.Back()
		delete(v.places, v.order.Remove(oldest).(uint64))
	}
	return false
}

// finish brings the server's answer back to the entry VM.
func (s *simulation) finish(r *simRequest, o Outcome, delay time.Duration) {
	load := &Load{Running: r.server.running, Waiting: len(r.server.queue), Slots: simSlots, Slowness: 1}
	sent := r.placed.sent
	s.at(s.now.Add(delay), func() {
		result := &Result{Outcome: o, Latency: s.now.Sub(sent), Load: load}
		if o == OutcomeNoConn {
			result.Load = nil
		}
		s.policies[r.entry].RecordResult(r.placed, result, s.now)
		if o != OutcomeSuccess {
			s.again(r, o, result)
			return
		}
		s.count(r.home, func(c *simCount) {
			if s.now.Sub(r.arrived) <= simTarget {
				c.onTime++
			} else {
				c.late++
			}
		})
	})
}

// again sends a request once more that no server ran, as the path of a request does.
func (s *simulation) again(r *simRequest, o Outcome, result *Result) {
	const most = 3
	if r.tries >= most {
		s.count(r.home, func(c *simCount) { c.refused++ })
		return
	}
	if !result.IsTransientShed() {
		r.query.Tried = append(r.query.Tried, r.placed.Server)
	}
	r.query.FirstAttempt = false
	r.query.Retry = r.query.Retry || o != OutcomeNoConn
	s.send(r)
}

// run plays all events.
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
		sum.asked += c.asked
		sum.onTime += c.onTime
		sum.late += c.late
		sum.refused += c.refused
		sum.arrivals += c.arrivals
		sum.remote += c.remote
	}
	return sum
}

// baseline is a simple policy to compare with: it knows the reports of servers and nothing else.
type baseline struct {
	servers  []Member
	loads    map[ServerID]int
	inFlight map[ServerID]int
	rng      *rand.Rand
	region   steering.RegionName
	pick     func(b *baseline, q *Query) *Member
}

func (s *simulation) useBaseline(pick func(b *baseline, q *Query) *Member) {
	for _, region := range s.regions {
		s.policies = append(s.policies, &baseline{
			servers: s.membership().Members, loads: make(map[ServerID]int), inFlight: make(map[ServerID]int),
			rng: s.rng, region: region, pick: pick,
		})
	}
}

func (b *baseline) Place(q *Query, now time.Time) (*Placement, *Refusal) {
	m := b.pick(b, q)
	b.inFlight[m.ID]++
	return &Placement{Server: m.ID, sent: now}, nil
}

func (b *baseline) RecordResult(p *Placement, r *Result, _ time.Time) bool {
	b.inFlight[p.Server]--
	if r.Load != nil {
		b.loads[p.Server] = r.Load.Running + r.Load.Waiting
	}
	return false
}

// leastOfThree picks the least busy of three random servers anywhere.
func leastOfThree(b *baseline, _ *Query) *Member {
	var best *Member
	for range 3 {
		m := &b.servers[b.rng.IntN(len(b.servers))]
		if best == nil || b.loads[m.ID]+b.inFlight[m.ID] < b.loads[best.ID]+b.inFlight[best.ID] {
			best = m
		}
	}
	return best
}

// rendezvousInRegion picks the server of the own region to which the object hashes, whatever its load.
func rendezvousInRegion(b *baseline, q *Query) *Member {
	var best *Member
	for i := range b.servers {
		m := &b.servers[i]
		if m.Region == b.region && (best == nil || rank(q.Object, m.ID) > rank(q.Object, best.ID)) {
			best = m
		}
	}
	return best
}
