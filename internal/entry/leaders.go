package entry

import (
	"sort"
	"sync"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// leaders keeps the leader of each zone with the highest fencing epoch heard of.
type leaders struct {
	mu    sync.RWMutex
	known map[steering.ZoneName]*peer.LeaderState
}

func newLeaders() *leaders {
	return &leaders{known: make(map[steering.ZoneName]*peer.LeaderState)}
}

// learn takes states that name a higher epoch than known.
func (l *leaders) learn(states []*peer.LeaderState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		zone := steering.ZoneName(s.GetZone())
		known := l.known[zone]
		if known == nil || s.GetEpoch() > known.GetEpoch() {
			l.known[zone] = s
		}
	}
}

// list returns all leaders known, sorted by zone.
func (l *leaders) list() []*peer.LeaderState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*peer.LeaderState, 0, len(l.known))
	for _, s := range l.known {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetZone() < out[j].GetZone() })
	return out
}

// of returns the leader of zone and its epoch, or "".
func (l *leaders) of(zone steering.ZoneName) (vm.Name, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.known[zone]
	if s == nil {
		return "", 0
	}
	return vm.Name(s.GetVm()), s.GetEpoch()
}

// is reports whether name leads zone.
func (l *leaders) is(zone steering.ZoneName, name vm.Name) bool {
	leader, _ := l.of(zone)
	return leader == name
}
