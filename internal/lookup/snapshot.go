package lookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/steering"
)

// Bounds of a snapshot.
const (
	sameDelay   = 2 * time.Millisecond // zones this close to each other form one tier
	zonesInTier = 8                    // zones weighed against each other
	maxTiers    = 12                   // tiers of one class
)

// snapshot is a View made ready for decisions. It is immutable.
type snapshot struct {
	revision  steering.Revision
	learnedAt time.Time
	entries   []Entry
	zones     []zone
	classes   []class
	byRegion  map[steering.RegionName]int32 // class of callers known by region only
	sites     *Sites
	bySite    []int32 // class of callers at a site; -1: none
	home      int32   // class of callers of unknown origin; -1: none
	alone     bool    // no VM is known but this one
	silent    bool    // only VMs that were not heard for long are left
}

// zone is an availability zone with the VMs that take callers.
type zone struct {
	name     steering.ZoneName
	region   steering.RegionName
	salt     uint64
	vms      []candidate
	groups   []group
	capacity float64 // requests/s, in the unit of View.Demand
}

// group is a part of the VMs of a zone. Choosing a group first and a VM of it then takes far fewer
// hashes than weighing all VMs of a large zone.
type group struct {
	vms     []candidate
	inverse float32 // 1/sum of weights
	salt    uint64
	uniform bool // all VMs have the same weight
}

// candidate is a VM in a choice by weighted rendezvous hashing.
type candidate struct {
	index   int32   // into entries
	inverse float32 // 1/weight
	salt    uint64
}

// class is a set of callers with the same order of zones.
type class struct {
	region steering.RegionName
	demand float64 // requests/s
	tiers  []tier  // nearest first
}

// tier is a set of zones that are equally near to a class.
type tier struct {
	zones  []zoneChoice
	until  uint32  // the tier takes callers whose hash lies below, as far as nearer ones do not
	filled float64 // requests/s of the class
}

// zoneChoice is a zone in a choice by weighted rendezvous hashing.
type zoneChoice struct {
	zone    int32 // into zones
	inverse float32
	salt    uint64
	filled  float64 // requests/s of the class

	afterVM   []zoneShare // where callers go when they lose their VM of the zone
	afterZone []zoneShare // where callers go when they lose the zone
}

// regionPair is a direction between two regions.
type regionPair struct{ from, to steering.RegionName }

// builder makes a snapshot from a View.
type builder struct {
	view    *View
	options *Options
	sites   *Sites
	snap    *snapshot
	byName  map[steering.ZoneName]int32
	delays  map[regionPair]time.Duration
	blocks  map[steering.ZoneName]int // listed, by the zone nearest to them
	filled  []float64                 // requests/s by zone
}

func build(view *View, options *Options, sites *Sites) *snapshot {
	b := &builder{
		view:    view,
		options: options,
		sites:   sites,
		snap:    &snapshot{revision: view.Revision, learnedAt: view.LearnedAt, sites: sites, home: -1},
		byName:  make(map[steering.ZoneName]int32),
		delays:  make(map[regionPair]time.Duration, len(view.Platform.Links)),
	}
	for i := range view.Platform.Links {
		l := &view.Platform.Links[i]
		b.delays[regionPair{l.From, l.To}] = l.Delay.Std()
	}
	b.blocks = b.blocksByZone()
	b.addVMs()
	b.addClasses()
	b.fill()
	b.finish()
	return b.snap
}

// usable returns the VMs that may be named: those that were heard, else the silent ones, else this VM.
func (b *builder) usable() []VMView {
	var heard, silent []VMView
	for _, v := range b.view.VMs {
		switch {
		case v.Leaving:
		case v.Silent:
			silent = append(silent, v)
		default:
			heard = append(heard, v)
		}
	}
	if len(heard) > 0 {
		return heard
	}
	b.snap.silent = len(silent) > 0
	b.snap.alone = len(silent) == 0
	if b.snap.alone && b.options.Self.Name != "" {
		return []VMView{b.options.Self}
	}
	return silent
}

func (b *builder) addVMs() {
	vms := b.usable()
	slices.SortFunc(vms, func(x, y VMView) int { return cmp.Compare(x.Name, y.Name) })
	limits := b.limits(vms)
	for i, v := range vms {
		b.snap.entries = append(b.snap.entries, Entry{
			Name: v.Name, Incarnation: v.Incarnation, Address: v.Address, Zone: v.Zone,
		})
		z := &b.snap.zones[b.zoneIndex(v.Zone)]
		z.vms = append(z.vms, candidate{
			index:   int32(i),
			inverse: float32(1 / limits[i]),
			salt:    xxhash.Sum64String(string(v.Name)),
		})
		z.capacity += limits[i]
	}
	for i := range b.snap.zones {
		b.snap.zones[i].group()
	}
	b.filled = make([]float64, len(b.snap.zones))
}

// group splits the VMs of z into about as many groups as each of them has VMs. The groups of a VM
// stay the same while others come and go, unless the number of groups changes.
func (z *zone) group() {
	n := max(1, int(math.Round(math.Sqrt(float64(len(z.vms))/2))))
	z.groups = make([]group, n)
	for _, v := range z.vms {
		g := &z.groups[v.salt%uint64(n)]
		g.vms = append(g.vms, v)
		g.inverse += 1 / v.inverse
	}
	z.groups = slices.DeleteFunc(z.groups, func(g group) bool { return len(g.vms) == 0 })
	for i := range z.groups {
		g := &z.groups[i]
		g.inverse = 1 / g.inverse
		g.uniform = true
		for _, v := range g.vms {
			g.uniform = g.uniform && v.inverse == g.vms[0].inverse
		}
		g.salt = mix(z.salt, uint64(i))
	}
}

func (b *builder) zoneIndex(name steering.ZoneName) int32 {
	if i, known := b.byName[name]; known {
		return i
	}
	i := int32(len(b.snap.zones))
	b.byName[name] = i
	b.snap.zones = append(b.snap.zones, zone{
		name:   name,
		region: b.view.Platform.RegionOf(name),
		salt:   xxhash.Sum64String(string(name)),
	})
	return i
}

// limits returns what each VM may be given, in requests/s: no more than Spread times the mean, nor
// than it can carry, less where it is nearly full. Their sum always holds the whole demand.
func (b *builder) limits(vms []VMView) []float64 {
	total := b.totalDemand()
	mean := total / float64(max(1, len(vms)))
	limits := make([]float64, len(vms))
	sum := 0.0
	for i, v := range vms {
		limits[i] = b.options.Spread * mean
		if v.Capacity > 0 {
			limits[i] = min(limits[i], v.Capacity)
		}
		if over := v.Utilization / fullUtilization; over > 1 {
			limits[i] = min(limits[i], max(v.Carried, mean/2)/over)
		}
		sum += limits[i]
	}
	const room = 1.02
	if sum < total*room && sum > 0 {
		for i := range limits {
			limits[i] *= total * room / sum
		}
	}
	return limits
}

func (b *builder) totalDemand() float64 {
	total := 0.0
	for _, region := range b.view.Platform.Regions {
		total += b.demandOf(region.Name)
	}
	return max(total, 1)
}

// demandOf returns the demand of a region in requests/s. Where none is known it counts its listed
// blocks, and where none are listed each region as 1.
func (b *builder) demandOf(region steering.RegionName) float64 {
	known := 0.0
	for _, d := range b.view.Demand {
		known += d.PerSecond
		if d.Region == region && d.PerSecond > 0 {
			return d.PerSecond
		}
	}
	switch {
	case known > 0:
		return 0
	case b.sites != nil && b.sites.Len() > 0:
		return float64(b.blocksIn(region))
	}
	return 1
}

func (b *builder) blocksIn(region steering.RegionName) int {
	for _, r := range b.view.Platform.Regions {
		if r.Name != region {
			continue
		}
		total := 0
		for _, name := range r.Zones {
			total += b.blocks[name]
		}
		return total
	}
	return 0
}
