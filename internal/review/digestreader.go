package review

import (
	"context"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
)

// bucketLength is the length of the time range whose digests share one key prefix of the store.
const bucketLength = 10 * time.Minute

// DigestRoot is the prefix of all digests in the store.
const DigestRoot = "review/"

// digestBucket returns the part of a key that identifies the bucket of the time at.
func digestBucket(at time.Time) string {
	return at.UTC().Truncate(bucketLength).Format("20060102T1504")
}

func digestPrefix(zone steering.ZoneName, bucket string) string {
	return DigestRoot + string(zone) + "/" + bucket + "/"
}

// DigestReader reads digests from the store.
type DigestReader struct {
	Store refplatform.Store
	Zones []steering.ZoneName
}

// read calls fn with each batch that ended in the buckets of the time between from and to. It skips the rest of a
// zone after a bucket that cannot be listed, and returns the last error.
func (d *DigestReader) read(ctx context.Context, from, to time.Time, fn func(*Batch)) error {
	var failure error
	for _, zone := range d.Zones {
		for at := from.Truncate(bucketLength); !at.After(to); at = at.Add(bucketLength) {
			entries, _, err := d.Store.List(ctx, digestPrefix(zone, digestBucket(at)))
			if err != nil {
				failure = err
				break
			}
			for _, entry := range entries {
				if b, err := DecodeBatch(entry.Value); err == nil {
					fn(b)
				}
			}
		}
	}
	return failure
}

// fetch returns the records, counts and coverage in the digests that match q.
func (d *DigestReader) fetch(ctx context.Context, q fetchQuery) (*Batch, error) {
	all := &Batch{}
	slack := longestRequest + defaultDigestInterval
	err := d.read(ctx, q.from, q.to.Add(slack), func(b *Batch) {
		for _, r := range b.Records {
			if q.matches(r) {
				all.Records = append(all.Records, r)
			}
		}
		all.Coverage = append(all.Coverage, b.Coverage...)
		for _, c := range b.Counts {
			if c.From.Before(q.to) && c.To.After(q.from) && (q.service == "" || c.Service == q.service) {
				all.Counts = append(all.Counts, c)
			}
		}
	})
	spans := newSpans()
	spans.add(all.Coverage...)
	all.Coverage = spans.list()
	return all, err
}

func (q fetchQuery) matches(r *Record) bool {
	if q.id != "" {
		return isRelated(r, q.id)
	}
	return isInRange(r, q.service, q.from, q.to)
}
