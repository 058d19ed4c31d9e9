package steering

import "fmt"

const bitsPerByte = 8

// shiftedMbit returns the traffic, in Mbit/s, of a share of a service's expected traffic.
func shiftedMbit(service *Service, share float64) float64 {
	bytes := 0.0
	for _, o := range service.Operations {
		bytes += o.PeakRequests * float64(o.ExpectedBytes)
	}
	return bytes * share * bitsPerByte / 1e6
}

// warnLinks warns of regions whose loss would put more traffic on a link than its capacity: the
// callers of the lost region are distributed over the other regions by weight.
func (t *Tree) warnLinks(report *Report) {
	for i, link := range t.platform.Links {
		moved := 0.0
		for j := range t.services {
			moved += lossTraffic(&t.services[j].Service, link)
		}
		if moved <= link.CapacityMbit {
			continue
		}
		path := fmt.Sprintf("links[%d]", i)
		found := fmt.Sprintf("%.0f Mbit/s from %s to %s", link.CapacityMbit, link.From, link.To)
		advice := fmt.Sprintf("if the servers of region %s are lost, %.0f Mbit/s of expected traffic would go that way", link.From, moved)
		report.warn(t.platformSource.positionOf("links"), path, found, advice)
	}
}

// lossTraffic returns the traffic, in Mbit/s, that goes over link if the servers of region link.From
// are lost.
func lossTraffic(service *Service, link Link) float64 {
	sum, from, to := 0.0, 0.0, 0.0
	for _, w := range service.Weights {
		sum += w.Weight
		switch w.Region {
		case link.From:
			from = w.Weight
		case link.To:
			to = w.Weight
		}
	}
	if sum == 0 || sum == from {
		return 0
	}
	return shiftedMbit(service, from/sum*to/(sum-from))
}
