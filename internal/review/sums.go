package review

import (
	"cmp"
	"slices"
)

// recordTotals adds up counts over VMs.
type recordTotals struct {
	done         uint64
	byConstraint map[ConstraintCount]uint64 // key without Decisions
	byOutcome    map[OutcomeCount]uint64    // key without Requests
}

func newRecordTotals() *recordTotals {
	return &recordTotals{byConstraint: make(map[ConstraintCount]uint64), byOutcome: make(map[OutcomeCount]uint64)}
}

func (s *recordTotals) add(c Count) {
	if c.Constraint != "" && c.Constraint != ConstraintNone {
		s.byConstraint[ConstraintCount{Constraint: c.Constraint, Kind: c.Kind}] += c.Records
	}
	outcome := c.Outcome
	switch {
	case c.Kind == KindRefusal && outcome == "":
		outcome = outcomeNotRun
	case c.Kind != KindRefusal && c.Kind != KindRequest, outcome == outcomePart:
		return
	}
	if outcome == outcomeDone {
		s.done += c.Records
		return
	}
	s.byOutcome[OutcomeCount{Operation: c.Operation, Outcome: outcome, Constraint: c.Constraint, Result: c.Result}] += c.Records
}

// raiseTo raises the outcome counts of s to those of other where those are higher.
func (s *recordTotals) raiseTo(other *recordTotals) {
	for key, n := range other.byOutcome {
		s.byOutcome[key] = max(s.byOutcome[key], n)
	}
}

func (s *recordTotals) constraintCounts() []ConstraintCount {
	var list []ConstraintCount
	for b, n := range s.byConstraint {
		b.Decisions = n
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b ConstraintCount) int {
		return cmp.Or(-cmp.Compare(a.Decisions, b.Decisions), cmp.Compare(a.Constraint, b.Constraint), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}

func (s *recordTotals) outcomeCounts() []OutcomeCount {
	var list []OutcomeCount
	for t, n := range s.byOutcome {
		t.Requests = n
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b OutcomeCount) int {
		return cmp.Or(
			-cmp.Compare(a.Requests, b.Requests),
			cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Constraint, b.Constraint),
			cmp.Compare(a.Result, b.Result),
		)
	})
	return list
}
