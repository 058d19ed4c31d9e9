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

// Identity says which entry VM this is.
type Identity struct {
	Name        vm.Name
	Incarnation vm.Incarnation
	Region      steering.RegionName
	Zone        steering.ZoneName
}

// PeerCaller calls other entry VMs by name. Both calls return an error if the peer did not answer.
type PeerCaller interface {
	// PromiseNotSent asks entry for its promise, see peer.DRPCPeerServer.
	PromiseNotSent(ctx context.Context, entry vm.Name, req *peer.PromiseRequest) (*peer.PromiseReply, error)
	// ClaimKey claims a key at its home entry VM.
	ClaimKey(ctx context.Context, entry vm.Name, req *peer.ClaimRequest) (*peer.ClaimReply, error)
	// EntryVMs returns the live entry VMs of a region, this one included if it is there.
	EntryVMs(region steering.RegionName) []vm.Name
}

// Pacer slows bodies on links between regions.
type Pacer interface {
	// Body returns body read at the pace of the link from one region to another.
	Body(ctx context.Context, from, to steering.RegionName, class steering.Class, body io.Reader) io.Reader
}

// Metrics are told of what happens. Calls must not block.
type Metrics interface {
	RequestDone(m *RequestMetric)
	AttemptDone(m *AttemptMetric)
	// RecordQueueWait tells how long an admitted request waited.
	RecordQueueWait(service steering.ServiceName, class steering.Class, wait time.Duration)
}

// RequestMetric describes a finished request.
type RequestMetric struct {
	Service    steering.ServiceName
	Operation  steering.OperationName
	Class      steering.Class
	Outcome    Outcome
	Status     int
	Constraint review.Constraint // what bound a refusal
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
	Config    func() *steering.Configuration // in force; nil while there is none
	Placer    Placer
	Recorder  review.Recorder
	Self      Identity
	Transport http.RoundTripper // by default NewTransport
	Journal   *Journal          // by default a new one
	Peers     PeerCaller        // nil: no other entry VM is known
	Limits    steering.LimitSettings
	Policy    QueuePolicy // of admission
	Metrics   Metrics
	Tracer    trace.Tracer
	Pacer     Pacer
	// StopLinger is how long no request must have come before a planned stop may end. Callers that have the
	// address from an earlier lookup are served and told to leave, for at most half of Limits.DrainTimeout;
	// one that comes later is refused the connection, which proves that its request did not run.
	StopLinger time.Duration
	// PeerTimeout bounds a question to another entry VM.
	PeerTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
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

// noMetrics drops everything.
type noMetrics struct{}

func (noMetrics) RequestDone(*RequestMetric)                                          {}
func (noMetrics) AttemptDone(*AttemptMetric)                                          {}
func (noMetrics) RecordQueueWait(steering.ServiceName, steering.Class, time.Duration) {}
