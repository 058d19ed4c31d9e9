package zone

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/proptest"
	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

func TestMain(m *testing.M) { proptest.Main(m, 40) }

const service steering.ServiceName = "certdesk"

var errCut = errors.New("cut")

// place is the location of a VM; zones a and b of a region are neighbors.
type place struct {
	name   vm.Name
	zone   steering.ZoneName
	region string
}

// sohar is 7 entry VMs in 6 zones of 3 regions.
var sohar = []place{
	{"e1", "batinah-a", "batinah"}, {"e2", "batinah-a", "batinah"}, {"e3", "batinah-b", "batinah"},
	{"e4", "muscat-a", "muscat"}, {"e5", "muscat-b", "muscat"},
	{"e6", "dhofar-a", "dhofar"}, {"e7", "dhofar-b", "dhofar"},
}

// world runs VMs against a fake store and a network that can be cut.
type world struct {
	places         []place
	slots          int         // of each zone
	share          float64     // of the floor
	noSlowMessages atomic.Bool // no message takes seconds
	drift          bool        // clocks run up to 1% fast or slow
	maxUsable      int         // maximum slots of a zone that were usable at once
	ttl            time.Duration
	defect         func(*ElectorOptions)
	start          time.Time
	store          *refplatformtest.Store
	mu             sync.Mutex
	seed           uint64
	streams        map[stream]*rand.Rand // of delays
	nodes          map[vm.Name]*node
	cut            map[[2]vm.Name]bool
	cutZones       map[[2]steering.ZoneName]bool      // from, to
	healed         map[[2]steering.ZoneName]time.Time // end of the last cut between two zones; zero: it lasts
	cutStore       map[vm.Name]bool
	listed         []vm.Name // the VM list
	incarnations   vm.Incarnation
	running        sync.WaitGroup
}

// stream identifies a sequence of consecutive calls. Each stream has its own source of delays, so that the order in
// which goroutines make calls does not change the delays.
type stream struct {
	kind     string
	zone     steering.ZoneName
	from, to vm.Name
}

// node is one incarnation of a VM.
type node struct {
	w        *world
	place    place
	rate     float64 // of its clock
	client   *refplatformtest.Client
	pool     *contract.SlotPool
	grantee  *contract.Grantee
	grantors map[steering.ZoneName]*contract.Grantor
	electors map[steering.ZoneName]*Elector
	stop     context.CancelFunc
	ctx      context.Context

	mu          sync.Mutex
	dead        bool
	resume      chan struct{} // not nil while paused
	stale       bool          // a paused reader of the clock gets the time before the pause
	lastContact map[vm.Name]time.Time
	leaders     map[steering.ZoneName]State
	want        map[steering.ZoneName]int
	total       int // slots wanted in any zone, nearest first; 0: as in want
	permits     map[steering.ZoneName][]contract.Permit
}

func newWorld(seed uint64, share float64) *world {
	return &world{
		places: sohar, slots: 20, share: share,
		start: time.Now(), store: refplatformtest.NewStore(refplatformtest.StoreOptions{}),
		seed: seed, streams: make(map[stream]*rand.Rand), nodes: make(map[vm.Name]*node),
		cut: make(map[[2]vm.Name]bool), cutStore: make(map[vm.Name]bool),
		cutZones: make(map[[2]steering.ZoneName]bool), healed: make(map[[2]steering.ZoneName]time.Time),
	}
}

func (w *world) zones() []steering.ZoneName {
	var out []steering.ZoneName
	for _, p := range w.places {
		if !slices.Contains(out, p.zone) {
			out = append(out, p.zone)
		}
	}
	return out
}

func (w *world) startAll() {
	for _, p := range w.places {
		w.listed = append(w.listed, p.name)
	}
	for i, p := range w.places {
		rate := 1.0
		if w.drift {
			rate += 0.01 * float64(i%3-1)
		}
		w.startNode(p, rate)
	}
}

// stagger keeps VMs, faults and the test's checks from happening at the same instant of virtual time.
const stagger = 13*time.Millisecond + 1237*time.Nanosecond

// startNode starts a new incarnation of the VM at p with a clock of the given rate.
func (w *world) startNode(p place, rate float64) *node {
	w.mu.Lock()
	w.incarnations++
	n := &node{
		w: w, place: p, rate: rate, client: w.store.NewClient(string(p.name)),
		grantors: make(map[steering.ZoneName]*contract.Grantor), electors: make(map[steering.ZoneName]*Elector),
		lastContact: make(map[vm.Name]time.Time), leaders: make(map[steering.ZoneName]State),
		want: make(map[steering.ZoneName]int), permits: make(map[steering.ZoneName][]contract.Permit),
	}
	incarnation, down := w.incarnations, w.cutStore[p.name]
	w.mu.Unlock()
	n.client.SetFaults(refplatformtest.Faults{Down: down})
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.pool = contract.NewSlotPool(contract.SlotPoolOptions{Self: p.name, Incarnation: incarnation, Zone: p.zone, Start: n.clock()})
	for _, q := range w.places {
		if q.region == p.region && n.electors[q.zone] == nil {
			n.join(q.zone, incarnation)
		}
	}
	n.grantee = contract.NewGrantee(contract.GranteeOptions{
		Pool: n.pool, RequestGrant: n.requestGrant, ReturnGrant: n.returnGrant, Now: n.now,
		IsLeader: func(z steering.ZoneName) bool { return n.electors[z] != nil && n.electors[z].State(n.clock()).Held },
	})
	w.mu.Lock()
	w.nodes[p.name] = n
	w.mu.Unlock()
	for zone, e := range n.electors {
		n.run(e.Run)
		n.run(n.grantors[zone].Run)
	}
	n.run(n.grantee.Run)
	n.run(n.runHeartbeats)
	time.Sleep(stagger)
	return n
}

// join makes n a candidate for the leadership of zone.
func (n *node) join(zone steering.ZoneName, incarnation vm.Incarnation) {
	opt := ElectorOptions{
		Store: n.client, Zone: zone, Self: n.place.name, Incarnation: incarnation, Home: zone == n.place.zone,
		Members:     func() []vm.Name { return n.knownVMs(func(p place) bool { return p.zone == zone }) },
		Successors:  func() []vm.Name { return n.successors(zone) },
		LastContact: func(name vm.Name) time.Time { n.mu.Lock(); defer n.mu.Unlock(); return n.lastContact[name] },
		IsListed: func(name vm.Name) bool {
			n.w.mu.Lock()
			defer n.w.mu.Unlock()
			return slices.Contains(n.w.listed, name)
		},
		UpstreamsReachableSince: func() time.Time { return n.contact(zone) }, RequestPromise: n.requestPromise, Seed: uint64(incarnation), Now: n.now, TTL: n.w.ttl,
	}
	if n.w.defect != nil {
		n.w.defect(&opt)
	}
	var e *Elector
	g := contract.NewGrantor(contract.GrantorOptions{
		Zone: zone, Pool: n.pool, Now: n.now,
		IsMember:   func(h vm.Name) bool { return slices.Contains(opt.Members(), h) },
		Leadership: func(now time.Time) contract.Leadership { return e.Leadership(now) },
		FloorUntil: func(now time.Time) time.Time { return e.FloorUntil(now) },
	})
	opt.OnFloorChange = g.SetFloorParts
	e = NewElector(opt)
	n.electors[zone], n.grantors[zone] = e, g
}

func (n *node) run(f func(context.Context)) { n.w.running.Go(func() { f(n.ctx) }) }

// contact returns since when no cut has made a zone's upstreams unreachable for the VM.
func (n *node) contact(zone steering.ZoneName) time.Time {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	since, ok := n.w.healed[[2]steering.ZoneName{n.place.zone, zone}]
	switch {
	case !ok:
		return n.w.start
	case since.IsZero():
		return time.Time{}
	}
	return n.w.start.Add(time.Duration(float64(since.Sub(n.w.start)) * n.rate))
}

// clock returns the VM's time without waiting for the end of a pause.
func (n *node) clock() time.Time {
	return n.w.start.Add(time.Duration(float64(time.Since(n.w.start)) * n.rate))
}

// now is the clock that the code under test reads; it blocks while the VM is paused.
func (n *node) now() time.Time {
	n.mu.Lock()
	resume, stale := n.resume, n.stale
	n.mu.Unlock()
	before := n.clock()
	if resume == nil {
		return before
	}
	<-resume
	if stale {
		return before
	}
	return n.clock()
}

// knownVMs returns the VMs that are in the VM list or had recent contact, as vm.Directory does.
func (n *node) knownVMs(keep func(place) bool) []vm.Name {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []vm.Name
	for _, p := range n.w.places {
		inContact := n.clock().Sub(n.lastContact[p.name]) < time.Minute || p.name == n.place.name
		if keep(p) && (inContact || slices.Contains(n.w.listed, p.name)) {
			out = append(out, p.name)
		}
	}
	return out
}

func (n *node) successors(zone steering.ZoneName) []vm.Name {
	self := n.place
	near := n.knownVMs(func(p place) bool { return p.zone == zone && p.name != self.name })
	far := n.knownVMs(func(p place) bool { return p.zone != zone && p.region == self.region && p.name != self.name })
	return append(near, far...)
}

// runHeartbeats exchanges heartbeats, sets the capacity and uses slots as wanted.
func (n *node) runHeartbeats(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		n.now()
		if i%5 == 0 {
			n.w.heartbeat(n)
		}
		for _, g := range n.grantors {
			g.SetCapacity(service, contract.Capacity{Slots: n.w.slots, FloorShare: n.w.share})
		}
		n.adjustUse()
		time.Sleep(100 * time.Millisecond)
	}
}

// heartbeat reports to every VM that from can reach that from is alive, and which zones it leads.
func (w *world) heartbeat(from *node) {
	states := make(map[steering.ZoneName]State)
	for zone, e := range from.electors {
		if s := e.State(from.clock()); s.VM == from.place.name {
			states[zone] = s
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, to := range w.nodes {
		if to == from || w.cut[[2]vm.Name{from.place.name, to.place.name}] {
			continue
		}
		to.mu.Lock()
		to.lastContact[from.place.name] = to.clock()
		for zone, s := range states {
			if s.Held || to.leaders[zone].VM == "" {
				to.leaders[zone] = s
			}
		}
		to.mu.Unlock()
	}
}

// adjustUse acquires and releases slots until those in use match those wanted.
func (n *node) adjustUse() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	if n.total > 0 {
		n.useNearest(now)
		return
	}
	for zone, want := range n.want {
		held := n.permits[zone]
		for len(held) < want {
			p, err := n.pool.Acquire(service, zone, now)
			if err != nil {
				break
			}
			held = append(held, p)
		}
		for len(held) > want {
			n.pool.Release(held[len(held)-1])
			held = held[:len(held)-1]
		}
		n.permits[zone] = held
	}
}

// useNearest ends half of the requests and starts others until total are in flight.
func (n *node) useNearest(now time.Time) {
	inFlight := 0
	for zone, held := range n.permits {
		for range (len(held) + 1) / 2 {
			n.pool.Release(held[len(held)-1])
			held = held[:len(held)-1]
		}
		n.permits[zone] = held
		inFlight += len(held)
	}
	for _, zone := range n.nearest() {
		for inFlight < n.total {
			p, err := n.pool.Acquire(service, zone, now)
			if err != nil {
				break
			}
			n.permits[zone] = append(n.permits[zone], p)
			inFlight++
		}
	}
}

// nearest returns the zones in order of distance from the VM's own.
func (n *node) nearest() []steering.ZoneName {
	rank := func(zone steering.ZoneName) int {
		switch {
		case zone == n.place.zone:
			return 0
		case n.electors[zone] != nil:
			return 1
		}
		return 2
	}
	zones := n.w.zones()
	slices.SortStableFunc(zones, func(a, b steering.ZoneName) int { return rank(a) - rank(b) })
	return zones
}

func (n *node) setTotal(slots int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.total = slots
}

func (n *node) setWant(zone steering.ZoneName, slots int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.want[zone] = slots
}

// call runs fn at the VM s.to, over a network that delays messages and loses those that are cut.
func (n *node) call(ctx context.Context, s stream, fn func(*node)) error {
	w, to := n.w, s.to
	w.mu.Lock()
	target := w.nodes[to]
	lost := n.dead || target == nil || target.dead || w.cut[[2]vm.Name{n.place.name, to}]
	lostReply := w.cut[[2]vm.Name{to, n.place.name}]
	random := w.stream(s)
	delays := [2]time.Duration{w.delay(random), w.delay(random)}
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errCut
	}
	done := make(chan struct{})
	w.running.Go(func() {
		time.Sleep(delays[0])
		fn(target)
		time.Sleep(delays[1])
		close(done)
	})
	if lostReply {
		<-ctx.Done()
		return errCut
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errCut
	}
}

// stream returns the source of delays of s.
func (w *world) stream(s stream) *rand.Rand {
	if w.streams[s] == nil {
		h := fnv.New64a()
		fmt.Fprint(h, s)
		w.streams[s] = rand.New(rand.NewPCG(w.seed, h.Sum64()))
	}
	return w.streams[s]
}

// delay returns the delay of a message: 1 to 40 ms, occasionally up to 3 s.
func (w *world) delay(random *rand.Rand) time.Duration {
	if !w.noSlowMessages.Load() && random.IntN(50) == 0 {
		return time.Duration(random.Int64N(int64(3 * time.Second)))
	}
	return time.Millisecond + time.Duration(random.Int64N(int64(39*time.Millisecond)))
}

func (n *node) leader(zone steering.ZoneName) vm.Name {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaders[zone].VM
}

func (n *node) requestGrant(ctx context.Context, zone steering.ZoneName, req *peer.AskGrantRequest) (reply *peer.AskGrantReply, err error) {
	var out *peer.AskGrantReply
	err = n.call(ctx, stream{"ask", zone, n.place.name, n.leader(zone)}, func(to *node) {
		if g := to.grantors[zone]; g != nil {
			out, _ = g.AskGrant(ctx, req)
		}
	})
	if err == nil && out == nil {
		err = errCut
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

func (n *node) returnGrant(ctx context.Context, zone steering.ZoneName, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error) {
	return nil, n.call(ctx, stream{"return", zone, n.place.name, n.leader(zone)}, func(to *node) {
		if g := to.grantors[zone]; g != nil {
			_, _ = g.ReturnGrant(ctx, req)
		}
	})
}

func (n *node) requestPromise(ctx context.Context, to vm.Name, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	var out *peer.AskGrantReply
	err := n.call(ctx, stream{"attest", steering.ZoneName(req.Zone), n.place.name, to}, func(target *node) {
		if e := target.electors[steering.ZoneName(req.Zone)]; e != nil {
			out, _ = e.HandlePromiseRequest(ctx, req)
		}
	})
	if err == nil && out == nil {
		err = errCut
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// usable returns the sum of the slots of zone that the live VMs may use.
func (w *world) usable(zone steering.ZoneName) int {
	sum := 0
	for _, p := range w.places {
		if n := w.nodes[p.name]; n != nil && !n.dead {
			sum += n.pool.Usable(service, zone, n.clock())
		}
	}
	return sum
}

func (w *world) end() {
	for _, n := range w.nodes {
		n.setPaused(false, false)
		n.stop()
	}
	w.running.Wait()
}
