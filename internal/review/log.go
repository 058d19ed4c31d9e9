package review

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Defaults of LogOptions.
const (
	defaultCapacity      = 4096     // records
	defaultHistoryBytes  = 8 << 20  // compressed batches of this VM
	defaultMirroredBytes = 16 << 20 // compressed batches of other VMs
	shardCount           = 16       // of routine records, a power of two
	importantShards      = 4        // of changes and refusals, a power of two
	importantShare       = 4        // 1/importantShare of the capacity is reserved for changes and refusals
	lineInterval         = 100 * time.Millisecond
	linesPerInterval     = 16384 // records
)

// Metrics counts retained, dropped and mirrored records. *telemetry.Metrics implements it.
type Metrics interface {
	RecordsKept(kind Kind, n int)
	RecordsDropped(stage string, n int)
	RecordsMirrored(n int)
	DigestWritten(bytes int)
}

// LogOptions configure a Log.
type LogOptions struct {
	Self          vm.Name
	Incarnation   vm.Incarnation
	Capacity      int                // latest records of this VM, uncompressed; default 4096
	HistoryBytes  int                // compressed records of this VM in memory; default 8 MiB
	MirroredBytes int                // compressed records of other VMs in memory; default 16 MiB
	Logger        logrus.FieldLogger // logs a line per record; nil: no lines
	Metrics       Metrics            // nil: nothing is counted
}

// Log retains in memory the latest records of this VM and those that other VMs mirror to it. It implements
// Recorder. Record costs a few atomic operations and never blocks.
type Log struct {
	self        vm.Name
	incarnation vm.Incarnation
	prefix      string
	shards      []*shard // routine records first, then changes and refusals
	started     time.Time
	history     *batchBuffer // of this VM, as encoded by its Mirror
	mirrored    *batchBuffer // of other VMs
	inbox       digestInbox
	logger      logrus.FieldLogger
	metrics     Metrics
	lineCursor  *cursor
	buffer      []*Record // reused by writeLines
}

// NewLog returns an empty Log.
func NewLog(o LogOptions) *Log {
	if o.Capacity <= 0 {
		o.Capacity = defaultCapacity
	}
	if o.HistoryBytes <= 0 {
		o.HistoryBytes = defaultHistoryBytes
	}
	if o.MirroredBytes <= 0 {
		o.MirroredBytes = defaultMirroredBytes
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	l := &Log{
		self:        o.Self,
		incarnation: o.Incarnation,
		prefix:      idPrefix(o.Self, o.Incarnation),
		shards:      newShards(o.Capacity),
		started:     time.Now(),
		history:     &batchBuffer{limit: o.HistoryBytes},
		mirrored:    &batchBuffer{limit: o.MirroredBytes},
		logger:      o.Logger,
		metrics:     o.Metrics,
	}
	l.lineCursor = l.newCursor()
	return l
}

func newShards(capacity int) []*shard {
	important := capacity / importantShare
	var shards []*shard
	for range shardCount {
		shards = append(shards, newShard((capacity-important)/shardCount))
	}
	for range importantShards {
		shards = append(shards, newShard(important/importantShards))
	}
	return shards
}

// newShard returns a shard for at least capacity records.
func newShard(capacity int) *shard {
	size := 1 << bits.Len(uint(max(1, capacity)-1))
	return &shard{slots: make([]atomic.Pointer[entry], size)}
}

// NextID implements Recorder.
func (l *Log) NextID() ID {
	i := rand.Uint64() & (shardCount - 1)
	sequence := l.shards[i].ids.Add(1)*shardCount + i
	var buffer [96]byte
	text := append(buffer[:0], l.prefix...)
	return ID(strconv.AppendUint(text, sequence, 10))
}

// Record implements Recorder. It sets ID, VM, Incarnation and At if they are empty.
func (l *Log) Record(r *Record) {
	if r.ID == "" {
		r.ID = l.NextID()
	}
	if r.VM == "" {
		r.VM = l.self
		r.Incarnation = l.incarnation
	}
	if r.At.IsZero() {
		r.At = time.Now()
	}
	l.shardOf(r).push(r)
}

// shardOf returns the shard for r. Changes and refusals have shards of their own, so that routine records do not
// overwrite them.
func (l *Log) shardOf(r *Record) *shard {
	sequence, _ := sequenceOf(r.ID, l.prefix)
	if rank(r) == rankRoutine {
		return l.shards[sequence&(shardCount-1)]
	}
	return l.shards[shardCount+int(sequence&(importantShards-1))]
}

func (l *Log) newCursor() *cursor {
	c := &cursor{shards: l.shards, next: make([]uint64, len(l.shards))}
	for i, s := range l.shards {
		c.next[i] = s.oldest()
	}
	return c
}

// Find returns the record with id from this VM or its mirrored records, or nil.
func (l *Log) Find(id ID) *Record {
	if _, own := sequenceOf(id, l.prefix); own {
		return l.findOwn(id)
	}
	return findByID(l.mirrored.relatedRecords(id), id)
}

func findByID(records []*Record, id ID) *Record {
	for _, r := range records {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (l *Log) findOwn(id ID) *Record {
	var found *Record
	for _, s := range l.shards {
		s.each(func(r *Record) {
			if r.ID == id {
				found = r
			}
		})
	}
	if found != nil {
		return found
	}
	return findByID(l.history.relatedRecords(id), id)
}

// relatedRecords returns the records that have id as id, parent or input.
func (l *Log) relatedRecords(id ID) []*Record {
	var found []*Record
	for _, s := range l.shards {
		s.each(func(r *Record) {
			if isRelated(r, id) {
				found = append(found, r)
			}
		})
	}
	found = append(found, l.history.relatedRecords(id)...)
	return distinctRecords(append(found, l.mirrored.relatedRecords(id)...))
}

// distinctRecords removes records with duplicate ids.
func distinctRecords(records []*Record) []*Record {
	seen := make(map[ID]bool, len(records))
	return slices.DeleteFunc(records, func(r *Record) bool {
		known := seen[r.ID]
		seen[r.ID] = true
		return known
	})
}

func isRelated(r *Record, id ID) bool {
	if r.ID == id || r.Parent == id {
		return true
	}
	for i := range r.Inputs {
		if r.Inputs[i].Value == string(id) {
			return true
		}
	}
	return false
}

// Range returns up to limit records of this VM with from <= At < to, oldest first. An empty
// service means all. If there are more than limit, changes and refusals take precedence over the rest and
// truncated is true.
func (l *Log) Range(service steering.ServiceName, from, to time.Time, limit int) (records []*Record, truncated bool) {
	for _, s := range l.shards {
		s.each(func(r *Record) {
			if isInRange(r, service, from, to) {
				records = append(records, r)
			}
		})
	}
	older, _ := l.history.recordsInRange(service, from, to)
	return limitRecords(distinctRecords(append(records, older...)), limit)
}

func isInRange(r *Record, service steering.ServiceName, from, to time.Time) bool {
	if service != "" && r.Service != "" && r.Service != service {
		return false
	}
	return !r.At.Before(from) && r.At.Before(to)
}

// limitRecords sorts records by time and truncates them to limit. Routine records are dropped first.
func limitRecords(records []*Record, limit int) ([]*Record, bool) {
	truncated := len(records) > limit
	if truncated {
		slices.SortStableFunc(records, func(a, b *Record) int {
			return cmp.Or(cmp.Compare(fetchRank(a), fetchRank(b)), a.At.Compare(b.At))
		})
		records = records[:limit]
	}
	sortByTime(records)
	return records, truncated
}

// fetchRank is rank, except that plans rank as changes: explanations need them, and they are few.
func fetchRank(r *Record) int {
	if r.Kind == KindPlan {
		return rankChange
	}
	return rank(r)
}

func sortByTime(records []*Record) {
	slices.SortStableFunc(records, func(a, b *Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(depth(a), depth(b)), cmp.Compare(a.ID, b.ID))
	})
}

// depth sorts a request before its child records.
func depth(r *Record) int {
	if r.Parent == "" {
		return 0
	}
	return 1
}

// coverage returns the time range that the records of this VM in memory cover.
func (l *Log) coverage(now time.Time) Coverage {
	c := Coverage{VM: l.self, Incarnation: l.incarnation, From: l.bufferedSince(), To: now, Source: SourceVM}
	for _, older := range slices.Backward(l.history.coverage()) {
		if older.To.Before(c.From) {
			break
		}
		c.From = older.From
		c.Dropped += older.Dropped
		c.SampledOut += older.SampledOut
	}
	return c
}

// bufferedSince returns the time since which the rings contain every record.
func (l *Log) bufferedSince() time.Time {
	from := l.started
	for _, s := range l.shards[:shardCount] {
		oldest := s.oldest()
		if oldest == 0 {
			continue
		}
		if r, state := s.read(oldest); state == readOK && r.At.After(from) {
			from = r.At
		}
	}
	return from
}

// Run logs and counts each record until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.writeLines()
			return nil
		case <-ticker.C:
			l.writeLines()
		}
	}
}

func (l *Log) writeLines() {
	records, lost := l.lineCursor.read(l.buffer[:0], linesPerInterval)
	l.buffer = records
	defer clear(records) // so that the buffer does not prevent the records from being garbage collected
	if lost > 0 {
		l.metrics.RecordsDropped("memory", int(lost))
	}
	kept := make(map[Kind]int)
	for _, r := range records {
		kept[r.Kind]++
	}
	for kind, n := range kept {
		l.metrics.RecordsKept(kind, n)
	}
	writeLines(l.logger, records)
}

// noMetrics is a no-op Metrics.
type noMetrics struct{}

func (noMetrics) RecordsKept(Kind, int)      {}
func (noMetrics) RecordsDropped(string, int) {}
func (noMetrics) RecordsMirrored(int)        {}
func (noMetrics) DigestWritten(int)          {}
