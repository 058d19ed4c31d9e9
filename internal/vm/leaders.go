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

// Leaders keeps the leader of each zone with the highest fencing epoch heard of. It is safe for
// concurrent use.
type Leaders struct {
	mu     sync.RWMutex
	known  map[steering.ZoneName]*peer.LeaderState
	recent []steering.ZoneName // the zone learned of last comes last
	digest uint64
	random *rand.Rand
}

// NewLeaders returns the Leaders of VM self, which knows none yet.
func NewLeaders(self Name) *Leaders {
	return &Leaders{
		known:  make(map[steering.ZoneName]*peer.LeaderState),
		random: rand.New(rand.NewPCG(xxhash.Sum64String(string(self)), 2)),
	}
}

// Merge takes the states that name a higher epoch than known.
func (l *Leaders) Merge(states []*peer.LeaderState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		l.learn(s)
	}
}

func (l *Leaders) learn(s *peer.LeaderState) {
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

// supersedes reports whether s is a later leader than known. An epoch names one leader; should two claim
// the same, all VMs settle on the same one.
func supersedes(s, known *peer.LeaderState) bool {
	if s.GetEpoch() != known.GetEpoch() {
		return s.GetEpoch() > known.GetEpoch()
	}
	return s.GetVm() > known.GetVm()
}

// leaderHash returns the part that s has in a digest.
func leaderHash(s *peer.LeaderState) uint64 {
	return xxhash.Sum64String(s.GetZone() + "\x00" + s.GetVm() + "\x00" + strconv.FormatUint(s.GetEpoch(), 10))
}

// Digest returns a hash of all leaders known: two VMs with the same one know the same.
func (l *Leaders) Digest() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.digest
}

// Sample returns up to limit leaders for a peer that knows others: half of them those learned last, the
// rest from a random place, so that whatever the peer lacks is told in some message.
func (l *Leaders) Sample(limit int) []*peer.LeaderState {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.recent)
	if n <= limit {
		return l.states(l.recent)
	}
	older := n - limit/2
	out := l.states(l.recent[older:])
	start := l.random.IntN(older)
	for i := range limit - len(out) {
		out = append(out, l.known[l.recent[(start+i)%older]])
	}
	return out
}

func (l *Leaders) states(zones []steering.ZoneName) []*peer.LeaderState {
	out := make([]*peer.LeaderState, len(zones))
	for i, zone := range zones {
		out[i] = l.known[zone]
	}
	return out
}

// All returns all leaders known, sorted by zone.
func (l *Leaders) All() []*peer.LeaderState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := l.states(l.recent)
	slices.SortFunc(out, func(a, b *peer.LeaderState) int { return cmp.Compare(a.GetZone(), b.GetZone()) })
	return out
}

// Of returns the leader of zone and its epoch, or "".
func (l *Leaders) Of(zone steering.ZoneName) (Name, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.known[zone]
	if s == nil {
		return "", 0
	}
	return Name(s.GetVm()), s.GetEpoch()
}

// IsLeader reports whether name leads zone.
func (l *Leaders) IsLeader(zone steering.ZoneName, name Name) bool {
	leader, _ := l.Of(zone)
	return leader == name
}
