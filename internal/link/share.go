package link

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// ShareOptions configure a Share. Zero fields take the defaults of NewShare.
type ShareOptions struct {
	Self         vm.Name
	CapacityMbit float64       // of the link's direction, Mbit/s
	FloorShare   float64       // of the capacity that is divided into floors, 0 to 1
	MaxMembers   int           // VMs that may fill the direction at most; floors are CapacityMbit*FloorShare/MaxMembers
	Hold         time.Duration // age of the member list at which the part above the floor lapses
	ListLag      time.Duration // how late the member list may be
	MaxLoan      time.Duration // longest loan
	Drift        float64       // how far clocks may run apart, 0 to 1
}

// Share is one entry VM's right to fill one direction of a link. It has three parts.
//
//   - A floor that never lapses: an equal part of FloorShare for each of MaxMembers VMs. It begins
//     MaxLoan after the start, since a VM that died and is replaced may have lent its own.
//   - An equal part of the rest among the members, as the VM list names them. It lapses when the
//     list is older than Hold. A newcomer waits, and a member that vanished is counted, for so
//     long (Wait) that no two VMs can use the same part.
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
	since    time.Time             // when this VM was first seen in the lists without a break
	seen     map[vm.Name]time.Time // when each member was last seen
	lent     []Loan
	borrowed []Loan
	nextID   uint64
}

// Loan is a rate that one VM lends to another for a time.
type Loan struct {
	ID   uint64
	From vm.Name
	To   vm.Name
	Mbit float64
	// Life is how long the borrower may use it, counted from before it asked.
	Life time.Duration
	// until is the end by the clock of the VM that holds this copy.
	until time.Time
}

// NewShare returns the share of a VM that starts now and knows of no other yet: its floor. By default half of the
// capacity is floors for 16 VMs, the hold and the lag are 5 s, a loan is at most 2 s long and
// clocks drift by 1%.
func NewShare(o ShareOptions, now time.Time) *Share {
	setDefault(&o.FloorShare, 0.5)
	setDefault(&o.MaxMembers, 16)
	setDefault(&o.Hold, 5*time.Second)
	setDefault(&o.ListLag, 5*time.Second)
	setDefault(&o.MaxLoan, 2*time.Second)
	setDefault(&o.Drift, 0.01)
	return &Share{options: o, started: now, seen: make(map[vm.Name]time.Time)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Wait returns how long a newcomer waits and a member that vanished is still counted.
func (s *Share) Wait() time.Duration {
	o := s.options
	return s.stretch(o.Hold + o.ListLag + s.stretch(o.MaxLoan))
}

// stretch adds to d what another clock may be behind after it.
func (s *Share) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*s.options.Drift)) + time.Millisecond
}

// Observe notes the members of a list that this VM asked for at the time asked. A list older than
// the newest one is ignored.
func (s *Share) Observe(members []vm.Name, asked time.Time) {
	if asked.Before(s.listed) {
		return
	}
	broken := s.since.IsZero() || asked.Sub(s.listed) > s.options.Hold
	s.listed = asked
	if !slices.Contains(members, s.options.Self) {
		s.since = time.Time{}
	} else if broken {
		s.since = asked
	}
	for _, name := range members {
		s.seen[name] = asked
	}
	for name, at := range s.seen {
		if asked.Sub(at) > s.Wait() {
			delete(s.seen, name)
		}
	}
}

// Floor returns the part that never lapses, Mbit/s.
func (s *Share) Floor() float64 {
	return s.options.CapacityMbit * s.options.FloorShare / float64(s.options.MaxMembers)
}

// Own returns what this VM may use or lend at the time now, without loans, Mbit/s.
func (s *Share) Own(now time.Time) float64 {
	if now.Sub(s.started) < s.stretch(s.options.MaxLoan) {
		return 0
	}
	rest := s.options.CapacityMbit * (1 - s.options.FloorShare)
	fresh := !s.listed.IsZero() && now.Sub(s.listed) < s.options.Hold
	settled := !s.since.IsZero() && now.Sub(s.since) >= s.Wait()
	if !fresh || !settled {
		return s.Floor()
	}
	return s.Floor() + rest/float64(max(len(s.seen), 1))
}

// Rate returns what this VM may send at the time now, Mbit/s.
func (s *Share) Rate(now time.Time) float64 {
	s.expire(now)
	rate := s.Own(now)
	for _, l := range s.lent {
		rate -= l.Mbit
	}
	for _, l := range s.borrowed {
		rate += l.Mbit
	}
	return max(rate, 0)
}

// Lend lends at most wanted of what this VM does not use, given that it uses used, Mbit/s. Never
// more than its own part is lent, nothing borrowed is lent on, and a tenth of the floor is kept. It
// returns false if nothing is left.
func (s *Share) Lend(to vm.Name, wanted, used float64, life time.Duration, now time.Time) (Loan, bool) {
	const kept = 0.1 // of the floor
	s.expire(now)
	spare := s.Own(now) - max(used, kept*s.Floor())
	for _, l := range s.lent {
		spare -= l.Mbit
	}
	rate := min(wanted, spare)
	if rate <= 0 || to == s.options.Self {
		return Loan{}, false
	}
	s.nextID++
	life = min(life, s.options.MaxLoan)
	loan := Loan{ID: s.nextID, From: s.options.Self, To: to, Mbit: rate, Life: life}
	mine := loan
	mine.until = now.Add(s.stretch(life))
	s.lent = append(s.lent, mine)
	return loan, true
}

// Borrow notes a loan that this VM asked for at the time asked.
func (s *Share) Borrow(loan Loan, asked time.Time) {
	same := func(l Loan) bool { return l.ID == loan.ID && l.From == loan.From }
	if slices.ContainsFunc(s.borrowed, same) {
		return
	}
	loan.until = asked.Add(loan.Life)
	s.borrowed = append(s.borrowed, loan)
}

// GiveBack ends a loan at the borrower; the lender may be told by Returned afterwards.
func (s *Share) GiveBack(from vm.Name, id uint64) bool {
	n := len(s.borrowed)
	s.borrowed = slices.DeleteFunc(s.borrowed, func(l Loan) bool { return l.From == from && l.ID == id })
	return len(s.borrowed) < n
}

// Returned ends a loan at the lender, once the borrower has given it back.
func (s *Share) Returned(to vm.Name, id uint64) {
	s.lent = slices.DeleteFunc(s.lent, func(l Loan) bool { return l.To == to && l.ID == id })
}

// expire drops the loans that are over.
func (s *Share) expire(now time.Time) {
	over := func(l Loan) bool { return !now.Before(l.until) }
	s.lent = slices.DeleteFunc(s.lent, over)
	s.borrowed = slices.DeleteFunc(s.borrowed, over)
}
