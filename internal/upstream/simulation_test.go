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

// policyBlind is round robin that knows nothing of slots, as the baseline.
const policyBlind Policy = "round-robin, blind"

// experiment is Zollbrugg's saldo: servers of 5 slots, lookups of 8 ms median, log-normal, with
// 1 ms one way. Some servers are slower for 10 s; reports reach the entry VMs late.
type experiment struct {
	policy    Policy
	entries   int // entry VMs that share the servers, each with its own pool
	servers   int
	slowed    int
	factor    float64
	load      float64 // offered, as a share of all slots
	reportLag time.Duration
	weight    float64 // Options.ReportWeight
	moments   float64 // share of the time that each server is slowed in moments of 300 ms
	uploads   float64 // offered besides, as a share of all slots
	noReserve bool    // no slots kept for lookups
	hedges    bool    // after the 95th percentile, within a budget
	seed      uint64
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
	simBurst  = 10                     // hedges that may be saved up
	simHedges = 0.03                   // of the lookups
)

type simServer struct {
	name    vm.Name
	running int
	waiting []simWork
	most    int // requests running and waiting
}

type simWork struct {
	class steering.Class
	done  func()
}

type simEntry struct {
	pool   *Pool
	tail   quantile // of the lookups' latency
	budget *request.ExtraBudget
	queue  [2][]*lookup // by class
}

// lookup is a request; one of class bulk is an upload.
type lookup struct {
	class    steering.Class
	entry    *simEntry
	arrived  time.Duration
	attempts int
	tried    []vm.Name
	answered bool
}

type simulation struct {
	experiment
	rng       *rand.Rand
	now       time.Duration
	events    events
	fleet     []*simServer
	entrances []*simEntry
	turn      int
	latencies []time.Duration // of lookups that arrived while servers are slowed
	extra     int             // attempts beyond the first
	arrived   int             // lookups that arrived in the same time
	total     int             // lookups
	uploaded  time.Duration   // slot time of the uploads served in the same time
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.push(s.now+d, run)
}

func (s *simulation) clock() time.Time { return start.Add(s.now) }

// run returns the sorted latencies of the lookups that arrived between slowFrom and slowUntil.
func (e experiment) run() *simulation {
	s := &simulation{experiment: e, rng: rand.New(rand.NewPCG(e.seed, 7))}
	for _, server := range listed(e.servers) {
		s.fleet = append(s.fleet, &simServer{name: server.Name})
	}
	for i := range e.entries {
		entry := &simEntry{pool: NewPool(e.options(i)), budget: request.NewExtraBudget(simBurst), tail: quantile{target: hedgeQuantile}}
		entry.pool.Update(listed(e.servers), start)
		s.entrances = append(s.entrances, entry)
	}
	s.arrive(steering.ClassInteractive, e.load)
	if e.uploads > 0 {
		s.arrive(steering.ClassBulk, e.uploads)
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

func median(class steering.Class) time.Duration {
	if class == steering.ClassBulk {
		return simUpload
	}
	return simMedian
}

func (s *simulation) arrive(class steering.Class, load float64) {
	held := median(class).Seconds()*math.Exp(simSigma*simSigma/2) + 2*simDelay.Seconds() // on the way as well
	rate := load * float64(s.servers*simSlots) / held
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		l := &lookup{class: class, entry: s.entrances[s.rng.IntN(len(s.entrances))], arrived: s.now}
		if class == steering.ClassInteractive {
			s.count(l)
		}
		if len(l.entry.queue[class]) > 0 || !s.place(l, false) {
			l.entry.queue[class] = append(l.entry.queue[class], l)
		}
		s.arrive(class, load)
	})
}

func (s *simulation) count(l *lookup) {
	s.total++
	if s.measured(l) {
		s.arrived++
	}
	l.entry.budget.Deposit(simHedges)
}

func (s *simulation) measured(l *lookup) bool { return l.arrived >= slowFrom && l.arrived < slowUntil }

// place sends l to a server; false if none has room.
func (s *simulation) place(l *lookup, hedge bool) bool {
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
	if after := time.Duration(l.entry.tail.value()); s.hedges && !hedge && after > 0 && l.class == steering.ClassInteractive {
		s.after(after, func() { s.hedge(l) })
	}
	return true
}

func (s *simulation) hedge(l *lookup) {
	if l.answered || !l.entry.budget.TryWithdraw(0) {
		return
	}
	if !s.place(l, true) {
		l.entry.budget.Refund()
	}
}

// send carries an attempt to server, runs it there once a slot is free, and carries the answer back.
func (s *simulation) send(l *lookup, r *Reservation, server *simServer) {
	sent := s.now
	l.tried = append(l.tried, server.name)
	if l.attempts++; l.attempts > 1 {
		s.extra++
	}
	s.after(simDelay, func() {
		server.waiting = append(server.waiting, simWork{class: l.class, done: func() { s.after(simDelay, func() { s.answer(l, r, sent) }) }})
		server.most = max(server.most, server.running+len(server.waiting))
		s.serve(server)
	})
}

func (s *simulation) serve(server *simServer) {
	for server.running < simSlots && len(server.waiting) > 0 {
		work := server.waiting[0]
		server.waiting = server.waiting[1:]
		server.running++
		took := time.Duration(float64(median(work.class)) * math.Exp(simSigma*s.rng.NormFloat64()))
		if s.slow(server) {
			took = time.Duration(float64(took) * s.factor)
		}
		s.after(took, func() {
			server.running--
			work.done()
			s.serve(server)
		})
	}
}

func (s *simulation) slow(server *simServer) bool {
	i := slices.Index(s.fleet, server)
	if s.moments > 0 {
		const moment = 300 * time.Millisecond
		draw := rand.New(rand.NewPCG(s.seed+uint64(i)<<32, uint64(s.now/moment))).Float64()
		return draw < s.moments
	}
	return s.now >= slowFrom && s.now < slowUntil && i < s.slowed
}

func (s *simulation) answer(l *lookup, r *Reservation, sent time.Duration) {
	if !l.answered {
		l.answered = true
		s.measure(l, sent)
	}
	if r == nil {
		return
	}
	finish(r, s.now-sent, s.clock())
	if l.class == steering.ClassInteractive {
		l.entry.tail.add(float64(s.now - sent))
	}
	for class := range l.entry.queue {
		for q := &l.entry.queue[class]; len(*q) > 0 && s.place((*q)[0], false); {
			*q = (*q)[1:]
		}
	}
}

func (s *simulation) measure(l *lookup, sent time.Duration) {
	switch {
	case l.class == steering.ClassBulk && s.now >= slowFrom && s.now < slowUntil:
		s.uploaded += s.now - sent
	case l.class == steering.ClassInteractive && s.measured(l):
		s.latencies = append(s.latencies, s.now-l.arrived)
	}
}

// reportAll sends each server's load to each entry VM, late.
func (s *simulation) reportAll() {
	for _, server := range s.fleet {
		load := request.UpstreamLoad{InFlight: server.running, Queued: len(server.waiting), Slots: simSlots}
		s.after(s.reportLag, func() {
			for _, e := range s.entrances {
				e.pool.RecordLoadReport(server.name, load, s.clock())
			}
		})
	}
	s.after(simReport, s.reportAll)
}

// percentile returns the latency that a share of the lookups stays under. Lookups that did not come
// back before the end are not counted; lost tells how many.
func (s *simulation) percentile(share float64) time.Duration {
	return s.latencies[int(share*float64(len(s.latencies)-1))]
}

func (s *simulation) lost() int { return s.arrived - len(s.latencies) }
