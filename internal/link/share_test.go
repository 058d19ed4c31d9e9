package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/vm"
)

const capacityMbit = 280.0

// member is an entry VM whose clock drifts. While it is cut off it receives no list, and while it is isolated it
// exchanges no messages with other VMs.
type member struct {
	name     vm.Name
	share    *Share
	drift    float64
	cutOff   bool
	isolated bool
}

// fleet is the ground truth: the true time and the list of VMs with its history.
type fleet struct {
	now            time.Duration
	members        []*member
	history        []listing
	pendingReplies []pendingReply
	floorShare     float64
}

type listing struct {
	at    time.Duration
	names []vm.Name
}

// pendingReply is a reply to a request for a grant that has not arrived yet.
type pendingReply struct {
	to          *member
	grant       RateGrant
	requestedAt time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the time on the clock of m.
func (f *fleet) clock(m *member) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * (1 + m.drift)))
}

func (f *fleet) start(name vm.Name, drift float64) {
	m := &member{name: name, drift: drift}
	o := ShareOptions{Self: name, CapacityMbit: capacityMbit, MaxMembers: 8, FloorShare: f.floorShare}
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

// list returns the members in the list as it was lag ago.
func (f *fleet) list(lag time.Duration) []vm.Name {
	var names []vm.Name
	for _, l := range f.history {
		if l.at <= f.now-lag {
			names = l.names
		}
	}
	return names
}

// exchange sends a request from a to b, so that b counts a.
func (f *fleet) exchange(a, b *member) {
	if a == b || a.isolated || b.isolated {
		return
	}
	b.share.RecordContact(a.name, f.clock(b))
	a.share.RecordResponse(b.name, f.clock(a), f.clock(a))
}

// exchangeAll makes every VM that needs responses send a request to every other one.
func (f *fleet) exchangeAll() {
	for _, a := range f.members {
		for _, b := range f.members {
			if a.share.NeedsResponses(f.clock(a)) {
				f.exchange(a, b)
			}
		}
	}
}

// totalRate returns the sum of the rates at which all live VMs may send now.
func (f *fleet) totalRate() float64 {
	sum := 0.0
	for _, m := range f.members {
		sum += m.share.Rate(f.clock(m))
	}
	return sum
}

// TestSharesNeverExceedTheLink lets VMs start, crash, be cut off, drift, grant rates and lose messages at random, with
// a member list that lags up to 5 s. A name is not reused within SettleTime after its VM ends, which the property
// requires.
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
			f.runUntilSettled()
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.now += time.Duration(rapid.SampledFrom([]int{1, 30, 600, 1500}).Draw(t, "ms")) * time.Millisecond
			f.step(t, begin)
			if sum := f.totalRate(); sum > capacityMbit*(1+1e-9) {
				t.Fatalf("at %v %d VMs may use %.1f of %.1f Mbit/s", f.now, len(f.members), sum, capacityMbit)
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
		f.requestGrant(t)
	case 5:
		f.deliverReply(t)
	case 6:
		f.renewGrant(t)
	case 7:
		m := f.pick(t)
		m.isolated = !m.isolated
	}
}

// renewGrant makes a grantor renew a grant whose reply may still be in flight.
func (f *fleet) renewGrant(t *rapid.T) {
	if len(f.pendingReplies) == 0 {
		return
	}
	o := f.pendingReplies[rapid.IntRange(0, len(f.pendingReplies)-1).Draw(t, "renewed")]
	requestedAt := f.clock(o.to)
	for _, grantor := range f.members {
		if grantor.name != o.grant.From {
			continue
		}
		if grant, ok := grantor.share.Renew(o.to.name, o.grant.ID, rapid.Float64Range(0, 20).Draw(t, "extra"), 1, 2*time.Second, f.clock(grantor)); ok {
			f.pendingReplies = append(f.pendingReplies, pendingReply{to: o.to, grant: grant, requestedAt: requestedAt})
		}
	}
}

func (f *fleet) pick(t *rapid.T) *member {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
}

// requestGrant makes one member request a grant from another; the reply arrives later, or never.
func (f *fleet) requestGrant(t *rapid.T) {
	grantor, grantee := f.pick(t), f.pick(t)
	used := rapid.Float64Range(0, 40).Draw(t, "used")
	requestedAt := f.clock(grantee)
	if grant, ok := grantor.share.Grant(grantee.name, 60, used, 2*time.Second, f.clock(grantor)); ok {
		f.pendingReplies = append(f.pendingReplies, pendingReply{to: grantee, grant: grant, requestedAt: requestedAt})
	}
}

func (f *fleet) deliverReply(t *rapid.T) {
	if len(f.pendingReplies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.pendingReplies)-1).Draw(t, "offer")
	o := f.pendingReplies[i]
	o.to.share.ReceiveGrant(o.grant, o.requestedAt) // a reply may arrive more than once, and late
}

// TestReplacedGrantorIsNotCountedTwice covers a VM that crashes while its floor is granted to another VM and is
// replaced by a new VM.
func TestReplacedGrantorIsNotCountedTwice(t *testing.T) {
	f := newSettledFleet(8)
	grantor, grantee := f.members[0], f.members[1]
	grant, _ := grantor.share.Grant(grantee.name, 1000, 1, 2*time.Second, f.clock(grantor))
	grantee.share.ReceiveGrant(grant, f.clock(grantee))
	f.members = f.members[1:]
	f.start("entry-9", 0.005)
	for range 5000 {
		f.now += time.Millisecond
		if sum := f.totalRate(); sum > capacityMbit*(1+1e-9) {
			t.Fatalf("total rate %.1f Mbit/s at %v exceeds the link", sum, f.now)
		}
	}
}

// newSettledFleet returns n VMs that have counted each other for 30 s.
func newSettledFleet(n int) *fleet { return newSettledFleetWithFloor(n, 0.5) }

func newSettledFleetWithFloor(n int, floorShare float64) *fleet {
	f := &fleet{floorShare: floorShare}
	for i := range n {
		f.start(vm.Name(fmt.Sprintf("entry-%d", i+1)), 0)
	}
	f.runUntilSettled()
	return f
}

// runUntilSettled runs 30 s in which all members count each other.
func (f *fleet) runUntilSettled() {
	for range 30 {
		f.now += time.Second
		for _, m := range f.members {
			m.share.UpdateMembers(f.list(0), f.clock(m))
		}
		f.exchangeAll()
	}
}

// TestGrantExpiresAtTheGranteeFirst checks a grant whose grantee has a slow and whose grantor a fast clock, each by the
// allowed drift.
func TestGrantExpiresAtTheGranteeFirst(t *testing.T) {
	f := newSettledFleet(2)
	grantor, grantee := f.members[0], f.members[1]
	grantor.drift, grantee.drift = 0.005, -0.005
	before := grantor.share.OwnRate(f.clock(grantor))
	requestedAt := f.clock(grantee)
	grant, _ := grantor.share.Grant(grantee.name, 40, 1, 2*time.Second, f.clock(grantor))
	grantee.share.ReceiveGrant(grant, requestedAt)
	for range 3000 {
		f.now += time.Millisecond
		if sum := f.totalRate(); sum > 2*before+1e-9 {
			t.Fatalf("grantor and grantee both use the granted rate at %v", f.now)
		}
	}
	if grantor.share.Rate(f.clock(grantor)) < before {
		t.Fatal("the granted rate did not return to the grantor")
	}
}

func TestMembersUseTheLink(t *testing.T) {
	f := newSettledFleet(7)
	sum := f.totalRate()
	want := capacityMbit * (0.5 + 0.5*7/8)
	if sum < want-0.1 || sum > capacityMbit {
		t.Fatalf("7 of at most 8 VMs may use %.1f Mbit/s, want %.1f", sum, want)
	}
	grantor, grantee := f.members[0], f.members[1]
	before := grantee.share.Rate(f.clock(grantee))
	grant, ok := grantor.share.Grant(grantee.name, 1000, 1, 2*time.Second, f.clock(grantor))
	if !ok {
		t.Fatal("an idle VM granted no rate")
	}
	grantee.share.ReceiveGrant(grant, f.clock(grantee))
	if gain := grantee.share.Rate(f.clock(grantee)) - before; gain < 0.9*before {
		t.Fatalf("grant of %.1f Mbit/s from an idle VM's %.1f, want at least 0.9 of it", gain, before)
	}
	grantee.share.ReturnGrant(grant.From, grant.ID)
	grantor.share.EndGrant(grant.To, grant.ID)
	if grantor.share.Rate(f.clock(grantor)) != before {
		t.Fatal("the returned rate is not usable by the grantor")
	}
}

func TestCutOffMemberKeepsItsFloor(t *testing.T) {
	f := newSettledFleet(7)
	f.now += time.Hour
	m := f.members[0]
	if got := m.share.Rate(f.clock(m)); got != m.share.Floor() || got <= 0 {
		t.Fatalf("rate %.2f, floor %.2f", got, m.share.Floor())
	}
}

func TestLostMembersPartIsRedistributed(t *testing.T) {
	f := newSettledFleet(7)
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
		t.Fatalf("own part %.1f Mbit/s, want more than the %.1f before the loss", got, before)
	}
}

// checkTotalRate checks the sum of all rates every 10 ms for d. Members poll the list every interval, each with its
// lag.
func (f *fleet) checkTotalRate(t *testing.T, d, interval time.Duration, lags map[vm.Name]time.Duration) {
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
		if sum := f.totalRate(); sum > capacityMbit*(1+1e-9) {
			t.Fatalf("total rate %.1f Mbit/s at %v exceeds the link", sum, f.now)
		}
	}
}

// TestNewcomerWaitsForLateLists covers a new member that sees itself in the list at once, while the others see it 5 s
// late.
func TestNewcomerWaitsForLateLists(t *testing.T) {
	f := newSettledFleetWithFloor(6, 0.01)
	late := map[vm.Name]time.Duration{}
	for _, m := range f.members {
		late[m.name] = 5 * time.Second
	}
	f.start("entry-7", 0.005)
	f.checkTotalRate(t, 30*time.Second, 4900*time.Millisecond, late)
	if m := f.members[6]; m.share.OwnRate(f.clock(m)) < capacityMbit/8 {
		t.Fatalf("new member has %.1f Mbit/s after 30 s, want at least an eighth of the link", m.share.OwnRate(f.clock(m)))
	}
}

// TestVanishedMemberIsCountedUntilItsPartExpires covers a member that sees itself in lagging lists and is then cut off,
// while the others see at once that it left the list.
func TestVanishedMemberIsCountedUntilItsPartExpires(t *testing.T) {
	f := newSettledFleetWithFloor(7, 0.01)
	vanished := f.members[6]
	all := f.members
	f.members = all[:6]
	f.publish()
	f.members = all
	late := map[vm.Name]time.Duration{vanished.name: 5 * time.Second}
	f.checkTotalRate(t, 4900*time.Millisecond, 100*time.Millisecond, late)
	vanished.cutOff, vanished.isolated = true, true
	f.checkTotalRate(t, 30*time.Second, 100*time.Millisecond, late)
}

// TestPeersReplaceTheList checks that without the VM list the VMs keep their parts as long as all exchange messages.
func TestPeersReplaceTheList(t *testing.T) {
	f := newSettledFleet(7)
	before := f.totalRate()
	for _, m := range f.members {
		m.cutOff = true
	}
	f.checkTotalRate(t, 10*time.Minute, time.Second, nil)
	if got := f.totalRate(); got < before-1e-9 {
		t.Fatalf("%.1f Mbit/s after 10 minutes without a list, before %.1f", got, before)
	}
	f.members[0].isolated = true
	f.checkTotalRate(t, 6*time.Second, time.Second, nil)
	if m := f.members[1]; m.share.OwnRate(f.clock(m)) > m.share.Floor() {
		t.Fatal("a VM keeps more than its floor although one member does not respond and may no longer count it")
	}
}

// TestRestartedMemberWaits covers a VM that restarts under its name: it starts with the part that is never granted.
func TestRestartedMemberWaits(t *testing.T) {
	f := newSettledFleet(7)
	f.members = f.members[1:]
	f.start("entry-1", 0.005)
	m := f.members[6]
	if got, want := m.share.OwnRate(f.clock(m)), reservedFloorShare*m.share.Floor(); got != want {
		t.Fatalf("%.2f Mbit/s at its start, want %.2f", got, want)
	}
	f.checkTotalRate(t, 5*time.Second, time.Second, nil)
	if got := m.share.OwnRate(f.clock(m)); got != m.share.Floor() {
		t.Fatalf("%.2f Mbit/s after 5 s, want its floor %.2f", got, m.share.Floor())
	}
	f.checkTotalRate(t, 20*time.Second, time.Second, nil)
	if got := m.share.OwnRate(f.clock(m)); got <= m.share.Floor() {
		t.Fatalf("%.2f Mbit/s after 25 s, want more than its floor", got)
	}
}

// TestUnreachableNewcomerStaysAtItsFloor covers members that keep their parts by each other's responses, without a
// list: they do not know of a new member that cannot reach them, so that it stays at its floor.
func TestUnreachableNewcomerStaysAtItsFloor(t *testing.T) {
	f := newSettledFleetWithFloor(2, 0.01)
	for _, m := range f.members {
		m.cutOff = true
	}
	f.start("entry-9", 0)
	f.members[2].isolated = true
	f.checkTotalRate(t, time.Minute, time.Second, nil)
	f.members[2].isolated = false
	f.checkTotalRate(t, time.Minute, time.Second, nil)
	if m := f.members[2]; m.share.OwnRate(f.clock(m)) < capacityMbit/4 {
		t.Fatalf("new member has %.1f Mbit/s one minute after its first contact, want at least a quarter of the link", m.share.OwnRate(f.clock(m)))
	}
}
