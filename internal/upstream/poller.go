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

// Source reads a server's load and health endpoints. An error that matches *UnresponsiveEndpointError means that the
// server was reached.
type Source interface {
	// Load returns the load that the server reports.
	Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error)
	// Draining reports whether the server announces that it is leaving.
	Draining(ctx context.Context, server vm.VM) (bool, error)
}

// PollerOptions configures a Poller. Zero fields get the defaults of NewPoller.
type PollerOptions struct {
	// Pools returns the pools whose servers are polled.
	Pools  func() []*Pool
	Source Source
	// Interval is the time between two polls of a server, as far as PerSecond allows it.
	Interval time.Duration
	// PerSecond is the maximum rate of polls over all servers.
	PerSecond float64
	// LoadEvery is the number of rounds after which the load endpoint is polled too. Responses carry the load as
	// well, and the polled load is needed only to detect drains.
	LoadEvery int
	// Timeout is the time limit of one poll.
	Timeout time.Duration
	// Concurrent is the maximum number of polls in progress.
	Concurrent int
}

// Poller polls the servers of its pools in turn, with jitter, within a maximum rate. The results of requests take
// precedence over what a server's endpoints report. A poll also shows that the server is reachable: a server that
// neither a poll nor a request reached for minContactTTL, or for contactTTLRounds rounds of polls if these take longer,
// gets no new requests; see Pool.RecordPoll.
type Poller struct {
	options PollerOptions
	running chan struct{}
}

// NewPoller returns a poller. By default it polls each server once a second, at most 50 polls a second in all and 32
// at a time, with a time limit of 500 ms each, and reads the load in every fifth round.
func NewPoller(o PollerOptions) *Poller {
	setDefault(&o.Interval, time.Second)
	setDefault(&o.PerSecond, 50)
	setDefault(&o.LoadEvery, 5)
	setDefault(&o.Timeout, 500*time.Millisecond)
	setDefault(&o.Concurrent, 32)
	return &Poller{options: o, running: make(chan struct{}, o.Concurrent)}
}

const (
	minContactTTL    = 2200 * time.Millisecond // a contact with a server is valid for at least this long
	contactTTLRounds = 2.5                     // rounds of polls
)

// target is a server to poll and the pool that gets the result.
type target struct {
	pool       *Pool
	server     vm.VM
	load       bool          // poll the load endpoint as well
	contactTTL time.Duration // how long a contact with the server is valid
}

// Run polls until ctx ends and returns once no poll is in progress.
func (p *Poller) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		targets := p.targets()
		if len(targets) == 0 {
			_ = clock.Sleep(ctx, p.options.Interval)
			continue
		}
		gap := p.meanPollInterval(len(targets))
		contactTTL := max(minContactTTL, time.Duration(contactTTLRounds*float64(len(targets))*float64(gap)))
		for _, t := range targets {
			if clock.Sleep(ctx, jitter(gap)) != nil {
				break
			}
			t.contactTTL = contactTTL
			t.load = round%p.options.LoadEvery == 0
			p.startPoll(ctx, t)
		}
	}
	for range cap(p.running) {
		p.running <- struct{}{}
	}
}

// meanPollInterval returns the mean time between two polls over all servers.
func (p *Poller) meanPollInterval(servers int) time.Duration {
	minInterval := time.Duration(float64(time.Second) / p.options.PerSecond)
	return max(p.options.Interval/time.Duration(servers), minInterval)
}

// targets returns the servers of all pools sorted by name. Each is polled once a round.
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

// startPoll polls t in the background. The poll is skipped if Concurrent polls are in progress.
func (p *Poller) startPoll(ctx context.Context, t target) {
	select {
	case p.running <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.running }()
		bounded, cancel := context.WithTimeout(ctx, p.options.Timeout)
		defer cancel()
		p.pollServer(bounded, t)
	}()
}

func (p *Poller) pollServer(ctx context.Context, t target) {
	startedAt := time.Now()
	draining, err := p.options.Source.Draining(ctx, t.server)
	t.pool.RecordPoll(t.server.Name, startedAt, t.contactTTL, wasReached(err))
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

// wasReached reports whether a poll that ended with err reached its server.
func wasReached(err error) bool {
	var unresponsive *UnresponsiveEndpointError
	return err == nil || errors.As(err, &unresponsive)
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// HTTPSource is a Source that reads the endpoints over HTTP.
type HTTPSource struct {
	Client     *http.Client // nil: http.DefaultClient
	LoadPath   string       // "": /load
	HealthPath string       // "": /healthz
}

// EndpointError reports an endpoint that responded with an unexpected status.
type EndpointError struct {
	Server vm.Name
	Path   string
	Status int
}

// Error implements error.
func (e *EndpointError) Error() string {
	return fmt.Sprintf("server %s: %s responded with status %d, expected 200", e.Server, e.Path, e.Status)
}

// UnresponsiveEndpointError reports an endpoint that did not respond on a newly established connection: its server is
// reachable.
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

// maxBodyBytes is the maximum number of bytes read from the body of a response.
const maxBodyBytes = 64 << 10

// Load implements Source.
func (h *HTTPSource) Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error) {
	path := h.LoadPath
	setDefault(&path, "/load")
	resp, err := h.get(ctx, server, path)
	if err != nil {
		return request.UpstreamLoad{}, err
	}
	defer h.discardBody(resp)
	if resp.StatusCode != http.StatusOK {
		return request.UpstreamLoad{}, &EndpointError{Server: server.Name, Path: path, Status: resp.StatusCode}
	}
	var body loadBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&body); err != nil {
		return request.UpstreamLoad{}, err
	}
	return request.UpstreamLoad(body), nil
}

// Draining implements Source: the status 503 announces a drain.
func (h *HTTPSource) Draining(ctx context.Context, server vm.VM) (bool, error) {
	path := h.HealthPath
	setDefault(&path, "/healthz")
	resp, err := h.get(ctx, server, path)
	if err != nil {
		return false, err
	}
	defer h.discardBody(resp)
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

// discardBody reads the rest of a body so that the connection can be reused.
func (h *HTTPSource) discardBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	_ = resp.Body.Close()
}
