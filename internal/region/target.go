package region

import (
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
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
	left   []float64 // by region: slots not planned yet
	free   []float64 // by region: slots that nobody used before and nobody was given yet
}

func newTarget(in *Inputs) *target {
	t := &target{
		in:     in,
		before: in.matrix(),
		links:  in.linkMatrix(),
		shares: make([][]float64, len(in.Origins)),
		excess: make([]float64, len(in.Origins)),
		bound:  make([]review.Constraint, len(in.Origins)),
		left:   make([]float64, len(in.Regions)),
		free:   make([]float64, len(in.Regions)),
	}
	for r := range in.Regions {
		t.left[r] = t.room(r, pushFill)
		t.free[r] = max(0, t.left[r]-max(t.load(r), in.Regions[r].Carried))
	}
	for o := range in.Origins {
		t.shares[o] = make([]float64, len(in.Regions))
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
	most := 0.0
	for i := range t.in.Regions {
		most = max(most, t.in.Regions[i].Weight)
	}
	return reg.Capacity * reg.Weight / most * fill
}

// placeHome gives origin o its own region, as far as its slots go. Between the two fills the
// previous share stays, so that noise around the limit moves nothing.
func (t *target) placeHome(o int) {
	origin := &t.in.Origins[o]
	r := t.indexOf(origin.Region)
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
	origin := &t.in.Origins[o]
	rest := 1 - t.placed(o)
	held := 0.0
	for r := range t.in.Regions {
		if t.in.Regions[r].Name != origin.Region {
			held += t.before[o][r]
		}
	}
	if rest < tiny || held < tiny {
		return
	}
	scale := min(1, rest/held)
	for r := range t.in.Regions {
		if t.in.Regions[r].Name == origin.Region {
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
	parts := make([]float64, len(t.in.Regions))
	for r := range parts {
		parts[r] = min(rest*t.freeFor(o, r)/free, t.most(o, r))
	}
	for r, part := range parts {
		t.take(o, r, part)
	}
}

// freeFor returns the free slots of region r if origin o may still send more there.
func (t *target) freeFor(o, r int) float64 {
	if t.in.Regions[r].Name == t.in.Origins[o].Region || t.most(o, r) < tiny {
		return 0
	}
	return min(t.left[r], t.most(o, r)*max(t.in.Origins[o].Demand, tiny))
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
	if load := origin.Demand * origin.MbitPerSlot; link.RoomMbit >= 0 && load > 0 {
		byLink := max(0, link.RoomMbit/load-t.shares[o][r])
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
func (t *target) load(r int) float64 {
	sum := 0.0
	for o := range t.before {
		sum += t.before[o][r] * t.in.Origins[o].Demand
	}
	return sum
}

func (t *target) placed(o int) float64 {
	sum := 0.0
	for _, s := range t.shares[o] {
		sum += s
	}
	return sum
}

func (t *target) indexOf(name steering.RegionName) int {
	for r := range t.in.Regions {
		if t.in.Regions[r].Name == name {
			return r
		}
	}
	return -1
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
