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

// maxIncident bounds the time of an incident that is read from digests.
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

// ConstraintCount says how many decisions a constraint bound.
type ConstraintCount struct {
	Constraint Constraint `json:"constraint"`
	Kind       Kind       `json:"kind"`
	Decisions  uint64     `json:"decisions"`
}

// OutcomeCount says how many requests of an operation had an outcome, and why they had it.
type OutcomeCount struct {
	Operation  steering.OperationName `json:"operation"`
	Outcome    string                 `json:"outcome"`
	Constraint Constraint             `json:"constraint,omitempty"`
	Result     string                 `json:"result,omitempty"`
	Requests   uint64                 `json:"requests"`
}

// CountSource says from which source the counts of a life of a VM are.
type CountSource struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Source      CoverageSource `json:"source"`
	From        time.Time      `json:"from"`
	To          time.Time      `json:"to"`
}

// Incident explains a time of a service.
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
	OutcomeCounts    []OutcomeCount       `json:"tallies"` // of what was refused or unknown
	Approximate      bool                 `json:"about"`   // counts of digests reach over the ends of the time
	Recomputed       []Recomputation      `json:"recomputed"`
	CountSources     []CountSource        `json:"basis"`
	Missing          Missing              `json:"missing"`
}

// ExplainRange tells what changed, what shifted, what bound and what was refused for a service
// between from and to. Errors: *TimeRangeError.
func ExplainRange(
	ctx context.Context, sources Sources, service steering.ServiceName, from, to time.Time,
) (*Incident, error) {
	if !from.Before(to) || to.Sub(from) > maxIncident {
		return nil, &TimeRangeError{From: from, To: to, Limit: maxIncident}
	}
	q := fetchQuery{service: service, from: from, to: to, limit: maxFetchLimit}
	found := sources.gather(ctx, q, true) // digests alone know of VMs that are long gone
	incident := &Incident{Service: service, From: from, To: to}
	incident.tell(found.records)
	counts := incident.chooseCounts(found)
	incident.count(counts, found.records)
	incident.Recomputed = recomputeAll(found.records, sources.Recompute)
	incident.Missing = found.missing(found.allNames(), from, to)
	return incident, nil
}

// allNames returns the VMs that were asked or of which something is covered.
func (e *evidence) allNames() []vm.Name {
	names := slices.Clone(e.names)
	for _, c := range e.coverage {
		names = append(names, c.VM)
	}
	names = distinct(names)
	slices.Sort(names)
	return names
}

func (i *Incident) tell(records []*Record) {
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

// chooseCounts returns, for each life of a VM, the counts of the source that covers most of the
// time: the VM itself before a mirror before a digest.
func (i *Incident) chooseCounts(e *evidence) []Count {
	best := make(map[life]CountSource)
	for _, c := range e.joinedCoverage() {
		from, to := laterOf(c.From, i.From), c.To
		if i.To.Before(to) {
			to = i.To
		}
		key := life{c.VM, c.Incarnation}
		basis := CountSource{VM: c.VM, Incarnation: c.Incarnation, Source: c.Source, From: from, To: to}
		if old, seen := best[key]; to.After(from) && (!seen || basis.betterThan(old)) {
			best[key] = basis
		}
	}
	for _, basis := range best {
		i.CountSources = append(i.CountSources, basis)
	}
	slices.SortFunc(i.CountSources, func(a, b CountSource) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var counts []Count
	for _, c := range e.counts {
		if best[life{c.VM, c.Incarnation}].Source == c.Source {
			counts = append(counts, i.within(c))
		}
	}
	return counts
}

// within returns c with the part of its records that falls into the time of the incident, if these
// came evenly.
func (i *Incident) within(c Count) Count {
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

// betterThan prefers the longer time; about the same length, the nearer source.
func (b CountSource) betterThan(other CountSource) bool {
	const same = time.Second
	longer := b.To.Sub(b.From) - other.To.Sub(other.From)
	if longer > same || longer < -same {
		return longer > 0
	}
	return b.Source.order() < other.Source.order()
}

func (s CoverageSource) order() int {
	return slices.Index([]CoverageSource{SourceVM, SourceMirror, SourceDigest}, s)
}

// count adds up outcomes and bounds. Refusals and unknown outcomes are kept whole, so where more
// distinct records of them are at hand than a count says, these are believed.
func (i *Incident) count(counts []Count, records []*Record) {
	sums := newSums()
	for _, c := range counts {
		sums.add(c)
	}
	whole := newSums()
	for _, c := range countRecords(records, SourceVM, i.From, i.To) {
		whole.add(c)
	}
	sums.raise(whole)
	i.Done = sums.done
	i.ConstraintCounts = sums.boundList()
	i.OutcomeCounts = sums.tallyList()
	for _, t := range i.OutcomeCounts {
		if t.Outcome == outcomeUnknown {
			i.Unknown += t.Requests
		} else {
			i.Refused += t.Requests
		}
	}
}
