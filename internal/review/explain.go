package review

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Limits of an explanation.
const (
	digestLookBack  = 2 * time.Hour    // time range of digests that is searched for an id
	planLookBack    = 5 * time.Minute  // time range searched for a request's plan; VMs record one each minute
	eventSlack      = 2 * time.Second  // time before and after a request in which changes are included
	maxRelatedIDs   = 32               // ids followed from one id
	maxContextSteps = 20               // changes in an explanation
	relatedLimit    = 500              // records related to one id
	contextLimit    = maxFetchLimit    // records searched for context
	minExplained    = time.Millisecond // minimum time range of an explanation
)

// Role is the reason why a record is part of an explanation.
type Role string

// The roles.
const (
	RoleSubject Role = "subject" // the requested decision
	RolePart    Role = "part"    // related to the decision: its request, attempts, lookup, promise
	RoleBasis   Role = "basis"   // basis of the decision: plan, grant
	RoleContext Role = "context" // change of the traffic steering at that time
)

// Step is one record in an explanation.
type Step struct {
	At     time.Time     `json:"at"`
	Offset time.Duration `json:"offset_ns"` // since the start of the explanation or incident
	Role   Role          `json:"role"`
	Text   string        `json:"text"`
	Record *Record       `json:"record"`
}

// Recomputation states whether recomputing a recorded plan gives the same result.
type Recomputation struct {
	Decision ID     `json:"decision"`
	Agrees   bool   `json:"agrees"`
	Detail   string `json:"detail,omitempty"`
}

// Explanation explains one decision.
type Explanation struct {
	ID         ID                     `json:"id"`
	Service    steering.ServiceName   `json:"service,omitempty"`
	Operation  steering.OperationName `json:"operation,omitempty"`
	Origin     steering.RegionName    `json:"origin,omitempty"`
	Outcome    string                 `json:"outcome,omitempty"`
	Constraint Constraint             `json:"constraint"`
	Revision   steering.Revision      `json:"revision"`
	StartedAt  time.Time              `json:"began"`
	Took       time.Duration          `json:"took_ns"`
	VMs        []vm.Name              `json:"vms"` // whose records are subject, part or basis
	Steps      []Step                 `json:"steps"`
	Recomputed []Recomputation        `json:"recomputed"`
	Missing    Missing                `json:"missing"`
}

// UnknownDecisionError reports a decision without any retained record.
type UnknownDecisionError struct {
	ID           ID
	SearchedFrom time.Time // in digests
	Missing      Missing   // coverage gaps of the VM that made the decision
}

// Error implements error.
func (e *UnknownDecisionError) Error() string {
	if n := e.SampledOut(); n > 0 {
		return fmt.Sprintf("decision %s was sampled out: its VM counted %d records of that life without keeping them", e.ID, n)
	}
	return "no record is left of decision " + string(e.ID)
}

// SampledOut returns how many records of the VM incarnation that made the decision are known to be counted only.
// If it is above 0, the decision was most likely one of them.
func (e *UnknownDecisionError) SampledOut() uint64 {
	parsed, err := e.ID.Parse()
	if err != nil {
		return 0
	}
	var n uint64
	for _, p := range e.Missing.Partials {
		if p.VM == parsed.VM && p.Incarnation == parsed.Incarnation {
			n += p.SampledOut
		}
	}
	return n
}

// Detail returns the error text with the searched time range and the coverage gaps of the VM that made the decision.
func (e *UnknownDecisionError) Detail() string {
	text := e.Error() + "; searched the VMs' memory and digests since " + e.SearchedFrom.UTC().Format(timeFormat)
	for _, gap := range e.Missing.Gaps {
		text += "; " + string(gap.VM) + " from " + gap.From.UTC().Format(timeFormat) +
			" to " + gap.To.UTC().Format(timeFormat) + ": " + gap.Note
	}
	return text
}

// Explain returns the records related to the decision id, of all entry VMs involved and in time order. Errors:
// *MalformedIDError, *UnknownDecisionError.
func Explain(ctx context.Context, sources Sources, id ID) (*Explanation, error) {
	parsed, err := id.Parse()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	found := sources.gatherRelated(ctx, id, now)
	subject := found.find(id)
	if subject == nil {
		missing := found.missing([]vm.Name{parsed.VM}, now.Add(-digestLookBack), now)
		return nil, &UnknownDecisionError{ID: id, SearchedFrom: now.Add(-digestLookBack), Missing: missing}
	}
	parts := len(found.records)
	started, ended := timeRangeOf(found.records)
	around := sources.gatherContext(ctx, subject, started, ended)
	explanation := newExplanation(subject, found.records, started, ended)
	explanation.addContext(around.records, subject)
	found.merge(around)
	explanation.VMs = vmsOf(found.records, explanation.Steps)
	explanation.recompute(sources.Recompute)
	explanation.Missing = found.missing(explanation.VMs, started, laterOf(ended, started.Add(minExplained)))
	explanation.Missing.Truncated = parts >= relatedLimit
	return explanation, nil
}

// gatherRelated gathers the records of id and of the ids that they refer to. Digests are read only if no VM has
// the record.
func (s *Sources) gatherRelated(ctx context.Context, id ID, now time.Time) *evidence {
	all := s.relatedRecords(ctx, id, now)
	visited := map[ID]bool{id: true}
	for todo := relatedIDs(all.records, visited); len(todo) > 0; todo = relatedIDs(all.records, visited) {
		for _, next := range todo {
			if len(visited) >= maxRelatedIDs {
				return all
			}
			visited[next] = true
			all.merge(s.gather(ctx, fetchQuery{id: next, limit: relatedLimit}, false))
		}
	}
	return all
}

func (s *Sources) relatedRecords(ctx context.Context, id ID, now time.Time) *evidence {
	q := fetchQuery{id: id, limit: relatedLimit, from: now.Add(-digestLookBack), to: now}
	found := s.gather(ctx, q, false)
	if found.find(id) != nil || s.Digests == nil {
		return found
	}
	return s.gather(ctx, q, true)
}

// relatedIDs returns the ids that records refer to as parent or input and that are not visited yet.
func relatedIDs(records []*Record, visited map[ID]bool) []ID {
	var ids []ID
	for _, r := range records {
		if r.Parent != "" && !visited[r.Parent] {
			ids = append(ids, r.Parent)
		}
		for _, input := range r.Inputs {
			id := ID(input.Value)
			if _, err := id.Parse(); err == nil && !visited[id] && !isNumberText(input.Value) {
				ids = append(ids, id)
			}
		}
	}
	return distinct(ids)
}

// isNumberText reports whether text consists only of digits and dots, such as an address.
func isNumberText(text string) bool {
	for _, c := range text {
		if c != '.' && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// gatherContext gathers the changes of the traffic steering of the subject's service around its time, and the plan
// and grant that it followed. Digests are read only if no VM has the plan.
func (s *Sources) gatherContext(ctx context.Context, subject *Record, started, ended time.Time) *evidence {
	q := fetchQuery{
		service: subject.Service,
		from:    started.Add(-planLookBack),
		to:      ended.Add(eventSlack),
		limit:   contextLimit,
	}
	around := s.gather(ctx, q, false)
	if subject.PlanEpoch != 0 && s.Digests != nil && planOf(around.records, subject) == nil {
		around = s.gather(ctx, q, true)
	}
	plan := planOf(around.records, subject)
	around.counts = nil
	around.truncated = false
	around.records = slices.DeleteFunc(around.records, func(r *Record) bool {
		return r != plan && roleInContext(r, subject, started, ended) == ""
	})
	return around
}

// planOf returns the record of the plan that subject followed, or nil. A VM numbers every plan and records those
// that differ from the previous one, and one per minute.
func planOf(records []*Record, subject *Record) *Record {
	var plan *Record
	for _, r := range records {
		if !isPlan(r) || r.VM != subject.VM || r.Incarnation != subject.Incarnation || r.Service != subject.Service {
			continue
		}
		if r.PlanEpoch <= subject.PlanEpoch && (plan == nil || r.PlanEpoch > plan.PlanEpoch) {
			plan = r
		}
	}
	return plan
}

// isPlan reports whether r records a plan: one in force, or one that shifted traffic.
func isPlan(r *Record) bool {
	return r.Kind == KindPlan || r.Kind == KindShift && r.PlanEpoch != 0 && len(r.Inputs) > 0
}

func roleInContext(r, subject *Record, started, ended time.Time) Role {
	switch r.Kind {
	case KindGrant:
		if subject.Grant != 0 && r.Grant == subject.Grant {
			return RoleBasis
		}
	case KindShift, KindDrain, KindLeader, KindRevision, KindStop:
		if r.At.After(started.Add(-eventSlack)) && r.At.Before(ended.Add(eventSlack)) {
			return RoleContext
		}
	}
	return ""
}

func timeRangeOf(records []*Record) (started, ended time.Time) {
	for i, r := range records {
		if i == 0 || r.At.Before(started) {
			started = r.At
		}
		if end := r.At.Add(r.Took); end.After(ended) {
			ended = end
		}
	}
	return started, ended
}

func newExplanation(subject *Record, parts []*Record, started, ended time.Time) *Explanation {
	explanation := &Explanation{
		ID: subject.ID, Service: subject.Service, Operation: subject.Operation, Origin: subject.Origin,
		Outcome: subject.Outcome, Constraint: subject.Constraint, Revision: subject.Revision,
		StartedAt: started, Took: ended.Sub(started),
	}
	for _, r := range parts {
		role := RolePart
		if r.ID == subject.ID {
			role = RoleSubject
		}
		explanation.addStep(r, role)
	}
	return explanation
}

func (e *Explanation) addStep(r *Record, role Role) {
	e.Steps = append(e.Steps, Step{At: r.At, Offset: r.At.Sub(e.StartedAt), Role: role, Text: sentence(r), Record: r})
}

func (e *Explanation) addContext(records []*Record, subject *Record) {
	included := make(map[ID]bool)
	for _, step := range e.Steps {
		included[step.Record.ID] = true
	}
	plan := planOf(records, subject)
	changes := 0
	for _, r := range records {
		role := roleInContext(r, subject, e.StartedAt, e.StartedAt.Add(e.Took))
		if r == plan {
			role = RoleBasis
		}
		if included[r.ID] || role == "" || changes >= maxContextSteps && role == RoleContext {
			continue
		}
		if role == RoleContext {
			changes++
		}
		e.addStep(r, role)
	}
	if plan != nil && plan.PlanEpoch < subject.PlanEpoch {
		e.markUnchanged(plan, subject.PlanEpoch)
	}
	slices.SortStableFunc(e.Steps, func(a, b Step) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(depth(a.Record), depth(b.Record)))
	})
}

// markUnchanged adds to the text of a plan's step that the plan was still in force under a later number.
func (e *Explanation) markUnchanged(plan *Record, epoch uint64) {
	for i := range e.Steps {
		if e.Steps[i].Record == plan {
			e.Steps[i].Text += fmt.Sprintf("; unchanged in plan %d, which was followed", epoch)
		}
	}
}

func (e *Explanation) recompute(compute func(*Record) (bool, string)) {
	var plans []*Record
	for _, step := range e.Steps {
		plans = append(plans, step.Record)
	}
	e.Recomputed = recomputeAll(plans, compute)
}

func recomputeAll(records []*Record, compute func(*Record) (bool, string)) []Recomputation {
	var results []Recomputation
	for _, r := range records {
		if !isPlan(r) || compute == nil {
			continue
		}
		agrees, detail := compute(r)
		results = append(results, Recomputation{Decision: r.ID, Agrees: agrees, Detail: detail})
	}
	return results
}

// vmsOf returns the VMs with records in a role other than context.
func vmsOf(_ []*Record, steps []Step) []vm.Name {
	var names []vm.Name
	for _, step := range steps {
		if step.Role != RoleContext {
			names = append(names, step.Record.VM)
		}
	}
	names = distinct(names)
	slices.Sort(names)
	return names
}
