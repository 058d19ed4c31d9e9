package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// fillSteps is the number of parts in which classes take room in turn, so that none of them takes
// all of what several are near to.
const fillSteps = 16

// addClasses makes a class for the callers of each region and for those nearest to each zone.
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
				b.siteClass(name, b.addClass(region.Name, name, demand*share))
			}
		}
	}
	home := b.view.Platform.RegionOf(b.options.Self.Zone)
	if i, known := b.snap.byRegion[home]; known {
		b.snap.home = i
	} else if len(b.snap.classes) == 0 {
		b.snap.home = b.addClass("", "", 1)
	} else {
		b.snap.home = 0
	}
}

// unlistedShare returns the part of a region's demand that comes from blocks that are not listed.
func unlistedShare(listed int) float64 {
	if listed == 0 {
		return 1
	}
	return 0
}

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

// siteClass gives the sites nearest to a zone their class.
func (b *builder) siteClass(name steering.ZoneName, class int32) {
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

// choices returns zones as choices, at most zonesInTier of them; classes with many zones begin at
// different ones.
func (b *builder) choices(zones []int32, start int) []zoneChoice {
	var choices []zoneChoice
	for i := range min(len(zones), zonesInTier) {
		z := zones[(start+i)%len(zones)]
		choices = append(choices, zoneChoice{zone: z, salt: b.snap.zones[z].salt})
	}
	return choices
}

// tiersOf returns the zones with VMs, grouped by their delay from callers, nearest first.
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
		betweenZones = sameDelay * 2 // more than what counts as the same
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

// fill gives the demand of each class to its zones: nearest first, as far as they have room, all
// classes in turn.
func (b *builder) fill() {
	for range fillSteps {
		for i := range b.snap.classes {
			c := &b.snap.classes[i]
			b.place(c, max(c.demand, minDemand)/fillSteps)
		}
	}
}

// minDemand is what a class without demand counts as, in requests/s, to have an order of zones.
const minDemand = 1e-6

// place gives part of the demand of c to its tiers.
func (b *builder) place(c *class, amount float64) {
	for t := range c.tiers {
		amount -= b.placeInTier(&c.tiers[t], amount)
		if amount <= 0 {
			return
		}
	}
	if len(c.tiers) > 0 {
		b.overfill(&c.tiers[0], amount)
	}
}

// placeInTier gives up to amount to the zones of t by their room and returns what it gave.
func (b *builder) placeInTier(t *tier, amount float64) float64 {
	room := 0.0
	for _, z := range t.zones {
		room += b.room(z.zone)
	}
	given := min(room, amount)
	if given <= 0 {
		return 0
	}
	for i := range t.zones {
		b.give(t, i, given*b.room(t.zones[i].zone)/room)
	}
	return given
}

// overfill gives amount to the zones of t by their capacity, whatever their room.
func (b *builder) overfill(t *tier, amount float64) {
	capacity := 0.0
	for _, z := range t.zones {
		capacity += b.snap.zones[z.zone].capacity
	}
	for i := range t.zones {
		b.give(t, i, amount*b.snap.zones[t.zones[i].zone].capacity/capacity)
	}
}

func (b *builder) room(zone int32) float64 {
	return max(0, b.snap.zones[zone].capacity-b.filled[zone])
}

func (b *builder) give(t *tier, i int, amount float64) {
	t.zones[i].filled += amount
	t.filled += amount
	b.filled[t.zones[i].zone] += amount
}

// finish turns what was filled into weights and bounds of hashes.
func (b *builder) finish() {
	const all = 1<<32 - 1
	for i := range b.snap.classes {
		c := &b.snap.classes[i]
		total, below := 0.0, 0.0
		for _, t := range c.tiers {
			total += t.filled
		}
		for j := range c.tiers {
			t := &c.tiers[j]
			below += t.filled
			t.until = uint32(all * min(1, below/total))
			t.weigh()
		}
		if n := len(c.tiers); n > 0 {
			c.tiers[n-1].until = all
		}
		b.fallbacks(c)
	}
}

// weigh sets the weights of the zones of t, equal ones where none of them is given any demand.
func (t *tier) weigh() {
	const least = 1e-3 // of the mean: a zone stays in the ranking
	mean := t.filled / float64(len(t.zones))
	for i := range t.zones {
		weight := 1.0
		if mean > 0 {
			weight = max(t.zones[i].filled/mean, least)
		}
		t.zones[i].inverse = float32(1 / weight)
	}
}
