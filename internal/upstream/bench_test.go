package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
)

// newBusyPool returns a pool whose servers have half of their slots in use and recent latency samples.
func newBusyPool(servers int, policy Policy) *Pool {
	p := NewPool(Options{Policy: policy})
	p.Update(listedServers(servers), start)
	for range servers * 2 {
		if r, err := p.Acquire(Query{Now: start}); err == nil {
			finish(r, 8*time.Millisecond, start)
		}
	}
	for range servers * 5 / 2 {
		_, _ = p.Acquire(Query{Now: start})
	}
	return p
}

// BenchmarkAcquireDone measures one selection with its release, and its allocations.
func BenchmarkAcquireDone(b *testing.B) {
	for _, servers := range []int{2, 12, 120, 1200} {
		for _, policy := range []Policy{PolicyRoundRobin, PolicyTwoChoices, PolicyProbed, PolicyLeastLoaded} {
			b.Run(fmt.Sprintf("servers=%d/%s", servers, policy), func(b *testing.B) {
				p := newBusyPool(servers, policy)
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					r, err := p.Acquire(Query{Now: now})
					if err != nil {
						b.Fatal(err)
					}
					finish(r, 8*time.Millisecond, now)
				}
			})
		}
	}
}

// BenchmarkAcquire measures the selection of a server and the acquisition of its slot, without the release.
func BenchmarkAcquire(b *testing.B) {
	for _, servers := range []int{2, 12, 120, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := newBusyPool(servers, PolicyLeastLoaded)
			b.ReportAllocs()
			for b.Loop() {
				r, err := p.Acquire(Query{Class: steering.ClassInteractive, Now: start})
				if err != nil {
					b.Fatal(err)
				}
				r.server.endAttempt(r.class, r.start)
				p.releaseTotal(r.class)
			}
		})
	}
}

// BenchmarkAcquireParallel measures selections on all processors from one pool.
func BenchmarkAcquireParallel(b *testing.B) {
	for _, servers := range []int{12, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := newBusyPool(servers, PolicyLeastLoaded)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if r, err := p.Acquire(Query{Now: start}); err == nil {
						r.Release(request.AttemptResult{FirstByte: 8 * time.Millisecond}, start)
					}
				}
			})
		})
	}
}

// BenchmarkRefusal measures a query that finds no free slot on any server.
func BenchmarkRefusal(b *testing.B) {
	for _, servers := range []int{12, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := newTestPool(servers, Options{})
			for range servers * 5 {
				_, _ = p.Acquire(Query{Now: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = p.Acquire(Query{Now: start})
			}
		})
	}
}
