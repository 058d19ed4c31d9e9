package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// cause says why a server was ejected.
type cause uint8

const (
	causeNone cause = iota
	causeSlow
	causeFailure
)

var causeNames = [...]string{"", "slow", "failing"}

// ejection is the history of a server's ejections.
type ejection struct {
	cause cause
	level int   // ejections in a row
	at    int64 // last ejection
}

// ejectionMemory is how long a server must stay in use for its next ejection to be short again.
const ejectionMemory = int64(30 * time.Second)

// reviewInterval is the time between two looks at all servers.
const reviewInterval = int64(20 * time.Millisecond)

// eject takes s out of use for a time that doubles. It returns false if too few servers would be left.
func (p *Pool) eject(s *server, why cause, at int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected() || s.leaving() {
		return true
	}
	if p.usable()-1 < p.floor() {
		return false
	}
	p.prolong(s, why, at)
	return true
}

// prolong begins the next ejection of s.
func (p *Pool) prolong(s *server, why cause, at int64) {
	e := &s.ejection
	if at-e.at > ejectionMemory {
		e.level = 0
	}
	first, limit := p.options.SlowBackoff, p.options.SlowLimit
	if why == causeFailure {
		first, limit = p.options.FailBackoff, p.options.FailLimit
	}
	length := min(float64(first)*math.Exp2(float64(e.level)), float64(limit))
	length *= 1 - 0.2*float64(p.random.intn(1000))/1000 // spreads the trials of several VMs
	e.cause, e.at = why, at
	e.level++
	s.ejectedUntil.Store(at + int64(length))
	p.refresh()
}

// restore puts s back in use as an ordinary server.
func (p *Pool) restore(s *server) {
	for class := range s.classes {
		s.classes[class].latency.store(p.median[class].load())
	}
	s.failures.Store(0)
	s.ejectedUntil.Store(0)
	p.refresh()
}

// usable counts the servers in use.
func (p *Pool) usable() int {
	n := 0
	for _, s := range p.snapshot.Load().servers {
		if !s.leaving() && !s.ejected() {
			n++
		}
	}
	return n
}

// floor returns how many servers ejection leaves in use.
func (p *Pool) floor() int {
	staying := 0
	for _, s := range p.snapshot.Load().servers {
		if !s.leaving() {
			staying++
		}
	}
	return max(int(math.Ceil(float64(staying)*p.options.Floor)), 1)
}

// relax restores ejected servers while too few are in use, those ejected least often first.
func (p *Pool) relax() {
	for p.usable() < p.floor() {
		var best *server
		for _, s := range p.snapshot.Load().servers {
			if s.leaving() || !s.ejected() {
				continue
			}
			if best == nil || s.ejection.level < best.ejection.level {
				best = s
			}
		}
		if best == nil {
			return
		}
		p.restore(best)
	}
}

// refresh sets what follows from the states of all servers: the slots in use and when the next
// ejection ends.
func (p *Pool) refresh() {
	next, slots := int64(math.MaxInt64), int64(0)
	for _, s := range p.snapshot.Load().servers {
		until := s.ejectedUntil.Load()
		switch {
		case s.leaving():
		case until == 0:
			slots += int64(s.slots)
		case !s.trial.Load():
			next = min(next, until)
		}
	}
	p.usableSlots.Store(slots)
	p.nextTrial.Store(next)
}

// takeTrial takes a slot of a server whose ejection is over, for one request at a time.
func (p *Pool) takeTrial(v *view) *server {
	if next := p.nextTrial.Load(); v.now < next || !v.trialClass(next) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range v.snap.servers {
		until := s.ejectedUntil.Load()
		if until == 0 || until > v.now || s.leaving() || s.unseen(v.now) || v.excluded(s) || s.trial.Load() {
			continue
		}
		if !s.take(v.limit(s)) {
			continue
		}
		s.trial.Store(true)
		p.refresh()
		return s
	}
	return nil
}

// takeLast takes a slot of an ejected server for a retry that has no other server left: a slow
// answer goes before none, and a failing server before a refusal.
func (p *Pool) takeLast(v *view) *server {
	if len(v.query.Exclude) == 0 || v.query.Hedge {
		return nil
	}
	for i, s := range v.snap.servers {
		if v.state(i) == stateEjected && !v.excluded(s) && s.take(v.limit(s)) {
			return s
		}
	}
	return nil
}

// endTrial restores s if the trial went well and else ejects it for longer. A trial that shows
// nothing is repeated after as long a time.
func (p *Pool) endTrial(s *server, r *Reservation, result *request.AttemptResult, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.trial.Store(false)
	if !s.ejected() {
		return
	}
	switch p.judge(s, r, result, at) {
	case trialPassed:
		p.restore(s)
		if s.ejection.cause == causeFailure {
			s.warmFrom.Store(at)
		}
	case trialFailed:
		p.prolong(s, s.ejection.cause, at)
	case trialVoid:
		s.ejection.level--
		p.prolong(s, s.ejection.cause, at)
	}
}

type trialVerdict uint8

const (
	trialPassed trialVerdict = iota
	trialFailed
	trialVoid
)

func (p *Pool) judge(s *server, r *Reservation, result *request.AttemptResult, at int64) trialVerdict {
	elapsed := at - r.start
	switch result.Failure {
	case request.FailureNone:
		if p.tooSlow(latencyOf(result, elapsed), r.class) {
			return trialFailed
		}
		return trialPassed
	case request.FailureCancelled:
		if p.tooSlow(float64(elapsed), r.class) {
			return trialFailed
		}
		return trialVoid
	case request.FailureSilent, request.FailureShed:
		return trialVoid
	default:
		s.ejection.cause = causeFailure
		return trialFailed
	}
}

// tooSlow reports whether a latency in nanoseconds marks a straggler.
func (p *Pool) tooSlow(latency float64, class steering.Class) bool {
	median := p.median[class].load()
	return median > 0 && latency > p.options.SlowFactor*median && latency > median+float64(p.options.SlowMargin)
}

// review updates the medians and ejects stragglers. It runs at most once an interval, after an
// attempt ended, and never on the path of a decision.
func (p *Pool) review(at int64) {
	due := p.nextReview.Load()
	if at < due || !p.nextReview.CompareAndSwap(due, at+reviewInterval) {
		return
	}
	snap := p.snapshot.Load()
	for class := range p.median {
		p.median[class].store(snap.medianLatency(class))
	}
	if p.options.Policy != PolicyLeastLoaded {
		return
	}
	for _, s := range snap.servers {
		if !s.ejected() && p.straggles(s, at) && !p.eject(s, causeSlow, at) {
			return
		}
	}
}

// straggles judges s by its interactive work, whose length varies little. Requests still in flight
// count as soon as they are too old, so a sudden stall is seen before its first answer.
func (p *Pool) straggles(s *server, at int64) bool {
	const enough = 2 // requests in flight
	c := &s.classes[steering.ClassInteractive]
	if p.tooSlow(c.estimate(p.median[steering.ClassInteractive].load(), at), steering.ClassInteractive) {
		recent := at-c.sampled.Load() < latencyMemory && p.tooSlow(c.latency.load(), steering.ClassInteractive)
		return recent || c.inFlight.Load() >= enough
	}
	return false
}

func (s *snapshot) medianLatency(class int) float64 {
	values := make([]float64, 0, len(s.servers))
	for _, server := range s.servers {
		if l := server.classes[class].latency.load(); l > 0 && !server.ejected() {
			values = append(values, l)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// EjectedUntil returns when the ejection of a server ends, zero if it is in use or unknown.
func (p *Pool) EjectedUntil(name vm.Name) time.Time {
	snap := p.snapshot.Load()
	for _, s := range snap.servers {
		if until := s.ejectedUntil.Load(); s.vm.Name == name && until != 0 {
			return snap.epoch.Add(time.Duration(until))
		}
	}
	return time.Time{}
}
