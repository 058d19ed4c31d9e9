package link

import (
	"fmt"
	"sync"
	"testing"

	"github.com/azureflow/azureflow/internal/steering"
)

// BenchmarkWait measures a grant of 2 KB for which there is free capacity.
func BenchmarkWait(b *testing.B) {
	p := NewPacer(Options{CapacityMbit: 1e8})
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Wait(b.Context(), steering.ClassInteractive, 2<<10); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkThroughput sends bulk bytes from eight goroutines and reports the rate on the real clock.
func BenchmarkThroughput(b *testing.B) {
	for _, capacity := range []float64{280, 4000} {
		b.Run(fmt.Sprintf("capacity=%v", capacity), func(b *testing.B) {
			p := NewPacer(Options{CapacityMbit: capacity})
			const parts, bytes = 8, 64 << 10
			b.SetBytes(parts * bytes)
			b.ResetTimer()
			var group sync.WaitGroup
			for range parts {
				group.Go(func() {
					for range b.N {
						_ = p.Wait(b.Context(), steering.ClassBulk, bytes)
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)*parts*bytes/bytesPerMbit/b.Elapsed().Seconds(), "Mbit/s")
		})
	}
}
