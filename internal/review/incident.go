package review

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// maxIncident is the maximum time range of an incident.
const maxIncident = 24 * time.Hour

// TimeRangeError reports a time range that is empty or too long.
type TimeRangeError struct {
	From, To time.Time
	Limit    time.Duration
}

// Error implements error.
func (e *TimeRangeError) Error() string {
	return "time from " + e.From.UTC().Format(timeFormat) + " to " + e.To.UTC().Format(timeFormat) +
		": must not be empty nor longer than " + e.Limit.String()
}

// ConstraintCount is the number of decisions of a kind that a constraint limited.
type ConstraintCount struct {
	Constraint Constraint `json:"constraint"`
	Kind       Kind       `json:"kind"`
	Decisions  uint64     `json:"decisions"`
}

// OutcomeCount is the number of requests of an operation with an outcome, by constraint and result.
type OutcomeCount struct {
	Operation  steering.OperationName `json:"operation"`
	Outcome    string                 `json:"outcome"`
	Constraint Constraint             `json:"constraint,omitempty"`
	Result     string                 `json:"result,omitempty"`
	Requests   uint64                 `json:"requests"`
}

// CountSource is the source of the counts of a VM incarnation.
type CountSource struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Source      CoverageSource `json:"source"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
}

// Incident explains a time range of a service.
type Incident struct {
	Service          steering.ServiceName `json:"service,omitempty"` // empty: all
	From             time.Time            `json:"from"`
	To               time.Time            `json:"to"`
	Changes          []Step               `json:"changes"` // revisions, drains, leaders, stops
	Shifts           []Step               `json:"shifts"`
	ConstraintCounts []ConstraintCount    `json:"bounds"`
	Done             uint64               `json:"done"`    // requests
	Refused          uint64               `json:"refused"` // requests that did not run
	Unknown          uint64               `json:"unknown"` // requests that may have run
	OutcomeCounts    []OutcomeCount       `json:"tallies"` // refused and unknown only
	Approximate      bool                 `json:"about"`   // digest counts overlap the ends of the range and are scaled
	Recomputed       []Recomputation      `json:"recomputed"`
	CountSources     []CountSource        `json:"basis"`
	Missing          Missing              `json:"missing"`
}

// ExplainRange returns the changes, traffic shifts, limiting constraints and refusals of a service between from
// and to. Errors: *TimeRangeError.
func ExplainRange(
	ctx context.Context, sources Sources, service steering.ServiceName, from, to time.Time,
) (*Incident, error) {
	if !from.Before(to) || to.Sub(from) > maxIncident {
		return nil, &TimeRangeError{From: from, To: to, Limit: maxIncident}
	}
	q := fetchQuery{service: service, from: from, to: to, limit: maxFetchLimit}
	found := sources.gather(ctx, q, true) // VMs that were removed long ago appear only in digests
	incident := &Incident{Service: service, From: from, To: to}
	incident.addSteps(found.records)
	counts := incident.selectCounts(found)
	incident.sumCounts(counts, found.records)
	incident.Recomputed = recomputeAll(found.records, sources.Recompute)
	incident.Missing = found.missing(found.allVMs(), from, to)
	return incident, nil
}

// allVMs returns the VMs that were queried or that have coverage.
func (e *evidence) allVMs() []vm.Name {
	names := slices.Clone(e.vms)
	for _, c := range e.coverage {
		names = append(names, c.VM)
	}
	names = distinct(names)
	slices.Sort(names)
	return names
}

func (i *Incident) addSteps(records []*Record) {
	for _, r := range records {
		step := Step{At: r.At, Offset: r.At.Sub(i.From), Role: RoleContext, Text: sentence(r), Record: r}
		switch r.Kind {
		case KindShift:
			i.Shifts = append(i.Shifts, step)
		case KindDrain, KindLeader, KindRevision, KindStop:
			i.Changes = append(i.Changes, step)
		}
	}
}

// selectCounts returns, for each VM incarnation, the counts of the source that covers the longest part of the time
// range. For about equal parts it prefers the VM itself to a mirror, and a mirror to a digest.
func (i *Incident) selectCounts(e *evidence) []Count {
	best := make(map[vmIncarnation]CountSource)
	for _, c := range e.joinedCoverage() {
		from, to := laterOf(c.From, i.From), c.To
		if i.To.Before(to) {
			to = i.To
		}
		key := vmIncarnation{c.VM, c.Incarnation}
		source := CountSource{VM: c.VM, Incarnation: c.Incarnation, Source: c.Source, From: from, To: to}
		if old, seen := best[key]; to.After(from) && (!seen || source.isBetterThan(old)) {
			best[key] = source
		}
	}
	for _, source := range best {
		i.CountSources = append(i.CountSources, source)
	}
	slices.SortFunc(i.CountSources, func(a, b CountSource) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var counts []Count
	for _, c := range e.counts {
		if best[vmIncarnation{c.VM, c.Incarnation}].Source == c.Source {
			counts = append(counts, i.scaleToRange(c))
		}
	}
	return counts
}

// scaleToRange returns c with the share of its records that falls into the time range of the incident, assuming
// that they are evenly distributed over time.
func (i *Incident) scaleToRange(c Count) Count {
	length := c.To.Sub(c.From)
	from, to := laterOf(c.From, i.From), c.To
	if i.To.Before(to) {
		to = i.To
	}
	inside := to.Sub(from)
	if length <= 0 || inside >= length {
		return c
	}
	i.Approximate = true
	c.Records = uint64(math.Round(float64(c.Records) * float64(max(0, inside)) / float64(length)))
	return c
}

func (e *evidence) joinedCoverage() []Coverage {
	joined := newSpans()
	joined.add(e.coverage...)
	return joined.list()
}

// isBetterThan reports whether b covers a longer time range or, for about the same length, is the closer source.
func (s CountSource) isBetterThan(other CountSource) bool {
	const same = time.Second
	longer := s.To.Sub(s.From) - other.To.Sub(other.From)
	if longer > same || longer < -same {
		return longer > 0
	}
	return s.Source.precedence() < other.Source.precedence()
}

func (s CoverageSource) precedence() int {
	return slices.Index([]CoverageSource{SourceVM, SourceMirror, SourceDigest}, s)
}

// sumCounts adds up outcomes and constraints. Refusals and unknown outcomes are retained as full records, so if
// there are more distinct records of them than a count states, the number of records is used.
func (i *Incident) sumCounts(counts []Count, records []*Record) {
	totals := newRecordTotals()
	for _, c := range counts {
		totals.add(c)
	}
	complete := newRecordTotals()
	for _, c := range countRecords(records, SourceVM, i.From, i.To) {
		complete.add(c)
	}
	totals.raiseTo(complete)
	i.Done = totals.done
	i.ConstraintCounts = totals.constraintCounts()
	i.OutcomeCounts = totals.outcomeCounts()
	for _, t := range i.OutcomeCounts {
		if t.Outcome == outcomeUnknown {
			i.Unknown += t.Requests
		} else {
			i.Refused += t.Requests
		}
	}
}
