package review

import (
	"context"
	"errors"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
)

// Defaults of DigesterOptions.
const (
	defaultDigestInterval = 10 * time.Second
	defaultDigestWrites   = 12 // per minute and zone
	defaultDigestPending  = 4 << 20
	defaultRetention      = 24 * time.Hour
	digestReadInterval    = 100 * time.Millisecond
	digestReadLimit       = 1 << 20 // records per read
	digestCallTimeout     = 5 * time.Second
	leaseRenewal          = time.Hour // interval at which a new lease is requested for digests
	digestBurst           = 3         // writes allowed after an idle period
)

// DigesterOptions configure a Digester.
type DigesterOptions struct {
	Log   *Log
	Store refplatform.Store
	Zone  steering.ZoneName
	// Leader reports whether this VM is the leader of its zone. Only the leader writes. Nil: this VM is the leader.
	Leader func() bool
	// ToLeader sends a digest to the leader of the zone. Nil: digests are retained until this VM is the leader.
	ToLeader     func(ctx context.Context, request *peer.MirrorRequest) error
	Interval     time.Duration // between digests; default 10 s
	WritesPerMin int           // to the store, per zone; default 12
	PendingBytes int           // digests retained while the store is unavailable; default 4 MiB
	Retention    time.Duration // of digests in the store; default 24 h
}

// Digester writes digests of the records of a zone to the store: changes, refusals and unknown outcomes as full
// records, the rest as counts with samples. Digests expire with a lease of the store, so none has to be deleted.
type Digester struct {
	options     DigesterOptions
	cursor      *cursor
	buffer      []*Record // reused by read
	accumulator *accumulator
	queue       digestQueue
	limiter     *rate.Limiter
	write       *digestWrite // in progress; its result is not known
	lease       refplatform.Lease
	leasedAt    time.Time
	writes      uint64
}

// digestWrite is one value to be written to the store. Its key stays the same until the result of the write is known.
type digestWrite struct {
	key       string
	value     []byte
	records   int
	attempted bool // the store may contain it
}

// NewDigester returns a Digester for the records in o.Log.
func NewDigester(o DigesterOptions) *Digester {
	if o.Leader == nil {
		o.Leader = func() bool { return true }
	}
	if o.Interval <= 0 {
		o.Interval = defaultDigestInterval
	}
	if o.WritesPerMin <= 0 {
		o.WritesPerMin = defaultDigestWrites
	}
	if o.PendingBytes <= 0 {
		o.PendingBytes = defaultDigestPending
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	return &Digester{
		options:     o,
		cursor:      o.Log.newCursor(),
		accumulator: newAccumulator(time.Now()),
		queue:       digestQueue{limit: o.PendingBytes},
		limiter:     rate.NewLimiter(rate.Limit(float64(o.WritesPerMin)/60), digestBurst),
	}
}

// Pending returns the number and size of the queued digests, for status and tests.
func (d *Digester) Pending() (chunks, bytes int) { return d.queue.size() }

// Run collects records and writes digests until ctx ends, then flushes the queue within the call timeout.
func (d *Digester) Run(ctx context.Context) error {
	var group errgroup.Group
	flushRequested := make(chan struct{}, 1)
	group.Go(func() error {
		defer close(flushRequested)
		d.collect(ctx, flushRequested)
		return nil
	})
	group.Go(func() error {
		for range flushRequested {
			d.flush(ctx)
		}
		d.flush(context.WithoutCancel(ctx))
		return nil
	})
	return group.Wait()
}

// collect reads records and queues a digest at each interval.
func (d *Digester) collect(ctx context.Context, flushRequested chan<- struct{}) {
	read := time.NewTicker(min(digestReadInterval, d.options.Interval))
	defer read.Stop()
	for {
		select {
		case <-ctx.Done():
			d.read()
			d.enqueueDigest(time.Now())
			return
		case now := <-read.C:
			d.read()
			if now.Sub(d.accumulator.from) < d.options.Interval {
				continue
			}
			d.enqueueDigest(now)
			select {
			case flushRequested <- struct{}{}:
			default:
			}
		}
	}
}

func (d *Digester) read() {
	records, lost := d.cursor.read(d.buffer[:0], digestReadLimit)
	d.buffer = records
	defer clear(records) // so that the buffer does not prevent the records from being garbage collected
	d.accumulator.lost += lost
	for _, r := range records {
		d.accumulator.add(r)
	}
}

// enqueueDigest queues a digest of the collected records and the digests received from other VMs.
func (d *Digester) enqueueDigest(now time.Time) {
	dropped := int(d.accumulator.lost + d.accumulator.dropped)
	dropped += d.queue.add(d.accumulator.batch(d.options.Log, now))
	d.accumulator = newAccumulator(now)
	batches, lost := d.options.Log.inbox.removeAll()
	dropped += int(lost)
	for _, b := range batches {
		dropped += d.queue.add(b)
	}
	if dropped > 0 {
		d.options.Log.metrics.RecordsDropped("digest", dropped)
	}
}

// flush writes the queued digests to the store, or sends them to the leader of the zone.
func (d *Digester) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, digestCallTimeout)
	defer cancel()
	for d.prepareWrite() {
		if !d.flushOne(ctx) {
			return
		}
		d.write = nil
	}
}

// prepareWrite sets d.write to the next queued value unless it is set. It returns false if nothing is queued.
func (d *Digester) prepareWrite() bool {
	if d.write != nil {
		return true
	}
	value, to, records := d.queue.dequeue()
	if len(value) == 0 {
		return false
	}
	d.writes++
	log := d.options.Log
	name := log.prefix + strconv.FormatUint(d.writes, 10)
	d.write = &digestWrite{
		key:     digestPrefix(d.options.Zone, digestBucket(to)) + name,
		value:   value,
		records: records,
	}
	return true
}

// flushOne returns true once d.write is written, delivered to the leader or dropped.
func (d *Digester) flushOne(ctx context.Context) bool {
	if d.options.Leader() || d.write.attempted {
		return d.limiter.Allow() && d.store(ctx)
	}
	if d.options.ToLeader == nil {
		return false
	}
	log := d.options.Log
	return d.options.ToLeader(ctx, &peer.MirrorRequest{
		Vm: string(log.self), Incarnation: uint64(log.incarnation), Records: d.write.value,
	}) == nil
}

// store writes d.write. A conflict means that an earlier attempt took effect, since no other VM uses the key.
func (d *Digester) store(ctx context.Context) bool {
	if !d.ensureLease(ctx) {
		return false
	}
	d.write.attempted = true
	_, err := d.options.Store.CompareAndSwap(ctx, d.write.key, 0, d.write.value, d.lease.ID)
	var conflict *refplatform.ConflictError
	var expired *refplatform.LeaseLapsedError
	var tooLarge *refplatform.ValueTooLargeError
	var unavailable *refplatform.UnavailableError
	switch {
	case err == nil, errors.As(err, &conflict):
		d.options.Log.metrics.DigestWritten(len(d.write.value))
		return true
	case errors.As(err, &unavailable):
		d.write.attempted = false
		return false
	case errors.As(err, &expired):
		d.lease = refplatform.Lease{}
		return false
	case errors.As(err, &tooLarge):
		d.options.Log.metrics.RecordsDropped("digest", d.write.records)
		return true
	}
	return false
}

func (d *Digester) ensureLease(ctx context.Context) bool {
	if d.lease.ID != 0 && time.Since(d.leasedAt) < leaseRenewal {
		return true
	}
	lease, err := d.options.Store.Grant(ctx, d.options.Retention+leaseRenewal)
	if err != nil {
		return false
	}
	d.lease, d.leasedAt = lease, time.Now()
	return true
}
