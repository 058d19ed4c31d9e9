package region

import (
	"sync/atomic"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// Choice is the region selected for a request. An empty Region means that the plan refuses the request.
type Choice struct {
	Region     steering.RegionName
	Constraint review.Constraint
	Epoch      uint64
}

type tableKey struct {
	service steering.ServiceName
	origin  steering.RegionName
}

// tableRow holds one origin's shares as ascending bounds of the key space.
type tableRow struct {
	bounds     []uint64
	regions    []steering.RegionName
	refuse     [steering.ClassCount]uint64 // by class: requests whose hashed key is below it are refused
	constraint review.Constraint
	epoch      uint64
}

type tableRows struct {
	rows  map[tableKey]*tableRow
	plans []Plan
}

// Table holds the plans in force on this VM. Reads are lock-free.
type Table struct {
	rows atomic.Pointer[tableRows]
}

// NewTable returns a table with plans in force.
func NewTable(plans ...Plan) *Table {
	t := &Table{}
	t.ReplacePlans(plans)
	return t
}

// ReplacePlans replaces all plans in force with plans.
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

// PickRegion returns the region for an interactive request with the given key; false if there is no plan for service
// and origin.
func (t *Table) PickRegion(service steering.ServiceName, origin steering.RegionName, key uint64) (Choice, bool) {
	return t.PickRegionForClass(service, origin, steering.ClassInteractive, key)
}

// PickRegionForClass is PickRegion for a request of a class. Of the share that the plan refuses, requests that can wait
// are refused first.
func (t *Table) PickRegionForClass(service steering.ServiceName, origin steering.RegionName, class steering.Class, key uint64) (Choice, bool) {
	row := t.rows.Load().rows[tableKey{service, origin}]
	if row == nil {
		return Choice{}, false
	}
	choice := Choice{Constraint: row.constraint, Epoch: row.epoch}
	if class >= steering.ClassCount {
		class = steering.ClassInteractive
	}
	if len(row.bounds) == 0 || hashKey(key) < row.refuse[class] {
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

// hashKey returns a hash of key whose order is independent of the order of the keys.
func hashKey(key uint64) uint64 {
	key ^= key >> 33
	key *= 0xff51afd7ed558ccd
	key ^= key >> 33
	key *= 0xc4ceb9fe1a85ec53
	return key ^ key>>33
}
