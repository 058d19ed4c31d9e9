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

// send carries one sending and hands in its result.
func (c *call) send(req *http.Request, s *sending) {
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
		c.read(resp, s)
	}
	c.results <- s
}

// read takes an answer of an entry VM apart.
func (c *call) read(resp *http.Response, s *sending) {
	s.outcome = request.Outcome(resp.Header.Get(request.HeaderOutcome))
	if resp.Header.Get(request.HeaderEntryState) != "" {
		c.client.lookups.expire(c.service)
	}
	s.arrived, _ = strconv.Atoi(resp.Header.Get(request.HeaderCallSendings)) // 0 if the entry VM does not say
	if s.outcome != "" && !isRefusal(resp) {
		s.answer = &Answer{
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
	s.rejected = true
	s.refusal = readRefusal(resp)
}

// isRefusal tells a refusal of an entry VM from an upstream's answer.
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
