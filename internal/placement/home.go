package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/steering"
)

// A region with few servers cannot run all requests of its callers. Which of them run elsewhere is decided by object
// and ahead of the queue: an object has a home region, so that its requests meet the same warm server there, and the
// objects that stay find a warm server with a free slot here.

const (
	demandWindow = 2 * time.Second // time constant of the measured rate of requests
	demandHold   = 5 * time.Second // time constant with which a peak of the rate decays
	demandWarmUp = 300 * time.Millisecond
	homeShareAge = 100 * time.Millisecond // for which a computed share is used
	// homeUtilization is the share of a region's slots that the requests which stay may need: above it, requests wait.
	homeUtilization = 0.5
	// awayCost is the cost in seconds of running a request in this region if its object has its home in another one. It
	// exceeds the round trip between regions, so that such objects leave even while servers here still have them.
	awayCost = 0.15
)

// demand measures the rate of the requests of a route at this entry VM.
type demand struct {
	since   time.Time
	updated time.Time
	count   float64 // of requests, decaying with demandWindow
	peak    float64 // requests per second, decaying with demandHold
}

// add adds a request.
func (d *demand) add(now time.Time) {
	if d.since.IsZero() {
		d.since, d.updated = now, now
	}
	d.decay(now)
	d.count++
	d.peak = max(d.peak, d.rate(now))
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	d.updated = now
	d.count *= math.Exp(-elapsed / demandWindow.Seconds())
	d.peak *= math.Exp(-elapsed / demandHold.Seconds())
}

// rate returns the latest requests per second, 0 as long as there are too few to tell.
func (d *demand) rate(now time.Time) float64 {
	age := now.Sub(d.since)
	if age < demandWarmUp {
		return 0
	}
	return d.count / (demandWindow.Seconds() * (1 - math.Exp(-age.Seconds()/demandWindow.Seconds())))
}

// homePlan is the share of a service's objects that have their home in this region.
type homePlan struct {
	share    float64
	computed time.Time
}

// homeShare returns the share of a service's objects that have their home in this region.
func (c *Chooser) homeShare(service steering.ServiceName, now time.Time) float64 {
	plan := c.homePlans[service]
	if plan.computed.IsZero() || now.Sub(plan.computed) >= homeShareAge {
		plan = homePlan{share: c.computeHomeShare(service, now), computed: now}
		c.homePlans[service] = plan
	}
	return plan.share
}

// computeHomeShare returns as large a share as this region's servers can run warm, but no smaller one than if all
// regions had the same demand. That is also assumed until the demand is known: the first requests meet cold servers,
// which a region with few of them can afford least, and later the share changes only as fast as max_shift allows. An
// entry VM that serves its region alone sees all of its load and needs no such assumption.
func (c *Chooser) computeHomeShare(service steering.ServiceName, now time.Time) float64 {
	slots := c.slots[service]
	local, total := slots[c.opts.Region], 0.0
	for _, n := range slots {
		total += n
	}
	if len(slots) < 2 || total == 0 {
		return 1
	}
	fair := min(1, local/(total/float64(len(slots))))
	needed := c.neededSlots(service, now)
	switch {
	case needed <= 0 && c.peers.Serving > 1:
		return fair
	case needed <= 0:
		return 1
	}
	return min(1, max(homeUtilization*local/needed, fair))
}

// neededSlots returns how many slots the requests of this region to a service need if all of them meet a warm server,
// 0 as long as it is unknown.
func (c *Chooser) neededSlots(service steering.ServiceName, now time.Time) float64 {
	needed := 0.0
	for _, services := range c.times {
		if times := services[service]; times != nil {
			times.demand.decay(now)
			needed += times.demand.peak * times.warm.mean
		}
	}
	return needed * float64(max(1, c.peers.Serving))
}

// homeRegion returns the region in which the object of q has its home.
func (c *Chooser) homeRegion(q *Query, now time.Time) steering.RegionName {
	if q.Object == 0 || unitHash(q.Object, "") < c.homeShare(q.Service, now) {
		return c.opts.Region
	}
	home, best := c.opts.Region, math.Inf(1)
	for region, slots := range c.slots[q.Service] {
		if region == c.opts.Region || !q.allows(region) {
			continue
		}
		// Weighted rendezvous hashing: each region gets objects in proportion to its slots.
		if score := -math.Log(unitHash(q.Object, region)) / slots; score < best {
			home, best = region, score
		}
	}
	return home
}

// unitHash returns a hash of an object and a region in (0, 1).
func unitHash(object uint64, region steering.RegionName) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], object)
	d := xxhash.New()
	_, _ = d.WriteString("home region ")
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(region))
	const bits = 53 // of a float64
	return (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}

// countSlots sums the slots of each service in each region, without servers that get no requests.
func (c *Chooser) countSlots() {
	c.slots = make(map[steering.ServiceName]map[steering.RegionName]float64, len(c.services))
	for service, servers := range c.services {
		byRegion := make(map[steering.RegionName]float64)
		for _, s := range servers {
			if !s.isLeaving() && !c.evacuated[s.member.Zone] {
				byRegion[s.member.Region] += float64(s.member.Slots)
			}
		}
		c.slots[service] = byRegion
	}
}
