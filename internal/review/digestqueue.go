package review

import (
	"slices"
	"sync"
	"time"
)

// Limits of one value in the store, below those of a batch so that joined chunks can be decoded.
const (
	maxValueBytes    = maxEncodedBytes
	maxValueElements = maxBatchElements - 1024
	maxChunkRecords  = 4096
	// decodedRecordBytes is an estimated upper bound of the decoded size of a record in a chunk.
	decodedRecordBytes = 900
)

// chunk is an encoded digest that is queued for the store or for the leader of the zone.
type chunk struct {
	data     []byte
	to       time.Time // end of its time range
	records  int
	elements int
}

// digestQueue buffers chunks in bounded memory. Above the limit, adjacent chunks are joined into coarser ones:
// counts and changes are kept, refusals and samples are downsampled.
type digestQueue struct {
	mu     sync.Mutex
	chunks []chunk // oldest first
	bytes  int
	limit  int // bytes
}

// add encodes b, split into parts if it is large, and returns the number of records that were dropped to stay
// within the limit.
func (q *digestQueue) add(b *Batch) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := 0
	for _, part := range splitBatch(b) {
		c, removed, err := encodeChunk(part)
		dropped += removed
		if err == nil {
			q.push(c)
		}
	}
	if q.bytes <= q.limit {
		return dropped
	}
	for q.bytes > q.limit*3/4 && len(q.chunks) > 1 {
		dropped += q.coarsen()
	}
	return dropped
}

func (q *digestQueue) push(c chunk) {
	q.chunks = append(q.chunks, c)
	q.bytes += len(c.data)
}

// coarsen joins chunks in pairs. If that frees no memory, it drops the oldest chunk.
func (q *digestQueue) coarsen() int {
	before, old := q.bytes, q.chunks
	q.chunks, q.bytes = nil, 0
	dropped := 0
	for _, pair := range pairsOfBucket(old) {
		joined, n, err := joinChunks(pair)
		if err != nil {
			dropped += pair[0].records
			pair = pair[1:]
			for _, c := range pair {
				q.push(c)
			}
			continue
		}
		dropped += n
		q.push(joined)
	}
	if q.bytes >= before && len(q.chunks) > 0 {
		dropped += q.chunks[0].records
		q.bytes -= len(q.chunks[0].data)
		q.chunks = q.chunks[1:]
	}
	return dropped
}

// pairsOfBucket groups adjacent chunks in pairs where both belong to the same bucket of the store.
func pairsOfBucket(chunks []chunk) [][]chunk {
	var pairs [][]chunk
	for i := 0; i < len(chunks); {
		n := 1
		if i+1 < len(chunks) && digestBucket(chunks[i].to) == digestBucket(chunks[i+1].to) {
			n = 2
		}
		pairs = append(pairs, chunks[i:i+n])
		i += n
	}
	return pairs
}

// dequeue removes the oldest chunks that fit into one value of the store and returns them concatenated.
func (q *digestQueue) dequeue() (value []byte, to time.Time, records int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	elements := 0
	for len(q.chunks) > 0 {
		c := q.chunks[0]
		fits := len(value)+len(c.data) <= maxValueBytes &&
			elements+c.elements <= maxValueElements &&
			(records+c.records)*decodedRecordBytes <= maxDecodedBytes
		if len(value) > 0 && (!fits || digestBucket(c.to) != digestBucket(to)) {
			return value, to, records
		}
		value = append(value, c.data...)
		to = c.to
		records += c.records
		elements += c.elements
		q.bytes -= len(c.data)
		q.chunks = q.chunks[1:]
	}
	return value, to, records
}

func (q *digestQueue) size() (chunks, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.chunks), q.bytes
}

// splitBatch splits b into batches of at most maxChunkRecords records. The first one has the counts and coverage.
func splitBatch(b *Batch) []*Batch {
	if len(b.Records) <= maxChunkRecords {
		return []*Batch{b}
	}
	var parts []*Batch
	for records := range slices.Chunk(b.Records, maxChunkRecords) {
		parts = append(parts, &Batch{Records: records, Digest: true})
	}
	parts[0].Counts = b.Counts
	parts[0].Coverage = b.Coverage
	return parts
}

func encodeChunk(b *Batch) (c chunk, dropped int, err error) {
	total := len(b.Records)
	data, _, err := encodeWithinLimits(b)
	if err != nil {
		return chunk{}, total, err
	}
	c = chunk{data: data, to: endOf(b), records: len(b.Records), elements: elementsOf(b)}
	return c, total - len(b.Records), nil
}

func elementsOf(b *Batch) int {
	n := len(b.Records) + len(b.Counts) + len(b.Coverage)
	for _, r := range b.Records {
		n += len(r.Inputs) + len(r.Candidates)
	}
	return n
}

func endOf(b *Batch) time.Time {
	var end time.Time
	for _, c := range b.Coverage {
		if c.To.After(end) {
			end = c.To
		}
	}
	if end.IsZero() && len(b.Records) > 0 {
		end = b.Records[len(b.Records)-1].At
	}
	return end
}

// joinChunks merges several chunks into one coarser chunk.
func joinChunks(chunks []chunk) (chunk, int, error) {
	if len(chunks) == 1 {
		return chunks[0], 0, nil
	}
	joined := &Batch{Digest: true}
	for _, c := range chunks {
		b, err := DecodeBatch(c.data)
		if err != nil {
			return chunk{}, 0, err
		}
		joined.Records = append(joined.Records, b.Records...)
		joined.Counts = append(joined.Counts, b.Counts...)
		joined.Coverage = append(joined.Coverage, b.Coverage...)
	}
	total := len(joined.Records)
	joined.Records = downsample(joined.Records)
	joined.Counts = joinCounts(joined.Counts)
	spans := newSpans()
	spans.add(joined.Coverage...)
	joined.Coverage = spans.list()
	thinned := total - len(joined.Records)
	if len(joined.Coverage) > 0 {
		joined.Coverage[0].Dropped += uint64(thinned)
	}
	c, removed, err := encodeChunk(joined)
	return c, thinned + removed, err
}

// downsample keeps changes and every second one of the other records.
func downsample(records []*Record) []*Record {
	var kept []*Record
	odd := false
	for _, r := range records {
		if rank(r) == rankChange {
			kept = append(kept, r)
			continue
		}
		if odd = !odd; odd {
			kept = append(kept, r)
		}
	}
	return kept
}

// joinCounts adds up the counts of the same class and VM incarnation.
func joinCounts(counts []Count) []Count {
	index := make(map[Count]int)
	var joined []Count
	for _, c := range counts {
		key := c
		key.Records, key.From, key.To = 0, time.Time{}, time.Time{}
		i, seen := index[key]
		if !seen {
			index[key] = len(joined)
			joined = append(joined, c)
			continue
		}
		joined[i].Records += c.Records
		if c.From.Before(joined[i].From) {
			joined[i].From = c.From
		}
		if c.To.After(joined[i].To) {
			joined[i].To = c.To
		}
	}
	return joined
}
