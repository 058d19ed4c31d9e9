// Package link paces what this VM sends over one direction of the link between two regions, and divides the rate of a
// direction among the entry VMs that use it.
package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const (
	minQuantum   = 4 << 10                // minimum bytes granted at a time
	maxQuantum   = 64 << 10               // maximum bytes granted at a time
	quantumTime  = 125 * time.Microsecond // transmission time of a quantum at full rate
	minBurst     = 64 << 10               // minimum size of the bucket, bytes
	burstTime    = 10 * time.Millisecond  // transmission time of a full bucket at full rate
	bytesPerMbit = 1e6 / 8
)

// Options configure a Pacer. Zero fields take the defaults of NewPacer.
type Options struct {
	From, To     steering.RegionName
	CapacityMbit float64 // part of the link's capacity that this VM may use, Mbit/s
	MaxShare     float64 // of the capacity that may be used in any window of one second, 0 to 1
}

// Pacer paces the traffic of this VM in one direction of a link. In no window of one second does it grant more bytes
// than MaxShare of the capacity. Interactive bytes have priority over bulk ones, and those over deferrable ones; while
// bytes of the lower classes wait, bulk gets at least 10% and deferrable at least 2% of the rate. It is safe for
// concurrent use.
type Pacer struct {
	options Options
	epoch   time.Time
	quantum atomic.Int64 // bytes granted at a time

	mu              sync.Mutex
	schedule        scheduler
	capacity        float64 // Mbit/s
	rateAfterExpiry float64 // Mbit/s, once the rate has expired
	timer           *time.Timer
}

// NewPacer returns a pacer. By default it uses 90% of the capacity.
func NewPacer(o Options) *Pacer {
	if o.MaxShare == 0 {
		o.MaxShare = 0.9
	}
	p := &Pacer{options: o, epoch: time.Now()}
	p.SetRate(o.CapacityMbit)
	p.schedule.tokens = p.schedule.burst
	return p
}

// minMbit is the minimum capacity of a pacer, so that waiting work always makes progress.
const minMbit = 0.1

// SetRate sets the part of the link's capacity that this VM may use, in Mbit/s. MaxShare of it is used.
func (p *Pacer) SetRate(capacityMbit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRate(capacityMbit)
	p.grantAndSchedule()
}

// SetLease sets the rate as SetRate does. At the time until, the rate changes to after, in Mbit/s, even if this VM was
// paused at that time.
func (p *Pacer) SetLease(capacityMbit float64, until time.Time, after float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRate(capacityMbit)
	p.rateAfterExpiry = max(after, minMbit)
	p.schedule.expiry = rateExpiry{at: max(int64(until.Sub(p.epoch)), 1), bytesPerSecond: p.bytesPerSecond(p.rateAfterExpiry)}
	p.grantAndSchedule()
}

func (p *Pacer) setRate(capacityMbit float64) {
	p.capacity = max(capacityMbit, minMbit)
	rate := p.bytesPerSecond(p.capacity)
	p.schedule.setRate(rate, p.now())
	p.quantum.Store(int64(quantumAt(rate)))
}

func (p *Pacer) bytesPerSecond(capacityMbit float64) float64 {
	return capacityMbit * bytesPerMbit * p.options.MaxShare
}

// quantumAt returns the bytes granted at a time at a rate in bytes per second.
func quantumAt(rate float64) int {
	return min(max(int(rate*quantumTime.Seconds()), minQuantum), maxQuantum)
}

func (p *Pacer) now() int64 { return int64(time.Since(p.epoch)) }

// TryAcquire acquires the right to send bytes at once and reports whether there was capacity. It never waits.
func (p *Pacer) TryAcquire(class steering.Class, bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := &ticket{class: class, bytes: bytes}
	if p.schedule.submit(t, now) {
		return true
	}
	p.schedule.queues[class].remove(t)
	return false
}

// Wait waits until bytes may be sent. More than a quantum is granted in parts, so that a long transfer does not delay
// shorter ones. It returns *InterruptedError if ctx ends first.
func (p *Pacer) Wait(ctx context.Context, class steering.Class, bytes int) error {
	for sent := 0; sent < bytes; {
		part := min(bytes-sent, int(p.quantum.Load()))
		if err := p.waitPart(ctx, class, part); err != nil {
			return &InterruptedError{Sent: sent, Bytes: bytes, Cause: err}
		}
		sent += part
	}
	return nil
}

func (p *Pacer) waitPart(ctx context.Context, class steering.Class, bytes int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	t := p.enqueue(class, bytes)
	if t == nil {
		return nil
	}
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		return p.cancelTicket(ctx, t)
	}
}

// enqueue returns nil if the bytes were granted at once.
func (p *Pacer) enqueue(class steering.Class, bytes int) *ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := &ticket{class: class, bytes: bytes}
	if p.schedule.submit(t, now) {
		return nil
	}
	t.ready = make(chan struct{})
	p.grantAndSchedule()
	return t
}

// cancelTicket removes a ticket from its queue, unless it was granted in the meantime.
func (p *Pacer) cancelTicket(ctx context.Context, t *ticket) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.granted {
		return nil
	}
	p.schedule.queues[t.class].remove(t)
	p.grantAndSchedule()
	return ctx.Err()
}

// grantAndSchedule grants what may be sent now and sets the timer for the rest.
func (p *Pacer) grantAndSchedule() {
	p.schedule.advance(p.now())
	after := p.schedule.nextWake()
	if after < 0 {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(after, p.onTimer)
		return
	}
	p.timer.Reset(after)
}

func (p *Pacer) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantAndSchedule()
}

// Reader returns a reader of r whose bytes are paced as class. A read returns at most a quantum.
func (p *Pacer) Reader(ctx context.Context, r io.Reader, class steering.Class) io.Reader {
	return &pacedReader{pacer: p, ctx: ctx, source: r, class: class}
}

type pacedReader struct {
	pacer  *Pacer
	ctx    context.Context
	source io.Reader
	class  steering.Class
}

// Read implements io.Reader. It reads before it waits, because only then is the number of bytes known.
func (r *pacedReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer[:min(len(buffer), int(r.pacer.quantum.Load()))])
	if n > 0 {
		if waitErr := r.pacer.Wait(r.ctx, r.class, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

// Usage returns the recent use of the link by this VM.
func (p *Pacer) Usage(now time.Time) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := int64(now.Sub(p.epoch))
	peak := p.schedule.usage.peak(at)
	return Usage{
		From:         p.options.From,
		To:           p.options.To,
		PeakMbit1s:   peak,
		CapacityMbit: p.capacity,
		LimitMbit:    p.capacity * p.options.MaxShare,
		SteadyMbit:   p.schedule.rate * float64(time.Second) / bytesPerMbit,
		HeadroomMbit: max(p.capacity-peak, 0),
		Bytes:        p.schedule.usage.bytes,
		LastMbit1s:   p.schedule.usage.lastSecond(at),
		Waiting:      p.schedule.hasWaiting(),
	}
}
