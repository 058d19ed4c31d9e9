package review

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Limits of a response to FetchRecords.
const (
	defaultFetchLimit = 1000 // records
	maxFetchLimit     = 5000 // records
)

// MirrorRecords stores a batch of another VM in memory. A batch for the digest of the zone goes to the inbox of the
// Digester. Errors: *BatchError for a batch that cannot be decoded.
func (l *Log) MirrorRecords(_ context.Context, request *peer.MirrorRequest) (*peer.MirrorReply, error) {
	opened, err := openEnvelope(request.GetRecords())
	if err != nil {
		return nil, err
	}
	if opened.digest {
		return l.acceptDigest(request.GetRecords())
	}
	// The records are decoded only when they are queried: most batches are never read.
	l.mirrored.add(request.GetRecords(), opened.coverage)
	return &peer.MirrorReply{Stored: uint64(opened.records)}, nil
}

func (l *Log) acceptDigest(data []byte) (*peer.MirrorReply, error) {
	batch, err := DecodeBatch(data)
	if err != nil {
		return nil, err
	}
	l.inbox.add(batch)
	return &peer.MirrorReply{Stored: uint64(len(batch.Records))}, nil
}

// FetchRecords returns records in the memory of this VM, its own and mirrored ones: with an id, that record and the
// related ones; without an id, those of a service and a time range. The batch also states the time range that it
// covers of each VM.
func (l *Log) FetchRecords(
	_ context.Context, request *peer.FetchRecordsRequest,
) (*peer.FetchRecordsReply, error) {
	batch, truncated := l.fetch(fetchQueryOf(request))
	data, reduced, err := encodeWithinLimits(batch)
	if err != nil {
		return nil, err
	}
	return &peer.FetchRecordsReply{Records: data, Truncated: truncated || reduced}, nil
}

// fetchQuery is a FetchRecordsRequest with the types of this package.
type fetchQuery struct {
	id       ID
	service  steering.ServiceName
	from, to time.Time
	limit    int // records
}

func fetchQueryOf(request *peer.FetchRecordsRequest) fetchQuery {
	limit := int(request.GetLimit())
	if limit <= 0 {
		limit = defaultFetchLimit
	}
	return fetchQuery{
		id:      ID(request.GetId()),
		service: steering.ServiceName(request.GetService()),
		from:    time.UnixMilli(request.GetFromUnixMs()),
		to:      time.UnixMilli(request.GetToUnixMs()),
		limit:   min(limit, maxFetchLimit),
	}
}

func (q fetchQuery) message() *peer.FetchRecordsRequest {
	return &peer.FetchRecordsRequest{
		Id:         string(q.id),
		Service:    string(q.service),
		FromUnixMs: q.from.UnixMilli(),
		ToUnixMs:   q.to.UnixMilli(),
		Limit:      uint32(q.limit),
	}
}

func (l *Log) fetch(q fetchQuery) (*Batch, bool) {
	own := l.coverage(time.Now())
	if q.id != "" {
		records, truncated := limitRecords(l.relatedRecords(q.id), q.limit)
		return &Batch{Records: records, Coverage: append(l.mirrored.coverage(), own)}, truncated
	}
	own.From = laterOf(own.From, q.from)
	mine, _ := l.Range(q.service, q.from, q.to, math.MaxInt)
	mirrored, coverage := l.mirrored.recordsInRange(q.service, q.from, q.to)
	counts := countRecords(mine, SourceVM, q.from, q.to)
	counts = append(counts, countRecords(mirrored, SourceMirror, q.from, q.to)...)
	records, truncated := limitRecords(append(mine, mirrored...), q.limit)
	return &Batch{Records: records, Counts: counts, Coverage: append(coverage, own)}, truncated
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// encodeWithinLimits encodes b, with fewer records if b exceeds the limits of a batch.
func encodeWithinLimits(b *Batch) (data []byte, reduced bool, err error) {
	for {
		data, err = EncodeBatch(b)
		var batchError *BatchError
		if err == nil || !errors.As(err, &batchError) || len(b.Records) == 0 {
			return data, reduced, err
		}
		reduced = true
		b.Records, _ = limitRecords(b.Records, len(b.Records)/2)
	}
}
