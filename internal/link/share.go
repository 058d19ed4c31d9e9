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
	MaxMembers    int           // maximum number of VMs on the direction; a floor is CapacityMbit*FloorShare/MaxMembers
	MembershipTTL time.Duration // time since this VM was last counted after which the part above the floor expires
	MaxListLag    time.Duration // maximum lag of the member list
	MaxGrantTTL   time.Duration // maximum TTL of a rate grant
	MaxDrift      float64       // maximum relative drift between two clocks, 0 to 1
}

// Share is one entry VM's right to use one direction of a link. It has three parts.
//
//   - A floor that never expires: an equal part of FloorShare for each of MaxMembers VMs. It starts MaxGrantTTL after
//     the VM does, since a VM that crashed and is replaced may have granted its floor to others.
//   - An equal part of the rest among the members, as the VM list and the members' own messages name them. It expires
//     MembershipTTL after this VM was last counted: named in a list, or confirmed by a response of every member. A new
//     member waits, and a member that vanished is still counted, for SettleTime, so that no two VMs can use the same
//     part. A new member also waits until every member has responded to it.
//   - The rate that others grant to it, less what it grants to others, each for a bounded time: escrow as in the
//     demarcation protocol. The grantee counts the TTL of a grant from before its request; the grantor counts it from
//     the time of the grant and adds the drift of clocks, so that the two never use it at the same time.
//
// The sum of the rates that all VMs assume they may use stays within CapacityMbit. Share does no I/O and reads no
// clock; it is not safe for concurrent use.
type Share struct {
	options         ShareOptions
	started         time.Time
	listRequestedAt time.Time             // when the newest member list was requested
	memberSince     time.Time             // when this VM was first listed; zero once its part has expired
	settled         bool                  // every member has counted this VM since memberSince
	validUntil      time.Time             // when the part above the floor expires
	lastSeen        map[vm.Name]time.Time // when each member was last seen
	confirmedAt     map[vm.Name]time.Time // when the message was sent to which each member last responded
	granted         []RateGrant
	received        []RateGrant
	nextID          uint64
}

// RateGrant is a rate that one VM grants to another for a time.
type RateGrant struct {
	ID   uint64
	From vm.Name
	To   vm.Name
	Mbit float64
	// TTL is how long the grantee may use the rate, counted from before its request.
	TTL time.Duration
	// expiry is the end of the grant by the clock of the VM that holds this copy.
	expiry time.Time
}

// NewShare returns the share of a VM that starts now and knows no other VM yet: its floor. By default half of the
// capacity is divided into floors for 16 VMs, MembershipTTL and MaxListLag are 5 s, a grant is valid for at most 2 s
// and clocks drift by 1%.
func NewShare(o ShareOptions, now time.Time) *Share {
	setDefault(&o.FloorShare, 0.5)
	setDefault(&o.MaxMembers, 16)
	setDefault(&o.MembershipTTL, 5*time.Second)
	setDefault(&o.MaxListLag, 5*time.Second)
	setDefault(&o.MaxGrantTTL, 2*time.Second)
	setDefault(&o.MaxDrift, 0.01)
	return &Share{options: o, started: now, lastSeen: make(map[vm.Name]time.Time), confirmedAt: make(map[vm.Name]time.Time)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SettleTime returns how long a new member waits, and how long a member that vanished is still counted.
func (s *Share) SettleTime() time.Duration {
	o := s.options
	return s.stretch(o.MembershipTTL + o.MaxListLag + s.stretch(o.MaxGrantTTL))
}

// stretch adds to d the time by which another clock may be behind after d.
func (s *Share) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+2*s.options.MaxDrift)) + time.Millisecond
}

// UpdateMembers applies the members of a list that this VM requested at requestedAt. A list older than the newest one
// is ignored.
func (s *Share) UpdateMembers(members []vm.Name, requestedAt time.Time) {
	if requestedAt.Before(s.listRequestedAt) {
		return
	}
	s.listRequestedAt = requestedAt
	s.extend(requestedAt)
	if !slices.Contains(members, s.options.Self) {
		s.memberSince, s.settled = time.Time{}, false
	} else if s.memberSince.IsZero() {
		s.memberSince = requestedAt
	}
	for _, name := range members {
		s.recordSeen(name, requestedAt)
	}
	for name, at := range s.lastSeen {
		if requestedAt.Sub(at) > s.SettleTime() {
			delete(s.lastSeen, name)
			delete(s.confirmedAt, name)
		}
	}
	s.updateSettled(requestedAt)
}

// RecordContact records that name uses the direction: it sent this VM a message, which arrived at the time at.
func (s *Share) RecordContact(name vm.Name, at time.Time) { s.recordSeen(name, at) }

// RecordResponse records a response that arrived at the time at: name has counted this VM since it received the message
// that this VM sent at sentAt.
func (s *Share) RecordResponse(name vm.Name, sentAt, at time.Time) {
	s.recordSeen(name, at)
	if sentAt.After(s.confirmedAt[name]) {
		s.confirmedAt[name] = sentAt
	}
	if oldest, all := s.oldestConfirmation(); all {
		s.extend(oldest)
	}
	s.updateSettled(at)
}

func (s *Share) recordSeen(name vm.Name, at time.Time) {
	if at.After(s.lastSeen[name]) {
		s.lastSeen[name] = at
	}
}

// oldestConfirmation returns the time since which every other member has counted this VM; false if one has never
// responded, or there is no other member.
func (s *Share) oldestConfirmation() (oldest time.Time, all bool) {
	for name := range s.lastSeen {
		if name == s.options.Self {
			continue
		}
		at, known := s.confirmedAt[name]
		if !known {
			return time.Time{}, false
		}
		if !all || at.Before(oldest) {
			oldest, all = at, true
		}
	}
	return oldest, all
}

// extend extends the part above the floor: at the time at every member counted this VM. A part that has expired in the
// meantime starts anew.
func (s *Share) extend(at time.Time) {
	if at.After(s.validUntil) {
		s.memberSince, s.settled = time.Time{}, false
	}
	if end := at.Add(s.options.MembershipTTL); end.After(s.validUntil) {
		s.validUntil = end
	}
}

// updateSettled ends the wait of a new member once every member counts it.
func (s *Share) updateSettled(now time.Time) {
	if s.settled || s.memberSince.IsZero() || now.Sub(s.memberSince) < s.SettleTime() {
		return
	}
	for name := range s.lastSeen {
		if name != s.options.Self && s.confirmedAt[name].Before(s.memberSince) {
			return
		}
	}
	s.settled = true
}

// Members returns the other VMs that this one counts, sorted by name.
func (s *Share) Members() []vm.Name {
	var names []vm.Name
	for name := range s.lastSeen {
		if name != s.options.Self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// NeedsResponses reports whether this VM must send requests to all members to be counted: its part expires within half
// of MembershipTTL, or it waits as a new member.
func (s *Share) NeedsResponses(now time.Time) bool {
	return !s.settled || s.validUntil.Sub(now) < s.options.MembershipTTL/2
}

// SetCapacity sets the capacity of the direction, in Mbit/s.
func (s *Share) SetCapacity(mbit float64) { s.options.CapacityMbit = mbit }

// Floor returns the part that never expires, in Mbit/s.
func (s *Share) Floor() float64 {
	return s.options.CapacityMbit * s.options.FloorShare / float64(s.options.MaxMembers)
}

// reservedFloorShare is the share of a floor that is never granted to others, so that a VM may use it as soon as it
// starts.
const reservedFloorShare = 0.1

// OwnRate returns the rate in Mbit/s that this VM may use or grant at now, without regard to grants.
func (s *Share) OwnRate(now time.Time) float64 {
	if now.Sub(s.started) < s.stretch(s.options.MaxGrantTTL) {
		return reservedFloorShare * s.Floor()
	}
	if !s.settled || !now.Before(s.validUntil) {
		return s.Floor()
	}
	rest := s.options.CapacityMbit * (1 - s.options.FloorShare)
	return s.Floor() + rest/float64(max(len(s.lastSeen), 1))
}

// Expiry returns the time until which Rate holds if this VM receives nothing further, and the rate from then on.
func (s *Share) Expiry(now time.Time) (until time.Time, after float64) {
	s.removeExpired(now)
	until = s.validUntil
	if !until.After(now) {
		until = now.Add(s.options.MembershipTTL)
	}
	after = s.Floor()
	if now.Sub(s.started) < s.stretch(s.options.MaxGrantTTL) {
		after = reservedFloorShare * s.Floor()
	}
	for _, l := range s.granted {
		after -= l.Mbit
	}
	for _, l := range s.received {
		if l.expiry.Before(until) {
			until = l.expiry
		}
	}
	return until, max(after, 0)
}

// Rate returns the rate in Mbit/s at which this VM may send at now.
func (s *Share) Rate(now time.Time) float64 {
	s.removeExpired(now)
	rate := s.OwnRate(now)
	for _, l := range s.granted {
		rate -= l.Mbit
	}
	for _, l := range s.received {
		rate += l.Mbit
	}
	return max(rate, 0)
}

// Grant grants at most wanted of the rate that this VM does not use, given that it uses used, in Mbit/s. It never
// grants more than its own part, grants no received rate on, and keeps a tenth of the floor. It returns false if no
// rate is left.
func (s *Share) Grant(to vm.Name, wanted, used float64, ttl time.Duration, now time.Time) (RateGrant, bool) {
	rate := min(wanted, s.spareRate(used, now))
	if rate <= 0 || to == s.options.Self {
		return RateGrant{}, false
	}
	s.nextID++
	ttl = min(ttl, s.options.MaxGrantTTL)
	grant := RateGrant{ID: s.nextID, From: s.options.Self, To: to, Mbit: rate, TTL: ttl}
	own := grant
	own.expiry = now.Add(s.stretch(ttl))
	s.granted = append(s.granted, own)
	return grant, true
}

// spareRate returns the rate left to grant; it is negative if more is granted than this VM can spare now.
func (s *Share) spareRate(used float64, now time.Time) float64 {
	s.removeExpired(now)
	spare := s.OwnRate(now) - max(used, reservedFloorShare*s.Floor())
	for _, l := range s.granted {
		spare -= l.Mbit
	}
	return spare
}

// Renew extends a grant by another TTL if this VM can still spare it, and raises it by at most extra, in Mbit/s. It
// returns false if the grant has expired or is not renewed.
func (s *Share) Renew(to vm.Name, id uint64, extra, used float64, ttl time.Duration, now time.Time) (RateGrant, bool) {
	const rounding = 1e-9 // Mbit/s
	spare := s.spareRate(used, now)
	if spare < -rounding {
		return RateGrant{}, false
	}
	ttl = min(ttl, s.options.MaxGrantTTL)
	for i := range s.granted {
		l := &s.granted[i]
		if l.To != to || l.ID != id {
			continue
		}
		l.TTL = ttl
		l.Mbit += max(0, min(extra, spare))
		if end := now.Add(s.stretch(ttl)); end.After(l.expiry) {
			l.expiry = end
		}
		return *l, true
	}
	return RateGrant{}, false
}

// ReceiveGrant applies a grant, or its renewal, that this VM requested at requestedAt.
func (s *Share) ReceiveGrant(grant RateGrant, requestedAt time.Time) {
	grant.expiry = requestedAt.Add(grant.TTL)
	for i := range s.received {
		l := &s.received[i]
		if l.ID != grant.ID || l.From != grant.From {
			continue
		}
		if grant.expiry.After(l.expiry) {
			l.expiry, l.Mbit = grant.expiry, grant.Mbit
		}
		return
	}
	s.received = append(s.received, grant)
}

// GrantFrom returns the grant from a VM that is valid at now, or false.
func (s *Share) GrantFrom(from vm.Name, now time.Time) (RateGrant, bool) {
	s.removeExpired(now)
	for _, l := range s.received {
		if l.From == from {
			return l, true
		}
	}
	return RateGrant{}, false
}

// ReturnGrant ends a grant at the grantee. The grantor may be notified afterwards and then calls EndGrant.
func (s *Share) ReturnGrant(from vm.Name, id uint64) bool {
	n := len(s.received)
	s.received = slices.DeleteFunc(s.received, func(l RateGrant) bool { return l.From == from && l.ID == id })
	return len(s.received) < n
}

// EndGrant ends a grant at the grantor, once the grantee has returned it.
func (s *Share) EndGrant(to vm.Name, id uint64) {
	s.granted = slices.DeleteFunc(s.granted, func(l RateGrant) bool { return l.To == to && l.ID == id })
}

// removeExpired removes the grants that have expired.
func (s *Share) removeExpired(now time.Time) {
	isExpired := func(l RateGrant) bool { return !now.Before(l.expiry) }
	s.granted = slices.DeleteFunc(s.granted, isExpired)
	s.received = slices.DeleteFunc(s.received, isExpired)
}
