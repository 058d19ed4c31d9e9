package review

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// CoverageSource is the place from which records of a VM were read.
type CoverageSource string

// The sources of records.
const (
	SourceVM     CoverageSource = "vm"     // its own memory
	SourceMirror CoverageSource = "mirror" // the memory of a peer
	SourceDigest CoverageSource = "digest" // the store
)

// Coverage is the time range of a VM that a set of records covers.
type Coverage struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
	Dropped     uint64         `json:"dropped"`     // records lost
	SampledOut  uint64         `json:"sampled_out"` // records that were counted but not retained
	Source      CoverageSource `json:"source"`
}

// Count is the number of records of one class in a time range of a VM, including those retained as records.
type Count struct {
	VM          vm.Name                `json:"vm"`
	Incarnation vm.Incarnation         `json:"incarnation"`
	Source      CoverageSource         `json:"source"`
	Kind        Kind                   `json:"kind"`
	Service     steering.ServiceName   `json:"service,omitempty"`
	Operation   steering.OperationName `json:"operation,omitempty"`
	Constraint  Constraint             `json:"constraint,omitempty"`
	Result      string                 `json:"result,omitempty"` // refusals only
	Outcome     string                 `json:"outcome,omitempty"`
	Records     uint64                 `json:"records"`
	From        time.Time              `json:"from"`
	To          time.Time              `json:"to"`
}

// Batch is a set of records, with counts of records and the coverage that states how many were left out.
type Batch struct {
	Records  []*Record
	Counts   []Count
	Coverage []Coverage
	Digest   bool // meant for the zone's digest
}
