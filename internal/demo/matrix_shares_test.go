package demo

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/entry"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
)

// watchInterval is the time between two looks at every entry VM.
const watchInterval = 100 * time.Millisecond

// shareKey names the shares that one life of an entry VM gives the callers of a region.
type shareKey struct {
	daemon  *entry.Daemon
	service steering.ServiceName
	origin  steering.RegionName
}

// shareTrack is what regions took on of an origin's traffic.
type shareTrack struct {
	vm    string
	last  region.OriginPlan
	moves []region.Move
}

// shareWatch follows the plans that entry VMs hold, apart from what the plans say of themselves.
type shareWatch struct{ tracks map[shareKey]*shareTrack }

func newShareWatch() *shareWatch { return &shareWatch{tracks: make(map[shareKey]*shareTrack)} }

// look notes what moved on a VM since the last look.
func (w *shareWatch) look(e *entryVM) {
	for _, p := range e.daemon.Plans() {
		for _, o := range p.Origins {
			key := shareKey{e.daemon, p.Service, o.Region}
			t := w.tracks[key]
			if t == nil {
				w.tracks[key] = &shareTrack{vm: string(e.row.Name), last: o}
				continue
			}
			t.note(p.At, o)
		}
	}
}

func (t *shareTrack) note(at time.Time, now region.OriginPlan) {
	gain := 0.0
	for _, s := range now.Shares {
		gain += max(0, s.Share-t.last.ShareOf(s.Region))
	}
	t.last = now
	if gain > 0 {
		t.moves = append(t.moves, region.Move{At: at, Share: gain})
	}
}

// fullest returns the most that moved in a sliding window.
func (t *shareTrack) fullest(window time.Duration) float64 {
	most := 0.0
	for i := range t.moves {
		sum := 0.0
		for _, m := range t.moves[i:] {
			if m.At.Sub(t.moves[i].At) < window {
				sum += m.Share
			}
		}
		most = max(most, sum)
	}
	return most
}

// overCap returns the windows in which more moved than the operators' files allow. A move is seen up to
// an interval late, so that the window is shorter by it.
func (w *shareWatch) overCap(world *world) (out []string) {
	const rounding = 1e-6
	for key, t := range w.tracks {
		limit := serviceOf(world, key.service).ShiftCap
		moved := t.fullest(limit.Window.Std() - watchInterval)
		out = append(out, found(moved > limit.Share+rounding, "%s moved %.3f of %s of %s in a window, cap %.2f",
			t.vm, moved, key.service, key.origin, limit.Share)...)
	}
	slices.Sort(out)
	return out
}

func serviceOf(w *world, name steering.ServiceName) *steering.Service {
	services := w.deployment.config.Services
	return &services[slices.IndexFunc(services, func(s steering.Service) bool { return s.Name == name })]
}

// arrivedOverCap counts the requests that ran outside their caller's region. All traffic starts at home, so
// that of the requests expected in the nth window after the first such arrival at most n caps may be there.
func (c *cell) arrivedOverCap() (out []string) {
	away := c.arrivalsAway()
	for _, key := range slices.SortedFunc(maps.Keys(away), compareFlows) {
		service := serviceOf(c.world, key.service)
		limit := service.ShiftCap
		expected := c.world.expectedPerSecond(service) * limit.Window.Std().Seconds()
		counts := make(map[int]int)
		for _, at := range away[key] {
			counts[int(at.Sub(away[key][0])/limit.Window.Std())]++
		}
		for n, count := range counts {
			bound := unlikelyCount(expected * min(1, limit.Share*float64(n+1)))
			out = append(out, found(count >= bound, "%d requests of %s for %s ran elsewhere in window %d, %d are too many",
				count, key.origin, key.service, n+1, bound)...)
		}
	}
	slices.Sort(out)
	return out
}

// unlikelyCount returns the least count that a Poisson process with the given mean reaches with a chance
// of at most one in a thousand million: the matrix compares some ten thousand counts.
func unlikelyCount(mean float64) int {
	const chance = 1e-9
	tail, term := 1.0, math.Exp(-mean) // chances of k or more, and of k
	for k := 0; ; k++ {
		if tail <= chance {
			return k
		}
		tail -= term
		term *= mean / float64(k+1)
	}
}

// originFlow is a service's requests from one region.
type originFlow struct {
	service steering.ServiceName
	origin  steering.RegionName
}

func compareFlows(a, b originFlow) int {
	return strings.Compare(string(a.service)+string(a.origin), string(b.service)+string(b.origin))
}

// expectedPerSecond returns how many requests for a service each region's callers send.
func (w *world) expectedPerSecond(s *steering.Service) float64 {
	sum := 0.0
	for i := range s.Operations {
		sum += s.Operations[i].PeakRequests
	}
	return sum * w.opts.Load / float64(len(w.deployment.config.Platform.Regions))
}

// arrivalsAway returns when requests first ran outside their caller's region, by the upstreams' ledgers.
func (c *cell) arrivalsAway() map[originFlow][]time.Time {
	first := make(map[string]standin.Run)
	regions := make(map[string]*upstreamVM)
	for _, u := range c.world.upstreams {
		for _, run := range u.standin.Ledger().Runs {
			id := requestID(&run)
			if known, ok := first[id]; !ok || run.StartedAt.Before(known.StartedAt) {
				first[id], regions[id] = run, u
			}
		}
	}
	out := make(map[originFlow][]time.Time)
	for id, run := range first {
		origin, _, ok := strings.Cut(id, "-")
		if u := regions[id]; ok && string(u.row.Region) != origin {
			key := originFlow{u.row.Service, steering.RegionName(origin)}
			out[key] = append(out[key], run.StartedAt)
		}
	}
	for _, times := range out {
		slices.SortFunc(times, time.Time.Compare)
	}
	return out
}

// requestID returns the id that a flow gave a request; it begins with the caller's region.
func requestID(run *standin.Run) string {
	if run.Key != "" {
		return run.Key
	}
	for part := range strings.SplitSeq(run.URI, "/") {
		if strings.Count(part, "-") > 1 {
			return part
		}
	}
	return fmt.Sprintf("%s#%d", run.URI, run.ID)
}
