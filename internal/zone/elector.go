package zone

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// RequestPromiseFunc calls AskGrant at one VM; see Elector.AnswerPromise.
type RequestPromiseFunc func(ctx context.Context, to vm.Name, req *peer.AskGrantRequest) (*peer.AskGrantReply, error)

// ElectorOptions configure an Elector; Store, Zone and Self are needed.
type ElectorOptions struct {
	Store       refplatform.Store
	Zone        steering.ZoneName
	Self        vm.Name
	Incarnation vm.Incarnation
	Home        bool // Self stands in Zone

	// The functions below are called with a lock held; they must not block or call the Elector.

	// Members returns the entry VMs of the zone that are known, Self included if Home.
	Members func() []vm.Name
	// Successors returns the VMs that may take the zone over from Self, preferred ones first: its other
	// members, then entry VMs of the region's other zones.
	Successors func() []vm.Name
	// LastContact returns when this VM last heard from another one; zero: never.
	LastContact func(name vm.Name) time.Time
	// IsListed says whether the platform's VM list holds a VM, as far as is known.
	IsListed func(name vm.Name) bool
	// UpstreamsReachableSince returns since when upstreams of the zone have answered this VM without a break; zero: they
	// do not. It is asked only if Self stands elsewhere. nil: not known.
	UpstreamsReachableSince func() time.Time
	// OnChange is called when another VM leads or the epoch changed.
	OnChange func(State)

	// OnFloorChange says which part of the zone's floor is this VM's and which is other VMs', 0 to 1 each.
	// It is called without a lock, and the parts are in force when it returns.
	OnFloorChange func(own, others float64)
	// RequestPromise asks a successor not to take the zone over for a time. It may block.
	RequestPromise RequestPromiseFunc

	TTL           time.Duration // of the store lease
	PromiseTTL    time.Duration // of a successor's promise
	Interval      time.Duration // between two renewals of the leader
	FloorTTL      time.Duration // a VM that was paused for so long must confirm its part of the floor
	LostAfter     time.Duration // silence after which the part of the floor of an unlisted VM may be lost
	RemovedAfter  time.Duration // a VM that is not listed for so long is gone
	MaxSuccessors int           // most successors that a record names
	Drift         float64       // part by which a clock may run fast or slow
	Seed          uint64        // of the jitter
	Now           func() time.Time

	ignorePromises  bool // a defect, for tests of the checks
	reviveByPromise bool // a defect, for tests of the checks
	keepTenure      bool // a defect, for tests of the checks
	ignoreContact   bool // a defect, for tests of the checks
}

func (o *ElectorOptions) setDefaults() {
	if o.TTL <= 0 {
		o.TTL = 8 * time.Second
	}
	if o.PromiseTTL <= 0 {
		o.PromiseTTL = o.TTL
	}
	if o.Interval <= 0 {
		o.Interval = o.TTL / 4
	}
	if o.FloorTTL <= 0 {
		o.FloorTTL = o.TTL * 3 / 8
	}
	if o.LostAfter <= 0 {
		o.LostAfter = o.TTL
	}
	if o.RemovedAfter <= 0 {
		o.RemovedAfter = time.Minute
	}
	if o.MaxSuccessors <= 0 {
		o.MaxSuccessors = 4
	}
	if o.Drift <= 0 {
		o.Drift = contract.DefaultDrift
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Members == nil {
		self := []vm.Name{o.Self}
		o.Members = func() []vm.Name { return self }
	}
	if o.Successors == nil {
		o.Successors = func() []vm.Name { return nil }
	}
	if o.LastContact == nil {
		o.LastContact = func(vm.Name) time.Time { return time.Time{} }
	}
	if o.IsListed == nil {
		o.IsListed = func(vm.Name) bool { return true }
	}
	if o.OnFloorChange == nil {
		o.OnFloorChange = func(float64, float64) {}
	}
	if o.OnChange == nil {
		o.OnChange = func(State) {}
	}
}

// State is who leads a zone, as one VM knows it.
type State struct {
	VM    vm.Name   // empty: not known
	Epoch uint64    // fencing
	Until time.Time // the leadership may lapse then
	Held  bool      // this VM leads and may use what is above the floor
}

// Stats count the store calls of an Elector.
type Stats struct {
	Reads          uint64
	Writes         uint64
	Promises       uint64 // calls of AskPromise
	Elected        uint64 // times that this VM became leader
	Takeovers      uint64 // of those, from another VM
	ReclaimedParts uint64 // parts of the floor freed whose holders were lost
}

// Elector follows who leads one zone and runs for it. It is safe for concurrent use.
type Elector struct {
	opt     ElectorOptions
	started time.Time

	mu         sync.Mutex
	state      State
	lease      refplatform.Lease
	leaseTo    time.Time // the store lease is good until then
	promisedTo time.Time // all successors keep off until then
	record     Record
	version    refplatform.Version // of record; 0: not read or absent
	hasRead    bool                // record is known as the store holds it
	everRead   bool                // record was known once
	answered   bool                // the store answered this life once
	keepOff    time.Time           // this VM keeps off until then
	trying     bool                // a candidacy is under way
	seen       uint64              // highest epoch of a leadership that was or may have been
	keptFor    pledge              // whom this VM last promised to, if it did not run since
	running    time.Time           // a candidacy that ended may still succeed until then
	resign     time.Time           // this VM does not run or renew until then
	absent     time.Time           // since when the leader's key was seen absent; zero: it is held
	looked     time.Time           // last look at the leader's key; zero: never
	unlisted   map[vm.Name]time.Time
	part       float64 // of the floor, this VM's
	stats      Stats

	sightings map[vm.Name]*sighting
	ticked    time.Time // last round of StepTenure
	awake     time.Time // end of this VM's last pause
	pauses    uint64    // noticed so far
	suspended bool      // the part of the floor was not confirmed since the last pause
	doubted   bool      // another VM asked for a sign of life
	assumes   bool      // this VM uses the whole floor without knowing the record
	assumed   time.Time // another VM may do so until then

	assumeAfter time.Time // this VM assumes nothing before, because it was asked for a sign of life
}

// NewElector returns an Elector that has not asked the store yet.
func NewElector(opt ElectorOptions) *Elector {
	opt.setDefaults()
	e := &Elector{
		opt:      opt,
		started:  opt.Now(),
		unlisted: make(map[vm.Name]time.Time),

		sightings: make(map[vm.Name]*sighting),
		ticked:    opt.Now(),
	}
	if opt.Home {
		e.state.VM = opt.Self
	}
	return e
}

// Run renews, watches and runs for the leadership until ctx ends. The lease is then left to lapse,
// because grants that were made under it live on.
func (e *Elector) Run(ctx context.Context) {
	var loops sync.WaitGroup
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	loops.Go(func() { e.loop(ctx, 1, e.storeInterval, e.StepStore) })
	loops.Go(func() { e.loop(ctx, 2, every(e.opt.PromiseTTL/8), e.StepPromise) })
	loops.Go(func() { e.loop(ctx, 3, every(e.opt.FloorTTL/6), e.StepPauseCheck) })
	loops.Wait()
}

// loop runs step at intervals of which up to a quarter is taken off at random; loops with different
// numbers draw from different sources.
func (e *Elector) loop(ctx context.Context, number uint64, next func() time.Duration, step func(context.Context)) {
	random := rand.New(rand.NewPCG(e.opt.Seed, uint64(e.opt.Incarnation)+number<<32))
	for ctx.Err() == nil {
		step(ctx)
		interval := next()
		jitter := time.Duration(random.Int64N(int64(interval/4) + 1))
		select {
		case <-ctx.Done():
		case <-time.After(interval - jitter):
		}
	}
}

// Leader returns who leads the zone, the fencing epoch and when that may lapse. A zone's only VM
// is its own leader also without the store; it then holds only the floor.
func (e *Elector) Leader() (vm.Name, uint64, time.Time) {
	s := e.State(e.opt.Now())
	return s.VM, s.Epoch, s.Until
}

// State returns who leads the zone at now.
func (e *Elector) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateAt(now)
}

func (e *Elector) stateAt(now time.Time) State {
	s := e.state
	if s.VM != e.opt.Self {
		return s
	}
	s.Until = e.until()
	s.Held = before(now, s.Until)
	return s
}

// Leadership returns the right to what is above the floor, for contract.GrantorOptions.
func (e *Elector) Leadership(now time.Time) contract.Leadership {
	s := e.State(now)
	return contract.Leadership{Epoch: s.Epoch, Until: s.Until, Held: s.Held}
}

// FloorPart returns the part of the zone's floor that this VM keeps without any lease, 0 to 1.
func (e *Elector) FloorPart() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.part
}

// Stats returns the counts so far.
func (e *Elector) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// until returns when this VM must stop leading.
func (e *Elector) until() time.Time {
	if e.promisedTo.After(e.leaseTo) {
		return e.promisedTo
	}
	return e.leaseTo
}

// leads says whether this VM leads at now.
func (e *Elector) leads(now time.Time) bool {
	return e.state.VM == e.opt.Self && before(now, e.until())
}

// before says whether now is before until on the monotonic and on the wall clock; a VM that was
// suspended may find that only the latter went on.
func before(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// shorten returns d as the fastest clock must count it.
func (e *Elector) shorten(d time.Duration) time.Duration {
	return d - time.Duration(2.1*e.opt.Drift*float64(d))
}

// stretch returns d as the slowest clock may count it.
func (e *Elector) stretch(d time.Duration) time.Duration {
	return d + time.Duration(2.1*e.opt.Drift*float64(d))
}

// setState notes who leads and tells OnChange if that is another VM or epoch than before.
func (e *Elector) setState(s State) {
	changed := s.VM != e.state.VM || s.Epoch != e.state.Epoch
	e.state = s
	if changed {
		e.opt.OnChange(s)
	}
}
