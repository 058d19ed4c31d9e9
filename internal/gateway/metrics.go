package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/azureflow/azureflow/internal/forward"
)

// Metrics counts the requests and attempts of an entry VM and its calls to the store and to peers.
type Metrics struct {
	requests        *prometheus.CounterVec
	requestSeconds  *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	trials          *prometheus.CounterVec
	coldAttempts    *prometheus.CounterVec
	notices         *prometheus.CounterVec
	waits           *prometheus.HistogramVec
	unadmitted      *prometheus.CounterVec
	ignoredEntries  prometheus.Counter
	outdatedEntries prometheus.Counter
	closures        *prometheus.CounterVec

	storeCalls       *prometheus.CounterVec
	storeCallSeconds *prometheus.HistogramVec
	peerCalls        *prometheus.CounterVec
}

// NewMetrics registers the metrics with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	auto := promauto.With(registerer)
	return &Metrics{
		requests: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_requests_total", Help: "Requests by how they ended.",
		}, []string{"service", "kind", "outcome"}),
		requestSeconds: auto.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "azureflow", Name: "gateway_request_duration_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5, 10},
		}, []string{"service", "kind"}),
		attempts: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_sendings_total", Help: "Sendings to servers by how they ended.",
		}, []string{"service", "region", "outcome"}),
		refusals: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_refusals_total",
			Help: "Requests refused before any sending, by reason; for want of room also by what that rests on.",
		}, []string{"service", "reason", "basis"}),
		trials: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_trials_total",
			Help: "Sendings against an estimate for which there is no recent evidence, by how they ended.",
		}, []string{"service", "outcome"}),
		coldAttempts: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_cold_sendings_total", Help: "Sendings to cold servers by how they ended.",
		}, []string{"service", "outcome"}),
		notices: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_server_notices_total",
			Help: "Responses in which a server started to leave, or asked for a pause.",
		}, []string{"service", "notice"}),
		waits: auto.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "azureflow", Name: "gateway_admission_wait_seconds",
			Help:    "Time that requests without room waited at this VM, by whether they were sent to a server then.",
			Buckets: []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1},
		}, []string{"service", "outcome"}),
		unadmitted: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_admission_refusals_total",
			Help: "Requests refused while requests without room are ordered, by reason and priority; displaced: for another request.",
		}, []string{"service", "reason", "priority"}),
		ignoredEntries: auto.NewCounter(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_ignored_entries_total",
			Help: "Versions of entries among those of the servers that describe no usable server.",
		}),
		outdatedEntries: auto.NewCounter(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_outdated_entries_total",
			Help: "Entries of servers that the store wrote after later ones of the same server, or after its removal.",
		}),
		closures: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_caller_closures_total",
			Help: "Connections of callers that were closed, and requests that were refused, to protect the VM, by reason.",
		}, []string{"reason"}),
		storeCalls: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_store_calls_total", Help: "Calls of the platform's store.",
		}, []string{"call", "outcome"}),
		storeCallSeconds: auto.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "azureflow", Name: "gateway_store_call_duration_seconds",
			Help:    "Time that a call of the platform's store took; a watch waits for a change.",
			Buckets: []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10},
		}, []string{"call"}),
		peerCalls: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_peer_calls_total", Help: "Calls of other entry VMs for their copies of the store.",
		}, []string{"outcome"}),
	}
}

func (m *Metrics) recordStoreCall(call, outcome string, took time.Duration) {
	m.storeCalls.WithLabelValues(call, outcome).Inc()
	m.storeCallSeconds.WithLabelValues(call).Observe(took.Seconds())
}

func (m *Metrics) recordPeerCall(outcome string) { m.peerCalls.WithLabelValues(outcome).Inc() }

func (m *Metrics) recordRequest(d *forward.FinishedRequest) {
	m.requests.WithLabelValues(string(d.Service), d.Kind.String(), string(d.Reason)).Inc()
	if r := d.Refusal; r != nil && d.Attempts == 0 {
		m.refusals.WithLabelValues(string(d.Service), string(r.Reason), string(r.Basis)).Inc()
	}
	if d.OrdersAdmission {
		m.recordAdmission(d)
	}
	if d.Status >= 200 && d.Status < 300 {
		m.requestSeconds.WithLabelValues(string(d.Service), d.Kind.String()).Observe(d.Took.Seconds())
	}
}

// recordAdmission counts what the order of requests without room did with one.
func (m *Metrics) recordAdmission(d *forward.FinishedRequest) {
	outcome := "sent"
	if r := d.Refusal; r != nil && d.Attempts == 0 {
		outcome = "refused"
		reason := string(r.Reason)
		if d.Admission.Displaced {
			reason = "displaced"
		}
		m.unadmitted.WithLabelValues(string(d.Service), reason, strconv.Itoa(d.Priority)).Inc()
	}
	if d.Admission.Waited > 0 {
		m.waits.WithLabelValues(string(d.Service), outcome).Observe(d.Admission.Waited.Seconds())
	}
}

func (m *Metrics) recordAttempt(s *forward.Attempt) {
	m.attempts.WithLabelValues(string(s.Service), string(s.Placement.Region), s.Outcome.String()).Inc()
	if s.Effect.StartedLeaving {
		m.notices.WithLabelValues(string(s.Service), "leaving").Inc()
	}
	if s.Effect.Backoff > 0 {
		m.notices.WithLabelValues(string(s.Service), "backoff").Inc()
	}
	if s.Placement.Cold {
		m.coldAttempts.WithLabelValues(string(s.Service), s.Outcome.String()).Inc()
	}
	if s.Placement.Trial {
		m.trials.WithLabelValues(string(s.Service), s.Outcome.String()).Inc()
	}
}
