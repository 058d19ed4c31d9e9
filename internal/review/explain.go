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

// Bounds of an explanation.
const (
	lookBack      = 2 * time.Hour    // in digests, for an id
	planLookBack  = 5 * time.Minute  // for the plan that a request followed; VMs record theirs each minute
	eventSlack    = 2 * time.Second  // around a request, for changes that bear on it
	maxRelatedIDs = 32               // followed from one id
	maxContext    = 20               // changes told in a story
	familyLimit   = 500              // records of one id
	contextLimit  = maxFetchLimit    // records searched for context
	minAnswered   = time.Millisecond // shortest time of a story
)

// Role says why a record is told in a story.
type Role string

// The roles.
const (
	RoleSubject Role = "subject" // the decision asked for
	RolePart    Role = "part"    // belongs to it: its request, attempts, lookup, promise
	RoleBasis   Role = "basis"   // what it rested on: plan, grant
	RoleContext Role = "context" // changed how the system steered at that time
)

// Step is one record in a story.
type Step struct {
	At     time.Time     `json:"at"`
	Offset time.Duration `json:"offset_ns"` // since the subject began
	Role   Role          `json:"role"`
	Text   string        `json:"text"`
	Record *Record       `json:"record"`
}

// Recomputation says whether a recorded plan comes out the same when computed again.
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
	VMs        []vm.Name              `json:"vms"` // that took part
	Steps      []Step                 `json:"steps"`
	Recomputed []Recomputation        `json:"recomputed"`
	Missing    Missing                `json:"missing"`
}

// UnknownDecisionError reports a decision of which no record is left.
type UnknownDecisionError struct {
	ID           ID
	SearchedFrom time.Time // in digests
	Missing      Missing   // what is known of the VM that took it
}

// Error implements error.
func (e *UnknownDecisionError) Error() string {
	if n := e.SampledOut(); n > 0 {
		return fmt.Sprintf("decision %s was sampled out: its VM counted %d records of that life without keeping them", e.ID, n)
	}
	return "no record is left of decision " + string(e.ID)
}

// SampledOut returns how many records of the life of the VM that took the decision are known to be
// counted only. Above 0 the decision was most likely one of them.
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

// Detail returns the error with what is known of the VM that took the decision.
func (e *UnknownDecisionError) Detail() string {
	text := e.Error() + "; searched the VMs' memory and digests since " + e.SearchedFrom.UTC().Format(timeFormat)
	for _, gap := range e.Missing.Gaps {
		text += "; " + string(gap.VM) + " from " + gap.From.UTC().Format(timeFormat) +
			" to " + gap.To.UTC().Format(timeFormat) + ": " + gap.Note
	}
	return text
}

// Explain tells the decision id in time order over all entry VMs that took part. Errors:
// *MalformedIDError, *UnknownDecisionError.
func Explain(ctx context.Context, sources Sources, id ID) (*Explanation, error) {
	parsed, err := id.Parse()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	found := sources.followed(ctx, id, now)
	subject := found.find(id)
	if subject == nil {
		missing := found.missing([]vm.Name{parsed.VM}, now.Add(-lookBack), now)
		return nil, &UnknownDecisionError{ID: id, SearchedFrom: now.Add(-lookBack), Missing: missing}
	}
	parts := len(found.records)
	began, ended := extent(found.records)
	around := sources.context(ctx, subject, began, ended)
	story := newStory(subject, found.records, began, ended)
	story.addContext(around.records, subject)
	found.join(around)
	story.VMs = vmsOf(found.records, story.Steps)
	story.recompute(sources.Recompute)
	story.Missing = found.missing(story.VMs, began, laterOf(ended, began.Add(minAnswered)))
	story.Missing.Truncated = parts >= familyLimit
	return story, nil
}

// followed gathers the records of id and of the ids that they name. Digests are read only where
// no VM holds the record.
func (s *Sources) followed(ctx context.Context, id ID, now time.Time) *evidence {
	all := s.family(ctx, id, now)
	done := map[ID]bool{id: true}
	for todo := relatedIDs(all.records, done); len(todo) > 0; todo = relatedIDs(all.records, done) {
		for _, next := range todo {
			if len(done) >= maxRelatedIDs {
				return all
			}
			done[next] = true
			all.join(s.gather(ctx, fetchQuery{id: next, limit: familyLimit}, false))
		}
	}
	return all
}

func (s *Sources) family(ctx context.Context, id ID, now time.Time) *evidence {
	q := fetchQuery{id: id, limit: familyLimit, from: now.Add(-lookBack), to: now}
	found := s.gather(ctx, q, false)
	if found.find(id) != nil || s.Digests == nil {
		return found
	}
	return s.gather(ctx, q, true)
}

// relatedIDs returns the ids that records name as parent or input and that are not yet done.
func relatedIDs(records []*Record, done map[ID]bool) []ID {
	var ids []ID
	for _, r := range records {
		if r.Parent != "" && !done[r.Parent] {
			ids = append(ids, r.Parent)
		}
		for _, input := range r.Inputs {
			id := ID(input.Value)
			if _, err := id.Parse(); err == nil && !done[id] && !isNumberText(input.Value) {
				ids = append(ids, id)
			}
		}
	}
	return distinct(ids)
}

// isNumberText tells whether text is made of digits and dots alone, such as an address.
func isNumberText(text string) bool {
	for _, c := range text {
		if c != '.' && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// context gathers what changed the steering of the subject's service around its time, and the
// plan and grant that it followed. Digests are read only if no VM holds the plan.
func (s *Sources) context(ctx context.Context, subject *Record, began, ended time.Time) *evidence {
	q := fetchQuery{
		service: subject.Service,
		from:    began.Add(-planLookBack),
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
		return r != plan && roleInContext(r, subject, began, ended) == ""
	})
	return around
}

// planOf returns the record of the plan that subject followed, or nil. A VM numbers every plan and
// records those that differ from the one before, and one a minute.
func planOf(records []*Record, subject *Record) *Record {
	var plan *Record
	for _, r := range records {
		if !holdsPlan(r) || r.VM != subject.VM || r.Incarnation != subject.Incarnation || r.Service != subject.Service {
			continue
		}
		if r.PlanEpoch <= subject.PlanEpoch && (plan == nil || r.PlanEpoch > plan.PlanEpoch) {
			plan = r
		}
	}
	return plan
}

// holdsPlan tells whether r records a plan: one in force, or one that moved traffic.
func holdsPlan(r *Record) bool {
	return r.Kind == KindPlan || r.Kind == KindShift && r.PlanEpoch != 0 && len(r.Inputs) > 0
}

func roleInContext(r, subject *Record, began, ended time.Time) Role {
	switch r.Kind {
	case KindGrant:
		if subject.Grant != 0 && r.Grant == subject.Grant {
			return RoleBasis
		}
	case KindShift, KindDrain, KindLeader, KindRevision, KindStop:
		if r.At.After(began.Add(-eventSlack)) && r.At.Before(ended.Add(eventSlack)) {
			return RoleContext
		}
	}
	return ""
}

func extent(records []*Record) (began, ended time.Time) {
	for i, r := range records {
		if i == 0 || r.At.Before(began) {
			began = r.At
		}
		if end := r.At.Add(r.Took); end.After(ended) {
			ended = end
		}
	}
	return began, ended
}

func newStory(subject *Record, parts []*Record, began, ended time.Time) *Explanation {
	story := &Explanation{
		ID: subject.ID, Service: subject.Service, Operation: subject.Operation, Origin: subject.Origin,
		Outcome: subject.Outcome, Constraint: subject.Constraint, Revision: subject.Revision,
		StartedAt: began, Took: ended.Sub(began),
	}
	for _, r := range parts {
		role := RolePart
		if r.ID == subject.ID {
			role = RoleSubject
		}
		story.add(r, role)
	}
	return story
}

func (s *Explanation) add(r *Record, role Role) {
	s.Steps = append(s.Steps, Step{At: r.At, Offset: r.At.Sub(s.StartedAt), Role: role, Text: sentence(r), Record: r})
}

func (s *Explanation) addContext(records []*Record, subject *Record) {
	told := make(map[ID]bool)
	for _, step := range s.Steps {
		told[step.Record.ID] = true
	}
	plan := planOf(records, subject)
	changes := 0
	for _, r := range records {
		role := roleInContext(r, subject, s.StartedAt, s.StartedAt.Add(s.Took))
		if r == plan {
			role = RoleBasis
		}
		if told[r.ID] || role == "" || changes >= maxContext && role == RoleContext {
			continue
		}
		if role == RoleContext {
			changes++
		}
		s.add(r, role)
	}
	if plan != nil && plan.PlanEpoch < subject.PlanEpoch {
		s.noteUnchanged(plan, subject.PlanEpoch)
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(depth(a.Record), depth(b.Record)))
	})
}

// noteUnchanged adds to the step of a plan that it was still in force under a later number.
func (s *Explanation) noteUnchanged(plan *Record, epoch uint64) {
	for i := range s.Steps {
		if s.Steps[i].Record == plan {
			s.Steps[i].Text += fmt.Sprintf("; unchanged in plan %d, which was followed", epoch)
		}
	}
}

func (s *Explanation) recompute(compute func(*Record) (bool, string)) {
	var plans []*Record
	for _, step := range s.Steps {
		plans = append(plans, step.Record)
	}
	s.Recomputed = recomputeAll(plans, compute)
}

func recomputeAll(records []*Record, compute func(*Record) (bool, string)) []Recomputation {
	var results []Recomputation
	for _, r := range records {
		if !holdsPlan(r) || compute == nil {
			continue
		}
		agrees, detail := compute(r)
		results = append(results, Recomputation{Decision: r.ID, Agrees: agrees, Detail: detail})
	}
	return results
}

// vmsOf returns the VMs whose records are told as more than context.
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
