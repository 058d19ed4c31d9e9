package review

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// CoverageSource says where records of a VM were found.
type CoverageSource string

// The sources.
const (
	SourceVM     CoverageSource = "vm"     // its own memory
	SourceMirror CoverageSource = "mirror" // the memory of a peer
	SourceDigest CoverageSource = "digest" // the store
)

// Coverage says which time of a VM a set of records stands for.
type Coverage struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
	Dropped     uint64         `json:"dropped"`     // records lost
	SampledOut  uint64         `json:"sampled_out"` // records counted but not kept whole
	Source      CoverageSource `json:"source"`
}

// Count says how many records of one sort a time of a VM holds, those kept whole included.
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

// Batch is a set of records with what is known to be left out.
type Batch struct {
	Records  []*Record
	Counts   []Count
	Coverage []Coverage
	Digest   bool // meant for the zone's digest
}
