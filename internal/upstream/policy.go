package upstream

import (
	"math"
	"sync/atomic"
)

// Policy names a way to choose among the servers that have a slot.
type Policy string

// The policies. Options.Policy of "" is PolicyLeastLoaded.
const (
	// PolicyRoundRobin takes one server after the other.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyTwoChoices takes the less loaded of two random servers, as this VM sees the load.
	PolicyTwoChoices Policy = "two-choices"
	// PolicyProbed prefers, among servers whose reported load is not high, the one of least latency.
	PolicyProbed Policy = "probed"
	// PolicyLeastLoaded takes the server of least cost by load, latency and warmth.
	PolicyLeastLoaded Policy = "least-loaded"
)

// selector chooses a usable server of a view and returns its index, or -1 if it found none. The
// view is passed by value so that it stays on the stack.
type selector interface {
	pick(v view) int
}

func newSelector(p Policy) selector {
	switch p {
	case PolicyRoundRobin:
		return &roundRobin{}
	case PolicyTwoChoices:
		return twoChoices{}
	case PolicyProbed:
		return probed{}
	default:
		return leastLoaded{}
	}
}

type roundRobin struct{ next atomic.Uint64 }

func (r *roundRobin) pick(v view) int {
	n := len(v.snap.servers)
	for range n {
		i := int(r.next.Add(1) % uint64(n))
		if v.state(i) == stateUsable {
			return i
		}
	}
	return -1
}

type twoChoices struct{}

func (twoChoices) pick(v view) int {
	n := len(v.snap.servers)
	best, least := -1, int32(math.MaxInt32)
	for range min(n, 2) {
		i := v.start()
		if load := v.snap.servers[i].inFlight.Load(); load < least && v.state(i) == stateUsable {
			best, least = i, load
		}
	}
	return best
}

// sample calls visit for size random servers, or for each one if there are no more.
func (v *view) sample(size int, visit func(i int)) {
	n := len(v.snap.servers)
	if n > size {
		for range size {
			visit(v.start())
		}
		return
	}
	i := v.start()
	for range n {
		visit(i)
		if i++; i == n {
			i = 0
		}
	}
}

// probed follows the rule hot or cold: a server is hot if its reported load is above a quantile of
// the loads looked at. Among cold ones the least latency wins, among hot ones the least load.
type probed struct{}

func (probed) pick(v view) int {
	const reports = 16    // looked at
	const hotShare = 0.84 // of the highest load looked at
	highest := 0.0
	v.sample(reports, func(i int) { highest = max(highest, v.reported(i)) })
	best, least := -1, math.Inf(1)
	v.sample(reports, func(i int) {
		if v.state(i) != stateUsable {
			return
		}
		s := v.snap.servers[i]
		load := v.reported(i)
		cost := s.classes[v.query.Class].latency.load()
		if load > 0 && load >= hotShare*highest {
			const hot = 1e15 // above each latency in nanoseconds
			cost = hot * (1 + load)
		}
		if cost < least {
			best, least = i, cost
		}
	})
	return best
}

// reported returns the load that the last report of server i names, in requests.
func (v *view) reported(i int) float64 {
	if r := v.snap.servers[i].report.Load(); r != nil {
		return float64(r.load.InFlight + r.load.Queued)
	}
	return 0
}

type leastLoaded struct{}

func (leastLoaded) pick(v view) int {
	const choices = 4 // servers looked at
	best, least := -1, math.Inf(1)
	v.sample(choices, func(i int) {
		if v.state(i) != stateUsable {
			return
		}
		if cost := v.score(v.snap.servers[i]); cost < least {
			best, least = i, cost
		}
	})
	return best
}
