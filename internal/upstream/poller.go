package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/vm"
)

// Source reads a server's load and health endpoints. An error that matches *SilentEndpointError comes from
// a server that was reached.
type Source interface {
	// Load returns the server's report of its load.
	Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error)
	// Draining reports whether the server says that it leaves.
	Draining(ctx context.Context, server vm.VM) (bool, error)
}

// PollerOptions configure a Poller. Zero fields take the defaults of NewPoller.
type PollerOptions struct {
	// Pools returns the pools whose servers are polled.
	Pools  func() []*Pool
	Source Source
	// Interval is the time between two polls of a server, while PerSecond allows it.
	Interval time.Duration
	// PerSecond bounds the polls of this VM over all servers.
	PerSecond float64
	// LoadEvery is the number of rounds after which the load endpoint is polled too. Answers
	// carry the load as well, and it decides nothing but drains.
	LoadEvery int
	// Timeout bounds one poll.
	Timeout time.Duration
	// Concurrent bounds the polls under way.
	Concurrent int
}

// Poller polls the servers of some pools in turn, with jitter, within a budget. What requests show of a
// server goes before what its endpoints say. A poll tells one thing more: that the server could be reached.
// A server that neither a poll nor a request reached for sightLimit, or for sightRounds rounds of polls if
// these take longer, gets no new work; see Pool.Polled.
type Poller struct {
	options PollerOptions
	running chan struct{}
}

// NewPoller returns a poller; by default one poll of each server a second, 50 a second in all,
// 32 under way, each within 500 ms, with the load in each fifth round.
func NewPoller(o PollerOptions) *Poller {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.PerSecond, 50)
	setDefault(&o.LoadEvery, 5)
	setDefault(&o.Timeout, 500*time.Millisecond)
	setDefault(&o.Concurrent, 32)
	return &Poller{options: o, running: make(chan struct{}, o.Concurrent)}
}

const (
	sightLimit  = 2200 * time.Millisecond // a sign of a server counts for at least this long
	sightRounds = 2.5                     // rounds of polls
)

// target is a server to poll and the pool that learns from it.
type target struct {
	pool   *Pool
	server vm.VM
	load   bool          // poll the load endpoint as well
	sight  time.Duration // how long a sign of the server counts
}

// Run polls until ctx ends and returns once no poll is under way.
func (p *Poller) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		targets := p.targets()
		if len(targets) == 0 {
			_ = clock.Sleep(ctx, p.options.Interval)
			continue
		}
		gap := p.gap(len(targets))
		sight := max(sightLimit, time.Duration(sightRounds*float64(len(targets))*float64(gap)))
		for _, t := range targets {
			if clock.Sleep(ctx, jitter(gap)) != nil {
				break
			}
			t.sight = sight
			t.load = round%p.options.LoadEvery == 0
			p.start(ctx, t)
		}
	}
	for range cap(p.running) {
		p.running <- struct{}{}
	}
}

// gap returns the mean time between two polls.
func (p *Poller) gap(servers int) time.Duration {
	least := time.Duration(float64(time.Second) / p.options.PerSecond)
	return max(p.options.Interval/time.Duration(servers), least)
}

// targets lists the servers of all pools by name, so that each is polled once a round.
func (p *Poller) targets() []target {
	var list []target
	for _, pool := range p.options.Pools() {
		for _, s := range pool.snapshot.Load().servers {
			list = append(list, target{pool: pool, server: s.vm})
		}
	}
	slices.SortFunc(list, func(a, b target) int { return strings.Compare(string(a.server.Name), string(b.server.Name)) })
	return list
}

// start polls t in the background; a poll for which there is no room is left out.
func (p *Poller) start(ctx context.Context, t target) {
	select {
	case p.running <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.running }()
		bounded, cancel := context.WithTimeout(ctx, p.options.Timeout)
		defer cancel()
		p.poll(bounded, t)
	}()
}

func (p *Poller) poll(ctx context.Context, t target) {
	began := time.Now()
	draining, err := p.options.Source.Draining(ctx, t.server)
	t.pool.RecordPoll(t.server.Name, began, t.sight, reached(err))
	if err == nil && draining {
		t.pool.MarkDraining(t.server.Name, time.Now())
	}
	if !t.load {
		return
	}
	load, err := p.options.Source.Load(ctx, t.server)
	if err == nil {
		t.pool.RecordLoadReport(t.server.Name, load, time.Now())
	}
}

// reached reports whether a poll that ended with err reached its server.
func reached(err error) bool {
	var silent *UnresponsiveEndpointError
	return err == nil || errors.As(err, &silent)
}

// jitter returns a time between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// HTTPSource reads the endpoints over HTTP.
type HTTPSource struct {
	Client     *http.Client // nil: http.DefaultClient
	LoadPath   string       // "": /load
	HealthPath string       // "": /healthz
}

// EndpointError reports an endpoint that answered with a status it should not have.
type EndpointError struct {
	Server vm.Name
	Path   string
	Status int
}

// Error implements error.
func (e *EndpointError) Error() string {
	return fmt.Sprintf("server %s: %s answered %d", e.Server, e.Path, e.Status)
}

// UnresponsiveEndpointError reports an endpoint that did not answer on a connection that was just made: its
// server is within reach.
type UnresponsiveEndpointError struct {
	Server vm.Name
	Path   string
	Cause  error
}

// Error implements error.
func (e *UnresponsiveEndpointError) Error() string {
	return "server " + string(e.Server) + ": " + e.Path + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnresponsiveEndpointError) Unwrap() error { return e.Cause }

// loadBody is the JSON body of the load endpoint.
type loadBody struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// bodyLimit bounds what is read of an endpoint's body, bytes.
const bodyLimit = 64 << 10

// Load implements Source.
func (h *HTTPSource) Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error) {
	path := h.LoadPath
	setDefault(&path, "/load")
	resp, err := h.get(ctx, server, path)
	if err != nil {
		return request.UpstreamLoad{}, err
	}
	defer h.finish(resp)
	if resp.StatusCode != http.StatusOK {
		return request.UpstreamLoad{}, &EndpointError{Server: server.Name, Path: path, Status: resp.StatusCode}
	}
	var body loadBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, bodyLimit)).Decode(&body); err != nil {
		return request.UpstreamLoad{}, err
	}
	return request.UpstreamLoad(body), nil
}

// Draining implements Source: the status 503 is the sign of a drain.
func (h *HTTPSource) Draining(ctx context.Context, server vm.VM) (bool, error) {
	path := h.HealthPath
	setDefault(&path, "/healthz")
	resp, err := h.get(ctx, server, path)
	if err != nil {
		return false, err
	}
	defer h.finish(resp)
	return resp.StatusCode == http.StatusServiceUnavailable, nil
}

func (h *HTTPSource) get(ctx context.Context, server vm.VM, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, nil)
	if err != nil {
		return nil, err
	}
	client := h.Client
	setDefault(&client, http.DefaultClient)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected.Store(!info.Reused) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && connected.Load() {
		return nil, &UnresponsiveEndpointError{Server: server.Name, Path: path, Cause: err}
	}
	return resp, err
}

// finish reads the rest of a body so that the connection can be used again.
func (h *HTTPSource) finish(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, bodyLimit))
	_ = resp.Body.Close()
}
