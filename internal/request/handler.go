package request

import (
	"net/http"
	"sync/atomic"

	"go.opentelemetry.io/otel/propagation"

	"github.com/azureflow/azureflow/internal/review"
)

// Handler serves the requests of callers under /SERVICE/... It is safe for concurrent use.
type Handler struct {
	opts         HandlerOptions
	routes       routeCache
	queue        *Queue
	stop         stopper
	unresponsive unresponsiveDetector
	callArrivals arrivals
	sequence     atomic.Uint64
	entryID      string // NAME/INCARNATION
	sealable     bool   // the bytes of attempts are counted and connections can be sealed, see sealableConn
	propagate    propagation.TraceContext
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a Handler.
func NewHandler(opts HandlerOptions) *Handler {
	opts.setDefaults()
	h := &Handler{
		opts:    opts,
		entryID: entryName(opts.Self.Name, opts.Self.Incarnation),
		queue: NewQueue(opts.Placer, QueueOptions{
			Length:      opts.Limits.QueuePerService,
			CallerLimit: opts.Limits.InFlightPerCaller,
			Policy:      opts.Policy,
		}),
	}
	_, h.sealable = opts.Transport.(*Transport)
	h.unresponsive.idleCloser, _ = opts.Transport.(interface{ CloseIdleConnections() })
	h.stop.drained = make(chan struct{})
	return h
}

// Queue returns the admission queue, so that its length can be measured.
func (h *Handler) Queue() *Queue { return h.queue }

// Journal returns the journal that serves the key queries of other entry VMs.
func (h *Handler) Journal() *Journal { return h.opts.Journal }

// ServeHTTP implements http.Handler. It aborts the connection if a response was truncated.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.stop.requestStarted()
	defer h.stop.requestEnded()
	x := newExchange(h, w, r)
	if !x.serve() {
		panic(http.ErrAbortHandler)
	}
}

// record adds the identity of this entry VM to r and passes it to the recorder.
func (h *Handler) record(r *review.Record) {
	r.VM = h.opts.Self.Name
	r.Incarnation = h.opts.Self.Incarnation
	h.opts.Recorder.Record(r)
}
