package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
)

// Limits of log lines. Failures get a higher one than successes.
const (
	successLinesPerSecond = 2
	failureLinesPerSecond = 40
	failureLineBurst      = 40
)

// journal logs and counts requests and attempts. Under load it drops log lines and logs how many it dropped.
type journal struct {
	log       logrus.FieldLogger
	metrics   *Metrics
	successes *rate.Limiter
	failures  *rate.Limiter

	mu                 sync.Mutex
	suppressed         int
	suppressedLoggedAt time.Time
}

var _ forward.Journal = (*journal)(nil)

func newJournal(log logrus.FieldLogger, metrics *Metrics) *journal {
	return &journal{
		log: log, metrics: metrics,
		successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond),
		failures:  rate.NewLimiter(failureLinesPerSecond, failureLineBurst),
	}
}

// AttemptDone implements forward.Journal. An attempt with a complete response is logged with the end of its request.
func (j *journal) AttemptDone(s *forward.Attempt) {
	j.metrics.recordAttempt(s)
	j.logNotice(s)
	if s.Outcome == placement.OutcomeSuccess || !j.allowLine(j.failures) {
		return
	}
	fields := placementFields(s.Placement)
	fields["request"], fields["service"], fields["outcome"] = s.RequestID, s.Service, s.Outcome.String()
	fields["status"], fields["took_ms"], fields["ejected"] = s.Status, s.Took.Milliseconds(), s.Effect.Ejected
	if s.Err != nil {
		fields["error"] = s.Err.Error()
	}
	j.log.WithFields(fields).Info("sending failed")
}

// logNotice logs what the response says about its server: that it is leaving, or wants a pause.
func (j *journal) logNotice(s *forward.Attempt) {
	if !s.Effect.StartedLeaving && s.Effect.Backoff == 0 || !j.allowLine(j.failures) {
		return
	}
	event := "server leaving"
	if !s.Effect.StartedLeaving {
		event = "server backs off"
	}
	j.log.WithFields(logrus.Fields{
		"server": s.Placement.Server, "service": s.Service, "server_zone": s.Placement.Zone, "source": "response",
		"request": s.RequestID, "backoff_ms": s.Effect.Backoff.Milliseconds(),
	}).Info(event)
}

// RequestDone implements forward.Journal.
func (j *journal) RequestDone(d *forward.FinishedRequest) {
	j.metrics.recordRequest(d)
	limiter := j.failures
	toColdServer := d.LastPlacement != nil && d.LastPlacement.Cold
	if d.Reason == forward.ReasonResponded && d.Status < 500 && !toColdServer {
		limiter = j.successes
	}
	if !j.allowLine(limiter) {
		return
	}
	fields := placementFields(d.LastPlacement)
	fields["request"], fields["route"], fields["service"], fields["kind"] = d.RequestID, d.Route, d.Service, d.Kind.String()
	if d.Account != "" {
		fields["account"] = d.Account
	}
	fields["version"], fields["outcome"], fields["status"] = d.Version, d.Reason, d.Status
	fields["took_ms"], fields["sendings"], fields["late"] = d.Took.Milliseconds(), d.Attempts, d.Late
	if d.OrdersAdmission {
		fields["priority"], fields["waited_ms"] = d.Priority, d.Admission.Waited.Milliseconds()
		fields["position"], fields["displaced"] = d.Admission.Position, d.Admission.Displaced
	}
	if r := d.Refusal; r != nil {
		fields["refusal"], fields["basis"], fields["best_server"], fields["best_ms"] = r.Reason, r.Basis, r.Server, r.BestLatency.Milliseconds()
		fields["best_wait_ms"], fields["left_ms"], fields["on_time_ms"] = r.Wait.Milliseconds(), r.TimeLeft.Milliseconds(), r.TargetLeft.Milliseconds()
		fields["best_run_ms"], fields["run_samples"] = r.ServiceTime.Milliseconds(), r.ServiceTimeEvidence.Samples
		fields["run_sample_age_ms"] = r.ServiceTimeEvidence.Age.Milliseconds()
		fields["candidates"], fields["retry_after_ms"] = r.Candidates, r.RetryAfter.Milliseconds()
	}
	j.log.WithFields(fields).Info("request done")
}

// placementFields returns the inputs of the decision to which server an attempt goes.
func placementFields(p *placement.Placement) logrus.Fields {
	if p == nil {
		return logrus.Fields{}
	}
	return logrus.Fields{
		"server": p.Server, "server_zone": p.Zone, "warm": p.Warm, "expected_ms": p.ExpectedLatency.Milliseconds(),
		"wait_ms": p.Wait.Milliseconds(), "report_age_ms": p.ReportAge.Milliseconds(), "candidates": p.Candidates,
		"trial": p.Trial, "cold": p.Cold, "region_vms": p.RegionVMs,
	}
}

// allowLine reports whether a line may be logged, and from time to time logs how many were not.
func (j *journal) allowLine(l *rate.Limiter) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.suppressed > 0 && now.Sub(j.suppressedLoggedAt) > suppressedLogInterval {
		j.log.WithFields(logrus.Fields{"lines": j.suppressed}).Info("log lines left out")
		j.suppressed, j.suppressedLoggedAt = 0, now
	}
	if l.AllowN(now, 1) {
		return true
	}
	j.suppressed++
	return false
}

// suppressedLogInterval is the time between two lines that count the dropped lines.
const suppressedLogInterval = 5 * time.Second
