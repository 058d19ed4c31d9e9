package request

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// copyingHandler is the baseline: a handler that only forwards the request and the response, through pooled buffers if
// pooled is set.
func copyingHandler(address string, pooled bool) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		out.ContentLength = r.ContentLength
		for name, values := range r.Header {
			out.Header[name] = values
		}
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		if !pooled {
			_, _ = io.Copy(w, resp.Body)
			return
		}
		buf := copyBuffers.Get().(*[copyBufferBytes]byte)
		defer copyBuffers.Put(buf)
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{resp.Body}, buf[:])
	})
}

// BenchmarkProxiedRequest measures the processor time per lookup over loopback: sent directly, through the copying
// handler and through Handler. The direct figure is the share of caller and upstream.
func BenchmarkProxiedRequest(b *testing.B) {
	response := make([]byte, 512)
	upstream := newUpstream(b, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(response) })
	e := newTestEntry(b, nil, addressOf(upstream))
	e.placer.slots = 1 << 20
	e.handler.opts.Recorder = &discardingRecorder{}
	bare := httptest.NewServer(copyingHandler(addressOf(upstream), false))
	defer bare.Close()
	pooled := httptest.NewServer(copyingHandler(addressOf(upstream), true))
	defer pooled.Close()
	targets := []struct{ name, url string }{
		{"direct", upstream.URL}, {"bare", bare.URL}, {"pooled", pooled.URL}, {"handler", e.server.URL},
	}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) { benchmarkGet(b, target.url+"/kasse/balances/1") })
	}
}

func benchmarkGet(b *testing.B, url string) {
	client := &http.Transport{MaxIdleConnsPerHost: 256}
	defer client.CloseIdleConnections()
	runtime.GC()
	b.ReportAllocs()
	start := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest("GET", url, nil)
			resp, err := client.RoundTrip(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
}

// discardingRecorder assigns IDs to decisions and discards the records.
type discardingRecorder struct{ fakeRecorder }

func (r *discardingRecorder) Record(*review.Record) {}

// BenchmarkFindOperation measures the cost of finding the operation of a request among many services.
func BenchmarkFindOperation(b *testing.B) {
	for _, services := range []int{3, 30, 300} {
		c := testConfiguration()
		for i := range services - 1 {
			s := c.Services[0]
			s.Name = steering.ServiceName("service-" + strconv.Itoa(i))
			c.Services = append(c.Services, s)
		}
		var cache routeCache
		table := cache.tableFor(c)
		r := httptest.NewRequest("GET", "/kasse/balances/17", nil)
		b.Run(strconv.Itoa(services)+" services", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.find(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAdmit measures the cost of admission with free capacity, without the placer's decision.
func BenchmarkAdmit(b *testing.B) {
	q := NewQueue(&reportingPlacer{newSlotPlacer(1 << 30)}, QueueOptions{})
	ctx := context.Background()
	ticket := &Ticket{Query: &PlacementQuery{Service: "kasse"}, Caller: "c", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		p, err := q.Admit(ctx, ticket)
		if err != nil {
			b.Fatal(err)
		}
		p.Release(AttemptResult{})
	}
}

// BenchmarkClaimKey measures the cost, at an owner entry VM, of a claim for a caller that names no previous entry VM.
func BenchmarkClaimKey(b *testing.B) {
	j := NewJournal(JournalOptions{ClaimsCompleteFrom: time.Now(), ClaimAge: time.Second})
	req := &peer.ClaimRequest{Service: "kasse", Holder: "entry-1", Incarnation: 1}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.Key = strconv.Itoa(i)
		_, _ = j.ClaimKey(context.Background(), req)
	}
}

// BenchmarkJournalKey measures the cost of the three state changes of a key that is sent and gets a response.
func BenchmarkJournalKey(b *testing.B) {
	j := NewJournal(JournalOptions{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := strconv.Itoa(i)
		j.PrepareKey("kasse", key)
		j.MarkSent("kasse", key)
		j.MarkAnswered("kasse", key)
	}
}
