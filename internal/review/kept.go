package review

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// longestRequest is the maximum time between a record's At and the batch that contains it: a request is recorded
// when it ends, with the time at which it started.
const longestRequest = time.Minute

// batchBuffer retains compressed batches and evicts the oldest first.
type batchBuffer struct {
	mu      sync.Mutex
	batches []bufferedBatch // oldest first
	bytes   int
	limit   int // bytes
}

type bufferedBatch struct {
	data     []byte
	coverage []Coverage
}

// add appends data and evicts the oldest batches above the limit.
func (m *batchBuffer) add(data []byte, coverage []Coverage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.batches = append(m.batches, bufferedBatch{data: data, coverage: coverage})
	m.bytes += len(data)
	drop := 0
	for m.bytes > m.limit && drop < len(m.batches)-1 {
		m.bytes -= len(m.batches[drop].data)
		m.batches[drop] = bufferedBatch{}
		drop++
	}
	m.batches = m.batches[drop:]
}

func (m *batchBuffer) snapshot() []bufferedBatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]bufferedBatch(nil), m.batches...)
}

// relatedRecords returns the records that have id as id, parent or input.
func (m *batchBuffer) relatedRecords(id ID) []*Record {
	var found []*Record
	for _, kept := range m.snapshot() {
		batch, err := DecodeBatch(kept.data)
		if err != nil {
			continue
		}
		for _, r := range batch.Records {
			if isRelated(r, id) {
				found = append(found, r)
			}
		}
	}
	return found
}

// recordsInRange returns the records of a time range, and the covered time by VM.
func (m *batchBuffer) recordsInRange(service steering.ServiceName, from, to time.Time) ([]*Record, []Coverage) {
	var records []*Record
	spans := newSpans()
	for _, kept := range m.snapshot() {
		if !overlapsAny(kept.coverage, from, to) {
			continue
		}
		spans.add(kept.coverage...)
		batch, err := DecodeBatch(kept.data)
		if err != nil {
			continue
		}
		for _, r := range batch.Records {
			if isInRange(r, service, from, to) {
				records = append(records, r)
			}
		}
	}
	return records, spans.list()
}

// coverage returns the time that the batches cover, by VM.
func (m *batchBuffer) coverage() []Coverage {
	spans := newSpans()
	for _, kept := range m.snapshot() {
		spans.add(kept.coverage...)
	}
	return spans.list()
}

func overlapsAny(coverage []Coverage, from, to time.Time) bool {
	if len(coverage) == 0 {
		return true
	}
	for _, c := range coverage {
		if c.From.Before(to.Add(longestRequest)) && !c.To.Before(from) {
			return true
		}
	}
	return false
}

// vmIncarnation identifies one incarnation of a VM.
type vmIncarnation struct {
	vm          vm.Name
	incarnation vm.Incarnation
}
