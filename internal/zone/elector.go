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

// RequestPromiseFunc calls AskGrant at one VM; see Elector.HandlePromiseRequest.
type RequestPromiseFunc func(ctx context.Context, to vm.Name, req *peer.AskGrantRequest) (*peer.AskGrantReply, error)

// ElectorOptions configure an Elector; Store, Zone and Self are required.
type ElectorOptions struct {
	Store       refplatform.Store
	Zone        steering.ZoneName
	Self        vm.Name
	Incarnation vm.Incarnation
	Home        bool // Self is in Zone

	// The functions below are called with a lock held; they must not block or call the Elector.

	// Members returns the known entry VMs of the zone, including Self if Home.
	Members func() []vm.Name
	// Successors returns the VMs that may take over the zone from Self, in order of preference: the other members of
	// the zone, then the entry VMs of the region's other zones.
	Successors func() []vm.Name
	// LastContact returns when this VM last received a message from another one; zero: never.
	LastContact func(name vm.Name) time.Time
	// IsListed reports whether the platform's VM list contains a VM, as far as this VM knows.
	IsListed func(name vm.Name) bool
	// UpstreamsReachableSince returns since when upstreams of the zone have responded to this VM without interruption;
	// zero: they do not respond. It is called only if Self is in another zone. nil: not known.
	UpstreamsReachableSince func() time.Time
	// OnChange is called when the leader or the epoch has changed.
	OnChange func(State)

	// OnFloorChange applies the parts of the zone's floor that belong to this VM and to other VMs, 0 to 1 each. It is
	// called without a lock, and the parts are in force when it returns.
	OnFloorChange func(own, others float64)
	// RequestPromise asks a successor to promise that it does not take over the zone for a time. It may block.
	RequestPromise RequestPromiseFunc

	TTL           time.Duration // of the store lease
	PromiseTTL    time.Duration // of a successor's promise
	Interval      time.Duration // between two renewals by the leader
	FloorTTL      time.Duration // a VM that was paused for this long must confirm its part of the floor again
	LostAfter     time.Duration // time without contact after which the part of the floor of an unlisted VM may be lost
	RemovedAfter  time.Duration // a VM that is not listed for this long counts as removed
	MaxSuccessors int           // maximum number of successors in a record
	Drift         float64       // fraction by which a clock may run fast or slow
	Seed          uint64        // of the jitter
	Now           func() time.Time

	ignorePromises     bool // a defect, which tests must detect
	reviveByPromise    bool // a defect, which tests must detect
	ignorePauses       bool // a defect, which tests must detect
	ignoreReachability bool // a defect, which tests must detect
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

// State describes the leadership of a zone as one VM knows it.
type State struct {
	VM    vm.Name   // leader; empty: not known
	Epoch uint64    // fencing epoch
	Until time.Time // the leadership may expire then
	Held  bool      // this VM leads and may use the slots above the floor
}

// Stats count the store calls and other actions of an Elector.
type Stats struct {
	Reads          uint64
	Writes         uint64
	Promises       uint64 // calls of RequestPromise
	Elected        uint64 // times that this VM became leader
	Takeovers      uint64 // of those, from another VM
	ReclaimedParts uint64 // parts of the floor reclaimed from other VMs that were lost or removed
}

// Elector follows who leads one zone and is a candidate for its leadership. It is safe for concurrent use.
type Elector struct {
	opt     ElectorOptions
	started time.Time

	mu                sync.Mutex
	state             State
	lease             refplatform.Lease
	leaseUntil        time.Time // the store lease is valid until then
	promisedUntil     time.Time // all successors have promised not to take over before then
	record            Record
	version           refplatform.Version // of record; 0: not read or absent
	hasRead           bool                // record is as in the store
	recordEverRead    bool                // record was read at least once
	storeResponded    bool                // the store has responded to this incarnation at least once
	abstainUntil      time.Time           // this VM does not become a candidate before then
	isCandidate       bool                // a candidacy is in progress
	maxEpoch          uint64              // highest epoch of a leadership that existed or may have existed
	lastPledge        pledge              // the leadership that this VM last made a promise to, if it was no candidate since
	claimPendingUntil time.Time           // a claim of an earlier candidacy may still succeed until then
	resignedUntil     time.Time           // this VM neither runs for the leadership nor renews it until then
	leaderAbsentSince time.Time           // since when the leader's key has been seen absent; zero: it is present
	leaderReadAt      time.Time           // last read of the leader's key; zero: never
	unlistedSince     map[vm.Name]time.Time
	part              float64 // this VM's fraction of the floor
	stats             Stats

	holders          map[vm.Name]*holderStatus
	lastPauseCheck   time.Time // last round of StepPauseCheck
	resumedAt        time.Time // end of this VM's last pause
	pauses           uint64    // number of pauses detected
	suspended        bool      // the part of the floor was not confirmed since the last pause
	probed           bool      // another VM has sent a probe
	assumesFloor     bool      // this VM uses the whole floor without knowing the record
	peerAssumesUntil time.Time // another VM may use the whole floor without knowing the record until then

	assumeAfter time.Time // this VM does not assume the whole floor before then, because it was probed
}

// NewElector returns an Elector that has not queried the store yet.
func NewElector(opt ElectorOptions) *Elector {
	opt.setDefaults()
	e := &Elector{
		opt:           opt,
		started:       opt.Now(),
		unlistedSince: make(map[vm.Name]time.Time),

		holders:        make(map[vm.Name]*holderStatus),
		lastPauseCheck: opt.Now(),
	}
	if opt.Home {
		e.state.VM = opt.Self
	}
	return e
}

// Run renews, watches and runs for the leadership until ctx ends. The lease is then left to expire, because grants
// that were made under it are still valid.
func (e *Elector) Run(ctx context.Context) {
	var loops sync.WaitGroup
	every := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	loops.Go(func() { e.loop(ctx, 1, e.storeInterval, e.StepStore) })
	loops.Go(func() { e.loop(ctx, 2, every(e.opt.PromiseTTL/8), e.StepPromise) })
	loops.Go(func() { e.loop(ctx, 3, every(e.opt.FloorTTL/6), e.StepPauseCheck) })
	loops.Wait()
}

// loop runs step at intervals that are shortened at random by up to a quarter. Loops with different numbers use
// different random sources.
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

// Leader returns the leader of the zone, the fencing epoch and when the leadership may expire. A VM of the zone that
// has not read the leader from the store yet returns itself, so that the only VM of a zone is its own leader even
// without the store; it then holds at most the floor.
func (e *Elector) Leader() (vm.Name, uint64, time.Time) {
	s := e.State(e.opt.Now())
	return s.VM, s.Epoch, s.Until
}

// State returns the leadership of the zone at now.
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
	s.Until = e.leadsUntil()
	s.Held = before(now, s.Until)
	return s
}

// Leadership returns the right to the slots above the floor, for contract.GrantorOptions.
func (e *Elector) Leadership(now time.Time) contract.Leadership {
	s := e.State(now)
	return contract.Leadership{Epoch: s.Epoch, Until: s.Until, Held: s.Held}
}

// FloorPart returns the fraction of the zone's floor that this VM holds without any lease, 0 to 1.
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

// leadsUntil returns when this VM must stop leading.
func (e *Elector) leadsUntil() time.Time {
	if e.promisedUntil.After(e.leaseUntil) {
		return e.promisedUntil
	}
	return e.leaseUntil
}

// isLeader reports whether this VM leads at now.
func (e *Elector) isLeader(now time.Time) bool {
	return e.state.VM == e.opt.Self && before(now, e.leadsUntil())
}

// before reports whether now is before until on both the monotonic and the wall clock: during a suspension only the
// wall clock may advance.
func before(now, until time.Time) bool {
	return now.Before(until) && now.Round(0).Before(until.Round(0))
}

// shorten returns the time that this VM's clock may count before the clock of any other VM has counted d.
func (e *Elector) shorten(d time.Duration) time.Duration {
	return d - time.Duration(2.1*e.opt.Drift*float64(d))
}

// stretch returns the time that this VM's clock must count until the clock of every other VM has counted d.
func (e *Elector) stretch(d time.Duration) time.Duration {
	return d + time.Duration(2.1*e.opt.Drift*float64(d))
}

// setState sets the leadership and calls OnChange if the leader or the epoch has changed.
func (e *Elector) setState(s State) {
	changed := s.VM != e.state.VM || s.Epoch != e.state.Epoch
	e.state = s
	if changed {
		e.opt.OnChange(s)
	}
}
