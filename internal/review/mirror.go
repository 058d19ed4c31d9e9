package review

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
)

// Defaults of MirrorOptions.
const (
	defaultMirrorInterval = 100 * time.Millisecond
	defaultMirrorBudget   = 1 << 20 // bytes/s
	defaultMirrorPending  = 2 << 20 // bytes
	mirrorSendTimeout     = 2 * time.Second
	mirrorHeartbeat       = time.Second
	mirrorReadLimit       = 16384 // records per batch interval
	initialRecordBytes    = 100   // compressed size per record that is assumed before the first batch
)

// MirrorOptions configure a Mirror.
type MirrorOptions struct {
	Log *Log
	// Send sends a batch to a peer in another zone and returns once that peer has stored it.
	Send         func(ctx context.Context, request *peer.MirrorRequest) error
	Interval     time.Duration // between batches; default 100 ms
	BytesPerSec  int           // budget of compressed records; default 1 MiB/s
	PendingBytes int           // compressed batches retained while no peer responds; default 2 MiB
}

// Mirror sends the records of a Log in compressed batches to a peer in another zone. Changes, refusals and unknown
// outcomes are always sent. Routine records are sampled to fit the budget, a request together with its attempts, and
// the rest is only counted.
type Mirror struct {
	options      MirrorOptions
	cursor       *cursor
	pending      []pendingBatch // oldest first
	pendingBytes int            // total size of pending
	buffer       []*Record      // reused by each read
	dropped      uint64         // records lost since the last batch
	sampledOut   int            // records counted only, in batches that were dropped
	budget       float64        // bytes that may be sent now
	recordBytes  float64        // exponential moving average of the compressed size of a record
	lastBatchAt  time.Time      // end of the time range of the last batch
}

type pendingBatch struct {
	data       []byte
	records    int
	dropped    uint64 // records that its coverage reports as lost
	sampledOut int    // records that its coverage reports as counted only
}

// NewMirror returns a Mirror for the records in o.Log.
func NewMirror(o MirrorOptions) *Mirror {
	if o.Interval <= 0 {
		o.Interval = defaultMirrorInterval
	}
	if o.BytesPerSec <= 0 {
		o.BytesPerSec = defaultMirrorBudget
	}
	if o.PendingBytes <= 0 {
		o.PendingBytes = defaultMirrorPending
	}
	return &Mirror{
		options:     o,
		cursor:      o.Log.newCursor(),
		budget:      float64(o.BytesPerSec),
		recordBytes: initialRecordBytes,
		lastBatchAt: time.Now(),
	}
}

// Run mirrors records until ctx ends, then sends the pending batches within the send timeout.
func (m *Mirror) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.enqueueRecords(time.Now())
			m.sendPending(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			m.enqueueRecords(time.Now())
			m.sendPending(ctx)
		}
	}
}

// enqueueRecords adds the records since the last batch to pending.
func (m *Mirror) enqueueRecords(now time.Time) {
	records, lost := m.cursor.read(m.buffer[:0], mirrorReadLimit)
	m.buffer = records
	defer clear(records) // so that the buffer does not prevent the records from being garbage collected
	m.countDropped("mirror", int(lost))
	if len(records) == 0 && now.Sub(m.lastBatchAt) < mirrorHeartbeat {
		return
	}
	m.refill(now.Sub(m.lastBatchAt))
	chosen, sampledOut := m.sampleRecords(records)
	sampledOut += m.sampledOut
	m.sampledOut = 0
	for first := true; first || len(chosen) > 0; first = false {
		part := chosen[:min(len(chosen), maxBatchRecords)]
		chosen = chosen[len(part):]
		m.enqueue(part, sampledOut, now)
		sampledOut = 0
	}
	m.lastBatchAt = now
}

func (m *Mirror) enqueue(records []*Record, sampledOut int, now time.Time) {
	log := m.options.Log
	batch := &Batch{Records: records, Coverage: []Coverage{{
		VM: log.self, Incarnation: log.incarnation, From: m.lastBatchAt, To: now,
		Dropped: m.dropped, SampledOut: uint64(sampledOut), Source: SourceMirror,
	}}}
	total := len(records)
	data, _, err := encodeWithinLimits(batch)
	if err != nil {
		m.countDropped("mirror", total)
		return
	}
	reportedDropped := m.dropped
	m.dropped = 0
	m.countDropped("mirror", total-len(batch.Records))
	m.budget -= float64(len(data))
	log.history.add(data, batch.Coverage)
	m.updateRecordSize(len(data), len(batch.Records))
	m.pending = append(m.pending, pendingBatch{
		data: data, records: len(batch.Records), dropped: reportedDropped, sampledOut: sampledOut,
	})
	m.pendingBytes += len(data)
	m.trim()
}

// refill adds the budget of the elapsed time, up to the budget of one second.
func (m *Mirror) refill(since time.Duration) {
	rate := float64(m.options.BytesPerSec)
	m.budget = min(rate, m.budget+rate*since.Seconds())
}

// sampleRecords returns the records to be sent, and the number of routine records that are left out because of the
// budget.
func (m *Mirror) sampleRecords(records []*Record) ([]*Record, int) {
	budget := int(max(0, m.budget) / m.recordBytes)
	if len(records) <= budget {
		return records, 0
	}
	important := 0
	for _, r := range records {
		if rank(r) != rankRoutine {
			important++
		}
	}
	share := float64(max(0, budget-important)) / float64(max(1, len(records)-important))
	chosen := records[:0]
	for _, r := range records {
		if rank(r) != rankRoutine || isSampled(r, share) {
			chosen = append(chosen, r)
		}
	}
	return chosen, len(records) - len(chosen)
}

// isSampled reports whether r belongs to the sample of the given share. A request and its attempts are sampled
// together, unless they end in different batches while the share changes.
func isSampled(r *Record, share float64) bool {
	root := r.ID
	if r.Parent != "" {
		root = r.Parent
	}
	const bits = 53
	return float64(xxhash.Sum64String(string(root))>>(64-bits))/(1<<bits) < share
}

func (m *Mirror) updateRecordSize(bytes, records int) {
	const weight = 0.2
	if records == 0 {
		return
	}
	m.recordBytes += weight * (float64(bytes)/float64(records) - m.recordBytes)
}

// trim drops the oldest batches above the limit.
func (m *Mirror) trim() {
	for m.pendingBytes > m.options.PendingBytes && len(m.pending) > 1 {
		lost := &m.pending[0]
		m.countDropped("mirror", lost.records)
		m.dropped += lost.dropped
		m.sampledOut += lost.sampledOut
		m.pendingBytes -= len(lost.data)
		m.pending = m.pending[1:]
	}
}

func (m *Mirror) countDropped(stage string, records int) {
	if records <= 0 {
		return
	}
	m.dropped += uint64(records)
	m.options.Log.metrics.RecordsDropped(stage, records)
}

// sendPending sends the pending batches, oldest first, until one fails.
func (m *Mirror) sendPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, mirrorSendTimeout)
	defer cancel()
	log := m.options.Log
	for len(m.pending) > 0 {
		batch := m.pending[0]
		request := &peer.MirrorRequest{
			Vm: string(log.self), Incarnation: uint64(log.incarnation), Records: batch.data,
		}
		if m.options.Send(ctx, request) != nil {
			return
		}
		log.metrics.RecordsMirrored(batch.records)
		m.pendingBytes -= len(batch.data)
		m.pending = m.pending[1:]
	}
}
