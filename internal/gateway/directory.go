package gateway

import (
	"sort"

	"github.com/azureflow/azureflow/internal/steering"
)

// Lookup returns the entry VMs for callers in a zone, this one only if it can serve.
func (p *presence) Lookup(region steering.RegionName, zone steering.ZoneName) LookupResult {
	return LookupResult{Addresses: p.addresses(region, zone, p.serves.Load()), TTL: p.ttl}
}

// addresses returns those of the entry VMs of a zone, else of its region, else all; this one only with self and unless it
// leaves. It leaves out the ones whose links are too narrow for an even share. A zone in which that leaves too few is
// served by its region.
func (p *presence) addresses(region steering.RegionName, zone steering.ZoneName, self bool) []string {
	var inZone, inRegion, all []*presenceRecord
	add := func(r *presenceRecord) {
		all = append(all, r)
		if r.Region == region {
			inRegion = append(inRegion, r)
		}
		if r.Zone == zone {
			inZone = append(inZone, r)
		}
	}
	if self && !p.leaves.Load() {
		add(&p.self)
	}
	for _, r := range p.others() {
		add(&r)
	}
	found := widest(inZone, 1)
	if len(found) == 0 || len(found) < min(leastNamed, len(inZone)) {
		found = widest(inRegion, leastNamed)
	}
	if len(found) == 0 {
		found = widest(all, leastNamed)
	}
	addresses := make([]string, 0, maxAddresses)
	for _, r := range found[:min(len(found), maxAddresses)] {
		addresses = append(addresses, r.Requests)
	}
	sort.Strings(addresses)
	return addresses
}

// leastNamed is the number of entry VMs that an answer names if there are so many near: one may have died unnoticed.
const leastNamed = 2

// widest returns the records that carry most together, at least so many if there are. Callers choose evenly among those
// named, so that n of them carry n times what the narrowest one does: a VM with a narrow link would hold up its share
// of the callers.
func widest(records []*presenceRecord, least int) []*presenceRecord {
	sort.SliceStable(records, func(i, j int) bool { return records[i].widerThan(records[j]) })
	best, most := len(records), 0.0
	for n := least; n <= len(records); n++ {
		if mbit := float64(n) * records[n-1].LinkMbit; mbit >= most {
			best, most = n, mbit
		}
	}
	return records[:best]
}

// maxAddresses is the most that a caller reads from an answer, by the protocol.
const maxAddresses = 64

// serving returns how many entry VMs of this region callers are told of once this one can serve.
func (p *presence) serving() int {
	named := make(map[string]bool)
	zones := map[steering.ZoneName]bool{p.self.Zone: true}
	for _, r := range p.others() {
		if r.Region == p.self.Region {
			zones[r.Zone] = true
		}
	}
	for zone := range zones {
		for _, address := range p.addresses(p.self.Region, zone, true) {
			named[address] = true
		}
	}
	return len(named)
}
