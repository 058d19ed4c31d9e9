package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/vm"
)

const testMbit = 280.0

// member is an entry VM with a clock that drifts. While it is cut off it sees no list, and while it is
// silent it hears no other VM.
type member struct {
	name   vm.Name
	share  *Share
	drift  float64
	cutOff bool
	silent bool
}

// fleet is what really is: the true time and the list of VMs, with its past.
type fleet struct {
	now        time.Duration
	members    []*member
	history    []listing
	offers     []offer
	floorShare float64
}

type listing struct {
	at    time.Duration
	names []vm.Name
}

// offer is an answer to a request for a loan that has not arrived yet.
type offer struct {
	to    *member
	loan  RateGrant
	asked time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the time that m reads.
func (f *fleet) clock(m *member) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * (1 + m.drift)))
}

func (f *fleet) start(name vm.Name, drift float64) {
	m := &member{name: name, drift: drift}
	o := ShareOptions{Self: name, CapacityMbit: testMbit, MaxMembers: 8, FloorShare: f.floorShare}
	m.share = NewShare(o, f.clock(m))
	f.members = append(f.members, m)
	f.publish()
}

func (f *fleet) publish() {
	var names []vm.Name
	for _, m := range f.members {
		names = append(names, m.name)
	}
	f.history = append(f.history, listing{at: f.now, names: names})
}

// list returns the members as the list named them lag ago.
func (f *fleet) list(lag time.Duration) []vm.Name {
	var names []vm.Name
	for _, l := range f.history {
		if l.at <= f.now-lag {
			names = l.names
		}
	}
	return names
}

// exchange lets a ask b to be counted.
func (f *fleet) exchange(a, b *member) {
	if a == b || a.silent || b.silent {
		return
	}
	b.share.RecordContact(a.name, f.clock(b))
	a.share.RecordResponse(b.name, f.clock(a), f.clock(a))
}

// exchangeAll lets every VM that needs it ask every other one.
func (f *fleet) exchangeAll() {
	for _, a := range f.members {
		for _, b := range f.members {
			if a.share.NeedsResponses(f.clock(a)) {
				f.exchange(a, b)
			}
		}
	}
}

// believed sums what all VMs that live may send now.
func (f *fleet) believed() float64 {
	sum := 0.0
	for _, m := range f.members {
		sum += m.share.Rate(f.clock(m))
	}
	return sum
}

// TestSharesNeverExceedTheLink lets VMs start, die, be cut off, drift, lend and lose messages at
// random, with a member list up to 5 s late. A name stays away for at least Wait after its end, as
// the property needs.
func TestSharesNeverExceedTheLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{floorShare: rapid.SampledFrom([]float64{0.01, 0.5}).Draw(t, "floor share")}
		next := 0
		begin := func() {
			next++
			f.start(vm.Name(fmt.Sprintf("entry-%d", next)), rapid.Float64Range(-0.005, 0.005).Draw(t, "drift"))
		}
		for range rapid.IntRange(1, 7).Draw(t, "members") {
			begin()
		}
		if rapid.Bool().Draw(t, "settled") {
			f.settle()
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.now += time.Duration(rapid.SampledFrom([]int{1, 30, 600, 1500}).Draw(t, "ms")) * time.Millisecond
			f.step(t, begin)
			if sum := f.believed(); sum > testMbit*(1+1e-9) {
				t.Fatalf("at %v %d VMs believe in %.1f of %.1f Mbit/s", f.now, len(f.members), sum, testMbit)
			}
		}
	})
}

func (f *fleet) step(t *rapid.T, begin func()) {
	for _, m := range f.members {
		if !m.cutOff && rapid.IntRange(0, 3).Draw(t, "polls") > 0 {
			lag := time.Duration(rapid.SampledFrom([]int{0, 1000, 5000}).Draw(t, "lag")) * time.Millisecond
			m.share.UpdateMembers(f.list(lag), f.clock(m))
		}
	}
	for range rapid.IntRange(0, len(f.members)).Draw(t, "exchanges") {
		f.exchange(f.pick(t), f.pick(t))
	}
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		if len(f.members) < 8 {
			begin()
		}
	case 1:
		if n := len(f.members); n > 1 {
			i := rapid.IntRange(0, n-1).Draw(t, "dies")
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			f.publish()
		}
	case 2:
		m := f.pick(t)
		m.cutOff = !m.cutOff
	case 3, 4:
		f.ask(t)
	case 5:
		f.deliver(t)
	case 6:
		f.renew(t)
	case 7:
		m := f.pick(t)
		m.silent = !m.silent
	}
}

// renew lets a lender renew a loan whose answer may still be under way.
func (f *fleet) renew(t *rapid.T) {
	if len(f.offers) == 0 {
		return
	}
	o := f.offers[rapid.IntRange(0, len(f.offers)-1).Draw(t, "renewed")]
	asked := f.clock(o.to)
	for _, lender := range f.members {
		if lender.name != o.loan.From {
			continue
		}
		if loan, ok := lender.share.Renew(o.to.name, o.loan.ID, rapid.Float64Range(0, 20).Draw(t, "extra"), 1, 2*time.Second, f.clock(lender)); ok {
			f.offers = append(f.offers, offer{to: o.to, loan: loan, asked: asked})
		}
	}
}

func (f *fleet) pick(t *rapid.T) *member {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
}

// ask lets one member ask another for a loan; the answer arrives later, or never.
func (f *fleet) ask(t *rapid.T) {
	lender, borrower := f.pick(t), f.pick(t)
	used := rapid.Float64Range(0, 40).Draw(t, "used")
	asked := f.clock(borrower)
	if loan, ok := lender.share.Grant(borrower.name, 60, used, 2*time.Second, f.clock(lender)); ok {
		f.offers = append(f.offers, offer{to: borrower, loan: loan, asked: asked})
	}
}

func (f *fleet) deliver(t *rapid.T) {
	if len(f.offers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.offers)-1).Draw(t, "offer")
	o := f.offers[i]
	o.to.share.ReceiveGrant(o.loan, o.asked) // it may arrive again, and late
}

// TestReplacedLenderIsNotCountedTwice: a VM dies while its floor is lent, and another takes its place.
func TestReplacedLenderIsNotCountedTwice(t *testing.T) {
	f := settled(8)
	lender, borrower := f.members[0], f.members[1]
	loan, _ := lender.share.Grant(borrower.name, 1000, 1, 2*time.Second, f.clock(lender))
	borrower.share.ReceiveGrant(loan, f.clock(borrower))
	f.members = f.members[1:]
	f.start("entry-9", 0.005)
	for range 5000 {
		f.now += time.Millisecond
		if sum := f.believed(); sum > testMbit*(1+1e-9) {
			t.Fatalf("%.1f Mbit/s at %v", sum, f.now)
		}
	}
}

// settled returns n VMs that have seen each other for long.
func settled(n int) *fleet { return settledWith(n, 0.5) }

func settledWith(n int, floorShare float64) *fleet {
	f := &fleet{floorShare: floorShare}
	for i := range n {
		f.start(vm.Name(fmt.Sprintf("entry-%d", i+1)), 0)
	}
	f.settle()
	return f
}

// settle lets all members see each other for long.
func (f *fleet) settle() {
	for range 30 {
		f.now += time.Second
		for _, m := range f.members {
			m.share.UpdateMembers(f.list(0), f.clock(m))
		}
		f.exchangeAll()
	}
}

// TestLoanEndsAtTheBorrowerFirst checks a loan whose borrower's clock is slow and whose lender's is
// fast, each by the drift that is allowed for.
func TestLoanEndsAtTheBorrowerFirst(t *testing.T) {
	f := settled(2)
	lender, borrower := f.members[0], f.members[1]
	lender.drift, borrower.drift = 0.005, -0.005
	before := lender.share.OwnRate(f.clock(lender))
	asked := f.clock(borrower)
	loan, _ := lender.share.Grant(borrower.name, 40, 1, 2*time.Second, f.clock(lender))
	borrower.share.ReceiveGrant(loan, asked)
	for range 3000 {
		f.now += time.Millisecond
		if sum := f.believed(); sum > 2*before+1e-9 {
			t.Fatalf("both use the loan after %v", f.now)
		}
	}
	if lender.share.Rate(f.clock(lender)) < before {
		t.Fatal("the loan never came back")
	}
}

func TestMembersUseTheLink(t *testing.T) {
	f := settled(7)
	sum := f.believed()
	want := testMbit * (0.5 + 0.5*7/8)
	if sum < want-0.1 || sum > testMbit {
		t.Fatalf("7 of at most 8 VMs use %.1f, want %.1f", sum, want)
	}
	lender, borrower := f.members[0], f.members[1]
	before := borrower.share.Rate(f.clock(borrower))
	loan, ok := lender.share.Grant(borrower.name, 1000, 1, 2*time.Second, f.clock(lender))
	if !ok {
		t.Fatal("nothing lent by an idle VM")
	}
	borrower.share.ReceiveGrant(loan, f.clock(borrower))
	if gain := borrower.share.Rate(f.clock(borrower)) - before; gain < 0.9*before {
		t.Fatalf("borrowed %.1f Mbit/s of an idle VM's %.1f", gain, before)
	}
	borrower.share.ReturnGrant(loan.From, loan.ID)
	lender.share.EndGrant(loan.To, loan.ID)
	if lender.share.Rate(f.clock(lender)) != before {
		t.Fatal("returned loan still missing")
	}
}

func TestCutOffMemberKeepsItsFloor(t *testing.T) {
	f := settled(7)
	f.now += time.Hour
	m := f.members[0]
	if got := m.share.Rate(f.clock(m)); got != m.share.Floor() || got <= 0 {
		t.Fatalf("rate %.2f, floor %.2f", got, m.share.Floor())
	}
}

func TestLostMembersPartComesBack(t *testing.T) {
	f := settled(7)
	f.members = f.members[1:]
	f.publish()
	m := f.members[0]
	before := m.share.OwnRate(f.clock(m))
	for range 13 {
		f.now += time.Second
		for _, m := range f.members {
			m.share.UpdateMembers(f.list(0), f.clock(m))
		}
	}
	if got := m.share.OwnRate(f.clock(m)); got <= before {
		t.Fatalf("own part %.1f, before the loss %.1f", got, before)
	}
}

// watch checks the sum each 10 ms for d. Members poll the list every interval, each with its lag.
func (f *fleet) watch(t *testing.T, d, interval time.Duration, lags map[vm.Name]time.Duration) {
	t.Helper()
	polled := map[vm.Name]time.Duration{}
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for _, m := range f.members {
			if !m.cutOff && f.now-polled[m.name] >= interval {
				polled[m.name] = f.now
				m.share.UpdateMembers(f.list(lags[m.name]), f.clock(m))
			}
		}
		f.exchangeAll()
		if sum := f.believed(); sum > testMbit*(1+1e-9) {
			t.Fatalf("%.1f Mbit/s at %v", sum, f.now)
		}
	}
}

// TestNewcomerWaitsForLateLists: the newcomer sees itself at once, the others 5 s late.
func TestNewcomerWaitsForLateLists(t *testing.T) {
	f := settledWith(6, 0.01)
	late := map[vm.Name]time.Duration{}
	for _, m := range f.members {
		late[m.name] = 5 * time.Second
	}
	f.start("entry-7", 0.005)
	f.watch(t, 30*time.Second, 4900*time.Millisecond, late)
	if m := f.members[6]; m.share.OwnRate(f.clock(m)) < testMbit/8 {
		t.Fatalf("newcomer has %.1f after 30 s", m.share.OwnRate(f.clock(m)))
	}
}

// TestVanishedMemberIsCountedUntilItLapsed: a member sees itself in late lists and is then cut off,
// while the others see at once that it left the list.
func TestVanishedMemberIsCountedUntilItLapsed(t *testing.T) {
	f := settledWith(7, 0.01)
	gone := f.members[6]
	all := f.members
	f.members = all[:6]
	f.publish()
	f.members = all
	late := map[vm.Name]time.Duration{gone.name: 5 * time.Second}
	f.watch(t, 4900*time.Millisecond, 100*time.Millisecond, late)
	gone.cutOff, gone.silent = true, true
	f.watch(t, 30*time.Second, 100*time.Millisecond, late)
}

// TestPeersReplaceTheList: without the VM list the VMs keep their parts as long as all hear each other.
func TestPeersReplaceTheList(t *testing.T) {
	f := settled(7)
	before := f.believed()
	for _, m := range f.members {
		m.cutOff = true
	}
	f.watch(t, 10*time.Minute, time.Second, nil)
	if got := f.believed(); got < before-1e-9 {
		t.Fatalf("%.1f Mbit/s after 10 minutes without a list, before %.1f", got, before)
	}
	f.members[0].silent = true
	f.watch(t, 6*time.Second, time.Second, nil)
	if m := f.members[1]; m.share.OwnRate(f.clock(m)) > m.share.Floor() {
		t.Fatal("a VM that nobody hears may have been forgotten, yet its part is still counted as safe")
	}
}

// TestRestartedMemberWaits: a VM that restarts under its name begins with what it never lent.
func TestRestartedMemberWaits(t *testing.T) {
	f := settled(7)
	f.members = f.members[1:]
	f.start("entry-1", 0.005)
	m := f.members[6]
	if got, want := m.share.OwnRate(f.clock(m)), keptFloor*m.share.Floor(); got != want {
		t.Fatalf("%.2f Mbit/s at its start, want %.2f", got, want)
	}
	f.watch(t, 5*time.Second, time.Second, nil)
	if got := m.share.OwnRate(f.clock(m)); got != m.share.Floor() {
		t.Fatalf("%.2f Mbit/s after 5 s, want its floor %.2f", got, m.share.Floor())
	}
	f.watch(t, 20*time.Second, time.Second, nil)
	if got := m.share.OwnRate(f.clock(m)); got <= m.share.Floor() {
		t.Fatalf("%.2f Mbit/s after 25 s", got)
	}
}

// TestNewcomerThatNobodyHears: members that hold their parts by each other's answers, without a list,
// know of no newcomer that cannot reach them; it stays at its floor.
func TestNewcomerThatNobodyHears(t *testing.T) {
	f := settledWith(2, 0.01)
	for _, m := range f.members {
		m.cutOff = true
	}
	f.start("entry-9", 0)
	f.members[2].silent = true
	f.watch(t, time.Minute, time.Second, nil)
	f.members[2].silent = false
	f.watch(t, time.Minute, time.Second, nil)
	if m := f.members[2]; m.share.OwnRate(f.clock(m)) < testMbit/4 {
		t.Fatalf("newcomer has %.1f a minute after it was heard", m.share.OwnRate(f.clock(m)))
	}
}
