package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// assignSteps is the number of rounds in which classes are assigned capacity in turn, so that no single class uses up
// the capacity of a zone that is near to several.
const assignSteps = 16

// addClasses adds a class for the callers of each region and one for the callers nearest to each zone.
func (b *builder) addClasses() {
	b.snap.byRegion = make(map[steering.RegionName]int32)
	for _, region := range b.view.Platform.Regions {
		listed := 0
		for _, name := range region.Zones {
			listed += b.blocks[name]
		}
		demand := b.demandOf(region.Name)
		b.snap.byRegion[region.Name] = b.addClass(region.Name, "", unlistedShare(listed)*demand)
		for _, name := range region.Zones {
			if b.blocks[name] > 0 {
				share := float64(b.blocks[name]) / float64(listed)
				b.setClassOfSites(name, b.addClass(region.Name, name, demand*share))
			}
		}
	}
	home := b.view.Platform.RegionOf(b.options.Self.Zone)
	if i, known := b.snap.byRegion[home]; known {
		b.snap.defaultClass = i
	} else if len(b.snap.classes) == 0 {
		b.snap.defaultClass = b.addClass("", "", 1)
	} else {
		b.snap.defaultClass = 0
	}
}

// unlistedShare returns the fraction of a region's demand that comes from blocks that are not listed.
func unlistedShare(listed int) float64 {
	if listed == 0 {
		return 1
	}
	return 0
}

// blocksByZone counts the listed blocks by the zone nearest to them and allocates the index of classes by site.
func (b *builder) blocksByZone() map[steering.ZoneName]int {
	blocks := make(map[steering.ZoneName]int)
	if b.sites == nil {
		return blocks
	}
	b.snap.bySite = make([]int32, len(b.sites.sites))
	for i, n := range b.options.blocksBySite {
		b.snap.bySite[i] = -1
		blocks[b.sites.sites[i].Zone] += n
	}
	return blocks
}

// setClassOfSites sets the class of the sites whose nearest zone is name.
func (b *builder) setClassOfSites(name steering.ZoneName, class int32) {
	for i, site := range b.sites.sites {
		if site.Zone == name {
			b.snap.bySite[i] = class
		}
	}
}

func (b *builder) addClass(region steering.RegionName, near steering.ZoneName, demand float64) int32 {
	c := class{region: region, demand: demand}
	for _, zones := range b.tiersOf(region, near) {
		if len(c.tiers) == maxTiers {
			break
		}
		c.tiers = append(c.tiers, tier{zones: b.choices(zones, len(b.snap.classes))})
	}
	b.snap.classes = append(b.snap.classes, c)
	return int32(len(b.snap.classes) - 1)
}

// choices returns at most zonesInTier of zones as choices. It begins at index start, so that classes with more zones
// than that use different ones.
func (b *builder) choices(zones []int32, start int) []zoneChoice {
	var choices []zoneChoice
	for i := range min(len(zones), zonesInTier) {
		z := zones[(start+i)%len(zones)]
		choices = append(choices, zoneChoice{zone: z, salt: b.snap.zones[z].salt})
	}
	return choices
}

// tiersOf returns the zones with VMs, grouped by their delay from the callers, nearest first.
func (b *builder) tiersOf(region steering.RegionName, near steering.ZoneName) [][]int32 {
	type distant struct {
		zone  int32
		delay time.Duration
	}
	var all []distant
	for i := range b.snap.zones {
		all = append(all, distant{int32(i), b.delay(region, near, &b.snap.zones[i])})
	}
	slices.SortStableFunc(all, func(x, y distant) int { return cmp.Compare(x.delay, y.delay) })
	var tiers [][]int32
	first := time.Duration(0)
	for i, d := range all {
		if i == 0 || d.delay > first+sameDelay {
			tiers = append(tiers, nil)
			first = d.delay
		}
		tiers[len(tiers)-1] = append(tiers[len(tiers)-1], d.zone)
	}
	return tiers
}

// delay returns the one-way delay from callers of a region, or nearest to a zone of it, to z.
func (b *builder) delay(region steering.RegionName, near steering.ZoneName, z *zone) time.Duration {
	const (
		betweenZones = sameDelay * 2 // exceeds sameDelay, so that the zones form separate tiers
		unknownDelay = time.Second
	)
	switch {
	case near != "" && z.name == near:
		return 0
	case near != "" && z.region == region:
		return betweenZones
	case z.region == region:
		return 0
	}
	if delay, known := b.delays[regionPair{region, z.region}]; known {
		return betweenZones + sameDelay + delay
	}
	return unknownDelay
}

// assignAllDemand assigns the demand of each class to its zones: nearest first, up to their free capacity, with all
// classes in turn.
func (b *builder) assignAllDemand() {
	for range assignSteps {
		for i := range b.snap.classes {
			c := &b.snap.classes[i]
			b.assignDemand(c, max(c.demand, minDemand)/assignSteps)
		}
	}
}

// minDemand is the demand, in requests/s, that is assumed for a class without any, so that it still gets an order of
// zones.
const minDemand = 1e-6

// assignDemand assigns amount, a part of the demand of c, to its tiers, nearest first.
func (b *builder) assignDemand(c *class, amount float64) {
	for t := range c.tiers {
		amount -= b.assignToTier(&c.tiers[t], amount)
		if amount <= 0 {
			return
		}
	}
	if len(c.tiers) > 0 {
		b.assignBeyondCapacity(&c.tiers[0], amount)
	}
}

// assignToTier assigns up to amount to the zones of t in proportion to their free capacity and returns the
// assigned amount.
func (b *builder) assignToTier(t *tier, amount float64) float64 {
	free := 0.0
	for _, z := range t.zones {
		free += b.freeCapacity(z.zone)
	}
	assigned := min(free, amount)
	if assigned <= 0 {
		return 0
	}
	for i := range t.zones {
		b.assign(t, i, assigned*b.freeCapacity(t.zones[i].zone)/free)
	}
	return assigned
}

// assignBeyondCapacity assigns amount to the zones of t in proportion to their total capacity, even if none
// of it is free.
func (b *builder) assignBeyondCapacity(t *tier, amount float64) {
	capacity := 0.0
	for _, z := range t.zones {
		capacity += b.snap.zones[z.zone].capacity
	}
	for i := range t.zones {
		b.assign(t, i, amount*b.snap.zones[t.zones[i].zone].capacity/capacity)
	}
}

func (b *builder) freeCapacity(zone int32) float64 {
	return max(0, b.snap.zones[zone].capacity-b.assigned[zone])
}

func (b *builder) assign(t *tier, i int, amount float64) {
	t.zones[i].assigned += amount
	t.assigned += amount
	b.assigned[t.zones[i].zone] += amount
}

// setWeights converts the assigned demand into weights of zones and hash ranges of tiers, and sets the fallbacks.
func (b *builder) setWeights() {
	const all = 1<<32 - 1
	for i := range b.snap.classes {
		c := &b.snap.classes[i]
		total, below := 0.0, 0.0
		for _, t := range c.tiers {
			total += t.assigned
		}
		for j := range c.tiers {
			t := &c.tiers[j]
			below += t.assigned
			t.until = uint32(all * min(1, below/total))
			t.setZoneWeights()
		}
		if n := len(c.tiers); n > 0 {
			c.tiers[n-1].until = all
		}
		b.setFallbacks(c)
	}
}

// setZoneWeights sets the weights of the zones of t. The weights are equal if no demand is assigned to any of them.
func (t *tier) setZoneWeights() {
	const least = 1e-3 // fraction of the mean: keeps every zone in the ranking
	mean := t.assigned / float64(len(t.zones))
	for i := range t.zones {
		weight := 1.0
		if mean > 0 {
			weight = max(t.zones[i].assigned/mean, least)
		}
		t.zones[i].inverse = float32(1 / weight)
	}
}
