package region

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// smallestChange is the change of a share that counts as one.
const smallestChange = 0.001

// history is what a Planner keeps of a service between steps.
type history struct {
	epoch   uint64
	origins map[steering.RegionName]*originHistory
	loads   map[steering.RegionName]*mean
}

// originHistory is what a Planner keeps of the callers of one region.
type originHistory struct {
	shares  []Share
	since   time.Time
	moves   []Move
	demand  mean
	peak    peak // of demand
	mbit    float64
	classes [steering.ClassCount]float64
	turns   map[steering.RegionName]turn
}

// turn is a share when its change was last noted, and the direction of that change.
type turn struct {
	share  float64
	rising bool
	known  bool
}

// newHistory returns a history that goes on from the plan of a peer, if there is one.
func newHistory(peer *Plan) *history {
	h := &history{
		origins: make(map[steering.RegionName]*originHistory),
		loads:   make(map[steering.RegionName]*mean),
	}
	if peer == nil {
		return h
	}
	h.epoch = peer.Epoch
	for i := range peer.Origins {
		o := h.origin(peer.Origins[i].Region)
		o.shares = peer.Origins[i].Shares
		o.since = peer.At
		o.moves = peer.Origins[i].Moves
	}
	return h
}

func (h *history) origin(region steering.RegionName) *originHistory {
	o := h.origins[region]
	if o == nil {
		o = &originHistory{turns: make(map[steering.RegionName]turn)}
		h.origins[region] = o
	}
	return o
}

func (h *history) load(region steering.RegionName) *mean {
	m := h.loads[region]
	if m == nil {
		m = &mean{}
		h.loads[region] = m
	}
	return m
}

// take makes plan the previous one and returns how many origins changed and shares reversed.
func (h *history) take(plan *Plan) (changes, reversals uint64) {
	h.epoch = plan.Epoch
	for i := range plan.Origins {
		next := &plan.Origins[i]
		o := h.origin(next.Region)
		reversals += o.countReversals(next)
		if next.Moved > smallestChange {
			changes++
		}
		o.note(next, plan.At)
	}
	return changes, reversals
}

func (o *originHistory) note(next *OriginPlan, at time.Time) {
	o.moves = next.Moves
	o.shares = next.Shares
	o.since = at
}

// countReversals returns how many shares changed against the direction of their last change.
func (o *originHistory) countReversals(next *OriginPlan) uint64 {
	reversals := uint64(0)
	for _, s := range next.Shares {
		reversals += o.turn(s.Region, s.Share)
	}
	for _, s := range o.shares {
		if next.ShareOf(s.Region) == 0 {
			reversals += o.turn(s.Region, 0)
		}
	}
	return reversals
}

func (o *originHistory) turn(region steering.RegionName, share float64) uint64 {
	last, known := o.turns[region]
	if !known {
		last.share = shareIn(o.shares, region)
	}
	if !known && o.since.IsZero() {
		last.share = share
	}
	o.turns[region] = last
	change := share - last.share
	if math.Abs(change) < smallestChange {
		return 0
	}
	next := turn{share: share, rising: change > 0, known: true}
	o.turns[region] = next
	if last.known && last.rising != next.rising {
		return 1
	}
	return 0
}

func shareIn(shares []Share, region steering.RegionName) float64 {
	for _, s := range shares {
		if s.Region == region {
			return s.Share
		}
	}
	return 0
}
