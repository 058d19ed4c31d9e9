package upstream

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// maxCandidates bounds the candidates listed in a decision.
const maxCandidates = 16

// serverState says whether a server may be chosen, and why not.
type serverState uint8

const (
	stateUsable serverState = iota
	stateLeaving
	stateEjected
	stateUnseen
	stateExcluded
	stateShed
	stateFull
	stateCount
)

var stateReasons = [stateCount]string{"not chosen", "leaving", "ejected", "not heard of", "already tried", "shed", "no slot"}

// view is what a policy may look at for one query. It lives on the stack of Acquire.
type view struct {
	pool    *Pool
	snap    *snapshot
	query   Query
	now     int64
	share   float64
	reserve bool // keep slots for interactive work
	full    bool // this VM's part of all slots is taken, or what is not reserved of it
}

func (v *view) start() int { return v.pool.random.intn(max(len(v.snap.servers), 1)) }

// state says whether server i may be chosen.
func (v *view) state(i int) serverState {
	s := v.snap.servers[i]
	switch {
	case s.leaving():
		return stateLeaving
	case s.unseen(v.now):
		return stateUnseen
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

// limit returns how many attempts this VM may have in flight at s.
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

// slowness returns the latency of s as a multiple of the median, or 1 if it is near it.
func (v *view) slowness(s *server) float64 {
	const near = 2 // multiple of the median that is ordinary spread
	class := v.query.Class
	median := v.pool.median[class].load()
	if median == 0 {
		return 1
	}
	ratio := s.classes[class].estimate(median, v.now) / median
	if ratio < near {
		return 1
	}
	return ratio
}

// score returns the cost of sending to s; less is better.
func (v *view) score(s *server) float64 {
	load := float64(s.inFlight.Load())
	if weight := v.pool.options.ReportWeight; weight > 0 {
		load += weight * s.others(v.now, int64(v.pool.options.ReportTTL))
	}
	cost := (1 + load) / float64(s.slots) * v.slowness(s)
	if s.warmFrom.Load() == 0 {
		return cost
	}
	const coldest = 0.05 // warmth of a server that was just started
	return cost / max(s.warmth(v.now, int64(v.pool.options.Warmup)), coldest)
}

// candidates lists what was weighed: the server taken first, then others. Scores are given only
// beside a server that was taken.
func (v *view) candidates(taken *server) []review.Candidate {
	list := make([]review.Candidate, 0, min(len(v.snap.servers), maxCandidates))
	if taken != nil {
		list = append(list, review.Candidate{Name: string(taken.vm.Name), Taken: true, Reason: "chosen", Score: v.score(taken)})
	}
	for i, s := range v.snap.servers {
		if len(list) == maxCandidates {
			break
		}
		if s == taken {
			continue
		}
		c := review.Candidate{Name: string(s.vm.Name), Reason: stateReasons[v.state(i)]}
		if taken != nil {
			c.Score = v.score(s)
		}
		list = append(list, c)
	}
	return list
}

// constraint names what bound a query that found no server.
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

// trialClass reports whether the query may try a server whose ejection ended at the time until.
// Uploads try one only where there is no interactive work, and work that must not be used for a
// trial only if nothing else came for a while.
func (v *view) trialClass(until int64) bool {
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
