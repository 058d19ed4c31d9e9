package vm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Leaders holds, for each zone, the leader with the highest fencing epoch received so far. It is safe for
// concurrent use.
type Leaders struct {
	mu     sync.RWMutex
	known  map[steering.ZoneName]*peer.LeaderState
	recent []steering.ZoneName // ordered by last update, the latest last
	digest uint64
	random *rand.Rand
}

// NewLeaders returns an empty Leaders for VM self.
func NewLeaders(self Name) *Leaders {
	return &Leaders{
		known:  make(map[steering.ZoneName]*peer.LeaderState),
		random: rand.New(rand.NewPCG(xxhash.Sum64String(string(self)), 2)),
	}
}

// Merge applies the states that have a higher epoch than the known ones.
func (l *Leaders) Merge(states []*peer.LeaderState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		l.merge(s)
	}
}

func (l *Leaders) merge(s *peer.LeaderState) {
	zone := steering.ZoneName(s.GetZone())
	known := l.known[zone]
	if known != nil {
		if !supersedes(s, known) {
			return
		}
		l.digest ^= leaderHash(known)
		l.recent = slices.DeleteFunc(l.recent, func(z steering.ZoneName) bool { return z == zone })
	}
	l.known[zone] = s
	l.digest ^= leaderHash(s)
	l.recent = append(l.recent, zone)
}

// supersedes reports whether s replaces known. An epoch has one leader; if two VMs claim the same epoch, all VMs
// choose the one with the higher name.
func supersedes(s, known *peer.LeaderState) bool {
	if s.GetEpoch() != known.GetEpoch() {
		return s.GetEpoch() > known.GetEpoch()
	}
	return s.GetVm() > known.GetVm()
}

// leaderHash returns the contribution of s to the digest.
func leaderHash(s *peer.LeaderState) uint64 {
	return xxhash.Sum64String(s.GetZone() + "\x00" + s.GetVm() + "\x00" + strconv.FormatUint(s.GetEpoch(), 10))
}

// Digest returns a hash of all known leaders. Two VMs with equal digests know the same leaders.
func (l *Leaders) Digest() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.digest
}

// Sample returns up to limit leaders to send to a peer with a different digest: half of them are the most recently
// updated, the rest start at a random index, so that every leader that the peer lacks is sent in some message.
func (l *Leaders) Sample(limit int) []*peer.LeaderState {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.recent)
	if n <= limit {
		return l.statesOf(l.recent)
	}
	older := n - limit/2
	out := l.statesOf(l.recent[older:])
	start := l.random.IntN(older)
	for i := range limit - len(out) {
		out = append(out, l.known[l.recent[(start+i)%older]])
	}
	return out
}

func (l *Leaders) statesOf(zones []steering.ZoneName) []*peer.LeaderState {
	out := make([]*peer.LeaderState, len(zones))
	for i, zone := range zones {
		out[i] = l.known[zone]
	}
	return out
}

// All returns all known leaders, sorted by zone.
func (l *Leaders) All() []*peer.LeaderState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := l.statesOf(l.recent)
	slices.SortFunc(out, func(a, b *peer.LeaderState) int { return cmp.Compare(a.GetZone(), b.GetZone()) })
	return out
}

// Of returns the leader of zone and its epoch, or "" and 0 if none is known.
func (l *Leaders) Of(zone steering.ZoneName) (Name, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.known[zone]
	if s == nil {
		return "", 0
	}
	return Name(s.GetVm()), s.GetEpoch()
}

// IsLeader reports whether name is the known leader of zone.
func (l *Leaders) IsLeader(zone steering.ZoneName, name Name) bool {
	leader, _ := l.Of(zone)
	return leader == name
}
