package demo

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	staleSnapshot = "before" // the store's state when the load began

	matrixArm    = 1500 * time.Millisecond // load before the fault is armed
	matrixBroken = 5 * time.Second         // from the fault to its end
	matrixAfter  = 6 * time.Second         // load after that
	matrixSettle = 8 * time.Second         // without load, before the checks
)

// cell is one run of the matrix.
type cell struct {
	world  *world
	step   *matrixStep
	fault  *matrixFault
	defect *matrixDefect // nil but in the trials of the checks

	armed     atomic.Bool
	mu        sync.Mutex
	hit       bool
	brokenAt  time.Time
	paused    []string
	zones     []steering.ZoneName
	published []publication

	starting  sync.Mutex // guards world.entries
	stopped   *entryVM
	left      []*upstreamVM
	leftAt    time.Time
	lastSent  map[string]time.Duration // since leftAt, to each host: when the last request left its sender
	variant   *steering.Tree           // what publishSoon publishes
	shares    *shareWatch
	revisions *revisionWatch
	tap       *tap
	sampled   []review.ID // decisions of requests that were refused or ended unknown
	work      sync.WaitGroup
}

// observe injects the fault at the step's transfer.
func (c *cell) observe(t *transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if beginsRequest(t) {
		c.lastSent[t.to.host] = time.Since(c.leftAt)
	}
	if !c.armed.Load() || c.hit || !c.step.when(t) {
		return
	}
	c.hit = true
	c.brokenAt = time.Now().Add(c.step.after)
	time.AfterFunc(c.step.after, func() { c.fault.begin(c, t) })
	if c.fault.heal != nil {
		time.AfterFunc(c.step.after+matrixBroken, func() { c.fault.heal(c) })
	}
}

// calm returns the end of what was broken. A fault that is not mended counts for as long as the others.
func (c *cell) calm() time.Time { return c.brokenAt.Add(matrixBroken) }

// kill kills an entry VM or an upstream; a platform is down until the end, and a caller is left alone:
// its death breaks no promise that could be told to it.
func (c *cell) kill(host string) {
	switch {
	case strings.HasPrefix(host, "caller"):
		return
	case host == "" || strings.HasPrefix(host, "platform"):
		c.world.platform.SetFaults("", standin.PlatformFaults{Down: true, VMListDown: true})
		time.AfterFunc(matrixBroken, func() { platformHeal(c) })
	default:
		c.world.network.kill(host)
	}
}

// pause holds back everything that a host sends and is sent.
func (c *cell) pause(at place) {
	c.mu.Lock()
	c.paused = append(c.paused, at.host)
	c.mu.Unlock()
	c.world.network.pause(at.host, true)
}

func (c *cell) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.paused {
		c.world.network.pause(host, false)
	}
}

// cut cuts off the zone of the first end of a transfer that stands in one.
func (c *cell) cut(t *transfer, directions cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range []steering.ZoneName{t.from.zone, t.to.zone} {
		if z != "" {
			c.zones = append(c.zones, z)
			c.world.network.setCutDirections(z, directions)
			return
		}
	}
}

func (c *cell) mend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.zones {
		c.world.network.setCut(z, false)
	}
}

func (c *cell) eachUpstream(f standin.UpstreamFaults) {
	for _, u := range c.world.upstreams {
		u.standin.SetFaults(f)
	}
}

func (c *cell) silenceCallers() {
	c.world.network.silenceIf(func(x *conn) bool { return strings.HasPrefix(x.from.host, "caller") })
}

// publishSoon publishes another shift cap beside the load.
func (c *cell) publishSoon() {
	c.work.Go(func() {
		revision, err := c.world.publishTree(context.Background(), c.variant)
		if err == nil {
			c.mu.Lock()
			c.published = append(c.published, publication{revision, time.Now()})
			c.mu.Unlock()
		}
	})
}

// leaveUpstream makes one upstream leave.
func (c *cell) leaveUpstream() {
	u := c.world.upstreams[0]
	row := u.row
	row.State = vm.StateLeaving
	row.Since = time.Now()
	c.mu.Lock()
	c.leftAt = row.Since
	c.mu.Unlock()
	c.world.platform.PutVM(row)
	u.standin.SetDraining(true)
	c.left = append(c.left, u)
}

// loseLeader kills the leader of the first zone, which has a second entry VM.
func (c *cell) loseLeader() {
	zone := c.world.entries[0].row.Zone
	for _, e := range c.world.entries {
		if e.row.Zone == zone && e.daemon.Leads(zone) {
			c.world.network.kill(string(e.row.Name))
			return
		}
	}
}

func (c *cell) stopEntry() {
	c.stopped = c.world.entries[1]
	c.work.Go(func() { c.world.drain(c.stopped) })
}

// startEntry starts a further entry VM.
func (c *cell) startEntry() {
	c.work.Go(func() {
		c.starting.Lock()
		defer c.starting.Unlock()
		_ = c.world.startEntry(len(c.world.entries), c.world.lastZone())
	})
}

// entries returns the entry VMs started so far.
func (c *cell) entries() []*entryVM {
	c.starting.Lock()
	defer c.starting.Unlock()
	return slices.Clone(c.world.entries)
}

// watch follows revisions and plans on every entry VM.
func (c *cell) watch(ctx context.Context) {
	for clock.Sleep(ctx, watchInterval) == nil {
		for _, e := range c.entries() {
			c.revisions.look(e)
			c.shares.look(e)
		}
	}
}

// run runs the cell and returns what it found wrong.
func (c *cell) run(t *testing.T) (wrong []violation) {
	synctest.Test(t, func(t *testing.T) {
		d, err := loadDeployment("sohar")
		if err != nil {
			t.Fatal(err)
		}
		d.servers = []serverSize{{"certdesk", 6, 5}, {"stampbook", 6, 3}, {"scanvault", 6, 5}}
		opts := Options{Deployment: "sohar", Duration: matrixArm + matrixBroken + matrixAfter, Load: 0.15}.withDefaults()
		c.lastSent = make(map[string]time.Duration)
		c.tap = &tap{transport: newMemory()}
		c.shares, c.revisions = newShareWatch(), newRevisionWatch()
		if c.defect != nil && c.defect.install != nil {
			c.defect.install(t, c, d)
		}
		w, err := startWorld(context.Background(), opts, d, c.tap)
		if err != nil {
			t.Fatal(err)
		}
		c.world = w
		c.tap.address.Store(&w.entries[1].row.Address)
		c.variant = variantTree(t)
		w.platform.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/snapshots/"+staleSnapshot, nil))
		w.network.observe = c.observe
		watch, stop := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { c.watch(watch) })
		time.AfterFunc(matrixArm, c.arm)
		tallies := w.load(context.Background(), nil)
		c.work.Wait()
		time.Sleep(matrixSettle)
		stop()
		watching.Wait()
		c.sample(tallies)
		wrong = c.check(w.summarize(tallies))
		w.stop()
		time.Sleep(time.Minute) // what is under way ends
	})
	return wrong
}

// sample takes some of the decisions that callers were told of, in an order that does not depend on the run.
func (c *cell) sample(tallies map[steering.OperationName]*tally) {
	const most = 6
	for _, name := range slices.Sorted(maps.Keys(tallies)) {
		for _, id := range tallies[name].sampled {
			if len(c.sampled) < most {
				c.sampled = append(c.sampled, review.ID(id))
			}
		}
	}
}

// variantTree returns the deployment's files with other shift caps.
func variantTree(t *testing.T) *steering.Tree {
	t.Helper()
	return editedTree(t, `"shift_cap": {"share": 0.2`, `"shift_cap": {"share": 0.15`)
}

func (c *cell) arm() {
	if c.defect != nil && c.defect.arm != nil {
		c.defect.arm(c)
	}
	c.armed.Store(true)
	if c.step.prepare != nil {
		c.step.prepare(c)
	}
}
