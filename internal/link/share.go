package link

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// ShareOptions configure a Share. Zero fields take the defaults of NewShare.
type ShareOptions struct {
	Self          vm.Name
	CapacityMbit  float64       // of the link's direction, Mbit/s
	FloorShare    float64       // of the capacity that is divided into floors, 0 to 1
	MaxMembers    int           // VMs that may fill the direction at most; floors are CapacityMbit*FloorShare/MaxMembers
	MembershipTTL time.Duration // age of the member list at which the part above the floor lapses
	MaxListLag    time.Duration // how late the member list may be
	MaxGrantTTL   time.Duration // longest loan
	MaxDrift      float64       // how far clocks may run apart, 0 to 1
}

// Share is one entry VM's right to fill one direction of a link. It has three parts.
//
//   - A floor that never lapses: an equal part of FloorShare for each of MaxMembers VMs. It begins
//     MaxLoan after the start, since a VM that died and is replaced may have lent its own.
//   - An equal part of the rest among the members, as the VM list and the members' own messages
//     name them. It lapses Hold after this VM was last counted: named in a list, or answered by
//     every member. A newcomer waits, and a member that vanished is counted, for so long (Wait)
//     that no two VMs can use the same part. A newcomer also waits until every member answered it.
//   - What others lend, less what it lends, each for a bounded time: escrow as in the demarcation
//     protocol. The borrower counts a loan from before it asked, the lender from after it lent,
//     plus the drift of clocks, so that both never use it at once.
//
// The sum of the rates that all VMs may believe in stays within CapacityMbit. Share is pure and
// not safe for concurrent use.
type Share struct {
	options  ShareOptions
	started  time.Time
	listed   time.Time             // when the newest member list was asked for
	since    time.Time             // when this VM was first listed; zero once its part lapsed
	settled  bool                  // every member counts this VM since then
	until    time.Time             // when the part above the floor lapses
	seen     map[vm.Name]time.Time // when each member was last seen
	answered map[vm.Name]time.Time // when the message was sent that each member answered last
	lent     []RateGrant
	borrowed []RateGrant
	nextID   uint64
}

// RateGrant is a rate that one VM lends to another for a time.
type RateGrant struct {
	ID   uint64
	From vm.Name
	To   vm.Name
	Mbit float64
	// TTL is how long the borrower may use it, counted from before it asked.
	TTL time.Duration
	// until is the end by the clock of the VM that holds this copy.
	until time.Time
}

// NewShare returns the share of a VM that starts now and knows of no other yet: its floor. By default half of the
// capacity is floors for 16 VMs, the hold and the lag are 5 s, a loan is at most 2 s long and
// clocks drift by 1%.
func NewShare(o ShareOptions, now time.Time) *Share {
	setDefault(&o.FloorShare, 0.5)
	setDefault(&o.MaxMembers, 16)
	setDefault(&o.MembershipTTL, 5*time.Second)
	setDefault(&o.MaxListLag, 5*time.Second)
	setDefault(&o.MaxGrantTTL, 2*time.Second)
	setDefault(&o.MaxDrift, 0.01)
	return &Share{options: o, started: now, seen: make(map[vm.Name]time.Time), answered: make(map[vm.Name]time.Time)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SettleTime returns how long a newcomer waits and a member that vanished is still counted.
func (s *Share) SettleTime() time.Duration {
	o := s.options
	return s.stretch(o.MembershipTTL + o.MaxListLag + s.stretch(o.MaxGrantTTL))
}

// stretch adds to d what another clock may be behind after it.
func (s *Share) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*s.options.MaxDrift)) + time.Millisecond
}

// UpdateMembers notes the members of a list that this VM asked for at the time asked. A list older than
// the newest one is ignored.
func (s *Share) UpdateMembers(members []vm.Name, asked time.Time) {
	if asked.Before(s.listed) {
		return
	}
	s.listed = asked
	s.hold(asked)
	if !slices.Contains(members, s.options.Self) {
		s.since, s.settled = time.Time{}, false
	} else if s.since.IsZero() {
		s.since = asked
	}
	for _, name := range members {
		s.see(name, asked)
	}
	for name, at := range s.seen {
		if asked.Sub(at) > s.SettleTime() {
			delete(s.seen, name)
			delete(s.answered, name)
		}
	}
	s.settle(asked)
}

// RecordContact notes that name fills the direction: it sent this VM a message, which arrived at the time at.
func (s *Share) RecordContact(name vm.Name, at time.Time) { s.see(name, at) }

// RecordResponse notes an answer that arrived at the time at: name counts this VM since it got the message
// that this VM sent at the time sent.
func (s *Share) RecordResponse(name vm.Name, sent, at time.Time) {
	s.see(name, at)
	if sent.After(s.answered[name]) {
		s.answered[name] = sent
	}
	if oldest, all := s.oldestAnswer(); all {
		s.hold(oldest)
	}
	s.settle(at)
}

func (s *Share) see(name vm.Name, at time.Time) {
	if at.After(s.seen[name]) {
		s.seen[name] = at
	}
}

// oldestAnswer returns the time since which every other member counts this VM; false if one has
// never answered, or there is none.
func (s *Share) oldestAnswer() (oldest time.Time, all bool) {
	for name := range s.seen {
		if name == s.options.Self {
			continue
		}
		at, known := s.answered[name]
		if !known {
			return time.Time{}, false
		}
		if !all || at.Before(oldest) {
			oldest, all = at, true
		}
	}
	return oldest, all
}

// hold extends the part above the floor: at the time at every member counted this VM. A part that
// lapsed meanwhile begins anew.
func (s *Share) hold(at time.Time) {
	if at.After(s.until) {
		s.since, s.settled = time.Time{}, false
	}
	if end := at.Add(s.options.MembershipTTL); end.After(s.until) {
		s.until = end
	}
}

// settle ends a newcomer's wait once every member counts it.
func (s *Share) settle(now time.Time) {
	if s.settled || s.since.IsZero() || now.Sub(s.since) < s.SettleTime() {
		return
	}
	for name := range s.seen {
		if name != s.options.Self && s.answered[name].Before(s.since) {
			return
		}
	}
	s.settled = true
}

// Members returns the other VMs that this one counts, sorted by name.
func (s *Share) Members() []vm.Name {
	var names []vm.Name
	for name := range s.seen {
		if name != s.options.Self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// NeedsResponses reports whether this VM has to ask all members to be counted: its part lapses within
// half of Hold, or it waits as a newcomer.
func (s *Share) NeedsResponses(now time.Time) bool {
	return !s.settled || s.until.Sub(now) < s.options.MembershipTTL/2
}

// SetCapacity changes the capacity of the direction, Mbit/s.
func (s *Share) SetCapacity(mbit float64) { s.options.CapacityMbit = mbit }

// Floor returns the part that never lapses, Mbit/s.
func (s *Share) Floor() float64 {
	return s.options.CapacityMbit * s.options.FloorShare / float64(s.options.MaxMembers)
}

// keptFloor is the part of a floor that is never lent, so that a VM may use it as soon as it starts.
const keptFloor = 0.1

// OwnRate returns what this VM may use or lend at the time now, without loans, Mbit/s.
func (s *Share) OwnRate(now time.Time) float64 {
	if now.Sub(s.started) < s.stretch(s.options.MaxGrantTTL) {
		return keptFloor * s.Floor()
	}
	if !s.settled || !now.Before(s.until) {
		return s.Floor()
	}
	rest := s.options.CapacityMbit * (1 - s.options.FloorShare)
	return s.Floor() + rest/float64(max(len(s.seen), 1))
}

// Expiry returns until when Rate stands at least, and the rate from then on if nothing is heard.
func (s *Share) Expiry(now time.Time) (until time.Time, after float64) {
	s.expire(now)
	until = s.until
	if !until.After(now) {
		until = now.Add(s.options.MembershipTTL)
	}
	after = s.Floor()
	if now.Sub(s.started) < s.stretch(s.options.MaxGrantTTL) {
		after = keptFloor * s.Floor()
	}
	for _, l := range s.lent {
		after -= l.Mbit
	}
	for _, l := range s.borrowed {
		if l.until.Before(until) {
			until = l.until
		}
	}
	return until, max(after, 0)
}

// Rate returns what this VM may send at the time now, Mbit/s.
func (s *Share) Rate(now time.Time) float64 {
	s.expire(now)
	rate := s.OwnRate(now)
	for _, l := range s.lent {
		rate -= l.Mbit
	}
	for _, l := range s.borrowed {
		rate += l.Mbit
	}
	return max(rate, 0)
}

// Grant lends at most wanted of what this VM does not use, given that it uses used, Mbit/s. Never
// more than its own part is lent, nothing borrowed is lent on, and a tenth of the floor is kept. It
// returns false if nothing is left.
func (s *Share) Grant(to vm.Name, wanted, used float64, life time.Duration, now time.Time) (RateGrant, bool) {
	rate := min(wanted, s.spare(used, now))
	if rate <= 0 || to == s.options.Self {
		return RateGrant{}, false
	}
	s.nextID++
	life = min(life, s.options.MaxGrantTTL)
	loan := RateGrant{ID: s.nextID, From: s.options.Self, To: to, Mbit: rate, TTL: life}
	mine := loan
	mine.until = now.Add(s.stretch(life))
	s.lent = append(s.lent, mine)
	return loan, true
}

// spare returns what is left to lend; less than 0 if more was lent than this VM can do without now.
func (s *Share) spare(used float64, now time.Time) float64 {
	s.expire(now)
	spare := s.OwnRate(now) - max(used, keptFloor*s.Floor())
	for _, l := range s.lent {
		spare -= l.Mbit
	}
	return spare
}

// Renew lends a loan for life more, if this VM can still do without it, and raises it by at most extra,
// Mbit/s. It returns false if the loan is over or not renewed.
func (s *Share) Renew(to vm.Name, id uint64, extra, used float64, life time.Duration, now time.Time) (RateGrant, bool) {
	const rounding = 1e-9 // Mbit/s
	spare := s.spare(used, now)
	if spare < -rounding {
		return RateGrant{}, false
	}
	life = min(life, s.options.MaxGrantTTL)
	for i := range s.lent {
		l := &s.lent[i]
		if l.To != to || l.ID != id {
			continue
		}
		l.TTL = life
		l.Mbit += max(0, min(extra, spare))
		if end := now.Add(s.stretch(life)); end.After(l.until) {
			l.until = end
		}
		return *l, true
	}
	return RateGrant{}, false
}

// ReceiveGrant notes a loan, or its renewal, that this VM asked for at the time asked.
func (s *Share) ReceiveGrant(loan RateGrant, asked time.Time) {
	loan.until = asked.Add(loan.TTL)
	for i := range s.borrowed {
		l := &s.borrowed[i]
		if l.ID != loan.ID || l.From != loan.From {
			continue
		}
		if loan.until.After(l.until) {
			l.until, l.Mbit = loan.until, loan.Mbit
		}
		return
	}
	s.borrowed = append(s.borrowed, loan)
}

// GrantFrom returns the loan from a VM that stands at the time now, or false.
func (s *Share) GrantFrom(from vm.Name, now time.Time) (RateGrant, bool) {
	s.expire(now)
	for _, l := range s.borrowed {
		if l.From == from {
			return l, true
		}
	}
	return RateGrant{}, false
}

// ReturnGrant ends a loan at the borrower; the lender may be told by Returned afterwards.
func (s *Share) ReturnGrant(from vm.Name, id uint64) bool {
	n := len(s.borrowed)
	s.borrowed = slices.DeleteFunc(s.borrowed, func(l RateGrant) bool { return l.From == from && l.ID == id })
	return len(s.borrowed) < n
}

// EndGrant ends a loan at the lender, once the borrower has given it back.
func (s *Share) EndGrant(to vm.Name, id uint64) {
	s.lent = slices.DeleteFunc(s.lent, func(l RateGrant) bool { return l.To == to && l.ID == id })
}

// expire drops the loans that are over.
func (s *Share) expire(now time.Time) {
	over := func(l RateGrant) bool { return !now.Before(l.until) }
	s.lent = slices.DeleteFunc(s.lent, over)
	s.borrowed = slices.DeleteFunc(s.borrowed, over)
}
