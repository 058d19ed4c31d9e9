package region

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// smallestChange is the minimum difference of a share that counts as a change.
const smallestChange = 0.001

// history is the state that a Planner keeps for a service between steps.
type history struct {
	epoch   uint64
	origins map[steering.RegionName]*originHistory
	loads   map[steering.RegionName]*mean
}

// originHistory is the state that a Planner keeps for the callers of one region between steps.
type originHistory struct {
	shares      []Share
	plannedAt   time.Time
	moves       []Move
	demand      mean
	peak        peak // of demand
	mbit        float64
	classes     [steering.ClassCount]float64
	lastChanges map[steering.RegionName]shareChange
}

// shareChange is a share at its last change, and the direction of that change.
type shareChange struct {
	share        float64
	rising       bool
	hasDirection bool
}

// newHistory returns a history that continues the plan of a peer, if there is one.
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
		o.plannedAt = peer.At
		o.moves = peer.Origins[i].Moves
	}
	return h
}

func (h *history) origin(region steering.RegionName) *originHistory {
	o := h.origins[region]
	if o == nil {
		o = &originHistory{lastChanges: make(map[steering.RegionName]shareChange)}
		h.origins[region] = o
	}
	return o
}

func (h *history) regionLoad(region steering.RegionName) *mean {
	m := h.loads[region]
	if m == nil {
		m = &mean{}
		h.loads[region] = m
	}
	return m
}

// applyPlan makes plan the previous plan and returns the numbers of changed origins and reversed shares.
func (h *history) applyPlan(plan *Plan) (changes, reversals uint64) {
	h.epoch = plan.Epoch
	for i := range plan.Origins {
		next := &plan.Origins[i]
		o := h.origin(next.Region)
		reversals += o.countReversals(next)
		if next.Moved > smallestChange {
			changes++
		}
		o.recordPlan(next, plan.At)
	}
	return changes, reversals
}

func (o *originHistory) recordPlan(next *OriginPlan, at time.Time) {
	o.moves = next.Moves
	o.shares = next.Shares
	o.plannedAt = at
}

// countReversals returns the number of shares that changed against the direction of their last change.
func (o *originHistory) countReversals(next *OriginPlan) uint64 {
	reversals := uint64(0)
	for _, s := range next.Shares {
		reversals += o.countReversal(s.Region, s.Share)
	}
	for _, s := range o.shares {
		if next.ShareOf(s.Region) == 0 {
			reversals += o.countReversal(s.Region, 0)
		}
	}
	return reversals
}

func (o *originHistory) countReversal(region steering.RegionName, share float64) uint64 {
	last, known := o.lastChanges[region]
	if !known {
		last.share = shareIn(o.shares, region)
	}
	if !known && o.plannedAt.IsZero() {
		last.share = share
	}
	o.lastChanges[region] = last
	change := share - last.share
	if math.Abs(change) < smallestChange {
		return 0
	}
	next := shareChange{share: share, rising: change > 0, hasDirection: true}
	o.lastChanges[region] = next
	if last.hasDirection && last.rising != next.rising {
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
