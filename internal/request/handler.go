package request

import (
	"net/http"
	"sync/atomic"

	"go.opentelemetry.io/otel/propagation"

	"github.com/azureflow/azureflow/internal/review"
)

// Handler serves the requests of callers under /SERVICE/... It is safe for concurrent use.
type Handler struct {
	opts      HandlerOptions
	routes    routeCache
	queue     *Queue
	stop      stopper
	silences  silences
	arrivals  arrivals
	sequence  atomic.Uint64
	entry     string // NAME/INCARNATION
	gated     bool   // attempts can be counted and sealed, see gatedConn
	propagate propagation.TraceContext
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a Handler.
func NewHandler(opts HandlerOptions) *Handler {
	opts.setDefaults()
	h := &Handler{
		opts:  opts,
		entry: entryName(opts.Self.Name, opts.Self.Incarnation),
		queue: NewQueue(opts.Placer, QueueOptions{
			Length:      opts.Limits.QueuePerService,
			CallerLimit: opts.Limits.InFlightPerCaller,
			Policy:      opts.Policy,
		}),
	}
	_, h.gated = opts.Transport.(*Transport)
	h.silences.idle, _ = opts.Transport.(interface{ CloseIdleConnections() })
	h.stop.drained = make(chan struct{})
	return h
}

// Queue returns the admission queue, for measurements of its length.
func (h *Handler) Queue() *Queue { return h.queue }

// Journal returns the journal that answers the questions of other entry VMs.
func (h *Handler) Journal() *Journal { return h.opts.Journal }

// ServeHTTP implements http.Handler. It aborts the connection if an answer was cut off.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.stop.enter()
	defer h.stop.leave()
	x := newExchange(h, w, r)
	if !x.serve() {
		panic(http.ErrAbortHandler)
	}
}

// record hands a record to the recorder.
func (h *Handler) record(r *review.Record) {
	r.VM = h.opts.Self.Name
	r.Incarnation = h.opts.Self.Incarnation
	h.opts.Recorder.Record(r)
}
