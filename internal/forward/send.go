package forward

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/httpheader"
	"github.com/azureflow/azureflow/internal/placement"
)

const (
	dialTimeoutSameRegion  = 250 * time.Millisecond // several times the delay within a region
	dialTimeoutOtherRegion = 600 * time.Millisecond // several times the delay between regions
	deadlineMargin         = 15 * time.Millisecond  // the server's own response at its deadline arrives before ours
	writeBufferBytes       = 16 << 10
)

// attempt is one attempt to serve a request at one server.
type attempt struct {
	to             *placement.Placement
	response       *serverResponse // nil if err is not nil
	err            error
	notRun         bool // the request certainly did not run at that server and never will
	mayHaveArrived bool // the request may have reached the server
	reused         bool
	written        requestWrite
	result         placement.Result
}

// runAttempt sends the request to the server of p and reads the response.
func (x *exchange) runAttempt(p *placement.Placement) *attempt {
	a := &attempt{to: p, written: newRequestWrite()}
	start := time.Now()
	a.response, a.err = x.roundTrip(p, a)
	a.result.Latency = time.Since(start)
	x.classifyResult(a)
	return a
}

func (x *exchange) roundTrip(p *placement.Placement, a *attempt) (*serverResponse, error) {
	c, err := x.connect(p, a)
	if err != nil {
		return nil, err
	}
	a.mayHaveArrived = true
	stop := c.interruptOn(x.ctx)
	resp, err := x.exchangeOn(c, a)
	if err == nil && resp.complete {
		err = resp.awaitFraming(x.ctx)
	}
	if !stop() && err == nil && !resp.complete {
		err = context.Cause(x.ctx)
	}
	if err != nil {
		_ = c.raw.Close()
		var invalid *InvalidResponseError
		if errors.As(err, &invalid) {
			return nil, err
		}
		return nil, &IncompleteResponseError{Address: p.Address, Reused: a.reused, Cause: err}
	}
	if !resp.complete {
		return resp, nil // the connection is needed for the rest of the response
	}
	c.applyKeepAlive(resp.http.Header)
	if resp.reportsNotRun(&x.h.opts.Headers) {
		c.refused = append(c.refused, x.id)
	}
	if resp.isReusable() && a.written.isComplete() && x.ctx.Err() == nil {
		x.h.opts.Pool.release(p.Server, c)
	} else {
		_ = c.raw.Close()
	}
	return resp, nil
}

func (x *exchange) connect(p *placement.Placement, a *attempt) (*conn, error) {
	limit := maxIdleIdempotent
	if !x.route.Kind.Idempotent() {
		limit = maxIdleNonIdempotent
	}
	timeout := dialTimeoutSameRegion
	if p.Region != x.h.opts.Region {
		timeout = dialTimeoutOtherRegion
	}
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	c, dialed, err := x.h.opts.Pool.acquire(ctx, p, limit, x.id)
	if err != nil {
		return nil, err
	}
	a.reused = c.used
	if dialed > 0 {
		x.h.opts.Chooser.RecordRoundTrip(p, dialed, time.Now())
	}
	return c, nil
}

// inlineBodyBytes is the largest body that is written before the response is read: it fits into the smallest send
// buffer of a connection.
const inlineBodyBytes = 4 << 10

// exchangeOn writes the request to c and reads the response. A body larger than inlineBodyBytes is written concurrently
// with the reading, since a server may respond before it has read all of it.
func (x *exchange) exchangeOn(c *conn, a *attempt) (*serverResponse, error) {
	req := x.outgoingRequest(a.to)
	if x.body.rest == nil && len(x.body.buffered) <= inlineBodyBytes {
		err := writeRequest(c, req)
		a.written.end(err)
		if err != nil {
			return nil, err
		}
	} else {
		go func() {
			// A failed write shows as a connection without a response.
			a.written.end(writeRequest(c, req))
			if x.body.callerError() != nil {
				_ = c.raw.Close() // the server must not wait for the rest
			}
		}()
	}
	resp, err := readResponse(c, a.to.Address, x.id, &x.h.opts.Headers, req, x.holder)
	if resp != nil {
		resp.written = &a.written
	}
	return resp, err
}

// requestWrite is the writing of a request to a server, beside which its response may be read.
type requestWrite struct {
	ended chan struct{} // closed by end
	err   error         // of the writing; valid once ended is closed
}

func newRequestWrite() requestWrite { return requestWrite{ended: make(chan struct{})} }

// end records that the writing ended. It is called once.
func (w *requestWrite) end(err error) {
	w.err = err
	close(w.ended)
}

// isComplete reports whether the complete request has been written.
func (w *requestWrite) isComplete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// await waits until the writing ends. Errors: that of the writing, that of ctx.
func (w *requestWrite) await(ctx context.Context) error {
	select {
	case <-w.ended:
		return w.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func writeRequest(c *conn, req *http.Request) error {
	w := bufio.NewWriterSize(c.raw, writeBufferBytes)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// outgoingRequest returns the request to the server of p, with target and body as the caller sent them.
func (x *exchange) outgoingRequest(p *placement.Placement) *http.Request {
	names := &x.h.opts.Headers
	req := &http.Request{
		Method: x.r.Method, URL: rawTarget(x.r), Host: x.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(x.r.Header)+3),
	}
	httpheader.CopyEndToEnd(req.Header, x.r.Header)
	x.setAccount(req.Header)
	left := time.Until(x.deadline) - deadlineMargin
	req.Header[http.CanonicalHeaderKey(names.Deadline)] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	req.Header[http.CanonicalHeaderKey(names.ExpectServer)] = []string{string(p.Server)}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if x.body.isEmpty() {
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
	path, query, hasQuery := cutQuery(r.RequestURI)
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}

// classifyResult sets what the end of an attempt proves: whether the request may have run, and the outcome at the
// server.
func (x *exchange) classifyResult(a *attempt) {
	names := &x.h.opts.Headers
	var dial *DialError
	switch {
	case errors.As(a.err, &dial):
		a.notRun = true
		a.result.Outcome = placement.OutcomeNoConn
		if x.ctx.Err() != nil {
			a.result.Outcome = placement.OutcomeCancelled
		}
		return
	case a.err != nil && x.body.callerError() != nil:
		a.result.Outcome = placement.OutcomeCancelled
		return
	case a.err != nil:
		a.result.Outcome = placement.OutcomeNoResponse
		if x.ctx.Err() != nil {
			a.result.Outcome = x.canceledOutcome()
			a.result.Unfinished = a.result.Outcome == placement.OutcomeNoResponse
		}
		return
	}
	h := a.response.http.Header
	if load, ok := names.ParseLoad(h.Get(names.Load)); ok {
		a.result.Load = &load
	}
	if cold, ok := names.ParseCold(h.Get(names.Cold)); ok {
		a.result.ColdFor = cold
	}
	a.result.Leaving = names.ParseLeaving(h.Get(names.Leaving))
	a.result.Backoff = backoffOf(a.response.http)
	a.result.Bytes = len(a.response.buffered) + x.body.size()
	switch {
	case a.response.http.StatusCode == http.StatusMisdirectedRequest:
		a.notRun = true
		a.result.Outcome = placement.OutcomeWrongServer
	case a.response.reportsNotRun(names):
		a.notRun = true
		a.result.Outcome = placement.OutcomeShed
	case a.response.http.StatusCode >= http.StatusInternalServerError:
		a.result.Outcome = placement.OutcomeError
		a.result.Unfinished = a.response.http.StatusCode == http.StatusGatewayTimeout
	}
}

// backoffOf returns how long the server wants no requests, by a response that turns one away; 0 if it does not say.
func backoffOf(r *http.Response) time.Duration {
	if r.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	s, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxBackoffSeconds) * float64(time.Second))
}

// maxBackoffSeconds keeps the conversion of a server's Retry-After in range; package placement sets the bound that
// applies.
const maxBackoffSeconds = 1e6

// canceledOutcome returns the outcome of an attempt that ended with x.ctx. It distinguishes a caller that disconnected,
// which says nothing about the server, from a server that did not respond in time.
func (x *exchange) canceledOutcome() placement.Outcome {
	if x.r.Context().Err() != nil {
		return placement.OutcomeCancelled
	}
	return placement.OutcomeNoResponse
}
