package gateway

import (
	"sort"

	"github.com/azureflow/azureflow/internal/steering"
)

// Lookup returns the entry VMs that callers in a zone should use, this one only if it can serve.
func (p *presence) Lookup(region steering.RegionName, zone steering.ZoneName) LookupResult {
	return LookupResult{Addresses: p.addressesFor(region, zone, p.canServe.Load()), TTL: p.lookupTTL}
}

// addressesFor returns the addresses of the entry VMs of a zone, else of its region, else of all. This VM is included
// only if includeSelf is set and it is not leaving. VMs whose links are too narrow for an even share are left out. A
// zone in which that leaves too few is served by its region.
func (p *presence) addressesFor(region steering.RegionName, zone steering.ZoneName, includeSelf bool) []string {
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
	if includeSelf && !p.isLeaving.Load() {
		add(&p.self)
	}
	for _, r := range p.others() {
		add(&r)
	}
	chosen := maxTotalBandwidth(inZone, 1)
	if len(chosen) == 0 || len(chosen) < min(minAddresses, len(inZone)) {
		chosen = maxTotalBandwidth(inRegion, minAddresses)
	}
	if len(chosen) == 0 {
		chosen = maxTotalBandwidth(all, minAddresses)
	}
	addresses := make([]string, 0, maxAddresses)
	for _, r := range chosen[:min(len(chosen), maxAddresses)] {
		addresses = append(addresses, r.Requests)
	}
	sort.Strings(addresses)
	return addresses
}

// minAddresses is the minimum number of entry VMs in a lookup result if there are so many nearby: one may have failed
// undetected.
const minAddresses = 2

// maxTotalBandwidth returns the records that carry most bandwidth together, at least minCount if there are so many.
// Callers choose evenly among the entry VMs of a lookup result, so n of them carry n times what the narrowest one does:
// a VM with a narrow link would delay its share of the callers.
func maxTotalBandwidth(records []*presenceRecord, minCount int) []*presenceRecord {
	sort.SliceStable(records, func(i, j int) bool { return records[i].ranksBefore(records[j]) })
	bestCount, maxMbit := len(records), 0.0
	for n := minCount; n <= len(records); n++ {
		if mbit := float64(n) * records[n-1].LinkMbit; mbit >= maxMbit {
			bestCount, maxMbit = n, mbit
		}
	}
	return records[:bestCount]
}

// maxAddresses is the maximum number of addresses that callers read from a lookup result, by the protocol.
const maxAddresses = 64

// servingCount returns how many entry VMs of this region are in lookup results once this one can serve.
func (p *presence) servingCount() int {
	addresses := make(map[string]bool)
	zones := map[steering.ZoneName]bool{p.self.Zone: true}
	for _, r := range p.others() {
		if r.Region == p.self.Region {
			zones[r.Zone] = true
		}
	}
	for zone := range zones {
		for _, address := range p.addressesFor(p.self.Region, zone, true) {
			addresses[address] = true
		}
	}
	return len(addresses)
}
