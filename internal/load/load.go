// Package load sends open-loop load through entry VMs and, in the same run, directly to an upstream,
// and compares both.
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
	Entries  []string  // host:port of entry VMs that answer lookups
	Gateways *Gateways // entry VMs on the users' platform, in place of Entries and Service
	Direct   string    // host:port of an upstream; empty: no direct calls
	Origin   string
	Service  string
	Method   string
	Path     string // below the service; the whole path with Gateways
	Body     string
	Header   http.Header
	Rate     float64       // requests a second through entry VMs, and as many directly
	Duration time.Duration // of sending
	Timeout  time.Duration // of one request
	Seed     uint64        // of the moments of sending
}

// Result is what a run measured.
type Result struct {
	Entry  Series  `json:"entry"`
	Direct *Series `json:"direct,omitempty"`
	// Ratios are those of the entry's quantiles to the direct ones; 0 without direct calls.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
}

// Series sums up the requests of one kind.
type Series struct {
	Requests int     `json:"requests"`
	Done     int     `json:"done"`
	Failed   int     `json:"failed"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	P999Ms   float64 `json:"p999_ms"`
	MaxMs    float64 `json:"max_ms"`
}

// send sends one request and reports whether the whole answer came.
type send func(ctx context.Context) bool

// Run sends both streams at random moments and waits for the answers.
func Run(ctx context.Context, o Options) *Result {
	var entry, direct recorder
	entry.init()
	direct.init()
	var streams sync.WaitGroup
	streams.Go(func() { o.stream(ctx, 1, o.throughEntry(), &entry) })
	if o.Direct != "" {
		streams.Go(func() { o.stream(ctx, 2, o.directly(), &direct) })
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

// stream calls fn at the moments of a Poisson process. A late moment still counts from when it was due.
func (o *Options) stream(ctx context.Context, id uint64, fn send, rec *recorder) {
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
		began := due
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.Timeout)
			defer cancel()
			rec.add(fn(ctx), time.Since(began))
		})
	}
}

func (o *Options) throughEntry() send {
	if o.Gateways != nil {
		return newGatewayCaller(o).send
	}
	client := caller.New(caller.Options{Entries: o.Entries, Origin: o.Origin, Timeout: o.Timeout})
	return func(ctx context.Context) bool {
		answer, err := client.Do(ctx, o.Service, o.Method, o.Path, o.body(), caller.CallOptions{Header: o.Header})
		if err != nil {
			return false
		}
		return whole(answer.Status, answer.Body)
	}
}

func (o *Options) directly() send {
	client := newClient()
	return func(ctx context.Context) bool {
		req, err := o.request(ctx, o.Direct)
		if err != nil {
			return false
		}
		answer, err := client.Do(req)
		if err != nil {
			return false
		}
		return whole(answer.StatusCode, answer.Body)
	}
}

// newClient returns a client that keeps as many connections to an address as a load needs.
func newClient() *http.Client {
	const idle = 256 // connections
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}
}

// request builds a request to address, host:port.
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

func whole(status int, body io.ReadCloser) bool {
	_, err := io.Copy(io.Discard, body)
	_ = body.Close()
	return err == nil && status == http.StatusOK
}

// recorder collects the latencies of one stream.
type recorder struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // microseconds
	requests int
	done     int
}

func (r *recorder) init() {
	const longest, digits = int64(time.Minute / time.Microsecond), 3
	r.latency = hdrhistogram.New(1, longest, digits)
}

func (r *recorder) add(done bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if done {
		r.done++
		_ = r.latency.RecordValue(took.Microseconds())
	}
}

func (r *recorder) series() Series {
	return Series{
		Requests: r.requests, Done: r.done, Failed: r.requests - r.done,
		P50Ms: r.quantileMs(50), P99Ms: r.quantileMs(99), P999Ms: r.quantileMs(99.9), MaxMs: r.quantileMs(100),
	}
}

func (r *recorder) quantileMs(percent float64) float64 {
	const microsPerMs = 1000
	return float64(r.latency.ValueAtQuantile(percent)) / microsPerMs
}
