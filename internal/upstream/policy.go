package upstream

import (
	"math"
	"sync/atomic"
)

// Policy names a load-balancing policy among the servers that have a free slot.
type Policy string

// The policies. Options.Policy of "" is PolicyLeastLoaded.
const (
	// PolicyRoundRobin selects the servers in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyTwoChoices selects the one of two random servers with fewer requests in flight from this VM.
	PolicyTwoChoices Policy = "two-choices"
	// PolicyProbed prefers, among servers whose reported load is not high, the one with the lowest latency.
	PolicyProbed Policy = "probed"
	// PolicyLeastLoaded selects the server with the lowest cost by load, latency and warmth.
	PolicyLeastLoaded Policy = "least-loaded"
)

// selector selects a usable server of a view and returns its index, or -1 if it finds none. The view is passed by
// value so that it stays on the stack.
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
	best, minLoad := -1, int32(math.MaxInt32)
	for range min(n, 2) {
		i := v.randomIndex()
		if load := v.snap.servers[i].inFlight.Load(); load < minLoad && v.state(i) == stateUsable {
			best, minLoad = i, load
		}
	}
	return best
}

// visitSample calls visit for size random servers, or once for every server if there are at most size.
func (v *view) visitSample(size int, visit func(i int)) {
	n := len(v.snap.servers)
	if n > size {
		for range size {
			visit(v.randomIndex())
		}
		return
	}
	i := v.randomIndex()
	for range n {
		visit(i)
		if i++; i == n {
			i = 0
		}
	}
}

// probed applies the hot-cold rule: a server is hot if its reported load is at least hotThreshold of the highest load
// in the sample. The cold server with the lowest latency wins; if all are hot, the one with the lowest load.
type probed struct{}

func (probed) pick(v view) int {
	const sampleSize = 16     // servers
	const hotThreshold = 0.84 // of the highest load in the sample
	highest := 0.0
	v.visitSample(sampleSize, func(i int) { highest = max(highest, v.reportedLoad(i)) })
	best, minCost := -1, math.Inf(1)
	v.visitSample(sampleSize, func(i int) {
		if v.state(i) != stateUsable {
			return
		}
		s := v.snap.servers[i]
		load := v.reportedLoad(i)
		cost := s.classes[v.query.Class].latency.load()
		if load > 0 && load >= hotThreshold*highest {
			const hotCost = 1e15 // above any latency in nanoseconds
			cost = hotCost * (1 + load)
		}
		if cost < minCost {
			best, minCost = i, cost
		}
	})
	return best
}

// reportedLoad returns the load in the last report of server i, in requests in flight and queued; 0 without a report.
func (v *view) reportedLoad(i int) float64 {
	if r := v.snap.servers[i].report.Load(); r != nil {
		return float64(r.load.InFlight + r.load.Queued)
	}
	return 0
}

type leastLoaded struct{}

func (leastLoaded) pick(v view) int {
	const choices = 4 // servers compared
	best, minCost := -1, math.Inf(1)
	v.visitSample(choices, func(i int) {
		if v.state(i) != stateUsable {
			return
		}
		if cost := v.score(v.snap.servers[i]); cost < minCost {
			best, minCost = i, cost
		}
	})
	return best
}
