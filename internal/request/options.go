package request

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Defaults of HandlerOptions.
const (
	defaultStopLinger   = 2 * time.Second
	defaultPeerTimeout  = 500 * time.Millisecond
	defaultMaxAttempts  = 3
	defaultDeadline     = 10 * time.Second
	defaultMinRemaining = time.Millisecond
)

// Identity identifies this entry VM.
type Identity struct {
	Name        vm.Name
	Incarnation vm.Incarnation
	Region      steering.RegionName
	Zone        steering.ZoneName
}

// PeerCaller calls other entry VMs by name. Both calls return an error if the peer did not respond.
type PeerCaller interface {
	// PromiseNotSent requests a promise from entry, see peer.DRPCPeerServer.
	PromiseNotSent(ctx context.Context, entry vm.Name, req *peer.PromiseRequest) (*peer.PromiseReply, error)
	// ClaimKey claims a key at an owner entry VM.
	ClaimKey(ctx context.Context, entry vm.Name, req *peer.ClaimRequest) (*peer.ClaimReply, error)
	// EntryVMs returns the live entry VMs of a region, including this one if it is in the region.
	EntryVMs(region steering.RegionName) []vm.Name
}

// Pacer limits the rate of bodies on links between regions.
type Pacer interface {
	// Body returns a reader of body that is limited to the rate of the link from one region to another.
	Body(ctx context.Context, from, to steering.RegionName, class steering.Class, body io.Reader) io.Reader
}

// Metrics records events of requests. Calls must not block.
type Metrics interface {
	RequestDone(m *RequestMetric)
	AttemptDone(m *AttemptMetric)
	// RecordQueueWait records how long an admitted request waited in the queue.
	RecordQueueWait(service steering.ServiceName, class steering.Class, wait time.Duration)
}

// RequestMetric describes a finished request.
type RequestMetric struct {
	Service    steering.ServiceName
	Operation  steering.OperationName
	Class      steering.Class
	Outcome    Outcome
	Status     int
	Constraint review.Constraint // what limited a refused request
	Took       time.Duration
	Attempts   int
}

// AttemptMetric describes a finished attempt.
type AttemptMetric struct {
	Service   steering.ServiceName
	Server    vm.Name
	Region    steering.RegionName
	Failure   Failure
	Extra     bool // a retry or hedge
	Hedge     bool
	FirstByte time.Duration
	Took      time.Duration
}

// HandlerOptions configure NewHandler. Config, Placer and Recorder are required.
type HandlerOptions struct {
	Config    func() *steering.Configuration // returns the configuration in force; nil while there is none
	Placer    Placer
	Recorder  review.Recorder
	Self      Identity
	Transport http.RoundTripper // by default NewTransport
	Journal   *Journal          // by default a new journal
	Peers     PeerCaller        // nil if no other entry VM is known
	Limits    steering.LimitSettings
	Policy    QueuePolicy // of admission
	Metrics   Metrics
	Tracer    trace.Tracer
	Pacer     Pacer
	// StopLinger is how long no request must have arrived before a planned stop may end. Until then callers that have
	// the address from an earlier lookup are served and told to use another entry VM, for at most half of
	// Limits.DrainTimeout. The connection of a later caller is refused, which proves that its request did not run.
	StopLinger time.Duration
	// PeerTimeout limits a call to another entry VM.
	PeerTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
}

func (o *HandlerOptions) setDefaults() {
	if o.Limits.SilentAfter <= 0 {
		o.Limits.SilentAfter = steering.Duration(defaultSilentAfter)
	}
	if o.Transport == nil {
		o.Transport = NewTransport(TransportOptions{
			ConnsPerServer: o.Limits.ConnsPerServer,
			SilentAfter:    o.Limits.SilentAfter.Std(),
		})
	}
	if o.Journal == nil {
		o.Journal = NewJournal(JournalOptions{Self: o.Self.Name, Incarnation: o.Self.Incarnation})
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.StopLinger <= 0 {
		o.StopLinger = defaultStopLinger
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = defaultPeerTimeout
	}
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
}

// noMetrics is a Metrics that discards everything.
type noMetrics struct{}

func (noMetrics) RequestDone(*RequestMetric)                                          {}
func (noMetrics) AttemptDone(*AttemptMetric)                                          {}
func (noMetrics) RecordQueueWait(steering.ServiceName, steering.Class, time.Duration) {}
