package placement

import (
	"math"
	"time"
)

// Constants of a server's health.
const (
	ejectFirst      = 500 * time.Millisecond
	ejectMax        = 4 * time.Second
	errorWeight     = 0.2             // of a new sample of the error rate
	errorHalf       = 2 * time.Second // the error rate halves in this time without samples
	failuresToEject = 2               // failures in a row without an answer
)

// Outcome is how a sending ended, as far as it tells something about the server.
type Outcome uint8

// The outcomes of a sending.
const (
	OutcomeSuccess     Outcome = iota // a whole answer that is no failure of the server
	OutcomeError                      // the server ran the request and failed, or its answer was spoilt
	OutcomeShed                       // the server refused and did not run it
	OutcomeNoConn                     // no connection could be made; nothing was sent
	OutcomeNoResponse                 // the connection ended, or the time, without an answer
	OutcomeCancelled                  // ended by the caller or by this entry VM; tells nothing
	OutcomeWrongServer                // another server has the address; nothing ran
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "error", "shed", "no-connection", "no-answer", "cancelled", "wrong-server"}[o]
}

// health tracks the failures of a server. One that gives no answer is ejected for a while and then tried with
// one request first. One that fails part of its requests keeps an error rate, which makes it cost more: where all
// servers of a service fail alike, none is left out.
type health struct {
	errors   float64 // rate, exponentially weighted, at noted
	noted    time.Time
	failures int // in a row, without any answer
	until    time.Time
	next     time.Duration // of the next ejection
	trial    bool          // the ejection ended, and one request is allowed
	trying   bool          // that request is in flight
}

// usable reports whether the server may be sent a request at now.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.until) && !h.trying
}

// sent notes that a request is on its way.
func (h *health) sent() {
	if h.trial {
		h.trying = true
	}
}

// errorRate returns the share of requests that are expected to fail at now.
func (h *health) errorRate(now time.Time) float64 {
	return h.errors * math.Exp2(-now.Sub(h.noted).Seconds()/errorHalf.Seconds())
}

// sample takes one more outcome into the error rate: 1 for a failure, else 0.
func (h *health) sample(failure float64, now time.Time) {
	rate := h.errorRate(now)
	h.errors, h.noted = rate+(failure-rate)*errorWeight, now
}

// note takes the outcome of a sending and reports whether the server is ejected by it.
func (h *health) note(o Outcome, now time.Time) bool {
	h.trying = false
	switch o {
	case OutcomeSuccess:
		h.sample(0, now)
		h.failures, h.trial, h.next = 0, false, 0
	case OutcomeShed, OutcomeError:
		h.sample(1, now)
		h.failures, h.trial = 0, false
	case OutcomeNoResponse:
		h.sample(1, now)
		h.failures++
		if h.failures >= failuresToEject || h.trial {
			h.eject(0, now)
			return true
		}
	case OutcomeNoConn:
		h.eject(0, now)
		return true
	case OutcomeWrongServer:
		h.eject(ejectMax, now)
		return true
	}
	return false
}

// alive ends a trial, if one is under way, without a sample: the server answered, but did not run the request.
func (h *health) alive() { h.failures, h.trial, h.trying = 0, false, false }

// eject keeps the server out for at least d; the time doubles with each ejection in a row.
func (h *health) eject(d time.Duration, now time.Time) {
	h.next = min(max(2*h.next, ejectFirst), ejectMax)
	h.until = now.Add(max(d, h.next))
	h.trial = true
}
