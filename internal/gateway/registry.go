package gateway

import (
	"maps"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

// registry derives a Membership from the store's servers and evacuations. It is not safe for concurrent use.
type registry struct {
	zones       map[steering.ZoneName]steering.RegionName
	members     map[placement.ServerID]placement.Member
	retained    map[placement.ServerID]bool // not listed, but kept because the store was unreachable
	evacuated   map[steering.ZoneName]bool
	recoveredAt time.Time // when the store responded again after an outage; zero if there was none
}

// Times for outages of the store.
const (
	outageThreshold  = 2500 * time.Millisecond // without a read for this long, the store counts as unreachable
	reregisterTime   = 2 * time.Second         // in which entries that expired in an outage return, by the protocol
	reregisterMargin = 300 * time.Millisecond
)

func newRegistry(zones map[steering.ZoneName]steering.RegionName) *registry {
	return &registry{
		zones:    zones,
		members:  make(map[placement.ServerID]placement.Member),
		retained: make(map[placement.ServerID]bool),
	}
}

// serverChange is what a read of the store changed about one server.
type serverChange struct {
	event  string
	member placement.Member
}

// recordOutage records a read at now after one at previousRead, and reports whether the store was unreachable in
// between.
func (g *registry) recordOutage(previousRead, now time.Time) bool {
	if previousRead.IsZero() || now.Sub(previousRead) <= outageThreshold {
		return false
	}
	g.recoveredAt = now
	return true
}

// recordRewind records at now that the store came back older: servers that it lacks are kept as after an outage.
func (g *registry) recordRewind(now time.Time) { g.recoveredAt = now }

// hasRetained reports whether servers are kept that are not listed.
func (g *registry) hasRetained() bool { return len(g.retained) > 0 }

// retainedUntil returns when the servers that are kept without an entry are removed.
func (g *registry) retainedUntil() time.Time {
	return g.recoveredAt.Add(reregisterTime + reregisterMargin)
}

// applyList applies a complete list of the servers and returns the changes. A server that is not in it is removed, but
// one that vanished while the store was unreachable is kept until its entry had time to return.
func (g *registry) applyList(servers []placement.Member, now time.Time) []serverChange {
	var changes []serverChange
	present := make(map[placement.ServerID]bool, len(servers))
	for _, m := range servers {
		if _, known := g.zones[m.Zone]; !known {
			continue // of no zone of the deployment: its region, and so where it may be used, is unknown
		}
		m.Region, m.Seen = g.zones[m.Zone], now
		if old, ok := g.members[m.ID]; ok && sameEntry(old, m) {
			m.Seen = old.Seen // times in the entry count from its first read
		}
		if event := changeEvent(g.members, &m); event != "" {
			changes = append(changes, serverChange{event, m})
		}
		g.members[m.ID] = m
		present[m.ID] = true
	}
	retain := !g.recoveredAt.IsZero() && now.Before(g.retainedUntil())
	clear(g.retained)
	for id, m := range g.members {
		switch {
		case present[id]:
		case retain && !m.Draining:
			g.retained[id] = true
		default:
			delete(g.members, id)
			changes = append(changes, serverChange{"server gone", m})
		}
	}
	return changes
}

// sameEntry reports whether a and b were read from the same entry.
func sameEntry(a, b placement.Member) bool {
	a.Seen = b.Seen
	return a == b
}

// changeEvent returns the log event for what a new entry changes about a server, "" if there is none.
func changeEvent(members map[placement.ServerID]placement.Member, m *placement.Member) string {
	old, known := members[m.ID]
	switch {
	case !known:
		return "server joined"
	case m.Born.After(old.Born):
		return "server restarted"
	case m.Draining && !old.Draining:
		return "server leaving"
	case m.ColdFor > 0 && old.ColdFor == 0:
		return "server cold"
	}
	return ""
}

// setEvacuated replaces the set of evacuated zones and reports whether it changed.
func (g *registry) setEvacuated(zones map[steering.ZoneName]bool) bool {
	if maps.Equal(zones, g.evacuated) {
		return false
	}
	g.evacuated = zones
	return true
}

// membership returns the current members and evacuated zones.
func (g *registry) membership() *placement.Membership {
	m := &placement.Membership{Evacuated: g.evacuated}
	for _, server := range g.members {
		m.Members = append(m.Members, server)
	}
	return m
}
