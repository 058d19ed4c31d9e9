// Package standin holds small stand-ins for what surrounds azureflow: the upstream servers of a
// service and the platform. They run in tests, in the demo and as processes of their own.
package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
)

// UpstreamOptions configure an Upstream. Zero fields take the defaults of withDefaults.
type UpstreamOptions struct {
	Name    string
	Service steering.ServiceName
	Region  steering.RegionName
	Zone    steering.ZoneName
	Slots   int    // requests served at a time
	Queue   int    // requests that may wait for a slot before one is shed; negative: none
	Seed    uint64 // of the service times and of the faults that hit a share of the requests

	LookupTime  time.Duration // median service time of GET and HEAD
	StampTime   time.Duration // median service time of a short write
	UploadTime  time.Duration // median service time of a long write, besides reading its body
	UploadBytes int64         // a write with at least as long a body, or of unknown length, is long
	Spread      float64       // sigma of the log-normal service time; negative: constant
	AnswerBytes int           // length of an answer's body

	ColdFactor   float64       // service time of the first request as a multiple of the warm one
	ColdFor      time.Duration // how long the server takes to warm up
	ColdRequests int           // how many requests warm it up; the slower of both counts

	ReportLag  time.Duration // age of what load reports say
	HealthLag  time.Duration // time until the health endpoint admits a drain
	LedgerRuns int           // runs kept in the ledger; older ones are dropped and counted
}

func (o UpstreamOptions) withDefaults() UpstreamOptions {
	setDefault(&o.Slots, 5)
	setDefault(&o.Queue, 2*o.Slots)
	setDefault(&o.LookupTime, 8*time.Millisecond)
	setDefault(&o.StampTime, 15*time.Millisecond)
	setDefault(&o.UploadTime, 200*time.Millisecond)
	setDefault(&o.UploadBytes, 64<<10)
	setDefault(&o.Spread, 0.4)
	setDefault(&o.AnswerBytes, 512)
	setDefault(&o.ColdFactor, 1)
	setDefault(&o.LedgerRuns, 200_000)
	o.Queue = max(o.Queue, 0)
	o.Spread = max(o.Spread, 0)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Upstream is one server of a service. It is safe for concurrent use.
type Upstream struct {
	options UpstreamOptions
	slots   chan struct{} // holds one token for each free slot
	queued  atomic.Int64
	running atomic.Int64
	served  atomic.Int64 // requests started since the last restart
	started atomic.Int64 // Unix nanoseconds of the last restart

	drainedAt atomic.Int64 // Unix nanoseconds; 0: not draining
	reports   reportHistory
	faults    faultState
	ledger    ledger
	conns     connTable
	crossed   atomic.Pointer[answer]

	mu  sync.Mutex
	rng *rand.Rand
}

// NewUpstream returns a server that is not listening yet; see Handler.
func NewUpstream(options UpstreamOptions) *Upstream {
	o := options.withDefaults()
	u := &Upstream{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		rng:     rand.New(rand.NewPCG(o.Seed, 0x5eed)),
	}
	for range o.Slots {
		u.slots <- struct{}{}
	}
	u.ledger.limit = o.LedgerRuns
	u.conns.seen = make(map[string]time.Time)
	u.started.Store(time.Now().UnixNano())
	return u
}

// Handler serves the control endpoints and, on any other path, requests.
//
//	GET    /load     the load report, as JSON
//	GET    /healthz  200, or 503 while draining
//	POST   /drain    begins a drain; DELETE ends it
//	GET    /faults   the faults in force, as JSON; PUT sets them, DELETE clears them
//	GET    /ledger   what really ran, as JSON; ?key=K for one idempotency key; DELETE clears it
//	POST   /restart  makes the server cold again and ends a drain
func (u *Upstream) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/load", u.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/healthz", u.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/drain", u.serveDrain).Methods(http.MethodPost, http.MethodDelete)
	r.HandleFunc("/faults", u.serveFaults).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	r.HandleFunc("/ledger", u.serveLedger).Methods(http.MethodGet, http.MethodDelete)
	r.HandleFunc("/restart", u.serveRestart).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(u.serveRequest)
	r.MethodNotAllowedHandler = r.NotFoundHandler
	r.SkipClean(true)
	return r
}

// SetDraining begins or ends a drain. A draining server still runs what it is sent and says in
// its ledger that it came after the drain.
func (u *Upstream) SetDraining(draining bool) {
	if !draining {
		u.drainedAt.Store(0)
		return
	}
	u.drainedAt.CompareAndSwap(0, time.Now().UnixNano())
}

// Restart makes the server cold again and ends a drain. Its ledger stays.
func (u *Upstream) Restart() {
	u.served.Store(0)
	u.started.Store(time.Now().UnixNano())
	u.drainedAt.Store(0)
}

// Load returns the true load at this moment.
func (u *Upstream) Load() request.UpstreamLoad {
	return request.UpstreamLoad{
		InFlight: int(u.running.Load()),
		Queued:   int(u.queued.Load()),
		Slots:    u.options.Slots,
		Draining: u.drainedAt.Load() != 0,
	}
}

// Ledger returns what really ran so far.
func (u *Upstream) Ledger() Ledger { return u.ledger.snapshot() }

// SetFaults replaces the faults in force. A silent fault hits the connections open now.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.faults.set(f, u.conns.open(), time.Now())
}

// acquire waits for a slot. It returns false if the queue is full or ctx ended first.
func (u *Upstream) acquire(ctx context.Context) bool {
	select {
	case <-u.slots:
		u.setRunning(1)
		return true
	default:
	}
	if u.queued.Add(1) > int64(u.options.Queue) {
		u.queued.Add(-1)
		return false
	}
	defer u.queued.Add(-1)
	select {
	case <-u.slots:
		u.setRunning(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) release() {
	u.setRunning(-1)
	u.slots <- struct{}{}
}

func (u *Upstream) setRunning(delta int64) {
	u.running.Add(delta)
	u.reports.add(time.Now(), u.Load(), u.options.ReportLag)
}

// random returns a number in [0, 1).
func (u *Upstream) random() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64()
}

func (u *Upstream) normal() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.NormFloat64()
}
