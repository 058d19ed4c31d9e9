package region

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// Plan assigns shares of a service's traffic to regions, by origin.
type Plan struct {
	At       time.Time            `json:"at"`
	Service  steering.ServiceName `json:"service"`
	Revision steering.Revision    `json:"revision"`
	Epoch    uint64               `json:"epoch"`
	Origins  []OriginPlan         `json:"origins"` // sorted by region
}

// OriginPlan is the plan for the callers of one region. Shares and Refused sum to 1.
type OriginPlan struct {
	Region     steering.RegionName          `json:"region"`
	Shares     []Share                      `json:"shares"`           // sorted by region, none is 0
	Refused    float64                      `json:"refused"`          // share that no region may serve at present
	ByClass    [steering.ClassCount]float64 `json:"refused_by_class"` // refused share by class
	Excess     float64                      `json:"excess"`           // share for which no region has capacity
	Moved      float64                      `json:"moved"`            // share that regions gained with this plan
	Constraint review.Constraint            `json:"constraint"`
	Moves      []Move                       `json:"moves"` // within the window of the shift cap, including this plan's
}

// Equal reports whether both plans are the same.
func (p *Plan) Equal(q *Plan) bool {
	if p.Service != q.Service || p.Revision != q.Revision || p.Epoch != q.Epoch || !p.At.Equal(q.At) {
		return false
	}
	return slices.EqualFunc(p.Origins, q.Origins, equalOrigins)
}

// Origin returns the plan for the callers of region, or nil.
func (p *Plan) Origin(region steering.RegionName) *OriginPlan {
	for i := range p.Origins {
		if p.Origins[i].Region == region {
			return &p.Origins[i]
		}
	}
	return nil
}

// ShareOf returns the share that region serves.
func (o *OriginPlan) ShareOf(region steering.RegionName) float64 {
	for _, s := range o.Shares {
		if s.Region == region {
			return s.Share
		}
	}
	return 0
}

func equalOrigins(a, b OriginPlan) bool {
	if !slices.Equal(a.Shares, b.Shares) {
		return false
	}
	return slices.EqualFunc(a.Moves, b.Moves, equalMoves) && a.Region == b.Region && a.Refused == b.Refused && a.ByClass == b.ByClass &&
		a.Excess == b.Excess && a.Moved == b.Moved && a.Constraint == b.Constraint
}

func equalMoves(a, b Move) bool { return a.Share == b.Share && a.At.Equal(b.At) }

// refusedByClass distributes a refused share over the classes, work that can wait first. If the shares of the classes
// are unknown, it applies to every class.
func refusedByClass(refused float64, classes [steering.ClassCount]float64) [steering.ClassCount]float64 {
	var out [steering.ClassCount]float64
	total := 0.0
	for _, part := range classes {
		total += max(0, part)
	}
	if total < epsilon {
		return [steering.ClassCount]float64{refused, refused, refused}
	}
	refused *= total
	for c := int(steering.ClassCount) - 1; c >= 0 && refused > 0; c-- {
		if classes[c] <= 0 {
			continue
		}
		part := min(refused, classes[c])
		out[c] = part / classes[c]
		refused -= part
	}
	return out
}
