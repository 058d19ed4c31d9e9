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
	defaultDigestWrites   = 12 // a minute and zone
	defaultDigestPending  = 4 << 20
	defaultRetention      = 24 * time.Hour
	digestReadInterval    = 100 * time.Millisecond
	digestReadLimit       = 1 << 20 // records in one read
	digestCallTimeout     = 5 * time.Second
	leaseRenewal          = time.Hour // a new lease for digests after this long
	digestBurst           = 3         // writes after a quiet time
)

// DigesterOptions configure a Digester.
type DigesterOptions struct {
	Log   *Log
	Store refplatform.Store
	Zone  steering.ZoneName
	// Leader tells whether this VM is the leader of its zone, which alone writes. Nil: it is.
	Leader func() bool
	// ToLeader hands a digest to the leader of the zone. Nil: kept until this VM leads.
	ToLeader     func(ctx context.Context, request *peer.MirrorRequest) error
	Interval     time.Duration // between digests; default 10 s
	WritesPerMin int           // to the store by one zone; default 12
	PendingBytes int           // digests kept while the store is down; default 4 MiB
	Retention    time.Duration // of digests in the store; default 24 h
}

// Digester writes digests of the records of a zone to the store: changes, refusals and unknown
// outcomes whole, the rest as counts with samples. Digests live as long as a lease of the store,
// so none has to be deleted.
type Digester struct {
	options DigesterOptions
	cursor  *cursor
	buffer  []*Record // of the last read
	sum     *accumulator
	queue   digestQueue
	limiter *rate.Limiter
	write   *digestWrite // handed to the store, answer not known
	lease   refplatform.Lease
	leased  time.Time
	writes  uint64
}

// digestWrite is one value on its way to the store. Its key stays the same until its fate is known.
type digestWrite struct {
	key     string
	value   []byte
	records int
	tried   bool // the store may hold it
}

// NewDigester returns a Digester of what o.Log records from now on.
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
		options: o,
		cursor:  o.Log.cursor(),
		sum:     newAccumulator(time.Now()),
		queue:   digestQueue{limit: o.PendingBytes},
		limiter: rate.NewLimiter(rate.Limit(float64(o.WritesPerMin)/60), digestBurst),
	}
}

// Pending returns the number and size of the digests that wait, for status and tests.
func (d *Digester) Pending() (chunks, bytes int) { return d.queue.size() }

// Run gathers and writes until ctx ends, then hands on what is left within the call timeout.
func (d *Digester) Run(ctx context.Context) error {
	var group errgroup.Group
	flushed := make(chan struct{}, 1)
	group.Go(func() error {
		defer close(flushed)
		d.gather(ctx, flushed)
		return nil
	})
	group.Go(func() error {
		for range flushed {
			d.handOn(ctx)
		}
		d.handOn(context.WithoutCancel(ctx))
		return nil
	})
	return group.Wait()
}

// gather reads records and cuts a digest at each interval.
func (d *Digester) gather(ctx context.Context, flushed chan<- struct{}) {
	read := time.NewTicker(min(digestReadInterval, d.options.Interval))
	defer read.Stop()
	for {
		select {
		case <-ctx.Done():
			d.read()
			d.cut(time.Now())
			return
		case now := <-read.C:
			d.read()
			if now.Sub(d.sum.from) < d.options.Interval {
				continue
			}
			d.cut(now)
			select {
			case flushed <- struct{}{}:
			default:
			}
		}
	}
}

func (d *Digester) read() {
	records, lost := d.cursor.read(d.buffer[:0], digestReadLimit)
	d.buffer = records
	defer clear(records) // the buffer must not keep records alive
	d.sum.lost += lost
	for _, r := range records {
		d.sum.add(r)
	}
}

// cut puts a digest of what was gathered, and of what other VMs sent, into the queue.
func (d *Digester) cut(now time.Time) {
	dropped := int(d.sum.lost + d.sum.dropped)
	dropped += d.queue.add(d.sum.batch(d.options.Log, now))
	d.sum = newAccumulator(now)
	batches, lost := d.options.Log.inbox.take()
	dropped += int(lost)
	for _, b := range batches {
		dropped += d.queue.add(b)
	}
	if dropped > 0 {
		d.options.Log.metrics.RecordsDropped("digest", dropped)
	}
}

// handOn writes the waiting digests to the store, or sends them to the leader of the zone.
func (d *Digester) handOn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, digestCallTimeout)
	defer cancel()
	for d.next() {
		if !d.handOnOne(ctx) {
			return
		}
		d.write = nil
	}
}

// next makes sure that d.write holds a value; it returns false if there is none.
func (d *Digester) next() bool {
	if d.write != nil {
		return true
	}
	value, to, records := d.queue.take()
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

// handOnOne returns true once the fate of d.write is settled.
func (d *Digester) handOnOne(ctx context.Context) bool {
	if d.options.Leader() || d.write.tried {
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

// store writes d.write. A conflict means that an earlier try took effect, since nobody else uses
// the key.
func (d *Digester) store(ctx context.Context) bool {
	if !d.ensureLease(ctx) {
		return false
	}
	d.write.tried = true
	_, err := d.options.Store.CompareAndSwap(ctx, d.write.key, 0, d.write.value, d.lease.ID)
	var conflict *refplatform.ConflictError
	var lapsed *refplatform.LeaseLapsedError
	var tooLarge *refplatform.ValueTooLargeError
	var unavailable *refplatform.UnavailableError
	switch {
	case err == nil, errors.As(err, &conflict):
		d.options.Log.metrics.DigestWritten(len(d.write.value))
		return true
	case errors.As(err, &unavailable):
		d.write.tried = false
		return false
	case errors.As(err, &lapsed):
		d.lease = refplatform.Lease{}
		return false
	case errors.As(err, &tooLarge):
		d.options.Log.metrics.RecordsDropped("digest", d.write.records)
		return true
	}
	return false
}

func (d *Digester) ensureLease(ctx context.Context) bool {
	if d.lease.ID != 0 && time.Since(d.leased) < leaseRenewal {
		return true
	}
	lease, err := d.options.Store.Grant(ctx, d.options.Retention+leaseRenewal)
	if err != nil {
		return false
	}
	d.lease, d.leased = lease, time.Now()
	return true
}
