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
	hedges    bool    // after the 95th percentile, within a Budget
	seed      uint64
}

const (
	simSlots  = 5
	simMedian = 8 * time.Millisecond
	simSigma  = 0.4
	simDelay  = time.Millisecond // one way
	slowFrom  = 1 * time.Second
	slowUntil = 11 * time.Second
	simEnd    = 12 * time.Second
	simReport = 100 * time.Millisecond // between two reports of a server
)

type simServer struct {
	name    vm.Name
	running int
	waiting []func()
	most    int // requests running and waiting
}

type simEntry struct {
	pool   *Pool
	budget *Budget
	queue  []*lookup
}

type lookup struct {
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
		entry := &simEntry{pool: NewPool(e.options(i)), budget: NewBudget(BudgetOptions{})}
		entry.pool.Update(listed(e.servers), start)
		s.entrances = append(s.entrances, entry)
	}
	s.arrive()
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
	return Options{Policy: e.policy, Seed: e.seed + uint64(entry)<<32, ReportWeight: e.weight}
}

func (s *simulation) arrive() {
	mean := simMedian.Seconds() * math.Exp(simSigma*simSigma/2)
	held := mean + 2*simDelay.Seconds() // a slot is held on the way as well
	rate := s.load * float64(s.servers*simSlots) / held
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		l := &lookup{entry: s.entrances[s.rng.IntN(len(s.entrances))], arrived: s.now}
		s.total++
		if s.measured(l) {
			s.arrived++
		}
		l.entry.budget.Request()
		if len(l.entry.queue) > 0 || !s.place(l, false) {
			l.entry.queue = append(l.entry.queue, l)
		}
		s.arrive()
	})
}

func (s *simulation) measured(l *lookup) bool { return l.arrived >= slowFrom && l.arrived < slowUntil }

// place sends l to a server; false if none has room.
func (s *simulation) place(l *lookup, hedge bool) bool {
	if s.policy == policyBlind {
		s.turn++
		s.send(l, nil, s.fleet[s.turn%len(s.fleet)])
		return true
	}
	r, err := l.entry.pool.Acquire(Query{Class: steering.ClassInteractive, Exclude: l.tried, Hedge: hedge, Now: s.clock()})
	if err != nil {
		return false
	}
	i := slices.IndexFunc(s.fleet, func(f *simServer) bool { return f.name == r.Server.Name })
	s.send(l, r, s.fleet[i])
	if after := l.entry.pool.HedgeAfter(steering.ClassInteractive); s.hedges && !hedge && after > 0 {
		s.after(after, func() { s.hedge(l) })
	}
	return true
}

func (s *simulation) hedge(l *lookup) {
	if l.answered || !l.entry.budget.TakeHedge() {
		return
	}
	if !s.place(l, true) {
		l.entry.budget.ReturnHedge()
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
		server.waiting = append(server.waiting, func() { s.after(simDelay, func() { s.answer(l, r, sent) }) })
		server.most = max(server.most, server.running+len(server.waiting))
		s.serve(server)
	})
}

func (s *simulation) serve(server *simServer) {
	for server.running < simSlots && len(server.waiting) > 0 {
		done := server.waiting[0]
		server.waiting = server.waiting[1:]
		server.running++
		took := time.Duration(float64(simMedian) * math.Exp(simSigma*s.rng.NormFloat64()))
		if s.slow(server) {
			took = time.Duration(float64(took) * s.factor)
		}
		s.after(took, func() {
			server.running--
			done()
			s.serve(server)
		})
	}
}

func (s *simulation) slow(server *simServer) bool {
	return s.now >= slowFrom && s.now < slowUntil && slices.Index(s.fleet, server) < s.slowed
}

func (s *simulation) answer(l *lookup, r *Reservation, sent time.Duration) {
	if !l.answered {
		l.answered = true
		if s.measured(l) {
			s.latencies = append(s.latencies, s.now-l.arrived)
		}
	}
	if r == nil {
		return
	}
	finish(r, s.now-sent, s.clock())
	for q := l.entry; len(q.queue) > 0 && s.place(q.queue[0], false); {
		q.queue = q.queue[1:]
	}
}

// reportAll sends each server's load to each entry VM, late.
func (s *simulation) reportAll() {
	for _, server := range s.fleet {
		load := request.UpstreamLoad{InFlight: server.running, Queued: len(server.waiting), Slots: simSlots}
		s.after(s.reportLag, func() {
			for _, e := range s.entrances {
				e.pool.Observe(server.name, load, s.clock())
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
