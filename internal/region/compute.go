package region

import (
	"github.com/azureflow/azureflow/internal/review"
)

// ComputePlan returns the plan that follows from in. It depends on nothing else.
func ComputePlan(in Inputs) Plan { return compute(&in, in.linkMatrix()) }

// compute is Compute with the links by origin and region.
func compute(in *Inputs, links [][]*LinkInput) Plan {
	t := newTargetWith(in, links)
	plan := Plan{At: in.At, Service: in.Service, Revision: in.Revision, Epoch: in.Epoch}
	plan.Origins = make([]OriginPlan, 0, len(in.Origins))
	for o := range in.Origins {
		plan.Origins = append(plan.Origins, t.origin(o))
	}
	return plan
}

// origin returns the plan of origin o: its target as far as the shift cap allows.
func (t *target) origin(o int) OriginPlan {
	origin := &t.in.Origins[o]
	t.stay(o)
	s := newShift(t, o)
	shares, moved := s.apply()
	out := OriginPlan{Region: origin.Region, Moved: moved, Excess: t.excess[o], Constraint: t.bound[o]}
	out.Moves = s.moves(moved)
	left := 1.0
	if n := countShares(shares); n > 0 {
		out.Shares = make([]Share, 0, n)
	}
	for r, share := range shares {
		if share < tiny {
			continue
		}
		out.Shares = append(out.Shares, Share{Region: t.in.Regions[r].Name, Share: share})
		left -= share
	}
	if left > tiny {
		out.Refused = left
	}
	out.ByClass = refusedByClass(out.Refused, origin.Classes)
	if s.capped {
		out.Constraint = review.ConstraintCap
	}
	return out
}

func countShares(shares []float64) int {
	n := 0
	for _, share := range shares {
		if share >= tiny {
			n++
		}
	}
	return n
}

// stay leaves the traffic of origin o that found no room where it is, if that region still
// serves; its contract then admits what fits.
func (t *target) stay(o int) {
	rest := t.excess[o]
	if rest == 0 {
		return
	}
	origin := &t.in.Origins[o]
	for r := range t.in.Regions {
		reg := &t.in.Regions[r]
		held := t.before[o][r] - t.shares[o][r]
		if reg.Lost || held <= 0 || (reg.Name != origin.Region && !reg.leaving(t.in.At)) {
			continue
		}
		part := min(rest, held)
		t.shares[o][r] += part
		rest -= part
	}
	home := t.home[o]
	if rest > tiny && home >= 0 && t.in.Regions[home].takes(t.in.At) {
		t.shares[o][home] += rest
	}
}
