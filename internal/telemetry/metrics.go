package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// latencyBuckets are the upper bounds, in seconds, of the latency histograms.
var latencyBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 30,
}

// lookupBuckets are the upper bounds, in seconds, of the histogram of lookup decisions.
var lookupBuckets = []float64{100e-9, 250e-9, 500e-9, 1e-6, 5e-6, 25e-6, 100e-6, 1e-3}

// Metrics are the counters, gauges and histograms of a daemon. All methods are safe for
// concurrent use.
type Metrics struct {
	requests        *prometheus.CounterVec
	requestSeconds  *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	attemptSeconds  *prometheus.HistogramVec
	queueRequests   *prometheus.GaugeVec
	queueSeconds    *prometheus.HistogramVec
	refusals        *prometheus.CounterVec
	lookups         *prometheus.CounterVec
	lookupSeconds   prometheus.Histogram
	grants          *prometheus.CounterVec
	grantSlots      *prometheus.GaugeVec
	revision        prometheus.Gauge
	revisionsDenied *prometheus.CounterVec
	recordsKept     *prometheus.CounterVec
	recordsDropped  *prometheus.CounterVec
	recordsMirrored prometheus.Counter
	digestBytes     prometheus.Counter
	storeCalls      *prometheus.CounterVec
	linkMbit        *prometheus.GaugeVec
	linkCapacity    *prometheus.GaugeVec
	controlBytes    *prometheus.CounterVec
}

// NewRegistry returns a registry that holds the metrics of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// NewMetrics registers the metrics of one daemon with registerer; nil skips the registration.
// Each registerer accepts only one Metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	f := factory{promauto.With(registerer)}
	return &Metrics{
		requests:        f.counter("requests_total", "Requests answered.", "service", "operation", "outcome"),
		requestSeconds:  f.histogram("request_duration_seconds", "Time from the request's arrival to the answer's last byte.", "service", "operation"),
		attempts:        f.counter("attempts_total", "Attempts sent to upstreams.", "service", "result"),
		attemptSeconds:  f.histogram("attempt_first_byte_seconds", "Time from an attempt's last byte to the first byte of its answer.", "service"),
		queueRequests:   f.gauge("queue_depth_requests", "Requests that wait for room.", "service", "class"),
		queueSeconds:    f.histogram("queue_wait_seconds", "Time a request waited for room.", "service", "class"),
		refusals:        f.counter("refusals_total", "Requests refused, by the constraint that bound.", "service", "constraint"),
		lookups:         f.counter("lookups_total", "Lookups answered.", "service", "reason"),
		lookupSeconds:   f.histogramWithoutLabels("lookup_decision_seconds", "Time of a lookup decision.", lookupBuckets),
		grants:          f.counter("grants_total", "Answers to requests for remote slots.", "service", "zone", "result"),
		grantSlots:      f.gauge("grant_held_slots", "Slots held under a grant of another zone.", "service", "zone"),
		revision:        f.gaugeWithoutLabels("revision_in_force", "Revision of the configuration in force."),
		revisionsDenied: f.counter("revisions_denied_total", "Revisions not taken into force.", "reason"),
		recordsKept:     f.counter("records_kept_total", "Decision records kept.", "kind"),
		recordsDropped:  f.counter("records_dropped_total", "Decision records dropped before they were mirrored or digested.", "stage"),
		recordsMirrored: f.counterWithoutLabels("records_mirrored_total", "Decision records kept by a peer in another zone."),
		digestBytes:     f.counterWithoutLabels("digest_written_bytes_total", "Bytes of digests written to the store."),
		storeCalls:      f.counter("store_calls_total", "Calls to the platform's store.", "op", "result"),
		linkMbit:        f.gauge("link_used_mbit_per_second", "Traffic this VM puts on a link.", "from", "to"),
		linkCapacity:    f.gauge("link_share_mbit_per_second", "Part of a link that this VM may fill.", "from", "to"),
		controlBytes:    f.counter("control_bytes_total", "Bytes of the system's own messages.", "channel", "direction"),
	}
}

// RequestDone counts a request that ended with outcome ("done", "not-run" or "unknown") and observes its
// duration took.
func (m *Metrics) RequestDone(
	service steering.ServiceName, operation steering.OperationName, outcome string, took time.Duration,
) {
	m.requests.WithLabelValues(string(service), string(operation), outcome).Inc()
	m.requestSeconds.WithLabelValues(string(service), string(operation)).Observe(took.Seconds())
}

// AttemptDone counts an attempt that ended with result, for example "answered" or "reset".
// firstByte is the time until the first byte of the response, or 0 if no byte was received.
func (m *Metrics) AttemptDone(service steering.ServiceName, result string, firstByte time.Duration) {
	m.attempts.WithLabelValues(string(service), result).Inc()
	if firstByte > 0 {
		m.attemptSeconds.WithLabelValues(string(service)).Observe(firstByte.Seconds())
	}
}

// QueueDepth sets the number of queued requests.
func (m *Metrics) QueueDepth(service steering.ServiceName, class steering.Class, requests int) {
	m.queueRequests.WithLabelValues(string(service), class.String()).Set(float64(requests))
}

// QueueWaited observes how long a request waited for capacity.
func (m *Metrics) QueueWaited(service steering.ServiceName, class steering.Class, waited time.Duration) {
	m.queueSeconds.WithLabelValues(string(service), class.String()).Observe(waited.Seconds())
}

// Refused counts a request refused because of constraint.
func (m *Metrics) Refused(service steering.ServiceName, constraint review.Constraint) {
	m.refusals.WithLabelValues(string(service), string(constraint)).Inc()
}

// LookupDone counts a lookup that was decided for reason and observes the duration took of the decision.
func (m *Metrics) LookupDone(service steering.ServiceName, reason string, took time.Duration) {
	m.lookups.WithLabelValues(string(service), reason).Inc()
	m.lookupSeconds.Observe(took.Seconds())
}

// GrantRequestDone counts a response to a request for slots in zone, for example "granted",
// "refused", "lapsed" or "returned".
func (m *Metrics) GrantRequestDone(service steering.ServiceName, zone steering.ZoneName, result string) {
	m.grants.WithLabelValues(string(service), string(zone), result).Inc()
}

// GrantHeld sets the slots held under a grant of zone.
func (m *Metrics) GrantHeld(service steering.ServiceName, zone steering.ZoneName, slots int) {
	m.grantSlots.WithLabelValues(string(service), string(zone)).Set(float64(slots))
}

// RevisionInForce sets the revision in force.
func (m *Metrics) RevisionInForce(revision steering.Revision) { m.revision.Set(float64(revision)) }

// RevisionDenied counts a revision that was not applied, for example "older" or "unreadable".
func (m *Metrics) RevisionDenied(reason string) { m.revisionsDenied.WithLabelValues(reason).Inc() }

// StoreCalled counts a call to the store, with op such as "get" and result such as "ok".
func (m *Metrics) StoreCalled(op, result string) { m.storeCalls.WithLabelValues(op, result).Inc() }

// LinkUsed sets the traffic that this VM sends over the link and its share of the link, both in Mbit/s.
func (m *Metrics) LinkUsed(from, to steering.RegionName, usedMbit, shareMbit float64) {
	m.linkMbit.WithLabelValues(string(from), string(to)).Set(usedMbit)
	m.linkCapacity.WithLabelValues(string(from), string(to)).Set(shareMbit)
}

// ControlBytes counts bytes of control messages on channel, for example "exchange".
func (m *Metrics) ControlBytes(channel string, sent, received int) {
	m.controlBytes.WithLabelValues(channel, "sent").Add(float64(sent))
	m.controlBytes.WithLabelValues(channel, "received").Add(float64(received))
}

// RecordsKept counts n records of kind that the review log retained.
func (m *Metrics) RecordsKept(kind review.Kind, n int) {
	m.recordsKept.WithLabelValues(string(kind)).Add(float64(n))
}

// RecordsDropped counts n records lost at stage: "mirror", "digest" or "memory".
func (m *Metrics) RecordsDropped(stage string, n int) {
	m.recordsDropped.WithLabelValues(stage).Add(float64(n))
}

// RecordsMirrored counts n records that a peer in another zone retains.
func (m *Metrics) RecordsMirrored(n int) { m.recordsMirrored.Add(float64(n)) }

// DigestWritten counts bytes of a digest that the store accepted.
func (m *Metrics) DigestWritten(bytes int) { m.digestBytes.Add(float64(bytes)) }
