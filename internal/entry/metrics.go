package entry

import (
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
)

// failureNames are the results of attempts in metrics.
var failureNames = map[request.Failure]string{
	request.FailureNone:      "answered",
	request.FailureDial:      "dial",
	request.FailureSilent:    "silent",
	request.FailureReset:     "reset",
	request.FailureShed:      "shed",
	request.FailureServer:    "server",
	request.FailureCancelled: "cancelled",
}

// requestMetrics implements request.Metrics.
type requestMetrics struct{ metrics *telemetry.Metrics }

// RequestDone implements request.Metrics.
func (m requestMetrics) RequestDone(r *request.RequestMetric) {
	m.metrics.RequestDone(r.Service, r.Operation, string(r.Outcome), r.Took)
	if r.Outcome == request.OutcomeNotRun {
		m.metrics.Refused(r.Service, r.Constraint)
	}
}

// AttemptDone implements request.Metrics.
func (m requestMetrics) AttemptDone(a *request.AttemptMetric) {
	m.metrics.AttemptDone(a.Service, failureNames[a.Failure], a.FirstByte)
}

// RecordQueueWait implements request.Metrics.
func (m requestMetrics) RecordQueueWait(service steering.ServiceName, class steering.Class, wait time.Duration) {
	m.metrics.QueueWaited(service, class, wait)
}
