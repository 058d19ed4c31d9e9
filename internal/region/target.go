package region

import (
	"github.com/azureflow/azureflow/internal/review"
)

const (
	pushFill    = 0.95 // of a region's slots; above it traffic moves to other regions
	pullFill    = 0.80 // of a region's slots; below it traffic moves back
	maxRTTShare = 0.5  // maximum share of a deadline for the round trip between regions
	epsilon     = 1e-9 // shares below it count as 0
)

// target is the distribution of the origins' traffic without the limit of the shift cap.
type target struct {
	in           *Inputs
	previous     [][]float64         // previous shares, by origin and region
	links        [][]*LinkInput      // by origin and region; nil: none
	shares       [][]float64         // by origin and region, as in Inputs
	excess       []float64           // by origin: share that fits in no region
	constraints  []review.Constraint // by origin
	home         []int               // by origin: index of its own region, or -1
	loads        []float64           // by region: slots in use under the previous plans of all origins
	remaining    []float64           // by region: slots not assigned yet
	free         []float64           // by region: slots that were not in use before and are not assigned yet
	weight       float64             // maximum of all regions
	scratchParts []float64           // scratch space of spreadRemote, by region
	from         []float64           // scratch space of a shift, by region
	after        []float64           // scratch space of a shift, by region
}

func newTarget(in *Inputs) *target { return newTargetWith(in, in.linkMatrix()) }

// newTargetWith is newTarget with the links indexed by origin and region.
func newTargetWith(in *Inputs, links [][]*LinkInput) *target {
	t := &target{
		in:           in,
		previous:     in.previousShares(),
		links:        links,
		shares:       in.newMatrix(),
		excess:       make([]float64, len(in.Origins)),
		constraints:  make([]review.Constraint, len(in.Origins)),
		home:         make([]int, len(in.Origins)),
		loads:        make([]float64, len(in.Regions)),
		remaining:    make([]float64, len(in.Regions)),
		free:         make([]float64, len(in.Regions)),
		scratchParts: make([]float64, len(in.Regions)),
		from:         make([]float64, len(in.Regions)),
		after:        make([]float64, len(in.Regions)),
	}
	for o := range in.Origins {
		t.home[o] = in.indexOf(in.Origins[o].Region, o)
		for r, share := range t.previous[o] {
			t.loads[r] += share * in.Origins[o].Demand
		}
	}
	for r := range in.Regions {
		t.weight = max(t.weight, in.Regions[r].Weight)
	}
	for r := range in.Regions {
		t.remaining[r] = t.fillableSlots(r, pushFill)
		t.free[r] = max(0, t.remaining[r]-max(t.previousLoad(r), in.Regions[r].Carried))
	}
	for o := range in.Origins {
		t.constraints[o] = review.ConstraintNone
		t.placeHome(o)
	}
	for o := range in.Origins {
		t.keepRemote(o)
	}
	for o := range in.Origins {
		t.placeRemote(o)
	}
	return t
}

// fillableSlots returns the number of slots of region r that may be used, weighted and up to the share fill of them.
func (t *target) fillableSlots(r int, fill float64) float64 {
	reg := &t.in.Regions[r]
	if !reg.acceptsTraffic(t.in.At) {
		return 0
	}
	return reg.Capacity * reg.Weight / t.weight * fill
}

// placeHome assigns origin o to its own region, as far as that has slots. Between pullFill and pushFill the previous
// share stays, so that noise around the limit moves no traffic.
func (t *target) placeHome(o int) {
	origin := &t.in.Origins[o]
	r := t.home[o]
	if r < 0 {
		return
	}
	if t.in.Regions[r].isDraining(t.in.At) {
		t.constraints[o] = review.ConstraintDrain
	}
	before := t.previous[o][r]
	push := servableShare(t.fillableSlots(r, pushFill), origin.Demand)
	pull := min(servableShare(t.fillableSlots(r, pullFill), origin.Demand), before+servableShare(t.free[r], origin.Demand))
	share := min(max(before, pull), push)
	if share < 1-epsilon && t.constraints[o] == review.ConstraintNone {
		t.constraints[o] = review.ConstraintContract
	}
	t.assign(o, r, share)
}

// keepRemote leaves the traffic that origin o already sends to other regions there, as far as it still does not fit in
// its own region.
func (t *target) keepRemote(o int) {
	rest := 1 - t.placedShare(o)
	if rest < epsilon {
		return
	}
	remote := 0.0
	for r := range t.in.Regions {
		if r != t.home[o] {
			remote += t.previous[o][r]
		}
	}
	if remote < epsilon {
		return
	}
	scale := min(1, rest/remote)
	for r := range t.in.Regions {
		if r == t.home[o] {
			continue
		}
		wanted := t.previous[o][r] * scale
		t.assign(o, r, min(wanted, t.maxShare(o, r)))
	}
}

// placeRemote distributes the unassigned traffic of origin o over the other regions in proportion to their free slots.
// What remains is the excess of o.
func (t *target) placeRemote(o int) {
	for range t.in.Regions {
		rest := 1 - t.placedShare(o)
		if rest < epsilon {
			return
		}
		free := 0.0
		for r := range t.in.Regions {
			free += t.freeSlotsFor(o, r)
		}
		if free < epsilon {
			break
		}
		t.spreadRemote(o, rest, free)
	}
	t.excess[o] = max(0, 1-t.placedShare(o))
	if t.excess[o] < epsilon {
		t.excess[o] = 0
	}
}

func (t *target) spreadRemote(o int, rest, free float64) {
	for r := range t.scratchParts {
		t.scratchParts[r] = min(rest*t.freeSlotsFor(o, r)/free, t.maxShare(o, r))
	}
	for r, part := range t.scratchParts {
		t.assign(o, r, part)
	}
}

// freeSlotsFor returns the number of free slots of region r that origin o may still use; 0 for its own region.
func (t *target) freeSlotsFor(o, r int) float64 {
	if r == t.home[o] {
		return 0
	}
	share := t.maxShare(o, r)
	if share < epsilon {
		return 0
	}
	return min(t.remaining[r], share*max(t.in.Origins[o].Demand, epsilon))
}

// maxShare returns the share that origin o may still add in region r, and records a deadline or a link as the
// constraint of o if that limits it.
func (t *target) maxShare(o, r int) float64 {
	origin := &t.in.Origins[o]
	if !t.in.Regions[r].acceptsTraffic(t.in.At) {
		return 0
	}
	unassigned := max(0, t.previous[o][r]-t.shares[o][r])
	share := min(servableShare(t.remaining[r], origin.Demand), unassigned+servableShare(t.free[r], origin.Demand))
	link := t.links[o][r]
	if link == nil {
		return share
	}
	if t.exceedsDeadline(link) {
		t.constraints[o] = review.ConstraintDeadline
		return 0
	}
	if load := origin.Demand * origin.MbitPerSlot; link.AvailableMbit >= 0 && load > 0 {
		byLink := max(0, link.AvailableMbit/load-t.shares[o][r])
		if byLink < share {
			share = byLink
			t.constraints[o] = review.ConstraintLink
		}
	}
	return share
}

func (t *target) exceedsDeadline(link *LinkInput) bool {
	rtt := 2 * link.Delay.Std().Seconds()
	return t.in.Deadline > 0 && rtt > maxRTTShare*t.in.Deadline.Std().Seconds()
}

func (t *target) assign(o, r int, share float64) {
	origin := &t.in.Origins[o]
	unassigned := max(0, t.previous[o][r]-t.shares[o][r])
	t.shares[o][r] += share
	t.remaining[r] = max(0, t.remaining[r]-share*origin.Demand)
	t.free[r] = max(0, t.free[r]-max(0, share-unassigned)*origin.Demand)
}

// previousLoad returns the slots of region r in use under the previous plans of all origins.
func (t *target) previousLoad(r int) float64 { return t.loads[r] }

func (t *target) placedShare(o int) float64 {
	sum := 0.0
	for _, s := range t.shares[o] {
		sum += s
	}
	return sum
}

// servableShare returns the share of demand that a number of slots can serve. For an unknown demand, which is
// 0, it returns 1 unless there are no slots.
func servableShare(slots, demand float64) float64 {
	if slots <= 0 {
		return 0
	}
	if demand <= slots {
		return 1
	}
	return slots / demand
}
