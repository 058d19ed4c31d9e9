package review

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// longestRequest bounds the time between a record's At and the batch that carries it: a request is
// recorded once it ended, with the time at which it began.
const longestRequest = time.Minute

// keptBatches keeps compressed batches, newest kept longest.
type keptBatches struct {
	mu      sync.Mutex
	batches []keptBatch // oldest first
	bytes   int
	limit   int // bytes
}

type keptBatch struct {
	data     []byte
	coverage []Coverage
}

// add keeps data and drops the oldest batches above the limit.
func (m *keptBatches) add(data []byte, coverage []Coverage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.batches = append(m.batches, keptBatch{data: data, coverage: coverage})
	m.bytes += len(data)
	drop := 0
	for m.bytes > m.limit && drop < len(m.batches)-1 {
		m.bytes -= len(m.batches[drop].data)
		m.batches[drop] = keptBatch{}
		drop++
	}
	m.batches = m.batches[drop:]
}

func (m *keptBatches) snapshot() []keptBatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]keptBatch(nil), m.batches...)
}

// family returns the records that are id, have it as parent or name it as an input.
func (m *keptBatches) family(id ID) []*Record {
	var found []*Record
	for _, kept := range m.snapshot() {
		batch, err := DecodeBatch(kept.data)
		if err != nil {
			continue
		}
		for _, r := range batch.Records {
			if related(r, id) {
				found = append(found, r)
			}
		}
	}
	return found
}

// inRange returns the records of a time, and the time that is covered, by VM.
func (m *keptBatches) inRange(service steering.ServiceName, from, to time.Time) ([]*Record, []Coverage) {
	var records []*Record
	spans := newSpans()
	for _, kept := range m.snapshot() {
		if !coversAny(kept.coverage, from, to) {
			continue
		}
		spans.add(kept.coverage...)
		batch, err := DecodeBatch(kept.data)
		if err != nil {
			continue
		}
		for _, r := range batch.Records {
			if inRange(r, service, from, to) {
				records = append(records, r)
			}
		}
	}
	return records, spans.list()
}

// coverage returns the time that the batches cover, by VM.
func (m *keptBatches) coverage() []Coverage {
	spans := newSpans()
	for _, kept := range m.snapshot() {
		spans.add(kept.coverage...)
	}
	return spans.list()
}

func coversAny(coverage []Coverage, from, to time.Time) bool {
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

// life names one life of a VM.
type life struct {
	vm          vm.Name
	incarnation vm.Incarnation
}
