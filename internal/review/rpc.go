package review

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// Bounds of an answer to FetchRecords.
const (
	defaultFetchLimit = 1000 // records
	maxFetchLimit     = 5000 // records
)

// MirrorRecords keeps a batch of another VM in memory, or, if it is meant for the digest of the
// zone, hands it to the Digester. Errors: *BatchError for a batch that cannot be read.
func (l *Log) MirrorRecords(_ context.Context, request *peer.MirrorRequest) (*peer.MirrorReply, error) {
	opened, err := openEnvelope(request.GetRecords())
	if err != nil {
		return nil, err
	}
	if opened.digest {
		return l.takeDigest(request.GetRecords())
	}
	// The records are read when somebody asks for them: most batches are never read.
	l.mirrored.add(request.GetRecords(), opened.coverage)
	return &peer.MirrorReply{Stored: uint64(opened.records)}, nil
}

func (l *Log) takeDigest(data []byte) (*peer.MirrorReply, error) {
	batch, err := DecodeBatch(data)
	if err != nil {
		return nil, err
	}
	l.inbox.add(batch)
	return &peer.MirrorReply{Stored: uint64(len(batch.Records))}, nil
}

// FetchRecords returns records that this VM holds, its own and mirrored ones: with an id that
// record and those that belong to it, else those of a service and a time. The batch also holds
// what time of which VMs it covers.
func (l *Log) FetchRecords(
	_ context.Context, request *peer.FetchRecordsRequest,
) (*peer.FetchRecordsReply, error) {
	batch, truncated := l.fetch(fetchQueryOf(request))
	data, cut, err := encodeWithin(batch)
	if err != nil {
		return nil, err
	}
	return &peer.FetchRecordsReply{Records: data, Truncated: truncated || cut}, nil
}

// fetchQuery is a FetchRecordsRequest in the types of this package.
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
		records, truncated := limitRecords(l.family(q.id), q.limit)
		return &Batch{Records: records, Coverage: append(l.mirrored.coverage(), own)}, truncated
	}
	own.From = laterOf(own.From, q.from)
	mine, _ := l.Range(q.service, q.from, q.to, math.MaxInt)
	mirrored, coverage := l.mirrored.inRange(q.service, q.from, q.to)
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

// encodeWithin encodes b, with fewer records if it is beyond the bounds of a batch.
func encodeWithin(b *Batch) (data []byte, cut bool, err error) {
	for {
		data, err = EncodeBatch(b)
		var bound *BatchError
		if err == nil || !errors.As(err, &bound) || len(b.Records) == 0 {
			return data, cut, err
		}
		cut = true
		b.Records, _ = limitRecords(b.Records, len(b.Records)/2)
	}
}
