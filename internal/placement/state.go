package placement

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// ServiceState is a Chooser's view of one service at a moment.
type ServiceState struct {
	Usable      int     // servers that may get requests
	Cold        int     // usable servers that have just started
	Leaving     int     // servers that get no new requests: draining, or in an evacuated zone
	BackedOff   int     // servers that asked for a pause
	Ejected     int     // servers that get no requests because of their failures
	InFlight    int     // requests of this entry VM
	Utilization float64 // share of the slots in this region that is in use, at most 1
	RetryBudget float64 // retries that are allowed now
}

// RouteCounts counts the routes that received requests.
type RouteCounts struct {
	Served   int // a request of the route got a response
	Unserved int // no request of the route did
}

// RouteCounts returns how many of the routes that received requests were ever served by this entry VM.
func (c *Chooser) RouteCounts() RouteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts RouteCounts
	for _, services := range c.times {
		if isServed(services) {
			counts.Served++
		} else {
			counts.Unserved++
		}
	}
	return counts
}

// isServed reports whether any service responded to a request of the route with these times.
func isServed(services map[steering.ServiceName]*RouteTimes) bool {
	for _, t := range services {
		if t.served {
			return true
		}
	}
	return false
}

// ServiceStates returns the view of each service at now.
func (c *Chooser) ServiceStates(now time.Time) map[steering.ServiceName]ServiceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make(map[steering.ServiceName]ServiceState, len(c.services))
	for service, servers := range c.services {
		var state ServiceState
		for _, s := range servers {
			c.countServer(&state, s, now)
		}
		state.Utilization = c.utilizationByRegion(service, now)[c.opts.Region]
		state.RetryBudget = c.retryBudget(service).Balance()
		states[service] = state
	}
	return states
}

func (c *Chooser) countServer(state *ServiceState, s *Server, now time.Time) {
	state.InFlight += len(s.running)
	switch {
	case s.isLeaving() || c.evacuated[s.member.Zone]:
		state.Leaving++
	case !s.notice.admits(now):
		state.BackedOff++
	case !s.health.isUsable(now):
		state.Ejected++
	default:
		state.Usable++
		if s.isCold(now) {
			state.Cold++
		}
	}
}
