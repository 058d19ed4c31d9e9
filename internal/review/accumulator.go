package review

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Limits on the records that one interval of a digest retains.
const (
	samplesSlowest    = 2    // records per class
	samplesRandom     = 2    // records per class
	maxChanges        = 4096 // records
	maxRefusals       = 4096 // records; above this limit every second one is kept
	maxClasses        = 1024 // classes; above this limit records are counted under "other"
	maxAttemptRecords = 2048 // attempts of retained requests
)

// recordClass is the set of properties by which records are counted.
type recordClass struct {
	kind       Kind
	service    steering.ServiceName
	operation  steering.OperationName
	constraint Constraint
	result     string
	outcome    string
}

func classOf(r *Record) recordClass {
	c := recordClass{kind: r.Kind, service: r.Service, operation: r.Operation, constraint: r.Constraint, outcome: r.Outcome}
	if rank(r) == rankRefusal {
		c.result = r.Result
	}
	if r.Kind == KindRefusal && r.Parent != "" {
		c.outcome = outcomePart
	}
	return c
}

// sampledCount is the number of records of a class, with some complete records as samples.
type sampledCount struct {
	records uint64
	slowest []*Record
	random  []*Record
}

func (t *sampledCount) add(r *Record) {
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

// accumulator collects the records of one interval of a digest in bounded memory.
type accumulator struct {
	from     time.Time
	changes  []*Record
	refusals []*Record
	stride   int // one refusal in this many is kept
	skipped  int // refusals since the last one that was kept
	counts   map[recordClass]*sampledCount
	lost     uint64 // records that were overwritten before they were read
	dropped  uint64 // changes and refusals that are counted but not retained
}

func newAccumulator(from time.Time) *accumulator {
	return &accumulator{from: from, stride: 1, counts: make(map[recordClass]*sampledCount)}
}

func (a *accumulator) add(r *Record) {
	a.countFor(classOf(r)).add(r)
	switch rank(r) {
	case rankChange:
		a.addChange(r)
	case rankRefusal:
		a.addRefusal(r)
	}
}

func (a *accumulator) countFor(c recordClass) *sampledCount {
	if t := a.counts[c]; t != nil {
		return t
	}
	if len(a.counts) >= maxClasses {
		c = recordClass{kind: c.kind, result: "other"}
	}
	t := a.counts[c]
	if t == nil {
		t = &sampledCount{}
		a.counts[c] = t
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

// everySecond returns the records at even indexes.
func everySecond(records []*Record) []*Record {
	kept := make([]*Record, 0, (len(records)+1)/2)
	for i := 0; i < len(records); i += 2 {
		kept = append(kept, records[i])
	}
	return kept
}

// batch returns the records and counts collected so far, with those attempts of retained requests that log still
// contains.
func (a *accumulator) batch(log *Log, now time.Time) *Batch {
	records := slices.Concat(a.changes, a.refusals)
	b := &Batch{Digest: true}
	var total uint64
	for s, t := range a.counts {
		records = append(records, t.slowest...)
		records = append(records, t.random...)
		total += t.records
		b.Counts = append(b.Counts, s.newCount(log, t.records, a.from, now))
	}
	b.Records = append(records, attemptsOf(log, records)...)
	sortByTime(b.Records)
	complete := min(uint64(len(b.Records)), total)
	b.Coverage = []Coverage{{
		VM: log.self, Incarnation: log.incarnation, From: a.from, To: now,
		Dropped: a.dropped + a.lost, SampledOut: total - complete - min(a.dropped, total-complete), Source: SourceDigest,
	}}
	return b
}

func (c recordClass) newCount(log *Log, records uint64, from, to time.Time) Count {
	return Count{
		VM: log.self, Incarnation: log.incarnation, Source: SourceDigest, Kind: c.kind, Service: c.service, Operation: c.operation,
		Constraint: c.constraint, Result: c.result, Outcome: c.outcome,
		Records: records, From: from, To: to,
	}
}

// attemptsOf returns the records in log whose parent is among records and that are not in records themselves.
func attemptsOf(log *Log, records []*Record) []*Record {
	kept := make(map[ID]bool, len(records))
	for _, r := range records {
		kept[r.ID] = true
	}
	var found []*Record
	for _, s := range log.shards {
		s.each(func(r *Record) {
			if len(found) < maxAttemptRecords && r.Parent != "" && kept[r.Parent] && !kept[r.ID] {
				found = append(found, r)
			}
		})
	}
	return found
}
