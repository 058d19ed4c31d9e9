package review

import (
	"cmp"
	"slices"
	"time"
)

// spanSlack is the maximum distance at which two spans of the same incarnation are treated as contiguous.
const spanSlack = 50 * time.Millisecond

// spans merges contiguous coverages of the same incarnation and source.
type spans struct{ byKey map[spanKey][]Coverage }

type spanKey struct {
	incarnation vmIncarnation
	source      CoverageSource
}

func newSpans() *spans { return &spans{byKey: make(map[spanKey][]Coverage)} }

func (s *spans) add(coverage ...Coverage) {
	for _, c := range coverage {
		key := spanKey{vmIncarnation{c.VM, c.Incarnation}, c.Source}
		s.byKey[key] = append(s.byKey[key], c)
	}
}

// list returns the merged coverages, sorted by VM, incarnation, source and time.
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

// gapsOf returns the parts of [from, to) that coverage does not include.
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

// span is a time range.
type span struct{ from, to time.Time }
