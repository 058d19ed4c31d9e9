package upstream

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// maxCandidates is the maximum number of candidates listed in a decision.
const maxCandidates = 16

// serverState is whether a server may be selected, and if not, the reason.
type serverState uint8

const (
	stateUsable serverState = iota
	stateLeaving
	stateEjected
	stateContactExpired
	stateExcluded
	stateShed
	stateFull
	stateCount
)

var stateReasons = [stateCount]string{"not chosen", "leaving", "ejected", "not heard of", "already tried", "shed", "no slot"}

// view is the state that a policy uses for one query. It stays on the stack of Acquire.
type view struct {
	pool           *Pool
	snap           *snapshot
	query          Query
	now            int64
	share          float64
	reserve        bool // slots are reserved for interactive requests
	shareExhausted bool // this VM's share of all slots is in use, or the part of it that is not reserved
}

func (v *view) randomIndex() int { return v.pool.random.intn(max(len(v.snap.servers), 1)) }

// state returns whether server i may be selected, and if not, the reason.
func (v *view) state(i int) serverState {
	s := v.snap.servers[i]
	switch {
	case s.leaving():
		return stateLeaving
	case s.isContactExpired(v.now):
		return stateContactExpired
	case s.ejected():
		return stateEjected
	case len(v.query.Exclude) > 0 && v.excluded(s):
		return stateExcluded
	case s.shedUntil.Load() > v.now:
		return stateShed
	case s.inFlight.Load() >= v.limit(s):
		return stateFull
	default:
		return stateUsable
	}
}

func (v *view) excluded(s *server) bool {
	for _, name := range v.query.Exclude {
		if name == s.vm.Name {
			return true
		}
	}
	return false
}

// limit returns the maximum number of attempts that this VM may have in flight at s.
func (v *view) limit(s *server) int32 {
	limit := s.slots
	if v.share < 1 {
		limit = int32(math.Ceil(float64(limit)*v.share - rounding))
	}
	if s.warmFrom.Load() != 0 {
		warmth := s.warmth(v.now, int64(v.pool.options.Warmup))
		limit = min(limit, max(int32(math.Ceil(float64(limit)*warmth)), 1))
	}
	return limit
}

// slowness returns the expected latency of s as a multiple of the median, or 1 below twice the median.
func (v *view) slowness(s *server) float64 {
	const near = 2 // multiple of the median within the normal variation
	class := v.query.Class
	median := v.pool.median[class].load()
	if median == 0 {
		return 1
	}
	ratio := s.classes[class].expectedLatency(median, v.now) / median
	if ratio < near {
		return 1
	}
	return ratio
}

// score returns the cost of an attempt at s; lower is better.
func (v *view) score(s *server) float64 {
	load := float64(s.inFlight.Load())
	if weight := v.pool.options.ReportWeight; weight > 0 {
		load += weight * s.loadOfOthers(v.now, int64(v.pool.options.ReportTTL))
	}
	cost := (1 + load) / float64(s.slots) * v.slowness(s)
	if s.warmFrom.Load() == 0 {
		return cost
	}
	const coldest = 0.05 // lower bound of the warmth, for a server that just started
	return cost / max(s.warmth(v.now, int64(v.pool.options.Warmup)), coldest)
}

// candidates lists the servers considered: the selected one first, then others. Scores are included only if a server
// was selected.
func (v *view) candidates(selected *server) []review.Candidate {
	list := make([]review.Candidate, 0, min(len(v.snap.servers), maxCandidates))
	if selected != nil {
		list = append(list, review.Candidate{Name: string(selected.vm.Name), Taken: true, Reason: "chosen", Score: v.score(selected)})
	}
	for i, s := range v.snap.servers {
		if len(list) == maxCandidates {
			break
		}
		if s == selected {
			continue
		}
		c := review.Candidate{Name: string(s.vm.Name), Reason: stateReasons[v.state(i)]}
		if selected != nil {
			c.Score = v.score(s)
		}
		list = append(list, c)
	}
	return list
}

// constraint returns the constraint that left a query without a server.
func (v *view) constraint() review.Constraint {
	for i := range v.snap.servers {
		if v.state(i) != stateLeaving {
			return review.ConstraintContract
		}
	}
	if len(v.snap.servers) == 0 {
		return review.ConstraintNone
	}
	return review.ConstraintDrain
}

// allowsTrial reports whether the query may be the trial request of a server whose ejection ended at the time until.
// A NoTrial query, or an upload while slots are reserved for interactive requests, may only if no other request started
// the trial within overdue.
func (v *view) allowsTrial(until int64) bool {
	const overdue = int64(2 * time.Second)
	switch {
	case v.query.Hedge:
		return false
	case v.query.NoTrial || (v.query.Class == steering.ClassBulk && v.reserve):
		return v.now-until > overdue
	default:
		return true
	}
}
