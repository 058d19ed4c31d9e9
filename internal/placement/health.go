package placement

import (
	"math"
	"time"
)

// Constants of the health of a server.
const (
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	errorWeight      = 0.2             // of a new sample of the error rate
	errorHalfLife    = 2 * time.Second // the error rate halves in this time without samples
	failuresToEject  = 2               // failures in a row without a response
)

// Outcome is how an attempt ended, as far as it says something about the server.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeSuccess     Outcome = iota // a complete response that is no failure of the server
	OutcomeError                      // the server ran the request and failed, or its response was malformed
	OutcomeShed                       // the server refused the request and did not run it
	OutcomeNoConn                     // no connection could be opened; nothing was sent
	OutcomeNoResponse                 // the connection or the time ended without a response
	OutcomeCancelled                  // ended by the caller or by this entry VM; says nothing about the server
	OutcomeWrongServer                // another server has the address; nothing ran
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "error", "shed", "no-connection", "no-answer", "cancelled", "wrong-server"}[o]
}

// health tracks the failures of a server. A server that does not respond is ejected for a while and then tried with one
// request first. A server that fails a part of its requests has an error rate, which raises its cost: where all servers
// of a service fail alike, none is excluded.
type health struct {
	errorRateAtUpdate float64 // exponentially weighted, at errorRateUpdated
	errorRateUpdated  time.Time
	failures          int // in a row, without any response
	ejectedUntil      time.Time
	nextEjection      time.Duration // duration of the next ejection
	trial             bool          // the ejection ended, and one request is allowed
	trialInFlight     bool          // that request is in flight
}

// isUsable reports whether the server may be sent a request at now.
func (h *health) isUsable(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !h.trialInFlight
}

// onSend records that a request is sent.
func (h *health) onSend() {
	if h.trial {
		h.trialInFlight = true
	}
}

// errorRate returns the share of requests that are expected to fail at now.
func (h *health) errorRate(now time.Time) float64 {
	return h.errorRateAtUpdate * math.Exp2(-now.Sub(h.errorRateUpdated).Seconds()/errorHalfLife.Seconds())
}

// addErrorSample adds one outcome to the error rate: 1 for a failure, 0 otherwise.
func (h *health) addErrorSample(failure float64, now time.Time) {
	rate := h.errorRate(now)
	h.errorRateAtUpdate, h.errorRateUpdated = rate+(failure-rate)*errorWeight, now
}

// recordOutcome records the outcome of an attempt and reports whether the server is ejected for it.
func (h *health) recordOutcome(o Outcome, now time.Time) bool {
	h.trialInFlight = false
	switch o {
	case OutcomeSuccess:
		h.addErrorSample(0, now)
		h.failures, h.trial, h.nextEjection = 0, false, 0
	case OutcomeShed, OutcomeError:
		h.addErrorSample(1, now)
		h.failures, h.trial = 0, false
	case OutcomeNoResponse:
		h.addErrorSample(1, now)
		h.failures++
		if h.failures >= failuresToEject || h.trial {
			h.eject(0, now)
			return true
		}
	case OutcomeNoConn:
		h.eject(0, now)
		return true
	case OutcomeWrongServer:
		h.eject(maxEjectionTime, now)
		return true
	}
	return false
}

// endTrial ends a trial, if one is in progress, without a sample: the server responded but did not run the request.
func (h *health) endTrial() { h.failures, h.trial, h.trialInFlight = 0, false, false }

// eject excludes the server for at least d; the time doubles with each ejection in a row.
func (h *health) eject(d time.Duration, now time.Time) {
	h.nextEjection = min(max(2*h.nextEjection, baseEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(max(d, h.nextEjection))
	h.trial = true
}
