package region

import (
	"sync/atomic"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// Choice is where a request should go. An empty Region means that the plan refuses it.
type Choice struct {
	Region     steering.RegionName
	Constraint review.Constraint
	Epoch      uint64
}

type tableKey struct {
	service steering.ServiceName
	origin  steering.RegionName
}

// tableRow holds one origin's shares as rising bounds of the key space.
type tableRow struct {
	bounds     []uint64
	regions    []steering.RegionName
	refuse     [steering.ClassCount]uint64 // keys of a class below it are refused
	constraint review.Constraint
	epoch      uint64
}

type tableRows struct {
	rows  map[tableKey]*tableRow
	plans []Plan
}

// Table holds the plans in force on this VM. Readers take no lock.
type Table struct {
	rows atomic.Pointer[tableRows]
}

// NewTable returns a table that holds plans.
func NewTable(plans ...Plan) *Table {
	t := &Table{}
	t.ReplacePlans(plans)
	return t
}

// ReplacePlans puts plans in force in place of all earlier ones.
func (t *Table) ReplacePlans(plans []Plan) {
	next := &tableRows{rows: make(map[tableKey]*tableRow), plans: plans}
	for i := range plans {
		for j := range plans[i].Origins {
			key := tableKey{plans[i].Service, plans[i].Origins[j].Region}
			next.rows[key] = newTableRow(&plans[i], &plans[i].Origins[j])
		}
	}
	t.rows.Store(next)
}

// Plans returns the plans in force. The caller must not change them.
func (t *Table) Plans() []Plan { return t.rows.Load().plans }

// PickRegion returns the region for a request of interactive work with the given key; false if
// no plan is known for service and origin.
func (t *Table) PickRegion(service steering.ServiceName, origin steering.RegionName, key uint64) (Choice, bool) {
	return t.PickRegionForClass(service, origin, steering.ClassInteractive, key)
}

// PickRegionForClass is Pick for work of a class: of what the plan refuses, work that can wait goes first.
func (t *Table) PickRegionForClass(service steering.ServiceName, origin steering.RegionName, class steering.Class, key uint64) (Choice, bool) {
	row := t.rows.Load().rows[tableKey{service, origin}]
	if row == nil {
		return Choice{}, false
	}
	choice := Choice{Constraint: row.constraint, Epoch: row.epoch}
	if class >= steering.ClassCount {
		class = steering.ClassInteractive
	}
	if len(row.bounds) == 0 || mix(key) < row.refuse[class] {
		return choice, true
	}
	last := len(row.bounds) - 1
	for i := 0; i < last; i++ {
		if key < row.bounds[i] {
			choice.Region = row.regions[i]
			return choice, true
		}
	}
	choice.Region = row.regions[last]
	return choice, true
}

func newTableRow(p *Plan, o *OriginPlan) *tableRow {
	row := &tableRow{constraint: o.Constraint, epoch: p.Epoch}
	served := 0.0
	for _, s := range o.Shares {
		served += s.Share
	}
	sum := 0.0
	for _, s := range o.Shares {
		sum += s.Share / served
		row.regions = append(row.regions, s.Region)
		row.bounds = append(row.bounds, keyBound(sum))
	}
	for c := range row.refuse {
		row.refuse[c] = keyBound(o.ByClass[c])
	}
	return row
}

// keyBound returns the key below which the given share of all keys lies.
func keyBound(share float64) uint64 {
	const keys = 1 << 63
	if share >= 1 {
		return ^uint64(0)
	}
	return uint64(share*keys) << 1
}

// mix returns a hash of key that is independent of its order.
func mix(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}
