package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// ejectionCause is the reason for an ejection.
type ejectionCause uint8

const (
	causeNone ejectionCause = iota
	causeSlow
	causeFailure
)

var causeNames = [...]string{"", "slow", "failing"}

// ejection is the ejection history of a server.
type ejection struct {
	cause ejectionCause
	level int   // consecutive ejections
	at    int64 // start of the last ejection
}

// ejectionResetAfter is the time since the start of a server's last ejection after which the backoff starts from its
// first step again.
const ejectionResetAfter = int64(30 * time.Second)

// stragglerInterval is the minimum time between two straggler checks of all servers.
const stragglerInterval = int64(20 * time.Millisecond)

// eject takes s out of use with an exponential backoff. It returns false if the ejection would leave fewer than
// minUsable servers in use.
func (p *Pool) eject(s *server, cause ejectionCause, at int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.ejected() || s.leaving() {
		return true
	}
	if p.usableCount()-1 < p.minUsable() {
		return false
	}
	p.startNextEjection(s, cause, at)
	return true
}

// startNextEjection ejects s for the next step of the backoff of its cause.
func (p *Pool) startNextEjection(s *server, cause ejectionCause, at int64) {
	e := &s.ejection
	if at-e.at > ejectionResetAfter {
		e.level = 0
	}
	first, limit := p.options.SlowBackoff, p.options.SlowLimit
	if cause == causeFailure {
		first, limit = p.options.FailBackoff, p.options.FailLimit
	}
	length := min(float64(first)*math.Exp2(float64(e.level)), float64(limit))
	length *= 1 - 0.2*float64(p.random.intn(1000))/1000 // jitter spreads the trials of several VMs over time
	e.cause, e.at = cause, at
	e.level++
	s.ejectedUntil.Store(at + int64(length))
	p.refreshTotals()
}

// restore returns s to use with the median latency of its pool and no failures.
func (p *Pool) restore(s *server) {
	for class := range s.classes {
		s.classes[class].latency.store(p.median[class].load())
	}
	s.failures.Store(0)
	s.ejectedUntil.Store(0)
	p.refreshTotals()
}

// usableCount returns the number of servers that are neither leaving nor ejected.
func (p *Pool) usableCount() int {
	n := 0
	for _, s := range p.snapshot.Load().servers {
		if !s.leaving() && !s.ejected() {
			n++
		}
	}
	return n
}

// minUsable returns the minimum number of servers that ejection leaves in use: a share of those that are not leaving,
// at least 1.
func (p *Pool) minUsable() int {
	staying := 0
	for _, s := range p.snapshot.Load().servers {
		if !s.leaving() {
			staying++
		}
	}
	return max(int(math.Ceil(float64(staying)*p.options.Floor)), 1)
}

// restoreToMinimum restores ejected servers until minUsable servers are in use, those with the fewest consecutive
// ejections first.
func (p *Pool) restoreToMinimum() {
	for p.usableCount() < p.minUsable() {
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

// refreshTotals recomputes the values derived from the states of all servers: the slots of the servers in use and the
// earliest end of an ejection.
func (p *Pool) refreshTotals() {
	next, slots := int64(math.MaxInt64), int64(0)
	for _, s := range p.snapshot.Load().servers {
		until := s.ejectedUntil.Load()
		switch {
		case s.leaving():
		case until == 0:
			slots += int64(s.slots)
		case !s.trialInFlight.Load():
			next = min(next, until)
		}
	}
	p.usableSlots.Store(slots)
	p.nextTrial.Store(next)
}

// acquireTrial acquires a slot of a server whose ejection time is over. Each such server gets one trial request at a
// time.
func (p *Pool) acquireTrial(v *view) *server {
	if next := p.nextTrial.Load(); v.now < next || !v.allowsTrial(next) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range v.snap.servers {
		until := s.ejectedUntil.Load()
		if until == 0 || until > v.now || s.leaving() || s.isContactExpired(v.now) || v.excluded(s) || s.trialInFlight.Load() {
			continue
		}
		if !s.acquireSlot(v.limit(s)) {
			continue
		}
		s.trialInFlight.Store(true)
		p.refreshTotals()
		return s
	}
	return nil
}

// acquireEjected acquires a slot of an ejected server for a retry that has no other server left: a slow response is
// better than none, and an attempt at a failing server is better than a refusal.
func (p *Pool) acquireEjected(v *view) *server {
	if len(v.query.Exclude) == 0 || v.query.Hedge {
		return nil
	}
	for i, s := range v.snap.servers {
		if v.state(i) == stateEjected && !v.excluded(s) && s.acquireSlot(v.limit(s)) {
			return s
		}
	}
	return nil
}

// endTrial restores s if the trial passed and ejects it for longer if it failed. An inconclusive trial is repeated
// after a backoff of the same step.
func (p *Pool) endTrial(s *server, r *Reservation, result *request.AttemptResult, at int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.trialInFlight.Store(false)
	if !s.ejected() {
		return
	}
	switch p.evaluateTrial(s, r, result, at) {
	case trialPassed:
		p.restore(s)
		if s.ejection.cause == causeFailure {
			s.warmFrom.Store(at)
		}
	case trialFailed:
		p.startNextEjection(s, s.ejection.cause, at)
	case trialVoid:
		s.ejection.level--
		p.startNextEjection(s, s.ejection.cause, at)
	}
}

type trialVerdict uint8

const (
	trialPassed trialVerdict = iota
	trialFailed
	trialVoid
)

func (p *Pool) evaluateTrial(s *server, r *Reservation, result *request.AttemptResult, at int64) trialVerdict {
	elapsed := at - r.start
	switch result.Failure {
	case request.FailureNone:
		if p.isTooSlow(latencyOf(result, elapsed), r.class) {
			return trialFailed
		}
		return trialPassed
	case request.FailureCancelled:
		if p.isTooSlow(float64(elapsed), r.class) {
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

// isTooSlow reports whether a latency in nanoseconds exceeds the median of its class by both SlowFactor and SlowMargin.
func (p *Pool) isTooSlow(latency float64, class steering.Class) bool {
	median := p.median[class].load()
	return median > 0 && latency > p.options.SlowFactor*median && latency > median+float64(p.options.SlowMargin)
}

// ejectStragglers updates the medians and ejects stragglers. It runs at the end of an attempt, at most once per
// stragglerInterval, and never during the selection of a server.
func (p *Pool) ejectStragglers(at int64) {
	due := p.nextStragglerCheck.Load()
	if at < due || !p.nextStragglerCheck.CompareAndSwap(due, at+stragglerInterval) {
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
		if !s.ejected() && p.isStraggler(s, at) && !p.eject(s, causeSlow, at) {
			return
		}
	}
}

// isStraggler reports whether s is too slow for interactive requests, whose service time varies little. Requests in
// flight count as soon as they are too old, so that a sudden stall is detected before its first response.
func (p *Pool) isStraggler(s *server, at int64) bool {
	const minInFlight = 2 // requests
	c := &s.classes[steering.ClassInteractive]
	if p.isTooSlow(c.expectedLatency(p.median[steering.ClassInteractive].load(), at), steering.ClassInteractive) {
		recent := at-c.sampled.Load() < latencySampleTTL && p.isTooSlow(c.latency.load(), steering.ClassInteractive)
		return recent || c.inFlight.Load() >= minInFlight
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

// EjectedUntil returns when the ejection of a server ends; the zero time if the server is in use or unknown.
func (p *Pool) EjectedUntil(name vm.Name) time.Time {
	snap := p.snapshot.Load()
	for _, s := range snap.servers {
		if until := s.ejectedUntil.Load(); s.vm.Name == name && until != 0 {
			return snap.epoch.Add(time.Duration(until))
		}
	}
	return time.Time{}
}
