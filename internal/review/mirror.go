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
	mirrorReadLimit       = 16384 // records in one batch interval
	initialRecordBytes    = 100   // compressed, until the first batch shows it
)

// MirrorOptions configure a Mirror.
type MirrorOptions struct {
	Log *Log
	// Send hands a batch to a peer in another zone and returns once that peer keeps it.
	Send         func(ctx context.Context, request *peer.MirrorRequest) error
	Interval     time.Duration // between batches; default 100 ms
	BytesPerSec  int           // budget of compressed records; default 1 MiB/s
	PendingBytes int           // compressed batches kept while no peer answers; default 2 MiB
}

// Mirror sends the records of a Log in compressed batches to a peer in another zone. Changes,
// refusals and unknown outcomes always go; routine records go as far as the budget allows, whole
// requests at a time, and the rest is counted.
type Mirror struct {
	options     MirrorOptions
	cursor      *cursor
	pending     []pendingBatch // oldest first
	bytes       int            // in pending
	buffer      []*Record      // of the last read
	dropped     uint64         // records lost since the last batch
	sampledOut  int            // records counted only, of batches that were dropped
	budget      float64        // bytes that may be sent now
	recordBytes float64        // compressed size of a record, running mean
	last        time.Time      // up to when batches were cut
}

type pendingBatch struct {
	data       []byte
	records    int
	dropped    uint64 // records that its coverage calls lost
	sampledOut int    // records that its coverage calls counted only
}

// NewMirror returns a Mirror of what o.Log records from now on.
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
		cursor:      o.Log.cursor(),
		budget:      float64(o.BytesPerSec),
		recordBytes: initialRecordBytes,
		last:        time.Now(),
	}
}

// Run mirrors until ctx ends, then sends what is left within the send timeout.
func (m *Mirror) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.cut(time.Now())
			m.send(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			m.cut(time.Now())
			m.send(ctx)
		}
	}
}

// cut makes a batch of the records since the last one.
func (m *Mirror) cut(now time.Time) {
	records, lost := m.cursor.read(m.buffer[:0], mirrorReadLimit)
	m.buffer = records
	defer clear(records) // the buffer must not keep records alive
	m.drop("mirror", int(lost))
	if len(records) == 0 && now.Sub(m.last) < mirrorHeartbeat {
		return
	}
	m.refill(now.Sub(m.last))
	chosen, sampledOut := m.choose(records)
	sampledOut += m.sampledOut
	m.sampledOut = 0
	for first := true; first || len(chosen) > 0; first = false {
		part := chosen[:min(len(chosen), maxBatchRecords)]
		chosen = chosen[len(part):]
		m.enqueue(part, sampledOut, now)
		sampledOut = 0
	}
	m.last = now
}

func (m *Mirror) enqueue(records []*Record, sampledOut int, now time.Time) {
	log := m.options.Log
	batch := &Batch{Records: records, Coverage: []Coverage{{
		VM: log.self, Incarnation: log.incarnation, From: m.last, To: now,
		Dropped: m.dropped, SampledOut: uint64(sampledOut), Source: SourceMirror,
	}}}
	whole := len(records)
	data, _, err := encodeWithin(batch)
	if err != nil {
		m.drop("mirror", whole)
		return
	}
	carried := m.dropped
	m.dropped = 0
	m.drop("mirror", whole-len(batch.Records))
	m.budget -= float64(len(data))
	log.history.add(data, batch.Coverage)
	m.learnSize(len(data), len(batch.Records))
	m.pending = append(m.pending, pendingBatch{
		data: data, records: len(batch.Records), dropped: carried, sampledOut: sampledOut,
	})
	m.bytes += len(data)
	m.trim()
}

// refill adds the budget of a time, up to that of a second.
func (m *Mirror) refill(since time.Duration) {
	rate := float64(m.options.BytesPerSec)
	m.budget = min(rate, m.budget+rate*since.Seconds())
}

// choose returns the records that go into a batch for the time since the last one, and how many
// routine ones do not.
func (m *Mirror) choose(records []*Record) ([]*Record, int) {
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
		if rank(r) != rankRoutine || sampled(r, share) {
			chosen = append(chosen, r)
		}
	}
	return chosen, len(records) - len(chosen)
}

// sampled tells whether r is in the sample of share; a request and its attempts are in it together,
// unless they end in different batches while the share changes.
func sampled(r *Record, share float64) bool {
	root := r.ID
	if r.Parent != "" {
		root = r.Parent
	}
	const bits = 53
	return float64(xxhash.Sum64String(string(root))>>(64-bits))/(1<<bits) < share
}

func (m *Mirror) learnSize(bytes, records int) {
	const weight = 0.2
	if records == 0 {
		return
	}
	m.recordBytes += weight * (float64(bytes)/float64(records) - m.recordBytes)
}

// trim drops the oldest batches above the bound.
func (m *Mirror) trim() {
	for m.bytes > m.options.PendingBytes && len(m.pending) > 1 {
		lost := &m.pending[0]
		m.drop("mirror", lost.records)
		m.dropped += lost.dropped
		m.sampledOut += lost.sampledOut
		m.bytes -= len(lost.data)
		m.pending = m.pending[1:]
	}
}

func (m *Mirror) drop(stage string, records int) {
	if records <= 0 {
		return
	}
	m.dropped += uint64(records)
	m.options.Log.metrics.RecordsDropped(stage, records)
}

// send hands over the pending batches, oldest first, until one fails.
func (m *Mirror) send(ctx context.Context) {
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
		m.bytes -= len(batch.data)
		m.pending = m.pending[1:]
	}
}
