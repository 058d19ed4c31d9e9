package demo

import (
	"sync"
	"time"
)

// pipeLimit bounds the bytes under way in one direction of a connection.
const pipeLimit = 1 << 20 // bytes

// parcel is a run of bytes and the time at which it arrives.
type parcel struct {
	data []byte
	due  time.Time
}

// pipe delays bytes: what put takes, get returns a delay later, in order.
type pipe struct {
	delay time.Duration
	wire  *wire // nil within a region

	mu       sync.Mutex
	changed  *sync.Cond
	parcels  []parcel
	size     int // bytes queued
	finished bool
	closed   bool
}

func newPipe(delay time.Duration, w *wire) *pipe {
	p := &pipe{delay: delay, wire: w}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// put queues data; it reports false if the pipe is closed.
func (p *pipe) put(data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.size > pipeLimit && !p.closed {
		p.changed.Wait()
	}
	if p.closed {
		return false
	}
	now := time.Now()
	due := now
	if p.wire != nil {
		due = p.wire.take(len(data), now)
	}
	p.parcels = append(p.parcels, parcel{data: data, due: due.Add(p.delay)})
	p.size += len(data)
	p.changed.Broadcast()
	return true
}

// get returns the next bytes that are due. It reports false at the end, or when closed with nothing left.
func (p *pipe) get() ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		if len(p.parcels) > 0 && !p.parcels[0].due.After(now) {
			return p.pop(), true
		}
		if len(p.parcels) == 0 && (p.finished || p.closed) {
			return nil, false
		}
		p.wait(now)
	}
}

func (p *pipe) pop() []byte {
	data := p.parcels[0].data
	p.parcels = p.parcels[1:]
	p.size -= len(data)
	p.changed.Broadcast()
	return data
}

// wait blocks until something changes or the first parcel is due.
func (p *pipe) wait(now time.Time) {
	if len(p.parcels) == 0 {
		p.changed.Wait()
		return
	}
	t := time.AfterFunc(p.parcels[0].due.Sub(now), p.wake)
	p.changed.Wait()
	t.Stop()
}

// wake wakes the waiters. It takes the lock, so that a waiter is not missed between its look at the
// clock and its wait.
func (p *pipe) wake() {
	p.mu.Lock()
	p.changed.Broadcast()
	p.mu.Unlock()
}

func (p *pipe) finish() {
	p.mu.Lock()
	p.finished = true
	p.changed.Broadcast()
	p.mu.Unlock()
}

func (p *pipe) close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
}
