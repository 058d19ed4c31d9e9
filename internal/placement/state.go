package placement

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// ServiceState is what a Chooser believes of one service at a moment.
type ServiceState struct {
	Usable      int     // servers that may get requests
	Cold        int     // of these, those that have just started
	Leaving     int     // servers that get nothing new: draining, or in an evacuated zone
	Ejected     int     // servers that get nothing for what was seen of them
	InFlight    int     // requests of this entry VM
	Utilization float64 // part of the slots in this region that is taken, 1 if all are
	RetryBudget float64 // sendings beyond the first that are allowed now
}

// RouteCounts counts the routes that requests came for.
type RouteCounts struct {
	Served   int // a request was answered
	Unserved int // none was
}

// RouteCounts returns how many of the routes that requests came for were ever served by this entry VM.
func (c *Chooser) RouteCounts() RouteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts RouteCounts
	for _, services := range c.times {
		if everAnswered(services) {
			counts.Served++
		} else {
			counts.Unserved++
		}
	}
	return counts
}

// everAnswered reports whether any service answered a request of the route with these times.
func everAnswered(services map[steering.ServiceName]*RouteTimes) bool {
	for _, t := range services {
		if t.answered {
			return true
		}
	}
	return false
}

// ServiceStates returns what is believed of each service at now.
func (c *Chooser) ServiceStates(now time.Time) map[steering.ServiceName]ServiceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make(map[steering.ServiceName]ServiceState, len(c.services))
	for service, servers := range c.services {
		var state ServiceState
		for _, s := range servers {
			c.count(&state, s, now)
		}
		state.Utilization = c.pressures(service, now)[c.opts.Region]
		state.RetryBudget = c.budget(service).Balance()
		states[service] = state
	}
	return states
}

func (c *Chooser) count(state *ServiceState, s *Server, now time.Time) {
	state.InFlight += len(s.running)
	switch {
	case s.member.Draining || c.away[s.member.Zone]:
		state.Leaving++
	case !s.health.usable(now):
		state.Ejected++
	default:
		state.Usable++
		if s.cold(now) {
			state.Cold++
		}
	}
}
