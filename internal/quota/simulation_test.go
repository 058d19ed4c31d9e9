package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Times of the simulated fleet, as package gateway has them.
const (
	simStep     = 10 * time.Millisecond
	simLease    = 3 * time.Second
	simRenewal  = 1400 * time.Millisecond
	simRead     = time.Second
	simAskEvery = 50 * time.Millisecond
)

// simDefect is a rule that a simulated fleet breaks, which the test must notice.
type simDefect int

const (
	noDefect simDefect = iota
	joinsAtOnce
	ignoresLease
	ignoresExpiry
	joinsWithOldList
)

// simFleet is a fleet in which every VM asks for as many tokens of one account as it can get. Processes are killed and
// frozen, links and the way to the store are cut, and lists are late.
type simFleet struct {
	rng     *rand.Rand
	defect  simDefect
	now     time.Time
	regions []steering.RegionName
	vms     []*simVM
	terms   Terms
	rate    float64
	burst   float64
	bounds  Bounds

	version uint64
	leases  map[string]simEntry // the store
	history []simList
	cut     map[[2]int]bool // links between VMs
	spent   []time.Time
	events  []simEvent // replies in flight
	onGrant func(s Shard, home *simVM, n int)
}

type simEntry struct {
	vm      VM
	version uint64
	expiry  time.Time
}

// simList is what a read of the store returned from a time on.
type simList struct {
	at      time.Time
	version uint64
	vms     []VM
}

type simEvent struct {
	at time.Time
	vm *simVM
	do func()
}

type simVM struct {
	index       int
	vm          VM
	isDown      bool
	frozenUntil time.Time
	noStore     bool
	role        *Role
	ledger      *Ledger
	purse       Purse
	entry       uint64 // version of its listing, 0: none
	leaseUntil  time.Time
	listedAt    time.Time
	pending     []string // VMs that did not reply to the join; nil with isJoining: none
	listVersion uint64   // of the list from which pending is
	isJoining   bool
	nextRenewal time.Time
	nextRead    time.Time
	nextAsk     time.Time
	nextTry     time.Time
}

func newSimFleet(seed uint64, defect simDefect) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(seed, 0)), defect: defect, now: time.Unix(1e9, 0), leases: make(map[string]simEntry),
		cut: make(map[[2]int]bool), regions: []steering.RegionName{"a", "b", "c"}[:1+seed%3],
		bounds: Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	f.rate, f.burst = []float64{2, 40, 500}[f.rng.IntN(3)], []float64{0, 40, 500}[f.rng.IntN(3)]
	f.terms = f.bounds.TermsOf(f.rate, f.burst)
	for i := range 3 + f.rng.IntN(8) {
		v := &simVM{index: i, vm: VM{
			Address: fmt.Sprintf("vm-%d", i), Region: f.regions[i%len(f.regions)], LinkMbit: []float64{10, 200}[f.rng.IntN(2)],
		}}
		f.vms = append(f.vms, v)
		f.start(v)
	}
	return f
}

func (f *simFleet) start(v *simVM) {
	v.isDown, v.role, v.ledger, v.purse = false, NewRole(v.vm, f.regions), NewLedger(), Purse{}
	v.entry, v.isJoining, v.leaseUntil = 0, false, time.Time{}
	v.nextRenewal, v.nextRead = f.now.Add(time.Duration(f.rng.IntN(1000))*time.Millisecond), f.now
}

func (f *simFleet) runs(v *simVM) bool { return !v.isDown && !f.now.Before(v.frozenUntil) }

func (f *simFleet) reaches(a, b *simVM) bool {
	return a == b || f.runs(b) && !f.cut[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// expireLeases is the store's part of a step.
func (f *simFleet) expireLeases() {
	for address, e := range f.leases {
		if !f.now.Before(e.expiry) {
			delete(f.leases, address)
			f.version++
		}
	}
	if len(f.history) > 0 && f.history[len(f.history)-1].version == f.version {
		return
	}
	list := simList{at: f.now, version: f.version}
	for _, e := range f.leases {
		list.vms = append(list.vms, e.vm)
	}
	f.history = append(f.history, list)
}

// listAsOf returns the list as it was at a time.
func (f *simFleet) listAsOf(at time.Time) simList {
	for _, l := range slices.Backward(f.history) {
		if !l.at.After(at) {
			return l
		}
	}
	return f.history[0]
}

func (f *simFleet) renew(v *simVM) {
	v.nextRenewal = f.now.Add(simRenewal)
	lost := f.rng.IntN(20) == 0 // the answer of the store
	if e, ok := f.leases[v.vm.Address]; ok && e.version == v.entry {
		e.expiry = f.now.Add(simLease)
		f.leases[v.vm.Address] = e
		if !lost {
			v.leaseUntil = f.now.Add(simLease)
		}
		return
	}
	f.version++
	v.entry, v.leaseUntil, v.listedAt = f.version, f.now.Add(simLease), f.now
	f.leases[v.vm.Address] = simEntry{vm: v.vm, version: v.entry, expiry: v.leaseUntil}
	v.role.Leave()
	v.ledger.Clear()
	v.isJoining, v.pending = true, nil
	f.expireLeases()
	list := f.history[len(f.history)-1]
	v.listVersion = list.version
	others := slices.DeleteFunc(slices.Clone(list.vms), func(o VM) bool { return o == v.vm })
	for _, other := range others {
		v.pending = append(v.pending, other.Address)
	}
	if f.defect != joinsWithOldList {
		v.role.SetList(others, list.version, f.now, f.now)
	}
}

func (f *simFleet) read(v *simVM) {
	v.nextRead = f.now.Add(simRead)
	lag := time.Duration(f.rng.Int64N(int64(listLag)))
	if f.rng.IntN(2) == 0 {
		lag = 0
	}
	list := f.listAsOf(f.now.Add(-lag))
	if list.version < v.role.version {
		v.role.ConfirmList(v.role.version, f.now, f.now)
		return
	}
	others := slices.DeleteFunc(slices.Clone(list.vms), func(o VM) bool { return o == v.vm })
	v.role.SetList(others, list.version, f.now, f.now)
	v.ledger.RemoveUnless(v.role.IsHome)
}

func (f *simFleet) join(v *simVM) {
	v.nextTry = f.now.Add(200 * time.Millisecond)
	if f.defect == joinsAtOnce {
		v.pending = nil
	}
	v.pending = slices.DeleteFunc(v.pending, func(address string) bool {
		other := f.vms[slices.IndexFunc(f.vms, func(o *simVM) bool { return o.vm.Address == address })]
		if f.reaches(v, other) {
			other.role.Adopt(v.vm, v.entry, f.now)
			other.ledger.RemoveUnless(other.role.IsHome)
			return true
		}
		return v.role.version >= v.listVersion && !slices.Contains(v.role.listed, other.vm)
	})
	if len(v.pending) == 0 || f.now.Sub(v.listedAt) >= JoinWait {
		v.isJoining = false
		v.role.Join(f.now)
	}
}

// ask asks the home of each shard for tokens, and spends what it gets at a random time later.
func (f *simFleet) ask(v *simVM) {
	v.nextAsk = f.now.Add(simAskEvery)
	for i := range Shards {
		s := Shard{Account: "x", Index: i}
		address := v.role.HomeOf(s)
		home := f.vms[slices.IndexFunc(f.vms, func(o *simVM) bool { return o.vm.Address == address })]
		if !f.reaches(v, home) {
			continue
		}
		leaseUntil := home.leaseUntil
		if f.defect == ignoresLease {
			leaseUntil = f.now.Add(time.Hour)
			home.role.readAt = f.now
		}
		if !home.role.MayGrant(leaseUntil, f.now) || !home.role.IsHome(s) {
			continue
		}
		granted := home.ledger.Grant(s, f.terms, v.vm.Address, int(f.rate)+10, home.role.Since(), f.now)
		if f.onGrant != nil && granted > 0 {
			f.onGrant(s, home, granted)
		}
		expiry := f.now.Add(f.terms.Life)
		f.events = append(f.events, simEvent{at: f.now.Add(time.Duration(f.rng.IntN(70)) * time.Millisecond), vm: v, do: func() {
			if f.defect == ignoresExpiry {
				expiry = expiry.Add(time.Hour)
			}
			v.purse.Deposit(granted, expiry, f.now)
		}})
	}
}

// spend spends tokens: in some seconds none, so that they pile up, in others all.
func (f *simFleet) spend(v *simVM) {
	if f.now.Unix()%4 == 0 && f.now.Nanosecond() < 9e8 {
		return
	}
	for {
		if _, ok := v.purse.Spend(f.now); !ok {
			return
		}
		f.spent = append(f.spent, f.now)
	}
}

func (f *simFleet) disturb() {
	v := f.vms[f.rng.IntN(len(f.vms))]
	span := time.Duration(f.rng.IntN(8000)) * time.Millisecond
	switch f.rng.IntN(8) {
	case 0:
		v.isDown = true
	case 1:
		v.frozenUntil = f.now.Add(span)
	case 2:
		v.noStore = !v.noStore
	case 3, 4:
		other := f.vms[f.rng.IntN(len(f.vms))]
		link := [2]int{min(v.index, other.index), max(v.index, other.index)}
		f.cut[link] = !f.cut[link]
	case 5:
		if v.isDown {
			f.start(v)
		}
	case 6:
		for _, v := range f.vms {
			v.noStore = false
			if v.isDown {
				f.start(v)
			}
		}
		clear(f.cut)
	case 7:
		if f.rng.IntN(8) == 0 { // power is lost everywhere
			for _, v := range f.vms {
				f.start(v)
			}
		}
	}
}

func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	f.expireLeases()
	if f.rng.IntN(60) == 0 {
		f.disturb()
	}
	f.events = slices.DeleteFunc(f.events, func(e simEvent) bool {
		if e.vm.isDown || f.now.Before(e.at) || !f.runs(e.vm) {
			return e.vm.isDown
		}
		e.do()
		return true
	})
	for _, v := range f.vms {
		if !f.runs(v) {
			continue
		}
		if !v.noStore && !f.now.Before(v.nextRenewal) {
			f.renew(v)
		}
		if !v.noStore && !f.now.Before(v.nextRead) {
			f.read(v)
		}
		if v.isJoining && !f.now.Before(v.nextTry) {
			f.join(v)
		}
		if !f.now.Before(v.nextAsk) {
			f.ask(v)
		}
		f.spend(v)
	}
}

// worstWindow returns the highest number of requests in any window that starts at or after from and ends before to.
func (f *simFleet) worstWindow(from, to time.Time) int {
	worst, first := 0, 0
	for i, at := range f.spent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		for f.spent[first].Before(at.Add(-f.bounds.Window)) || f.spent[first].Before(from) {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

const simLength = 60 * time.Second

// simulate returns by how many requests the worst window is over the bound, and the part of the rate that was used.
// The limits are lowered to half, which binds one window later.
func simulate(seed uint64, defect simDefect) (excess, used float64) {
	f := newSimFleet(seed, defect)
	startedAt := f.now
	loweredAt := startedAt.Add(simLength / 2)
	mostAllowed := func() float64 {
		return (f.rate*f.bounds.Window.Seconds()+f.burst)*(1+f.bounds.Overage) + f.bounds.Slack
	}
	most, rate := mostAllowed(), f.rate
	for range int(simLength / simStep) {
		if f.now.Equal(loweredAt) {
			f.rate, f.burst = f.rate/2, f.burst/2
			f.terms = f.bounds.TermsOf(f.rate, f.burst)
		}
		f.step()
	}
	before := float64(f.worstWindow(startedAt, loweredAt)) - most
	after := float64(f.worstWindow(loweredAt.Add(f.bounds.Window), f.now.Add(simStep))) - mostAllowed()
	return max(before, after), float64(len(f.spent)) / (rate * simLength.Seconds() * 0.75)
}

// Whatever fails, the fleet's requests stay within the bound of every window.
func TestFleetStaysWithinTheBounds(t *testing.T) {
	const seeds = 150
	used := 0.0
	for seed := range uint64(seeds) {
		excess, part := simulate(seed, noDefect)
		if excess > 0 {
			t.Errorf("seed %d: a window is over the bound by %.0f requests", seed, excess)
		}
		used += part / seeds
	}
	if used < 0.5 {
		t.Errorf("%.2f of the rates were used, want at least half", used)
	}
	t.Logf("%.2f of the rates were used", used)
}

// The simulation would notice a fleet that leaves out one of the rules.
func TestSimulationNoticesDefects(t *testing.T) {
	for name, defect := range map[string]simDefect{
		"VMs join at once": joinsAtOnce, "homes grant without a lease": ignoresLease, "tokens do not expire": ignoresExpiry,
		"VMs join with an old list": joinsWithOldList,
	} {
		t.Run(name, func(t *testing.T) {
			const seeds = 60
			for seed := range uint64(seeds) {
				if excess, _ := simulate(seed, defect); excess > 0 {
					return
				}
			}
			t.Errorf("no window of %d fleets is over the bound", seeds)
		})
	}
}
