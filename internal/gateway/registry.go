package gateway

import (
	"maps"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

// registry turns what the store says of servers and evacuations into a Membership. It has one user at a time.
type registry struct {
	zones     map[steering.ZoneName]steering.RegionName
	members   map[placement.ServerID]placement.Member
	lapsed    map[placement.ServerID]bool // not listed, and kept because the store was away
	evacuated map[steering.ZoneName]bool
	returned  time.Time // when the store answered again after an outage; zero if it never was away
}

// Times of the store's outages.
const (
	outageAfter  = 2500 * time.Millisecond // without a read, the store counts as having been away
	returnTime   = 2 * time.Second         // in which entries that lapsed meanwhile come back, by the protocol
	returnMargin = 300 * time.Millisecond
)

func newRegistry(zones map[steering.ZoneName]steering.RegionName) *registry {
	return &registry{
		zones:   zones,
		members: make(map[placement.ServerID]placement.Member),
		lapsed:  make(map[placement.ServerID]bool),
	}
}

// change is what a read of the store changed about one server.
type change struct {
	event  string
	member placement.Member
}

// outage notes a read at now after one at last, and reports whether the store was away in between.
func (g *registry) outage(last, now time.Time) bool {
	if last.IsZero() || now.Sub(last) <= outageAfter {
		return false
	}
	g.returned = now
	return true
}

// waiting reports whether servers are kept that are not listed.
func (g *registry) waiting() bool { return len(g.lapsed) > 0 }

// keptUntil is when servers that are kept are gone.
func (g *registry) keptUntil() time.Time { return g.returned.Add(returnTime + returnMargin) }

// listed takes a complete list of the servers and returns what changed. A server that is not in it is gone; but
// one that vanished while the store was away is kept until its entry had time to come back.
func (g *registry) listed(servers []placement.Member, now time.Time) []change {
	var changes []change
	present := make(map[placement.ServerID]bool, len(servers))
	for _, m := range servers {
		m.Region, m.Seen = g.zones[m.Zone], now
		if old, ok := g.members[m.ID]; ok && sameEntry(old, m) {
			m.Seen = old.Seen // its times count from the first reading
		}
		if event := eventOf(g.members, &m); event != "" {
			changes = append(changes, change{event, m})
		}
		g.members[m.ID] = m
		present[m.ID] = true
	}
	keep := !g.returned.IsZero() && now.Before(g.keptUntil())
	clear(g.lapsed)
	for id, m := range g.members {
		switch {
		case present[id]:
		case keep && !m.Draining:
			g.lapsed[id] = true
		default:
			delete(g.members, id)
			changes = append(changes, change{"server gone", m})
		}
	}
	return changes
}

// sameEntry reports whether two readings of a server are of the same entry.
func sameEntry(a, b placement.Member) bool {
	a.Seen = b.Seen
	return a == b
}

// eventOf names what a new entry changes about a server, "" if nothing of note.
func eventOf(members map[placement.ServerID]placement.Member, m *placement.Member) string {
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

// evacuate replaces the set of evacuated zones and reports whether it changed.
func (g *registry) evacuate(zones map[steering.ZoneName]bool) bool {
	if maps.Equal(zones, g.evacuated) {
		return false
	}
	g.evacuated = zones
	return true
}

// membership returns what is known now.
func (g *registry) membership() *placement.Membership {
	m := &placement.Membership{Evacuated: g.evacuated}
	for _, server := range g.members {
		m.Members = append(m.Members, server)
	}
	return m
}
