package review

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRecord measures the cost of the records of one request: its own record and that of one attempt.
func BenchmarkRecord(b *testing.B) {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			recordRequest(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
		}
	})
}

// BenchmarkBatch measures the time and size of encoding the two records of a request.
func BenchmarkBatch(b *testing.B) {
	const requests = 400
	batch := &Batch{Records: realisticRecords(requests)}
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

// realisticRecords returns the records of requests that differ like real ones: in trace, time, server, scores and
// duration.
func realisticRecords(requests int) []*Record {
	random := rand.New(rand.NewPCG(1, 2))
	l := NewLog(LogOptions{Self: "batinah-a-1", Incarnation: 1796377987426994366})
	at := time.Unix(1796377987, 0)
	var records []*Record
	for range requests {
		at = at.Add(time.Duration(random.ExpFloat64() * float64(time.Millisecond)))
		took := time.Duration(random.ExpFloat64() * float64(8*time.Millisecond))
		server := random.IntN(16)
		trace := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
		id := l.NextID()
		candidates := []Candidate{
			{Name: fmt.Sprintf("certdesk-%d", server), Taken: true, Reason: "least busy", Score: random.Float64()},
			{Name: fmt.Sprintf("certdesk-%d", random.IntN(16)), Reason: "busier", Score: random.Float64()},
		}
		records = append(records, &Record{
			ID: l.NextID(), Parent: id, Kind: KindAttempt, At: at, Took: took * 9 / 10, VM: "batinah-a-1",
			Incarnation: 1796377987426994366, Service: "certdesk", Operation: "lookup", Origin: "batinah",
			Revision: 12, PlanEpoch: 88, Constraint: ConstraintNone, Result: candidates[0].Name,
			Outcome: outcomeDone, TraceID: trace, Candidates: candidates,
		}, &Record{
			ID: id, Kind: KindRequest, At: at, Took: took, VM: "batinah-a-1",
			Incarnation: 1796377987426994366, Service: "certdesk", Operation: "lookup", Origin: "batinah",
			Revision: 12, PlanEpoch: 88, Constraint: ConstraintNone, Result: candidates[0].Name,
			Outcome: outcomeDone, TraceID: trace,
		})
	}
	return records
}
