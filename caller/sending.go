package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

const maxProblemBytes = 64 << 10

// send performs one attempt and delivers its result.
func (c *call) send(req *http.Request, s *attempt) {
	var reached atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reached.Store(true)
		s.reused.Store(info.Reused)
	}}
	resp, err := c.client.opts.HTTP.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err != nil:
		s.err = err
		s.outcome = request.OutcomeUnknown
		if !reached.Load() {
			s.outcome = request.OutcomeNotRun
		}
	default:
		c.readResponse(resp, s)
	}
	c.results <- s
}

// readResponse fills s from the response of an entry VM.
func (c *call) readResponse(resp *http.Response, s *attempt) {
	s.outcome = request.Outcome(resp.Header.Get(request.HeaderOutcome))
	if resp.Header.Get(request.HeaderEntryState) != "" {
		c.client.lookups.expire(c.service)
	}
	s.seenAttempts, _ = strconv.Atoi(resp.Header.Get(request.HeaderCallSendings)) // 0 if the entry VM does not report it
	if s.outcome != "" && !isRefusal(resp) {
		s.response = &Answer{
			Status:   resp.StatusCode,
			Header:   resp.Header,
			Body:     resp.Body,
			Outcome:  string(s.outcome),
			Decision: resp.Header.Get(request.HeaderDecision),
			Entry:    resp.Header.Get(request.HeaderEntry),
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if s.outcome == "" {
		s.outcome = request.OutcomeUnknown
		s.err = &StatusError{Status: resp.StatusCode}
		return
	}
	s.refused = true
	s.refusal = readRefusal(resp)
}

// isRefusal reports whether resp is a refusal by an entry VM rather than a response of an upstream.
func isRefusal(resp *http.Response) bool {
	return strings.Contains(resp.Header.Get(request.HeaderProxyStatus), "error=")
}

func readRefusal(resp *http.Response) Refusal {
	r := Refusal{Status: resp.StatusCode, Decision: resp.Header.Get(request.HeaderDecision)}
	var p request.Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p); err != nil {
		return r
	}
	_, r.Kind, _ = strings.Cut(p.Type, "#")
	r.Detail = p.Detail
	r.Constraint = string(p.Constraint)
	r.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	return r
}
