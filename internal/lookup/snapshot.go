package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/steering"
)

// Limits of a snapshot.
const (
	sameDelay   = 2 * time.Millisecond // zones whose delays differ by no more than this form one tier
	zonesInTier = 8                    // max zones compared by weight
	maxTiers    = 12                   // max tiers of one class
)

// snapshot is a View preprocessed for decisions. It is immutable.
type snapshot struct {
	revision         steering.Revision
	learnedAt        time.Time
	entries          []Entry
	zones            []zone
	classes          []class
	byRegion         map[steering.RegionName]int32 // class of callers known by region only
	sites            *Sites
	bySite           []int32 // class of callers at a site; -1: none
	defaultClass     int32   // class of callers of unknown origin; -1: none
	onlySelf         bool    // no other VM is known
	onlyUnresponsive bool    // only unresponsive VMs are left
}

// zone is an availability zone with the VMs that accept callers.
type zone struct {
	name     steering.ZoneName
	region   steering.RegionName
	salt     uint64
	vms      []candidate
	slots    []uint16 // indices into vms; nil for a zone with few VMs
	uniform  bool     // all VMs have the same weight
	capacity float64  // requests/s, in the unit of View.Demand
}

// candidate is a VM to choose by weighted rendezvous hashing.
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

// tier is a set of zones with about the same delay from a class.
type tier struct {
	zones    []zoneChoice
	until    uint32  // upper bound of the hashes of callers assigned to the tier; lower hashes go to nearer tiers first
	assigned float64 // requests/s of the class
}

// zoneChoice is a zone to choose by weighted rendezvous hashing.
type zoneChoice struct {
	zone     int32 // into zones
	inverse  float32
	salt     uint64
	assigned float64 // requests/s of the class

	afterVM   []zoneShare // where callers go if their VM of the zone is lost
	afterZone []zoneShare // where callers go if the zone is lost
}

// regionPair is a direction between two regions.
type regionPair struct{ from, to steering.RegionName }

// builder builds a snapshot from a View.
type builder struct {
	view     *View
	options  *Options
	sites    *Sites
	snap     *snapshot
	byName   map[steering.ZoneName]int32
	delays   map[regionPair]time.Duration
	blocks   map[steering.ZoneName]int // listed, by the zone nearest to them
	assigned []float64                 // requests/s by zone
	earlier  *snapshot                 // the previous snapshot; nil for the first
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

// build returns the snapshot of view. It reuses slot tables of the earlier snapshot, which may be nil.
func build(view *View, options *Options, sites *Sites, earlier *snapshot) *snapshot {
	b := &builder{
		view:    view,
		options: options,
		sites:   sites,
		earlier: earlier,
		snap:    &snapshot{revision: view.Revision, learnedAt: view.LearnedAt, sites: sites, defaultClass: -1},
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
	b.assignAllDemand()
	b.setWeights()
	return b.snap
}

// usableVMs returns the VMs that decisions may contain: the responsive ones, else the unresponsive ones, else this VM.
func (b *builder) usableVMs() []VMView {
	var responsive, unresponsive []VMView
	for _, v := range b.view.VMs {
		switch {
		case v.Leaving:
		case v.Unresponsive:
			unresponsive = append(unresponsive, v)
		default:
			responsive = append(responsive, v)
		}
	}
	if len(responsive) > 0 {
		return responsive
	}
	b.snap.onlyUnresponsive = len(unresponsive) > 0
	b.snap.onlySelf = len(unresponsive) == 0
	if b.snap.onlySelf && b.options.Self.Name != "" {
		return []VMView{b.options.Self}
	}
	return unresponsive
}

func (b *builder) addVMs() {
	vms := b.usableVMs()
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
		b.snap.zones[i].setSelection(b.earlier.zoneByName(b.snap.zones[i].name))
	}
	b.assigned = make([]float64, len(b.snap.zones))
}

// setSelection sets the data for choosing among the VMs of z. It reuses the slot table of an earlier state of the
// zone if the VMs and weights are the same.
func (z *zone) setSelection(earlier *zone) {
	z.uniform = true
	for _, v := range z.vms {
		z.uniform = z.uniform && v.inverse == z.vms[0].inverse
	}
	switch {
	case len(z.vms) <= maxWeighedVMs:
	case earlier != nil && z.hasSameVMs(earlier):
		z.slots = earlier.slots
	default:
		z.slots = fillSlots(z.vms)
	}
}

// hasSameVMs reports whether z has the VMs of other with nearly the same relative weights.
func (z *zone) hasSameVMs(other *zone) bool {
	const same = 0.02 // max relative difference of a weight
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

// limits returns the maximum load of each VM, in requests/s: MaxLoadRatio times the mean, and less for a VM that is
// nearly full. All limits are raised in proportion if their sum would not cover the total demand.
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
	const headroomFactor = 1.02
	if sum < total*headroomFactor && sum > 0 {
		for i := range limits {
			limits[i] *= total * headroomFactor / sum
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

// demandOf returns the demand of a region in requests/s. If no demand is known, it returns the number of listed blocks
// of the region, and if no blocks are listed, 1 for each region.
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
