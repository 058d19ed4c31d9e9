package forward

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/httpheader"
	"github.com/azureflow/azureflow/internal/placement"
)

const (
	dialTimeoutNear = 250 * time.Millisecond // several times the delay within a region
	dialTimeoutFar  = 600 * time.Millisecond // several times the delay between regions
	deadlineMargin  = 15 * time.Millisecond  // the server's own answer at its deadline comes before ours
	writeBuffer     = 16 << 10
)

// sending is one sending of a request to one server.
type sending struct {
	to      *placement.Placement
	answer  *answer // nil if err is not
	err     error
	notRun  bool // the request certainly did not run at that server and never will
	arrived bool // it may have reached the server
	reused  bool
	written atomic.Bool // all of the request was written
	result  placement.Result
}

// send sends the request to the server of p and reads the answer.
func (x *exchange) send(p *placement.Placement) *sending {
	s := &sending{to: p}
	start := time.Now()
	s.answer, s.err = x.roundTrip(p, s)
	s.result.Latency = time.Since(start)
	x.judge(s)
	return s
}

func (x *exchange) roundTrip(p *placement.Placement, s *sending) (*answer, error) {
	c, err := x.connect(p, s)
	if err != nil {
		return nil, err
	}
	s.arrived = true
	stop := c.closeOn(x.ctx)
	a, err := x.exchangeOn(c, s)
	if !stop() && err == nil && !a.whole {
		err = context.Cause(x.ctx)
	}
	if err != nil {
		_ = c.raw.Close()
		var spoilt *InvalidResponseError
		if errors.As(err, &spoilt) {
			return nil, err
		}
		return nil, &IncompleteResponseError{Address: p.Address, Reused: s.reused, Cause: err}
	}
	if !a.whole {
		return a, nil // the connection is needed for the rest of the answer
	}
	c.noteKeepAlive(a.response.Header)
	if a.reusable() && s.written.Load() && x.ctx.Err() == nil {
		x.h.opts.Pool.put(p.Server, c)
	} else {
		_ = c.raw.Close()
	}
	return a, nil
}

func (x *exchange) connect(p *placement.Placement, s *sending) (*conn, error) {
	limit := idleRepeat
	if !x.route.Kind.Idempotent() {
		limit = idleNonRepeat
	}
	timeout := dialTimeoutNear
	if p.Region != x.h.opts.Region {
		timeout = dialTimeoutFar
	}
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	c, dialed, err := x.h.opts.Pool.get(ctx, p, limit)
	if err != nil {
		return nil, err
	}
	s.reused = c.used
	if dialed > 0 {
		x.h.opts.Chooser.RecordRoundTrip(p, dialed, time.Now())
	}
	return c, nil
}

// inlineBodyBytes is the size of body that fits into the smallest send buffer of a connection.
const inlineBodyBytes = 4 << 10

// exchangeOn writes the request on c and reads the answer. A larger body is written beside the reading, since a
// server may answer before it has read all of it.
func (x *exchange) exchangeOn(c *conn, s *sending) (*answer, error) {
	req := x.outgoing(s.to)
	if x.body.rest == nil && len(x.body.kept) <= inlineBodyBytes {
		if err := writeRequest(c, req); err != nil {
			return nil, err
		}
		s.written.Store(true)
	} else {
		go func() {
			// A failed write shows as a connection without an answer.
			s.written.Store(writeRequest(c, req) == nil)
		}()
	}
	return readAnswer(c, s.to.Address, x.id, &x.h.opts.Headers, req)
}

func writeRequest(c *conn, req *http.Request) error {
	w := bufio.NewWriterSize(c.raw, writeBuffer)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// outgoing builds the request as the server gets it: target and body as the caller sent them.
func (x *exchange) outgoing(p *placement.Placement) *http.Request {
	names := &x.h.opts.Headers
	req := &http.Request{
		Method: x.r.Method, URL: rawTarget(x.r), Host: x.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(x.r.Header)+3),
	}
	httpheader.CopyEndToEnd(req.Header, x.r.Header)
	left := time.Until(x.end) - deadlineMargin
	req.Header[http.CanonicalHeaderKey(names.Deadline)] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	req.Header[http.CanonicalHeaderKey(names.ExpectServer)] = []string{string(p.Server)}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if x.body.empty() {
		return req
	}
	req.Body = readCloser{x.body.reader()}
	req.ContentLength = x.body.length
	return req
}

// rawTarget returns the request target as the caller wrote it.
func rawTarget(r *http.Request) *url.URL {
	if r.RequestURI == "" || r.RequestURI[0] != '/' {
		return r.URL
	}
	path, query, asked := cutQuery(r.RequestURI)
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: asked && query == ""}
}

// judge says what the end of a sending proves, for the request and about the server.
func (x *exchange) judge(s *sending) {
	names := &x.h.opts.Headers
	var dial *DialError
	switch {
	case errors.As(s.err, &dial):
		s.notRun = true
		s.result.Outcome = placement.OutcomeNoConn
		if x.ctx.Err() != nil {
			s.result.Outcome = placement.OutcomeCancelled
		}
		return
	case s.err != nil:
		s.result.Outcome = placement.OutcomeNoResponse
		if x.ctx.Err() != nil {
			s.result.Outcome = x.endOutcome()
			s.result.Unfinished = s.result.Outcome == placement.OutcomeNoResponse
		}
		return
	}
	h := s.answer.response.Header
	if load, ok := names.ParseLoad(h.Get(names.Load)); ok {
		s.result.Load = &load
	}
	if cold, ok := names.ParseCold(h.Get(names.Cold)); ok {
		s.result.ColdFor = cold
	}
	s.result.Bytes = len(s.answer.held) + len(x.body.kept)
	switch {
	case s.answer.response.StatusCode == http.StatusMisdirectedRequest:
		s.notRun = true
		s.result.Outcome = placement.OutcomeWrongServer
	case s.answer.notRun(names):
		s.notRun = true
		s.result.Outcome = placement.OutcomeShed
	case s.answer.response.StatusCode >= http.StatusInternalServerError:
		s.result.Outcome = placement.OutcomeError
		s.result.Unfinished = s.answer.response.StatusCode == http.StatusGatewayTimeout
	}
}

// endOutcome tells apart a caller that left, which says nothing of the server, from a server that did not
// answer until the end of the time.
func (x *exchange) endOutcome() placement.Outcome {
	if x.r.Context().Err() != nil {
		return placement.OutcomeCancelled
	}
	return placement.OutcomeNoResponse
}
