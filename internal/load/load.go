// Package load generates open-loop load through entry VMs and, in the same run, directly to an upstream,
// and compares the latencies.
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azureflow/azureflow/caller"
	"github.com/azureflow/azureflow/internal/clock"
)

// Options describe a run. Path and either Entries and Service or Gateways are required.
type Options struct {
	Entries  []string  // host:port of entry VMs that serve lookups
	Gateways *Gateways // entry VMs on the users' platform, in place of Entries and Service
	Direct   string    // host:port of an upstream; empty: no direct requests
	Origin   string
	Service  string
	Method   string
	Path     string // below the service; the complete path with Gateways
	Body     string
	Header   http.Header
	Rate     float64       // requests per second through entry VMs, and the same rate directly
	Duration time.Duration // how long requests are started
	Timeout  time.Duration // per request
	Seed     uint64        // of the arrival times
}

// Result holds the measurements of a run.
type Result struct {
	Entry  Series  `json:"entry"`
	Direct *Series `json:"direct,omitempty"`
	// Ratios of the latency quantiles through entry VMs to the direct ones; 0 without direct requests.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
}

// Series summarizes the requests of one stream.
type Series struct {
	Requests int     `json:"requests"`
	Done     int     `json:"done"`
	Failed   int     `json:"failed"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	P999Ms   float64 `json:"p999_ms"`
	MaxMs    float64 `json:"max_ms"`
}

// sendFunc sends one request and reports whether it succeeded with a complete response.
type sendFunc func(ctx context.Context) bool

// Run sends both streams as Poisson processes and waits until all requests have ended.
func Run(ctx context.Context, o Options) *Result {
	var entry, direct recorder
	entry.init()
	direct.init()
	var streams sync.WaitGroup
	streams.Go(func() { o.stream(ctx, 1, o.entrySender(), &entry) })
	if o.Direct != "" {
		streams.Go(func() { o.stream(ctx, 2, o.directSender(), &direct) })
	}
	streams.Wait()
	r := &Result{Entry: entry.series()}
	if o.Direct != "" {
		s := direct.series()
		r.Direct = &s
		r.RatioP50 = ratio(r.Entry.P50Ms, s.P50Ms)
		r.RatioP99 = ratio(r.Entry.P99Ms, s.P99Ms)
	}
	return r
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// stream calls fn at the arrival times of a Poisson process. The latency of a call that starts late still counts from its
// scheduled time.
func (o *Options) stream(ctx context.Context, id uint64, fn sendFunc, rec *recorder) {
	random := rand.New(rand.NewPCG(o.Seed, id))
	var calls sync.WaitGroup
	defer calls.Wait()
	due := time.Now()
	end := due.Add(o.Duration)
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		if due.After(end) || clock.Sleep(ctx, time.Until(due)) != nil {
			return
		}
		scheduledAt := due
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.Timeout)
			defer cancel()
			rec.add(fn(ctx), time.Since(scheduledAt))
		})
	}
}

func (o *Options) entrySender() sendFunc {
	if o.Gateways != nil {
		return newGatewayCaller(o).send
	}
	client := caller.New(caller.Options{Entries: o.Entries, Origin: o.Origin, Timeout: o.Timeout})
	return func(ctx context.Context) bool {
		resp, err := client.Do(ctx, o.Service, o.Method, o.Path, o.body(), caller.CallOptions{Header: o.Header})
		if err != nil {
			return false
		}
		return readComplete(resp.Status, resp.Body)
	}
}

func (o *Options) directSender() sendFunc {
	client := newClient()
	return func(ctx context.Context) bool {
		req, err := o.request(ctx, o.Direct)
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		return readComplete(resp.StatusCode, resp.Body)
	}
}

// newClient returns a client that keeps enough idle connections per address for the load.
func newClient() *http.Client {
	const idle = 256 // connections
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}
}

// request builds a request to address (host:port).
func (o *Options) request(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, o.Method, "http://"+address+o.Path, o.body())
	if err != nil {
		return nil, err
	}
	for name, values := range o.Header {
		req.Header[name] = values
	}
	return req, nil
}

func (o *Options) body() io.Reader {
	if o.Body == "" {
		return nil
	}
	return strings.NewReader(o.Body)
}

func readComplete(status int, body io.ReadCloser) bool {
	_, err := io.Copy(io.Discard, body)
	_ = body.Close()
	return err == nil && status == http.StatusOK
}

// recorder collects the latencies of the successful requests of one stream.
type recorder struct {
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram // microseconds
	requests  int
	succeeded int
}

func (r *recorder) init() {
	const maxMicros, digits = int64(time.Minute / time.Microsecond), 3
	r.latency = hdrhistogram.New(1, maxMicros, digits)
}

func (r *recorder) add(succeeded bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if succeeded {
		r.succeeded++
		_ = r.latency.RecordValue(took.Microseconds())
	}
}

func (r *recorder) series() Series {
	return Series{
		Requests: r.requests, Done: r.succeeded, Failed: r.requests - r.succeeded,
		P50Ms: r.quantileMs(50), P99Ms: r.quantileMs(99), P999Ms: r.quantileMs(99.9), MaxMs: r.quantileMs(100),
	}
}

func (r *recorder) quantileMs(percent float64) float64 {
	const microsPerMs = 1000
	return float64(r.latency.ValueAtQuantile(percent)) / microsPerMs
}
