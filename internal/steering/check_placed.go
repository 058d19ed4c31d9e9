package steering

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxLossShift is how long the shift of traffic from a lost region may take before a warning is issued.
const maxLossShift = time.Minute

// checkAgainstPlatform checks a service against the platform: owner, regions, zones, delays, capacities.
func checkAgainstPlatform(service *Service, s *source, p *Platform, report *Report) {
	c := &checker{s, report}
	c.owner(service, p)
	for i, w := range service.Weights {
		c.regionOf(fmt.Sprintf("regions[%d].region", i), w.Region, p.Regions)
	}
	c.drainTargets(service, p)
	if c.source.offsets == nil {
		return // not from a file: warnings have no reader
	}
	c.warnDeadlines(service, p)
	c.warnRegionLoss(service)
	c.warnSlots(service)
	c.warnHedges(service)
}

// owner reports a fault for a file whose team does not own the service according to the platform file.
func (c *checker) owner(service *Service, p *Platform) {
	teams := make([]string, 0, len(p.Teams))
	for _, t := range p.Teams {
		teams = append(teams, string(t.Name))
		if !slices.Contains(t.Services, service.Name) {
			continue
		}
		if t.Name != service.Team {
			found := fmt.Sprintf("team %s for service %s", quote(string(service.Team)), quote(string(service.Name)))
			c.fault("team", found, fmt.Sprintf("%q, which owns the service by the platform file", t.Name))
		}
		return
	}
	if !slices.Contains(teams, string(service.Team)) {
		c.fault("team", "unknown team "+quote(string(service.Team)), "one of "+strings.Join(teams, ", "))
		return
	}
	c.fault("service", quote(string(service.Name)), "a service that the platform file gives to a team")
}

func (c *checker) drainTargets(service *Service, p *Platform) {
	drained := make(map[RegionName]bool)
	for i, d := range service.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		if d.Region != "" {
			c.regionOf(path+".region", d.Region, p.Regions)
			drained[d.Region] = true
		}
		if d.Zone != "" && p.RegionOf(d.Zone) == "" {
			c.fault(path+".zone", "unknown zone "+quote(string(d.Zone)), "a zone of the platform file")
		}
	}
	for _, w := range service.Weights {
		if w.Weight > 0 && !drained[w.Region] {
			return
		}
	}
	if len(drained) > 0 {
		c.warn("drains", "every region with a weight is drained", "the last one takes no requests from then on")
	}
}

// warnDeadlines warns of deadlines that a request to another region cannot meet.
func (c *checker) warnDeadlines(service *Service, p *Platform) {
	var slowest Link
	for _, l := range p.Links {
		if l.Delay > slowest.Delay {
			slowest = l
		}
	}
	for i, o := range service.Operations {
		need := 2*(slowest.Delay.Std()+p.ClientDelay.Std()) + o.ServiceTime.Std()
		if o.Deadline > 0 && o.Deadline.Std() < need && slowest.Delay > 0 {
			path := fmt.Sprintf("operations[%d].deadline", i)
			found := fmt.Sprintf("deadline %v", o.Deadline.Std())
			advice := fmt.Sprintf("over the link from %s to %s a request takes at least %v", slowest.From, slowest.To, need)
			c.warn(path, found, advice)
		}
	}
}

// warnRegionLoss warns of a shift cap under which moving a lost region's share takes more than maxLossShift.
func (c *checker) warnRegionLoss(service *Service) {
	largest, share := largestShare(service)
	shiftCap := service.ShiftCap
	if shiftCap.Share <= 0 || share == 0 || share == 1 {
		return
	}
	duration := time.Duration(share / shiftCap.Share * float64(shiftCap.Window))
	if duration > maxLossShift {
		found := fmt.Sprintf("cap %v each %v", shiftCap.Share, shiftCap.Window.Std())
		advice := fmt.Sprintf("if region %s is lost, its %.0f%% take %v to move and are refused meanwhile", largest, 100*share, duration.Round(time.Second))
		c.warn("shift_cap", found, advice)
	}
}

func largestShare(service *Service) (RegionName, float64) {
	var name RegionName
	sum, largest := 0.0, 0.0
	for _, w := range service.Weights {
		sum += w.Weight
		if w.Weight > largest {
			name, largest = w.Region, w.Weight
		}
	}
	if sum == 0 {
		return "", 0
	}
	return name, largest / sum
}

// warnSlots warns if the expected load needs more slots than are planned, in all regions or in all
// but the largest.
func (c *checker) warnSlots(service *Service) {
	need := 0.0
	for _, o := range service.Operations {
		need += o.PeakRequests * o.ServiceTime.Std().Seconds()
	}
	total, largest := 0, RegionWeight{}
	for _, w := range service.Weights {
		total += w.Slots
		if w.Slots > largest.Slots {
			largest = w
		}
	}
	if need == 0 || total == 0 {
		return
	}
	found := fmt.Sprintf("the expected load needs %.1f slots", need)
	switch rest := total - largest.Slots; {
	case need > float64(total):
		c.warn("regions", found, fmt.Sprintf("all regions have %d", total))
	case need > float64(rest):
		c.warn("regions", found, fmt.Sprintf("without region %s there are %d", largest.Region, rest))
	}
}

func (c *checker) warnHedges(service *Service) {
	idempotent := func(o Operation) bool { return o.Idempotent }
	if c.hasValue("budgets.hedges") && service.Budgets.Hedges > 0 && !slices.ContainsFunc(service.Operations, idempotent) {
		c.warn("budgets.hedges", "a budget for hedges but no idempotent operation", "only those are hedged")
	}
}
