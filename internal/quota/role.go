package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	// MaxListAge is the age of a VM's list of entry VMs up to which the VM grants tokens: a read, its way over a peer, and
	// one that failed.
	MaxListAge = 3 * time.Second
	// listLag is how far a list that the store gives may lie behind.
	listLag = 3 * time.Second
	// JoinWait is the time after which a listed VM is in the lists of all VMs that still grant tokens.
	JoinWait = MaxListAge + listLag
)

// Role decides for which shards this VM is the home. Every VM computes that from the list of entry VMs. Two VMs whose
// lists differ do not both grant tokens of a shard:
//   - A home that left the list must have stopped before: it grants only while its lease on its entry is certainly valid.
//   - A VM that is listed anew grants only once every VM that was listed then has adopted it, or has left the list, or
//     must have seen it there (JoinWait): it joins.
//
// It is not safe for concurrent use.
type Role struct {
	self    VM
	regions []steering.RegionName
	ranking *Ranking // of members

	listed    []VM // by the list of the store, without this VM
	version   uint64
	readAt    time.Time // when the read that the list reflects was requested
	adopted   []adoption
	members   []VM
	changedAt time.Time // last change of members
	joins     uint64    // changes of members in which one was added
	joinedAt  time.Time // zero: this VM has not joined
	homes     map[Shard]string
}

// adoption is a VM that joined and may not be in the list yet.
type adoption struct {
	vm      VM
	version uint64 // of the store, from which on lists contain it
	at      time.Time
}

// NewRole returns the role of self, which has not joined.
func NewRole(self VM, regions []steering.RegionName) *Role {
	members := []VM{self}
	return &Role{
		self: self, regions: regions, ranking: NewRanking(regions, members), members: members, homes: make(map[Shard]string),
	}
}

// SetList applies a list of the other entry VMs as of version, requested at readAt.
func (r *Role) SetList(others []VM, version uint64, readAt, now time.Time) {
	r.listed, r.version, r.readAt = others, version, readAt
	r.update(now)
}

// ConfirmList records that the list that was applied last is that of a later version, too.
func (r *Role) ConfirmList(version uint64, readAt, now time.Time) {
	isNewer := version > r.version
	r.version, r.readAt = version, readAt
	if isNewer && len(r.adopted) > 0 {
		r.update(now)
	}
}

// Adopt counts vm among the entry VMs from now on; lists contain it from version on.
func (r *Role) Adopt(vm VM, version uint64, now time.Time) {
	r.adopted = slices.DeleteFunc(r.adopted, func(a adoption) bool { return a.vm.Address == vm.Address })
	if vm.Address != r.self.Address {
		r.adopted = append(r.adopted, adoption{vm: vm, version: version, at: now})
	}
	r.update(now)
}

// update computes the members. A VM that was adopted counts until a list that must contain it was read.
func (r *Role) update(now time.Time) {
	r.adopted = slices.DeleteFunc(r.adopted, func(a adoption) bool {
		return r.version >= a.version && a.version > 0 || now.Sub(a.at) >= JoinWait
	})
	members := append([]VM{r.self}, r.listed...)
	for _, a := range r.adopted {
		if !slices.ContainsFunc(members, func(vm VM) bool { return vm.Address == a.vm.Address }) {
			members = append(members, a.vm)
		}
	}
	slices.SortFunc(members, func(a, b VM) int { return cmp.Compare(a.Address, b.Address) })
	if !slices.Equal(members, r.members) {
		if slices.ContainsFunc(members, func(vm VM) bool { return !slices.Contains(r.members, vm) }) {
			r.joins++
		}
		r.members, r.changedAt = members, now
		r.ranking = NewRanking(r.regions, members)
		clear(r.homes)
	}
}

// Joins returns how often entry VMs were added: only then may this VM lose the home of a shard.
func (r *Role) Joins() uint64 { return r.joins }

// Leave ends the right to grant tokens: the VM is not listed, or listed anew and has not joined.
func (r *Role) Leave() { r.joinedAt = time.Time{} }

// Join starts the right to grant tokens.
func (r *Role) Join(now time.Time) { r.joinedAt = now }

// HasJoined reports whether this VM has joined.
func (r *Role) HasJoined() bool { return !r.joinedAt.IsZero() }

// HomeOf returns the address of the home of s, as far as this VM knows.
func (r *Role) HomeOf(s Shard) string {
	home, ok := r.homes[s]
	if !ok {
		home = r.ranking.HomeOf(s)
		r.homes[s] = home
	}
	return home
}

// IsHome reports whether this VM is the home of s by its list.
func (r *Role) IsHome(s Shard) bool { return r.HomeOf(s) == r.self.Address }

// MayGrant reports whether this VM may grant tokens of the shards whose home it is. leaseUntil is the time until which
// its entry is certainly listed.
func (r *Role) MayGrant(leaseUntil, now time.Time) bool {
	return r.HasJoined() && !r.readAt.IsZero() && !HasPassed(leaseUntil, now) && !HasPassed(r.readAt.Add(MaxListAge), now)
}

// Since returns since when this VM has certainly been the home of the shards whose home it is.
func (r *Role) Since() time.Time {
	if r.changedAt.After(r.joinedAt) {
		return r.changedAt
	}
	return r.joinedAt
}

// RegionOf returns the region of the VM at address, "" if it is not known.
func (r *Role) RegionOf(address string) steering.RegionName {
	for i := range r.members {
		if r.members[i].Address == address {
			return r.members[i].Region
		}
	}
	return ""
}
