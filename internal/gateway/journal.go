package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
)

// Rates of log lines. Failures are kept before successes.
const (
	answeredLines = 2  // a second
	failedLines   = 40 // a second
	lineBurst     = 40
)

// journal writes what happens to requests as log lines and counts it. Under load it leaves lines out and says
// how many.
type journal struct {
	log      logrus.FieldLogger
	metrics  *Metrics
	answered *rate.Limiter
	failed   *rate.Limiter

	mu      sync.Mutex
	leftOut int
	told    time.Time
}

var _ forward.Journal = (*journal)(nil)

func newJournal(log logrus.FieldLogger, metrics *Metrics) *journal {
	return &journal{
		log: log, metrics: metrics,
		answered: rate.NewLimiter(answeredLines, answeredLines),
		failed:   rate.NewLimiter(failedLines, lineBurst),
	}
}

// AttemptDone implements forward.Journal. A sending that brought a whole answer is told with the end of its request.
func (j *journal) AttemptDone(s *forward.Attempt) {
	j.metrics.sent(s)
	if s.Outcome == placement.OutcomeSuccess || !j.admit(j.failed) {
		return
	}
	fields := placementFields(s.Placement)
	fields["request"], fields["service"], fields["outcome"] = s.RequestID, s.Service, s.Outcome.String()
	fields["status"], fields["took_ms"], fields["ejected"] = s.Status, s.Took.Milliseconds(), s.Ejected
	if s.Err != nil {
		fields["error"] = s.Err.Error()
	}
	j.log.WithFields(fields).Info("sending failed")
}

// RequestDone implements forward.Journal.
func (j *journal) RequestDone(d *forward.FinishedRequest) {
	j.metrics.done(d)
	limiter := j.failed
	if d.Reason == forward.ReasonResponded && d.Status < 500 {
		limiter = j.answered
	}
	if !j.admit(limiter) {
		return
	}
	fields := placementFields(d.LastPlacement)
	fields["request"], fields["route"], fields["service"], fields["kind"] = d.RequestID, d.Route, d.Service, d.Kind.String()
	fields["version"], fields["outcome"], fields["status"] = d.Version, d.Reason, d.Status
	fields["took_ms"], fields["sendings"], fields["late"] = d.Took.Milliseconds(), d.Attempts, d.Late
	if r := d.Refusal; r != nil {
		fields["refusal"], fields["basis"], fields["best_server"], fields["best_ms"] = r.Reason, r.Basis, r.Server, r.BestLatency.Milliseconds()
		fields["best_wait_ms"], fields["left_ms"], fields["on_time_ms"] = r.Wait.Milliseconds(), r.TimeLeft.Milliseconds(), r.TargetLeft.Milliseconds()
		fields["best_run_ms"], fields["run_samples"] = r.ServiceTime.Milliseconds(), r.ServiceTimeEvidence.Samples
		fields["run_sample_age_ms"] = r.ServiceTimeEvidence.Age.Milliseconds()
		fields["candidates"], fields["retry_after_ms"] = r.Candidates, r.RetryAfter.Milliseconds()
	}
	j.log.WithFields(fields).Info("request done")
}

// placementFields are the inputs of the decision where to send.
func placementFields(p *placement.Placement) logrus.Fields {
	if p == nil {
		return logrus.Fields{}
	}
	return logrus.Fields{
		"server": p.Server, "server_zone": p.Zone, "warm": p.Warm, "expected_ms": p.ExpectedLatency.Milliseconds(),
		"wait_ms": p.Wait.Milliseconds(), "report_age_ms": p.ReportAge.Milliseconds(), "candidates": p.Candidates,
		"trial": p.Trial,
	}
}

// admit reports whether a line may be written, and tells now and then how many were not.
func (j *journal) admit(l *rate.Limiter) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.leftOut > 0 && now.Sub(j.told) > leftOutInterval {
		j.log.WithFields(logrus.Fields{"lines": j.leftOut}).Info("log lines left out")
		j.leftOut, j.told = 0, now
	}
	if l.AllowN(now, 1) {
		return true
	}
	j.leftOut++
	return false
}

// leftOutInterval is the time between two lines that count what was left out.
const leftOutInterval = 5 * time.Second
