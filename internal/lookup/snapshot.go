package lookup

import (
	"cmp"
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
	slots    []uint16 // into vms; nil for a zone with few VMs
	uniform  bool     // all VMs have the same weight
	capacity float64  // requests/s, in the unit of View.Demand
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
	earlier *snapshot                 // nil for the first
}

// zoneByName returns the zone called name, or nil.
func (s *snapshot) zoneByName(name steering.ZoneName) *zone {
	if s == nil {
		return nil
	}
	for i := range s.zones {
		if s.zones[i].name == name {
			return &s.zones[i]
		}
	}
	return nil
}

func build(view *View, options *Options, sites *Sites, earlier *snapshot) *snapshot {
	b := &builder{
		view:    view,
		options: options,
		sites:   sites,
		earlier: earlier,
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
		case v.Unresponsive:
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
		b.snap.zones[i].prepare(b.earlier.zoneByName(b.snap.zones[i].name))
	}
	b.filled = make([]float64, len(b.snap.zones))
}

// prepare makes z ready for choices among its VMs. It takes over the slots of an earlier state of the
// zone with the same VMs and weights.
func (z *zone) prepare(earlier *zone) {
	z.uniform = true
	for _, v := range z.vms {
		z.uniform = z.uniform && v.inverse == z.vms[0].inverse
	}
	switch {
	case len(z.vms) <= weighedVMs:
	case earlier != nil && z.sameVMs(earlier):
		z.slots = earlier.slots
	default:
		z.slots = fillSlots(z.vms)
	}
}

// sameVMs tells whether the VMs of z and their relative weights are those of other.
func (z *zone) sameVMs(other *zone) bool {
	const same = 0.02 // of a weight
	if len(z.vms) != len(other.vms) {
		return false
	}
	for i := range z.vms {
		a, b := &z.vms[i], &other.vms[i]
		now, then := a.inverse/z.vms[0].inverse, b.inverse/other.vms[0].inverse
		if a.salt != b.salt || now > then*(1+same) || now < then*(1-same) {
			return false
		}
	}
	return true
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

// limits returns what each VM may be given, in requests/s: no more than Spread times the mean, less
// where it is nearly full. Their sum always holds the whole demand.
func (b *builder) limits(vms []VMView) []float64 {
	total := b.totalDemand()
	mean := total / float64(max(1, len(vms)))
	carried := 0.0
	for _, v := range vms {
		carried += v.RequestRate
	}
	limits := make([]float64, len(vms))
	sum := 0.0
	for i, v := range vms {
		limits[i] = b.options.MaxLoadRatio * mean
		if over := v.Utilization / fullUtilization; over > 1 {
			part := total * v.RequestRate / max(carried, 1e-9)
			limits[i] = min(limits[i], max(part, mean/2)/over)
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
