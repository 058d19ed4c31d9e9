package review

import (
	"cmp"
	"slices"
	"time"
)

// spanSlack is the distance at which two spans of the same life count as joined.
const spanSlack = 50 * time.Millisecond

// spans joins coverages of the same life and source that touch.
type spans struct{ byKey map[spanKey][]Coverage }

type spanKey struct {
	life   life
	source CoverageSource
}

func newSpans() *spans { return &spans{byKey: make(map[spanKey][]Coverage)} }

func (s *spans) add(coverage ...Coverage) {
	for _, c := range coverage {
		key := spanKey{life{c.VM, c.Incarnation}, c.Source}
		s.byKey[key] = append(s.byKey[key], c)
	}
}

// list returns the joined coverages, by VM, life, source and time.
func (s *spans) list() []Coverage {
	var all []Coverage
	for _, list := range s.byKey {
		all = append(all, joinSpans(list)...)
	}
	slices.SortFunc(all, func(a, b Coverage) int {
		return cmp.Or(
			cmp.Compare(a.VM, b.VM),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Source, b.Source),
			a.From.Compare(b.From),
		)
	})
	return all
}

func joinSpans(list []Coverage) []Coverage {
	slices.SortFunc(list, func(a, b Coverage) int { return a.From.Compare(b.From) })
	var joined []Coverage
	for _, c := range list {
		last := len(joined) - 1
		if last < 0 || c.From.After(joined[last].To.Add(spanSlack)) {
			joined = append(joined, c)
			continue
		}
		joined[last].Dropped += c.Dropped
		joined[last].SampledOut += c.SampledOut
		if c.To.After(joined[last].To) {
			joined[last].To = c.To
		}
	}
	return joined
}

// gapsOf returns the parts of [from, to) that coverage of one life leaves open.
func gapsOf(coverage []Coverage, from, to time.Time) []span {
	merged := slices.Clone(coverage)
	slices.SortFunc(merged, func(a, b Coverage) int { return a.From.Compare(b.From) })
	var gaps []span
	at := from
	for _, c := range merged {
		if c.From.After(to) {
			break
		}
		if c.From.After(at.Add(spanSlack)) {
			gaps = append(gaps, span{at, c.From})
		}
		if c.To.After(at) {
			at = c.To
		}
	}
	if to.After(at.Add(spanSlack)) {
		gaps = append(gaps, span{at, to})
	}
	return gaps
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }
