package region

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	maxRecoverTime = 2 * time.Minute  // maximum time that a region counts as lost after its return
	resetLossAfter = 10 * time.Minute // after this time without a loss the next one counts as the first
	maxDoubling    = 10               // maximum number of times that the recovery time doubles
)

// loss is the state that a Planner keeps for a region that was lost.
type loss struct {
	lastSeen time.Time // when the region was last observed as lost
	repeats  int       // further losses, each within resetLossAfter of the previous one
}

// losses tracks which regions count as lost. A region that returns counts as lost for some time longer, which doubles
// with each further loss, so that a flapping region moves no traffic.
type losses struct {
	recoverAfter time.Duration
	regions      map[steering.RegionName]*loss
}

func (l *losses) recordLost(at time.Time, lost []steering.RegionName) {
	for _, name := range lost {
		r := l.regions[name]
		switch {
		case r == nil || at.Sub(r.lastSeen) > resetLossAfter:
			r = &loss{}
			l.regions[name] = r
		case at.Sub(r.lastSeen) > l.recoverAfter:
			r.repeats = min(r.repeats+1, maxDoubling)
		}
		r.lastSeen = at
	}
}

func (l *losses) isLost(name steering.RegionName, at time.Time) bool {
	r := l.regions[name]
	if r == nil {
		return false
	}
	holdTime := min(maxRecoverTime, l.recoverAfter<<r.repeats)
	return at.Sub(r.lastSeen) < max(holdTime, l.recoverAfter)
}
