package region

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	maxRecover  = 2 * time.Minute  // longest time that a returned region counts as lost
	forgetLoss  = 10 * time.Minute // after so long without a loss the next one counts as the first
	maxDoubling = 10
)

// loss is what a Planner keeps of a region that was lost.
type loss struct {
	last  time.Time // seen lost
	times int       // lost again before the last loss was forgotten
}

// losses says which regions count as lost. A region that returns counts as lost for a while
// longer, for twice as long after each further loss, so that one that comes and goes moves nothing.
type losses struct {
	recover time.Duration
	regions map[steering.RegionName]*loss
}

func (l *losses) note(at time.Time, lost []steering.RegionName) {
	for _, name := range lost {
		r := l.regions[name]
		switch {
		case r == nil || at.Sub(r.last) > forgetLoss:
			r = &loss{}
			l.regions[name] = r
		case at.Sub(r.last) > l.recover:
			r.times = min(r.times+1, maxDoubling)
		}
		r.last = at
	}
}

func (l *losses) isLost(name steering.RegionName, at time.Time) bool {
	r := l.regions[name]
	if r == nil {
		return false
	}
	hold := min(maxRecover, l.recover<<r.times)
	return at.Sub(r.last) < max(hold, l.recover)
}
