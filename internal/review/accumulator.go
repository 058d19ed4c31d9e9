package review

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Bounds of what one interval of a digest keeps.
const (
	samplesSlowest   = 2    // records per sort
	samplesRandom    = 2    // records per sort
	maxChanges       = 4096 // records
	maxRefusals      = 4096 // records; beyond, every second one is kept
	maxSorts         = 1024 // counts; beyond, sorts are joined under "other"
	maxFamilyRecords = 2048 // attempts of kept requests
)

// sort tells apart what is counted.
type sort struct {
	kind       Kind
	service    steering.ServiceName
	operation  steering.OperationName
	constraint Constraint
	result     string
	outcome    string
}

func sortOf(r *Record) sort {
	s := sort{kind: r.Kind, service: r.Service, operation: r.Operation, constraint: r.Constraint, outcome: r.Outcome}
	if rank(r) == rankRefusal {
		s.result = r.Result
	}
	if r.Kind == KindRefusal && r.Parent != "" {
		s.outcome = outcomePart
	}
	return s
}

// tally is the number of records of a sort with some of them whole.
type tally struct {
	records uint64
	slowest []*Record
	random  []*Record
}

func (t *tally) add(r *Record) {
	t.records++
	if rank(r) <= rankRefusal {
		return
	}
	if len(t.slowest) < samplesSlowest {
		t.slowest = append(t.slowest, r)
		return
	}
	fastest := slices.MinFunc(t.slowest, func(a, b *Record) int { return cmp.Compare(a.Took, b.Took) })
	if r.Took > fastest.Took {
		t.slowest[slices.Index(t.slowest, fastest)] = r
		return
	}
	if len(t.random) < samplesRandom {
		t.random = append(t.random, r)
		return
	}
	if i := rand.Uint64N(t.records); i < samplesRandom {
		t.random[i] = r
	}
}

// accumulator gathers the records of one interval of a digest in bounded memory.
type accumulator struct {
	from     time.Time
	changes  []*Record
	refusals []*Record
	stride   int // keep one refusal of so many
	skipped  int // refusals since the last kept one
	tallies  map[sort]*tally
	lost     uint64 // records not seen
	dropped  uint64 // records that should be whole and are not
}

func newAccumulator(from time.Time) *accumulator {
	return &accumulator{from: from, stride: 1, tallies: make(map[sort]*tally)}
}

func (a *accumulator) add(r *Record) {
	a.tally(sortOf(r)).add(r)
	switch rank(r) {
	case rankChange:
		a.addChange(r)
	case rankRefusal:
		a.addRefusal(r)
	}
}

func (a *accumulator) tally(s sort) *tally {
	if t := a.tallies[s]; t != nil {
		return t
	}
	if len(a.tallies) >= maxSorts {
		s = sort{kind: s.kind, result: "other"}
	}
	t := a.tallies[s]
	if t == nil {
		t = &tally{}
		a.tallies[s] = t
	}
	return t
}

func (a *accumulator) addChange(r *Record) {
	if len(a.changes) >= maxChanges {
		a.dropped++
		return
	}
	a.changes = append(a.changes, r)
}

func (a *accumulator) addRefusal(r *Record) {
	if a.skipped++; a.skipped < a.stride {
		a.dropped++
		return
	}
	a.skipped = 0
	a.refusals = append(a.refusals, r)
	if len(a.refusals) < maxRefusals {
		return
	}
	kept := everySecond(a.refusals)
	a.dropped += uint64(len(a.refusals) - len(kept))
	a.refusals = kept
	a.stride *= 2
}

// everySecond returns the records at even places.
func everySecond(records []*Record) []*Record {
	kept := make([]*Record, 0, (len(records)+1)/2)
	for i := 0; i < len(records); i += 2 {
		kept = append(kept, records[i])
	}
	return kept
}

// batch returns what was gathered up to now, with the attempts of kept requests that log still
// holds.
func (a *accumulator) batch(log *Log, now time.Time) *Batch {
	records := slices.Concat(a.changes, a.refusals)
	b := &Batch{Digest: true}
	var total uint64
	for s, t := range a.tallies {
		records = append(records, t.slowest...)
		records = append(records, t.random...)
		total += t.records
		b.Counts = append(b.Counts, s.count(log, t.records, a.from, now))
	}
	b.Records = append(records, familyOf(log, records)...)
	sortByTime(b.Records)
	whole := min(uint64(len(b.Records)), total)
	b.Coverage = []Coverage{{
		VM: log.self, Incarnation: log.incarnation, From: a.from, To: now,
		Dropped: a.dropped + a.lost, SampledOut: total - whole - min(a.dropped, total-whole), Source: SourceDigest,
	}}
	return b
}

func (s sort) count(log *Log, records uint64, from, to time.Time) Count {
	return Count{
		VM: log.self, Incarnation: log.incarnation, Source: SourceDigest, Kind: s.kind, Service: s.service, Operation: s.operation,
		Constraint: s.constraint, Result: s.result, Outcome: s.outcome,
		Records: records, From: from, To: to,
	}
}

// familyOf returns the attempts in log whose request is among records and that are not there.
func familyOf(log *Log, records []*Record) []*Record {
	kept := make(map[ID]bool, len(records))
	for _, r := range records {
		kept[r.ID] = true
	}
	var found []*Record
	for _, s := range log.shards {
		s.each(func(r *Record) {
			if len(found) < maxFamilyRecords && r.Parent != "" && kept[r.Parent] && !kept[r.ID] {
				found = append(found, r)
			}
		})
	}
	return found
}
