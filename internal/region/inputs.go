// Package region computes the shares of traffic that regions serve for the callers of each origin region. The plan of a
// service is a pure function of recorded inputs, so that a recorded plan can be recomputed.
package region

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Inputs is everything that a plan depends on. Slices are sorted by name.
type Inputs struct {
	At       time.Time            `json:"at"`
	Service  steering.ServiceName `json:"service"`
	Revision steering.Revision    `json:"revision"`
	Epoch    uint64               `json:"epoch"` // of the plan to compute
	Cap      steering.ShiftCap    `json:"cap"`
	Deadline steering.Duration    `json:"deadline"` // shortest of the service's operations
	Regions  []RegionInput        `json:"regions"`
	Origins  []OriginInput        `json:"origins"`
	Links    []LinkInput          `json:"links"`
}

// RegionInput is the input of a region that may serve.
type RegionInput struct {
	Name      steering.RegionName `json:"name"`
	Weight    float64             `json:"weight"`   // relative; 0 removes the region from use
	Capacity  float64             `json:"capacity"` // slots, without those of drained zones
	Carried   float64             `json:"carried"`  // recent mean of the slots in use
	Lost      bool                `json:"lost"`
	DrainFrom time.Time           `json:"drain_from"` // zero: no drain
}

// OriginInput is the input of the callers in one region.
type OriginInput struct {
	Region      steering.RegionName          `json:"region"`
	Demand      float64                      `json:"demand"`        // recent maximum of the slots wanted; 0: unknown
	MbitPerSlot float64                      `json:"mbit_per_slot"` // Mbit/s that one slot in use adds to a link
	Classes     [steering.ClassCount]float64 `json:"classes"`       // share of the demand by class
	Previous    []Share                      `json:"previous"`      // empty: all in the own region
	PreviousAt  time.Time                    `json:"since"`         // time of the previous plan; zero: none
	Moves       []Move                       `json:"moves"`         // within the window of the shift cap
}

// LinkInput is one direction of a link.
type LinkInput struct {
	From          steering.RegionName `json:"from"`
	To            steering.RegionName `json:"to"`
	Delay         steering.Duration   `json:"delay"`     // one way
	AvailableMbit float64             `json:"room_mbit"` // Mbit/s that this service may use; negative: unlimited
}

// Share is the part of an origin's traffic that a region serves.
type Share struct {
	Region steering.RegionName `json:"region"`
	Share  float64             `json:"share"` // 0 to 1
}

// Move is traffic that regions gained in one step.
type Move struct {
	At    time.Time `json:"at"`
	Share float64   `json:"share"` // of the origin's traffic
}

// isDraining reports whether the drain of r has started.
func (r *RegionInput) isDraining(at time.Time) bool {
	return !r.DrainFrom.IsZero() && !at.Before(r.DrainFrom)
}

// isLeaving reports whether r serves its traffic only until that is moved to other regions.
func (r *RegionInput) isLeaving(at time.Time) bool {
	return r.isDraining(at) || r.Weight <= 0
}

// acceptsTraffic reports whether traffic may be assigned to r.
func (r *RegionInput) acceptsTraffic(at time.Time) bool {
	return !r.Lost && r.Capacity > 0 && !r.isLeaving(at)
}

// indexOf returns the index of a region, or -1. It checks index hint first.
func (in *Inputs) indexOf(name steering.RegionName, hint int) int {
	if hint >= 0 && hint < len(in.Regions) && in.Regions[hint].Name == name {
		return hint
	}
	for r := range in.Regions {
		if in.Regions[r].Name == name {
			return r
		}
	}
	return -1
}

// newMatrix returns a row for each origin with a column for each region, all 0.
func (in *Inputs) newMatrix() [][]float64 {
	rows := make([][]float64, len(in.Origins))
	all := make([]float64, len(in.Origins)*len(in.Regions))
	for o := range rows {
		rows[o], all = all[:len(in.Regions):len(in.Regions)], all[len(in.Regions):]
	}
	return rows
}

// previousShares returns the previous shares by origin and region.
func (in *Inputs) previousShares() [][]float64 {
	out := in.newMatrix()
	for o := range in.Origins {
		in.Origins[o].fillPreviousShares(in, out[o], o)
	}
	return out
}

// fillPreviousShares sets row to the previous shares by region. It checks index home first for the origin's own region.
func (o *OriginInput) fillPreviousShares(in *Inputs, row []float64, home int) {
	if o.PreviousAt.IsZero() && len(o.Previous) == 0 {
		if r := in.indexOf(o.Region, home); r >= 0 {
			row[r] = 1
		}
		return
	}
	hint := home
	for _, s := range o.Previous {
		if r := in.indexOf(s.Region, hint); r >= 0 {
			row[r] = s.Share
			hint = r + 1
		}
	}
}

// linkMatrix returns the links by origin and region. The layout depends only on the names.
func (in *Inputs) linkMatrix() [][]*LinkInput {
	origins := make(map[steering.RegionName]int, len(in.Origins))
	for o := range in.Origins {
		origins[in.Origins[o].Region] = o
	}
	regions := make(map[steering.RegionName]int, len(in.Regions))
	for r := range in.Regions {
		regions[in.Regions[r].Name] = r
	}
	out := make([][]*LinkInput, len(in.Origins))
	all := make([]*LinkInput, len(in.Origins)*len(in.Regions))
	for o := range out {
		out[o], all = all[:len(in.Regions):len(in.Regions)], all[len(in.Regions):]
	}
	for i := range in.Links {
		o, fromKnown := origins[in.Links[i].From]
		r, toKnown := regions[in.Links[i].To]
		if fromKnown && toKnown {
			out[o][r] = &in.Links[i]
		}
	}
	return out
}
