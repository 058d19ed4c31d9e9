package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
)

// Under a flood the number of lines is bounded, failures have the higher limit, and dropped lines are counted.
func TestLinesAreBoundedAndFailuresComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, err := telemetry.NewLogger(steering.TelemetrySettings{}, &out)
		if err != nil {
			t.Fatal(err)
		}
		j := newJournal(logger, NewMetrics(prometheus.NewRegistry()))
		const seconds, perSecond = 12, 500
		for range seconds * perSecond {
			j.RequestDone(&forward.FinishedRequest{RequestID: "good", Reason: "answered", Status: 200})
			j.RequestDone(&forward.FinishedRequest{RequestID: "bad", Reason: "no-room", Status: 503, Refusal: &placement.Refusal{Reason: placement.ReasonNoCapacity}})
			time.Sleep(time.Second / perSecond)
		}
		good, bad := strings.Count(out.String(), "request=good"), strings.Count(out.String(), "request=bad")
		if good > successLinesPerSecond*(seconds+1) || bad > failureLinesPerSecond*seconds+failureLineBurst {
			t.Errorf("%d lines of successes and %d of failures in %d s exceed the limits", good, bad, seconds)
		}
		if bad < failureLinesPerSecond*seconds {
			t.Errorf("%d lines of failures, want as many as the limit of %d a second allows", bad, failureLinesPerSecond)
		}
		if !strings.Contains(out.String(), "log lines left out") {
			t.Error("no line reports dropped lines")
		}
	})
}

// A line about a refusal or a failed attempt has the inputs of the decision.
func TestLinesCarryTheInputsOfTheDecision(t *testing.T) {
	var out bytes.Buffer
	logger, err := telemetry.NewLogger(steering.TelemetrySettings{}, &out)
	if err != nil {
		t.Fatal(err)
	}
	j := newJournal(logger, NewMetrics(prometheus.NewRegistry()))
	j.RequestDone(&forward.FinishedRequest{
		RequestID: "r1", Reason: "no-room", Status: 503, Version: 7,
		Refusal: &placement.Refusal{Reason: placement.ReasonNoCapacity, Basis: placement.BasisWaited, Server: "s1", Wait: 300 * time.Millisecond, TimeLeft: time.Second,
			BestLatency: 1400 * time.Millisecond, ServiceTime: 1090 * time.Millisecond, ServiceTimeEvidence: placement.Evidence{Age: -1}},
	})
	j.AttemptDone(&forward.Attempt{
		RequestID: "r2", Placement: &placement.Placement{Server: "s2", ReportAge: 40 * time.Millisecond, Cold: true, RegionVMs: 26},
		Outcome: placement.OutcomeNoResponse, Err: errors.ErrUnsupported, Effect: placement.Effect{Ejected: true},
	})
	for _, want := range []string{
		"request=r1", "refusal=no-room", "best_server=s1", "best_wait_ms=300", "left_ms=1000", "version=7", "basis=waited", "best_run_ms=1090", "run_samples=0",
		"request=r2", "server=s2", "report_age_ms=40", "outcome=no-answer", "ejected=true", "error=", "cold=true", "region_vms=26",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line contains %s:\n%s", want, out.String())
		}
	}
}
