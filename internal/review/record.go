// Package review stores the records of decisions and explains decisions afterwards. Records refer to systems, files
// and revisions, never to persons.
package review

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// ID identifies a decision. It contains the VM and incarnation that made the decision: VM.INCARNATION.SEQUENCE.
type ID string

// Kind is the kind of a decision.
type Kind string

// The kinds of decision.
const (
	KindLookup   Kind = "lookup"
	KindRequest  Kind = "request"
	KindAttempt  Kind = "attempt"
	KindPlan     Kind = "plan"
	KindShift    Kind = "shift"
	KindDrain    Kind = "drain"
	KindGrant    Kind = "grant"
	KindLeader   Kind = "leader"
	KindRevision Kind = "revision"
	KindRefusal  Kind = "refusal"
	KindStop     Kind = "stop"
)

// Constraint is the limit that determined a decision.
type Constraint string

// The constraints.
const (
	ConstraintNone     Constraint = "none"
	ConstraintCap      Constraint = "cap"
	ConstraintContract Constraint = "contract"
	ConstraintLink     Constraint = "link"
	ConstraintDrain    Constraint = "drain"
	ConstraintDeadline Constraint = "deadline"
	ConstraintCaller   Constraint = "caller"
	ConstraintBudget   Constraint = "budget"
)

// Candidate is an alternative that was considered.
type Candidate struct {
	Name   string  `json:"name"`
	Taken  bool    `json:"taken"`
	Reason string  `json:"reason"` // one of a fixed set of words, for example "ejected", "no slot"
	Score  float64 `json:"score,omitempty"`
}

// Input is a fact the decision was based on.
type Input struct {
	Name  string        `json:"name"`
	Value string        `json:"value"`
	Age   time.Duration `json:"age_ns"` // of the measurement; 0 for exact values
}

// Record is one decision. It is immutable once passed to a Recorder.
type Record struct {
	ID          ID                     `json:"id"`
	Parent      ID                     `json:"parent,omitempty"` // the request of an attempt
	Kind        Kind                   `json:"kind"`
	At          time.Time              `json:"at"`
	Took        time.Duration          `json:"took_ns"`
	VM          vm.Name                `json:"vm"`
	Incarnation vm.Incarnation         `json:"incarnation"`
	Service     steering.ServiceName   `json:"service,omitempty"`
	Operation   steering.OperationName `json:"operation,omitempty"`
	Origin      steering.RegionName    `json:"origin,omitempty"`
	Revision    steering.Revision      `json:"revision"`
	PlanEpoch   uint64                 `json:"plan_epoch,omitempty"`
	Grant       uint64                 `json:"grant,omitempty"`
	Constraint  Constraint             `json:"constraint"`
	Result      string                 `json:"result"` // the chosen object or the refusal's type
	Outcome     string                 `json:"outcome,omitempty"`
	Inputs      []Input                `json:"inputs,omitempty"`
	Candidates  []Candidate            `json:"candidates,omitempty"`
	TraceID     string                 `json:"trace_id,omitempty"`
}

// Recorder stores decision records. Record never blocks and may be called from any goroutine.
type Recorder interface {
	// NextID returns a new decision id of this VM.
	NextID() ID
	// Record stores r.
	Record(r *Record)
}
