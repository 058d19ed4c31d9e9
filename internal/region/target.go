package region

import (
	"github.com/azureflow/azureflow/internal/review"
)

const (
	pushFill     = 0.95 // of a region's slots; above it load is pushed out
	pullFill     = 0.80 // of a region's slots; below it load is pulled back
	deadlinePart = 0.5  // of a deadline that the way there and back may take
	tiny         = 1e-9 // shares below it count as 0
)

// target is where the traffic of the origins would go if no cap held it.
type target struct {
	in     *Inputs
	before [][]float64    // previous shares, by origin and region
	links  [][]*LinkInput // by origin and region; nil: none
	shares [][]float64    // by origin and region, as in Inputs
	excess []float64      // by origin: share that found no room
	bound  []review.Constraint
	home   []int     // by origin: index of its own region, or -1
	loads  []float64 // by region: slots that the previous plans of all origins use
	left   []float64 // by region: slots not planned yet
	free   []float64 // by region: slots that nobody used before and nobody was given yet
	weight float64   // largest of all regions
	parts  []float64 // scratch of spread, by region
	from   []float64 // scratch of a shift, by region
	after  []float64 // scratch of a shift, by region
}

func newTarget(in *Inputs) *target { return newTargetWith(in, in.linkMatrix()) }

// newTargetWith is newTarget with the links by origin and region.
func newTargetWith(in *Inputs, links [][]*LinkInput) *target {
	t := &target{
		in:     in,
		before: in.previous(),
		links:  links,
		shares: in.matrix(),
		excess: make([]float64, len(in.Origins)),
		bound:  make([]review.Constraint, len(in.Origins)),
		home:   make([]int, len(in.Origins)),
		loads:  make([]float64, len(in.Regions)),
		left:   make([]float64, len(in.Regions)),
		free:   make([]float64, len(in.Regions)),
		parts:  make([]float64, len(in.Regions)),
		from:   make([]float64, len(in.Regions)),
		after:  make([]float64, len(in.Regions)),
	}
	for o := range in.Origins {
		t.home[o] = in.indexOf(in.Origins[o].Region, o)
		for r, share := range t.before[o] {
			t.loads[r] += share * in.Origins[o].Demand
		}
	}
	for r := range in.Regions {
		t.weight = max(t.weight, in.Regions[r].Weight)
	}
	for r := range in.Regions {
		t.left[r] = t.room(r, pushFill)
		t.free[r] = max(0, t.left[r]-max(t.load(r), in.Regions[r].Carried))
	}
	for o := range in.Origins {
		t.bound[o] = review.ConstraintNone
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

// room returns the slots of region r that may be filled, up to the part fill of them.
func (t *target) room(r int, fill float64) float64 {
	reg := &t.in.Regions[r]
	if !reg.takes(t.in.At) {
		return 0
	}
	return reg.Capacity * reg.Weight / t.weight * fill
}

// placeHome gives origin o its own region, as far as its slots go. Between the two fills the
// previous share stays, so that noise around the limit moves nothing.
func (t *target) placeHome(o int) {
	origin := &t.in.Origins[o]
	r := t.home[o]
	if r < 0 {
		return
	}
	if t.in.Regions[r].drained(t.in.At) {
		t.bound[o] = review.ConstraintDrain
	}
	before := t.before[o][r]
	push := fit(t.room(r, pushFill), origin.Demand)
	pull := min(fit(t.room(r, pullFill), origin.Demand), before+fit(t.free[r], origin.Demand))
	share := min(max(before, pull), push)
	if share < 1-tiny && t.bound[o] == review.ConstraintNone {
		t.bound[o] = review.ConstraintContract
	}
	t.take(o, r, share)
}

// keepRemote leaves what origin o already sends elsewhere where it is, if it still has to leave.
func (t *target) keepRemote(o int) {
	rest := 1 - t.placed(o)
	if rest < tiny {
		return
	}
	held := 0.0
	for r := range t.in.Regions {
		if r != t.home[o] {
			held += t.before[o][r]
		}
	}
	if held < tiny {
		return
	}
	scale := min(1, rest/held)
	for r := range t.in.Regions {
		if r == t.home[o] {
			continue
		}
		want := t.before[o][r] * scale
		t.take(o, r, min(want, t.most(o, r)))
	}
}

// placeRemote spreads what origin o has left over the other regions, by their free slots.
func (t *target) placeRemote(o int) {
	for range t.in.Regions {
		rest := 1 - t.placed(o)
		if rest < tiny {
			return
		}
		free := 0.0
		for r := range t.in.Regions {
			free += t.freeFor(o, r)
		}
		if free < tiny {
			break
		}
		t.spread(o, rest, free)
	}
	t.excess[o] = max(0, 1-t.placed(o))
	if t.excess[o] < tiny {
		t.excess[o] = 0
	}
}

func (t *target) spread(o int, rest, free float64) {
	for r := range t.parts {
		t.parts[r] = min(rest*t.freeFor(o, r)/free, t.most(o, r))
	}
	for r, part := range t.parts {
		t.take(o, r, part)
	}
}

// freeFor returns the free slots of region r if origin o may still send more there.
func (t *target) freeFor(o, r int) float64 {
	if r == t.home[o] {
		return 0
	}
	most := t.most(o, r)
	if most < tiny {
		return 0
	}
	return min(t.left[r], most*max(t.in.Origins[o].Demand, tiny))
}

// most returns the share that origin o may still add in region r and notes what bounds it.
func (t *target) most(o, r int) float64 {
	origin := &t.in.Origins[o]
	if !t.in.Regions[r].takes(t.in.At) {
		return 0
	}
	held := max(0, t.before[o][r]-t.shares[o][r])
	share := min(fit(t.left[r], origin.Demand), held+fit(t.free[r], origin.Demand))
	link := t.links[o][r]
	if link == nil {
		return share
	}
	if t.late(link) {
		t.bound[o] = review.ConstraintDeadline
		return 0
	}
	if load := origin.Demand * origin.MbitPerSlot; link.AvailableMbit >= 0 && load > 0 {
		byLink := max(0, link.AvailableMbit/load-t.shares[o][r])
		if byLink < share {
			share = byLink
			t.bound[o] = review.ConstraintLink
		}
	}
	return share
}

func (t *target) late(link *LinkInput) bool {
	there := 2 * link.Delay.Std().Seconds()
	return t.in.Deadline > 0 && there > deadlinePart*t.in.Deadline.Std().Seconds()
}

func (t *target) take(o, r int, share float64) {
	origin := &t.in.Origins[o]
	held := max(0, t.before[o][r]-t.shares[o][r])
	t.shares[o][r] += share
	t.left[r] = max(0, t.left[r]-share*origin.Demand)
	t.free[r] = max(0, t.free[r]-max(0, share-held)*origin.Demand)
}

// load returns the slots of region r that the previous plans of all origins use.
func (t *target) load(r int) float64 { return t.loads[r] }

func (t *target) placed(o int) float64 {
	sum := 0.0
	for _, s := range t.shares[o] {
		sum += s
	}
	return sum
}

// fit returns the share of demand that room slots can serve; all of it if demand is not known.
func fit(room, demand float64) float64 {
	if room <= 0 {
		return 0
	}
	if demand <= room {
		return 1
	}
	return room / demand
}
