package review

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// Gap is a time range of a VM without any retained record.
type Gap struct {
	VM     vm.Name       `json:"vm"`
	From   time.Time     `json:"from"`
	To     time.Time     `json:"to"`
	Length time.Duration `json:"length_ns"`
	Note   string        `json:"note"` // the known reason
}

// Partial is a time range of a VM in which records were dropped or only counted.
type Partial struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
	Source      CoverageSource `json:"source"`
	Dropped     uint64         `json:"dropped"`     // records lost
	SampledOut  uint64         `json:"sampled_out"` // records counted only
}

// Missing lists the records and sources that an explanation or an incident lacks.
type Missing struct {
	Gaps        []Gap           `json:"gaps"`
	Partials    []Partial       `json:"partials"`
	Unreachable []SourceFailure `json:"unreachable"`
	Truncated   bool            `json:"truncated"` // more records exist than were fetched
}

// IsEmpty reports whether nothing is known to be missing.
func (m *Missing) IsEmpty() bool {
	return len(m.Gaps) == 0 && len(m.Partials) == 0 && len(m.Unreachable) == 0 && !m.Truncated
}

// missing returns the gaps and partial coverage of the VMs in names between from and to.
func (e *evidence) missing(names []vm.Name, from, to time.Time) Missing {
	m := Missing{Unreachable: e.failures, Truncated: e.truncated}
	for _, name := range names {
		coverage := e.coverageOf(name)
		for _, gap := range gapsOf(coverage, from, to) {
			m.Gaps = append(m.Gaps, Gap{
				VM: name, From: gap.from, To: gap.to, Length: gap.to.Sub(gap.from),
				Note: e.gapNote(name, coverage, gap),
			})
		}
		m.Partials = append(m.Partials, partialsOf(coverage, from, to)...)
	}
	return m
}

func (e *evidence) coverageOf(name vm.Name) []Coverage {
	joined := newSpans()
	for _, c := range e.coverage {
		if c.VM == name && c.To.After(c.From) {
			joined.add(c)
		}
	}
	return joined.list()
}

// gapNote describes a gap by the coverage before and after it.
func (e *evidence) gapNote(name vm.Name, coverage []Coverage, gap span) string {
	before, after := neighbors(coverage, gap)
	failure := e.failureOf(name)
	switch {
	case before == nil && after == nil && failure != "":
		return "no record of it is left anywhere, and it does not answer: " + failure
	case before == nil && after == nil:
		return "no record of it is left anywhere"
	case before == nil:
		return fmt.Sprintf("the first record left is of incarnation %d", after.Incarnation)
	case after == nil && failure != "":
		return fmt.Sprintf("incarnation %d does not answer: %s; its last records reached a %s at %s",
			before.Incarnation, failure, before.Source, before.To.UTC().Format(timeFormat))
	case after == nil:
		return fmt.Sprintf("the last record left is of incarnation %d", before.Incarnation)
	case before.Incarnation != after.Incarnation:
		return fmt.Sprintf("incarnation %d ended and %d began", before.Incarnation, after.Incarnation)
	}
	return fmt.Sprintf("nothing of incarnation %d reached a peer or the store", before.Incarnation)
}

// neighbors returns the coverages before and after a gap, or nil.
func neighbors(coverage []Coverage, gap span) (before, after *Coverage) {
	for i := range coverage {
		c := &coverage[i]
		if !c.To.After(gap.from) && (before == nil || c.To.After(before.To)) {
			before = c
		}
		if !c.From.Before(gap.to) && (after == nil || c.From.Before(after.From)) {
			after = c
		}
	}
	return before, after
}

// partialsOf returns the coverages in which records are known to be missing and that no other source covers
// completely.
func partialsOf(coverage []Coverage, from, to time.Time) []Partial {
	var partials []Partial
	for _, c := range coverage {
		if c.Dropped == 0 && c.SampledOut == 0 || !c.From.Before(to) || !c.To.After(from) {
			continue
		}
		if isCompleteElsewhere(coverage, c, from, to) {
			continue
		}
		partials = append(partials, Partial{
			VM: c.VM, Incarnation: c.Incarnation, From: c.From, To: c.To,
			Source: c.Source, Dropped: c.Dropped, SampledOut: c.SampledOut,
		})
	}
	slices.SortFunc(partials, func(a, b Partial) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), a.From.Compare(b.From))
	})
	return partials
}

// isCompleteElsewhere reports whether another source has all records of c between from and to.
func isCompleteElsewhere(coverage []Coverage, c Coverage, from, to time.Time) bool {
	start, end := laterOf(from, c.From), c.To
	if to.Before(end) {
		end = to
	}
	for _, other := range coverage {
		if other.Source != c.Source && other.Incarnation == c.Incarnation &&
			other.Dropped == 0 && other.SampledOut == 0 &&
			!other.From.After(start) && !other.To.Before(end) {
			return true
		}
	}
	return false
}
