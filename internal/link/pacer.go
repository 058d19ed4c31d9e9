// Package link paces what this VM sends over one direction of the link between two regions, and
// divides a direction among the entry VMs that fill it.
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
	minQuantum  = 4 << 10                // bytes granted at a time at least
	maxQuantum  = 64 << 10               // bytes granted at a time at most
	quantumTime = 125 * time.Microsecond // time at full rate that a quantum takes
	minBurst    = 64 << 10               // bytes the bucket holds at least
	burstTime   = 10 * time.Millisecond  // time at full rate that the bucket holds
	mbit        = 1e6 / 8                // bytes
)

// Options configure a Pacer. Zero fields take the defaults of NewPacer.
type Options struct {
	From, To     steering.RegionName
	CapacityMbit float64 // part of the link's capacity that this VM may fill, Mbit/s
	MaxShare     float64 // of the capacity that may be used in any window of a second, 0 to 1
}

// Pacer paces one direction of a link as used by this VM. In no window of one second are more bytes
// granted than MaxShare of the capacity. Interactive bytes go ahead of bulk ones, and those ahead
// of deferrable ones; while they wait, bulk work is owed 10% and deferrable work 2% of the rate.
// It is safe for concurrent use.
type Pacer struct {
	options Options
	epoch   time.Time
	quantum atomic.Int64 // bytes granted at a time

	mu       sync.Mutex
	schedule scheduler
	capacity float64 // Mbit/s
	after    float64 // Mbit/s, once the rate lapsed
	timer    *time.Timer
}

// NewPacer returns a pacer; by default it uses 90% of the capacity.
func NewPacer(o Options) *Pacer {
	if o.MaxShare == 0 {
		o.MaxShare = 0.9
	}
	p := &Pacer{options: o, epoch: time.Now()}
	p.SetRate(o.CapacityMbit)
	p.schedule.tokens = p.schedule.burst
	return p
}

// minMbit is the least capacity that a pacer works with, so that waiting work always moves.
const minMbit = 0.1

// SetRate sets the part of the link's capacity that this VM may fill, in Mbit/s. MaxShare of it is
// used.
func (p *Pacer) SetRate(capacityMbit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRate(capacityMbit)
	p.pump()
}

// SetLease sets the rate as SetRate does, but at the time until it lapses to after, Mbit/s, also if
// this VM was paused meanwhile.
func (p *Pacer) SetLease(capacityMbit float64, until time.Time, after float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRate(capacityMbit)
	p.after = max(after, minMbit)
	p.schedule.lapse = lapse{at: max(int64(until.Sub(p.epoch)), 1), bytesPerSecond: p.bytesPerSecond(p.after)}
	p.pump()
}

func (p *Pacer) setRate(capacityMbit float64) {
	p.capacity = max(capacityMbit, minMbit)
	rate := p.bytesPerSecond(p.capacity)
	p.schedule.setRate(rate, p.now())
	p.quantum.Store(int64(quantumAt(rate)))
}

func (p *Pacer) bytesPerSecond(capacityMbit float64) float64 {
	return capacityMbit * mbit * p.options.MaxShare
}

// quantumAt returns the bytes granted at a time at a rate in bytes a second.
func quantumAt(rate float64) int {
	return min(max(int(rate*quantumTime.Seconds()), minQuantum), maxQuantum)
}

func (p *Pacer) now() int64 { return int64(time.Since(p.epoch)) }

// TryAcquire takes the right to send bytes at once and reports whether there was room. It never waits.
func (p *Pacer) TryAcquire(class steering.Class, bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := &ticket{class: class, bytes: bytes}
	if p.schedule.offer(t, now) {
		return true
	}
	p.schedule.queues[class].remove(t)
	return false
}

// Wait waits until bytes may be sent. More than a quantum is granted in parts, so that a long
// transfer does not hold up shorter ones. Error: *InterruptedError if ctx ended first.
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
		return p.abandon(ctx, t)
	}
}

// enqueue returns nil if the bytes were granted at once.
func (p *Pacer) enqueue(class steering.Class, bytes int) *ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := &ticket{class: class, bytes: bytes}
	if p.schedule.offer(t, now) {
		return nil
	}
	t.ready = make(chan struct{})
	p.pump()
	return t
}

// abandon takes a ticket back, unless it was granted meanwhile.
func (p *Pacer) abandon(ctx context.Context, t *ticket) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.granted {
		return nil
	}
	p.schedule.queues[t.class].remove(t)
	p.pump()
	return ctx.Err()
}

// pump grants what may go and sets the timer for the rest.
func (p *Pacer) pump() {
	p.schedule.advance(p.now())
	after := p.schedule.wake()
	if after < 0 {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(after, p.tick)
		return
	}
	p.timer.Reset(after)
}

func (p *Pacer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump()
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

// Read implements io.Reader. The bytes were read before they wait, so their count is known.
func (r *pacedReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer[:min(len(buffer), int(r.pacer.quantum.Load()))])
	if n > 0 {
		if waitErr := r.pacer.Wait(r.ctx, r.class, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

// Usage returns what was sent lately.
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
		SteadyMbit:   p.schedule.rate * float64(time.Second) / mbit,
		HeadroomMbit: max(p.capacity-peak, 0),
		Bytes:        p.schedule.usage.bytes,
		LastMbit1s:   p.schedule.usage.lastSecond(at),
		Waiting:      p.schedule.waiting(),
	}
}
