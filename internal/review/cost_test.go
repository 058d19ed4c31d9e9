package review

import (
	"testing"
	"time"
)

// BenchmarkRecord measures what one request costs: its own record and that of one attempt.
func BenchmarkRecord(b *testing.B) {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
		}
	})
}

// BenchmarkBatch measures encoding and its size for the two records of a request.
func BenchmarkBatch(b *testing.B) {
	const requests = 400
	batch := sampleBatch(requests)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := EncodeBatch(batch)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/requests, "bytes/request")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/requests, "ns/request")
}
