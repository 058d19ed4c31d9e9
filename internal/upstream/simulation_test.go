package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// policyBlind is round robin without regard to slots, as the baseline.
const policyBlind Policy = "round-robin, blind"

// experiment is a simulation of the service saldo in Zollbrugg: servers with 5 slots, lookups with a log-normal service
// time of 8 ms median and a one-way delay of 1 ms. Some servers are slower for 10 s; load reports reach the entry VMs
// late.
type experiment struct {
	policy      Policy
	entries     int // entry VMs that share the servers, each with its own pool
	servers     int
	slowServers int
	factor      float64
	load        float64 // offered, as a share of all slots
	reportLag   time.Duration
	weight      float64 // Options.ReportWeight
	slowMoments float64 // share of the time that each server is slow, in periods of 300 ms
	uploads     float64 // offered in addition, as a share of all slots
	noReserve   bool    // no slots reserved for lookups
	hedges      bool    // sent after the 95th percentile of the latency, within a budget
	seed        uint64
}

const (
	simSlots  = 5
	simMedian = 8 * time.Millisecond
	simSigma  = 0.4
	simUpload = 300 * time.Millisecond // median
	simDelay  = time.Millisecond       // one way
	slowFrom  = 1 * time.Second
	slowUntil = 11 * time.Second
	simEnd    = 12 * time.Second
	simReport = 100 * time.Millisecond // between two reports of a server
	simBurst  = 10                     // maximum hedges saved up in a budget
	simHedges = 0.03                   // share of the lookups that may be hedged
)

type simServer struct {
	name    vm.Name
	running int
	queued  []simWork
	maxLoad int // maximum of running and queued requests
}

type simWork struct {
	class steering.Class
	done  func()
}

type simEntry struct {
	pool            *Pool
	latencyQuantile quantile // of the lookups' latency
	budget          *request.ExtraBudget
	queue           [2][]*lookup // by class
}

// lookup is a request. A request of class bulk is an upload.
type lookup struct {
	class     steering.Class
	entry     *simEntry
	arrived   time.Duration
	attempts  int
	tried     []vm.Name
	responded bool
}

type simulation struct {
	experiment
	rng       *rand.Rand
	now       time.Duration
	events    events
	fleet     []*simServer
	entryVMs  []*simEntry
	turn      int
	latencies []time.Duration // of lookups that arrived while servers are slowed
	extra     int             // attempts beyond the first
	arrived   int             // lookups that arrived while servers are slowed
	total     int             // lookups
	uploaded  time.Duration   // slot time of the uploads served while servers are slowed
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.push(s.now+d, run)
}

func (s *simulation) clock() time.Time { return start.Add(s.now) }

// run runs the simulation until simEnd and sorts its latencies.
func (e experiment) run() *simulation {
	s := &simulation{experiment: e, rng: rand.New(rand.NewPCG(e.seed, 7))}
	for _, server := range listedServers(e.servers) {
		s.fleet = append(s.fleet, &simServer{name: server.Name})
	}
	for i := range e.entries {
		entry := &simEntry{pool: NewPool(e.options(i)), budget: request.NewExtraBudget(simBurst), latencyQuantile: quantile{target: hedgeQuantile}}
		entry.pool.Update(listedServers(e.servers), start)
		s.entryVMs = append(s.entryVMs, entry)
	}
	s.scheduleArrival(steering.ClassInteractive, e.load)
	if e.uploads > 0 {
		s.scheduleArrival(steering.ClassBulk, e.uploads)
	}
	s.reportAll()
	for s.now < simEnd {
		next := s.events.pop()
		s.now = next.at
		next.run()
	}
	slices.Sort(s.latencies)
	return s
}

func (e experiment) options(entry int) Options {
	o := Options{Policy: e.policy, Seed: e.seed + uint64(entry+1)<<32, ReportWeight: e.weight}
	if e.noReserve {
		o.Reserve = -1
	}
	return o
}

func medianDuration(class steering.Class) time.Duration {
	if class == steering.ClassBulk {
		return simUpload
	}
	return simMedian
}

func (s *simulation) scheduleArrival(class steering.Class, load float64) {
	slotTime := medianDuration(class).Seconds()*math.Exp(simSigma*simSigma/2) + 2*simDelay.Seconds() // includes the network delay
	rate := load * float64(s.servers*simSlots) / slotTime
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		l := &lookup{class: class, entry: s.entryVMs[s.rng.IntN(len(s.entryVMs))], arrived: s.now}
		if class == steering.ClassInteractive {
			s.countArrival(l)
		}
		if len(l.entry.queue[class]) > 0 || !s.acquireAndSend(l, false) {
			l.entry.queue[class] = append(l.entry.queue[class], l)
		}
		s.scheduleArrival(class, load)
	})
}

func (s *simulation) countArrival(l *lookup) {
	s.total++
	if s.arrivedWhileSlowed(l) {
		s.arrived++
	}
	l.entry.budget.Deposit(simHedges)
}

func (s *simulation) arrivedWhileSlowed(l *lookup) bool {
	return l.arrived >= slowFrom && l.arrived < slowUntil
}

// acquireAndSend sends l to a server. It returns false if none has a free slot.
func (s *simulation) acquireAndSend(l *lookup, hedge bool) bool {
	if s.policy == policyBlind {
		s.turn++
		s.send(l, nil, s.fleet[s.turn%len(s.fleet)])
		return true
	}
	r, err := l.entry.pool.Acquire(Query{Class: l.class, Exclude: l.tried, Hedge: hedge, Now: s.clock()})
	if err != nil {
		return false
	}
	i := slices.IndexFunc(s.fleet, func(f *simServer) bool { return f.name == r.Server.Name })
	s.send(l, r, s.fleet[i])
	if after := time.Duration(l.entry.latencyQuantile.value()); s.hedges && !hedge && after > 0 && l.class == steering.ClassInteractive {
		s.after(after, func() { s.sendHedge(l) })
	}
	return true
}

func (s *simulation) sendHedge(l *lookup) {
	if l.responded || !l.entry.budget.TryWithdraw(0) {
		return
	}
	if !s.acquireAndSend(l, true) {
		l.entry.budget.Refund()
	}
}

// send delivers an attempt to server after the network delay, queues it until a slot is free, and delivers the
// response.
func (s *simulation) send(l *lookup, r *Reservation, server *simServer) {
	sent := s.now
	l.tried = append(l.tried, server.name)
	if l.attempts++; l.attempts > 1 {
		s.extra++
	}
	s.after(simDelay, func() {
		server.queued = append(server.queued, simWork{class: l.class, done: func() { s.after(simDelay, func() { s.handleResponse(l, r, sent) }) }})
		server.maxLoad = max(server.maxLoad, server.running+len(server.queued))
		s.startWaiting(server)
	})
}

func (s *simulation) startWaiting(server *simServer) {
	for server.running < simSlots && len(server.queued) > 0 {
		work := server.queued[0]
		server.queued = server.queued[1:]
		server.running++
		duration := time.Duration(float64(medianDuration(work.class)) * math.Exp(simSigma*s.rng.NormFloat64()))
		if s.isSlow(server) {
			duration = time.Duration(float64(duration) * s.factor)
		}
		s.after(duration, func() {
			server.running--
			work.done()
			s.startWaiting(server)
		})
	}
}

func (s *simulation) isSlow(server *simServer) bool {
	i := slices.Index(s.fleet, server)
	if s.slowMoments > 0 {
		const period = 300 * time.Millisecond
		value := rand.New(rand.NewPCG(s.seed+uint64(i)<<32, uint64(s.now/period))).Float64()
		return value < s.slowMoments
	}
	return s.now >= slowFrom && s.now < slowUntil && i < s.slowServers
}

func (s *simulation) handleResponse(l *lookup, r *Reservation, sent time.Duration) {
	if !l.responded {
		l.responded = true
		s.recordMeasurement(l, sent)
	}
	if r == nil {
		return
	}
	finish(r, s.now-sent, s.clock())
	if l.class == steering.ClassInteractive {
		l.entry.latencyQuantile.add(float64(s.now - sent))
	}
	for class := range l.entry.queue {
		for q := &l.entry.queue[class]; len(*q) > 0 && s.acquireAndSend((*q)[0], false); {
			*q = (*q)[1:]
		}
	}
}

func (s *simulation) recordMeasurement(l *lookup, sent time.Duration) {
	switch {
	case l.class == steering.ClassBulk && s.now >= slowFrom && s.now < slowUntil:
		s.uploaded += s.now - sent
	case l.class == steering.ClassInteractive && s.arrivedWhileSlowed(l):
		s.latencies = append(s.latencies, s.now-l.arrived)
	}
}

// reportAll sends every server's load to every entry VM after reportLag, and repeats every simReport.
func (s *simulation) reportAll() {
	for _, server := range s.fleet {
		load := request.UpstreamLoad{InFlight: server.running, Queued: len(server.queued), Slots: simSlots}
		s.after(s.reportLag, func() {
			for _, e := range s.entryVMs {
				e.pool.RecordLoadReport(server.name, load, s.clock())
			}
		})
	}
	s.after(simReport, s.reportAll)
}

// percentile returns the latency below which the given share of the lookups lies. Lookups without a response before the
// end are not included; unansweredLookups returns their number.
func (s *simulation) percentile(share float64) time.Duration {
	return s.latencies[int(share*float64(len(s.latencies)-1))]
}

func (s *simulation) unansweredLookups() int { return s.arrived - len(s.latencies) }
