package region

import (
	"github.com/azureflow/azureflow/internal/review"
)

// ComputePlan returns the plan for in. The result depends on nothing else.
func ComputePlan(in Inputs) Plan { return compute(&in, in.linkMatrix()) }

// compute is ComputePlan with the links indexed by origin and region.
func compute(in *Inputs, links [][]*LinkInput) Plan {
	t := newTargetWith(in, links)
	plan := Plan{At: in.At, Service: in.Service, Revision: in.Revision, Epoch: in.Epoch}
	plan.Origins = make([]OriginPlan, 0, len(in.Origins))
	for o := range in.Origins {
		plan.Origins = append(plan.Origins, t.originPlan(o))
	}
	return plan
}

// originPlan returns the plan of origin o: the move to its target, limited by the shift cap.
func (t *target) originPlan(o int) OriginPlan {
	origin := &t.in.Origins[o]
	t.keepUnplaced(o)
	s := newShift(t, o)
	shares, moved := s.apply()
	out := OriginPlan{Region: origin.Region, Moved: moved, Excess: t.excess[o], Constraint: t.constraints[o]}
	out.Moves = s.moves(moved)
	left := 1.0
	if n := countNonzero(shares); n > 0 {
		out.Shares = make([]Share, 0, n)
	}
	for r, share := range shares {
		if share < epsilon {
			continue
		}
		out.Shares = append(out.Shares, Share{Region: t.in.Regions[r].Name, Share: share})
		left -= share
	}
	if left > epsilon {
		out.Refused = left
	}
	out.ByClass = refusedByClass(out.Refused, origin.Classes)
	if s.capped {
		out.Constraint = review.ConstraintCap
	}
	return out
}

func countNonzero(shares []float64) int {
	n := 0
	for _, share := range shares {
		if share >= epsilon {
			n++
		}
	}
	return n
}

// keepUnplaced leaves the traffic of origin o for which no region has capacity in the regions that served it before:
// its own region and regions that are leaving, unless they are lost. The rest goes to its own region if that accepts
// traffic. The contract of each region then admits what fits.
func (t *target) keepUnplaced(o int) {
	rest := t.excess[o]
	if rest == 0 {
		return
	}
	origin := &t.in.Origins[o]
	for r := range t.in.Regions {
		reg := &t.in.Regions[r]
		unassigned := t.previous[o][r] - t.shares[o][r]
		if reg.Lost || unassigned <= 0 || (reg.Name != origin.Region && !reg.isLeaving(t.in.At)) {
			continue
		}
		part := min(rest, unassigned)
		t.shares[o][r] += part
		rest -= part
	}
	home := t.home[o]
	if rest > epsilon && home >= 0 && t.in.Regions[home].acceptsTraffic(t.in.At) {
		t.shares[o][home] += rest
	}
}
