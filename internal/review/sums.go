package review

import (
	"cmp"
	"slices"
)

// sums adds up counts over VMs.
type sums struct {
	done    uint64
	bounds  map[ConstraintCount]uint64 // key without Decisions
	tallies map[OutcomeCount]uint64    // key without Requests
}

func newSums() *sums {
	return &sums{bounds: make(map[ConstraintCount]uint64), tallies: make(map[OutcomeCount]uint64)}
}

func (s *sums) add(c Count) {
	if c.Constraint != "" && c.Constraint != ConstraintNone {
		s.bounds[ConstraintCount{Constraint: c.Constraint, Kind: c.Kind}] += c.Records
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
	s.tallies[OutcomeCount{Operation: c.Operation, Outcome: outcome, Constraint: c.Constraint, Result: c.Result}] += c.Records
}

// raise lifts the tallies of s to those of other where they are higher.
func (s *sums) raise(other *sums) {
	for key, n := range other.tallies {
		s.tallies[key] = max(s.tallies[key], n)
	}
}

func (s *sums) boundList() []ConstraintCount {
	var list []ConstraintCount
	for b, n := range s.bounds {
		b.Decisions = n
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b ConstraintCount) int {
		return cmp.Or(-cmp.Compare(a.Decisions, b.Decisions), cmp.Compare(a.Constraint, b.Constraint), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}

func (s *sums) tallyList() []OutcomeCount {
	var list []OutcomeCount
	for t, n := range s.tallies {
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
