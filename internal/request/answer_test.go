package request

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/azureflow/azureflow/internal/review"
)

// TestTruncatedResponseNeverEndsCleanly: whatever framing the upstream uses, the caller gets an error.
func TestTruncatedResponseNeverEndsCleanly(t *testing.T) {
	truncated := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha",
	}
	for _, response := range truncated {
		u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
			if u.read(r, true) {
				_, _ = io.WriteString(c, response)
			}
		})
		e := newTestEntry(t, nil, u.address())
		resp, err := e.server.Client().Get(e.server.URL + "/kasse/balances/1")
		if err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Fatalf("a truncated response ended without an error: body %q", data)
		}
	}
}

// TestResponseWithoutFramingIsRejected: an HTTP/1.0 style response that is delimited by the end of its connection
// cannot be told from a truncated one.
func TestResponseWithoutFramingIsRejected(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nmaybe half")
		}
	})
	e := newTestEntry(t, nil, u.address())
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("response: status %d, %q", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
}

// TestMismatchedResponseIsDiscarded: a response that echoes another attempt is not passed on to a caller, and its
// connection is not reused.
func TestMismatchedResponseIsDiscarded(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		for u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAzureflow-Attempt: other.1.1\r\nContent-Length: 6\r\n\r\nsecret")
		}
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "mine") })
	e := newTestEntry(t, nil, u.address(), addressOf(good))
	resp, body := e.do(t, "GET", "/kasse/balances/1", nil)
	if resp.StatusCode != http.StatusOK || body != "mine" {
		t.Fatalf("lookup: status %d, body %q", resp.StatusCode, body)
	}
	resp, body = e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.Header.Get(HeaderOutcome) != "unknown" || strings.Contains(body, "secret") {
		t.Fatalf("levy: outcome %q, body %q", resp.Header.Get(HeaderOutcome), body)
	}
	if !strings.Contains(resp.Header.Get(HeaderProxyStatus), "http_protocol_error") {
		t.Errorf("proxy status %q", resp.Header.Get(HeaderProxyStatus))
	}
}

// TestCallerDisconnectCancelsUpstream: when the caller disconnects, the upstream sees the cancellation and the slot is
// released.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", e.server.URL+"/kasse/balances/1", nil)
	go func() {
		<-started
		cancel()
	}()
	if resp, err := e.server.Client().Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller got a response, want an error")
	}
	<-ended
	e.server.Close()
	if e.placer.used["server-0"] != 0 || e.handler.InFlight() != 0 {
		t.Fatalf("slots %v, in flight %d", e.placer.used, e.handler.InFlight())
	}
	if f := e.placer.failures(); len(f) != 1 || f[0] != FailureCancelled {
		t.Fatalf("failures %v", f)
	}
}

// TestDeadlineIsForwarded: the upstream receives the remaining time, and its request is canceled when that has passed.
func TestDeadlineIsForwarded(t *testing.T) {
	timeouts := make(chan string, 4)
	ended := make(chan struct{}, 4)
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		timeouts <- r.Header.Get(HeaderTimeout)
		<-r.Context().Done()
		ended <- struct{}{}
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1", HeaderTimeout, "200")
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("response: status %d, %q", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
	if ms, err := strconv.Atoi(<-timeouts); err != nil || ms < 1 || ms > 200 {
		t.Fatalf("upstream received a timeout of %d ms, want 1 to 200", ms)
	}
	<-ended
}

// TestUploadStreams: the upstream reads the first part of a body before the caller sends the last.
func TestUploadStreams(t *testing.T) {
	seen := make(chan struct{})
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 4))
		close(seen)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	pr, pw := io.Pipe()
	go func() {
		_, _ = io.WriteString(pw, "head")
		<-seen
		_, _ = io.WriteString(pw, strings.Repeat("x", 1<<20))
		_ = pw.Close()
	}()
	resp, body := e.do(t, "PUT", "/kasse/ledgers/1", pr)
	if resp.StatusCode != http.StatusOK || body != strconv.Itoa(1<<20) {
		t.Fatalf("response: status %d, %q", resp.StatusCode, body)
	}
}

// TestDownloadStreams: the caller reads the first part of a body before the upstream sends the last.
func TestDownloadStreams(t *testing.T) {
	seen := make(chan struct{})
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "head")
		w.(http.Flusher).Flush()
		<-seen
		_, _ = io.WriteString(w, "tail")
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	resp, err := e.server.Client().Get(e.server.URL + "/kasse/balances/1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	close(seen)
	tail, err := io.ReadAll(resp.Body)
	if err != nil || string(tail) != "tail" {
		t.Fatalf("%q, %v", tail, err)
	}
}

// TestEarlyResponseEndsUpload: the response of an upstream that refuses early reaches the caller while it is still
// sending, and a caller that stops sending does not keep the request open.
func TestEarlyResponseEndsUpload(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, false) {
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, r)
		}
	})
	e := newTestEntry(t, nil, u.address())
	pr, pw := io.Pipe()
	defer func() { _ = pw.Close() }()
	go func() { _, _ = io.WriteString(pw, "head") }()
	req, _ := http.NewRequest("PUT", e.server.URL+"/kasse/ledgers/1", pr)
	resp, err := e.server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("response status %d", resp.StatusCode)
	}
}

// TestCallerAbortsUpload: a caller that disconnects during its upload does not count as a failure of the server.
func TestCallerAbortsUpload(t *testing.T) {
	ended := make(chan error, 1)
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	pr, pw := io.Pipe()
	go func() {
		_, _ = io.WriteString(pw, "head")
		_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	}()
	req, _ := http.NewRequest("PUT", e.server.URL+"/kasse/ledgers/1", pr)
	if resp, err := e.server.Client().Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the caller got a response, want an error")
	}
	if err := <-ended; err == nil {
		t.Fatal("the upstream read a truncated upload without an error")
	}
	e.server.Close()
	if f := e.placer.failures(); len(f) != 1 || f[0] != FailureCancelled {
		t.Fatalf("failures %v", f)
	}
}

// TestShedIsNotRun: an upstream's explicit refusal proves not-run only if it echoes the attempt ID.
func TestShedIsNotRun(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	e := newTestEntry(t, nil, addressOf(shed))
	resp, _ := e.do(t, "POST", "/kasse/levies/1", nil, HeaderIdempotency, "k1")
	if resp.Header.Get(HeaderOutcome) != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("headers %v", resp.Header)
	}
	again, _ := e.do(t, "POST", "/kasse/levies/1", nil, HeaderIdempotency, "k1")
	if again.Header.Get(HeaderOutcome) != "not-run" {
		t.Fatalf("a released key was not accepted again: outcome %q, want not-run", again.Header.Get(HeaderOutcome))
	}
	withoutEcho := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nAzureflow-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	e = newTestEntry(t, nil, withoutEcho.address())
	resp, _ = e.do(t, "POST", "/kasse/levies/1", nil, HeaderIdempotency, "k1")
	if resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("refusal without an echo: outcome %q, want unknown", resp.Header.Get(HeaderOutcome))
	}
}

// TestRequestAndAttemptsAreRecorded: the request and each attempt write one record, linked by the ID of the request.
func TestRequestAndAttemptsAreRecorded(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {})
	e := newTestEntry(t, nil, addressOf(shed), addressOf(good))
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	e.server.Close()
	requests, attempts := e.recorder.ofKind(review.KindRequest), e.recorder.ofKind(review.KindAttempt)
	if len(requests) != 1 || len(attempts) != 2 {
		t.Fatalf("%d request records and %d attempt records, want 1 and 2", len(requests), len(attempts))
	}
	if string(requests[0].ID) != resp.Header.Get(HeaderDecision) || requests[0].Outcome != "done" {
		t.Errorf("request %+v", requests[0])
	}
	if attempts[0].Parent != requests[0].ID || attempts[0].Outcome != "not-run" || attempts[1].Outcome != "done" {
		t.Errorf("attempts %+v %+v", attempts[0], attempts[1])
	}
}

func TestBufferedBodyIsReplayedByNextAttempt(t *testing.T) {
	s := newBodySource(strings.NewReader("money"))
	first := s.view()
	_, _ = io.ReadFull(first, make([]byte, 2))
	_ = first.Close()
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("read of a closed view: error %v, want io.ErrClosedPipe", err)
	}
	data, err := io.ReadAll(s.view())
	if err != nil || string(data) != "money" {
		t.Fatalf("%q, %v", data, err)
	}
	long := newBodySource(strings.NewReader(strings.Repeat("x", replayBytes+1)))
	_, _ = io.Copy(io.Discard, long.view())
	if long.isReplayable() {
		t.Fatal("a body longer than replayBytes is reported as replayable")
	}
	var unavailable *BodyUnavailableError
	if _, err := long.view().Read(make([]byte, 1)); !errors.As(err, &unavailable) {
		t.Fatalf("read of a second view of a long body: error %v, want *BodyUnavailableError", err)
	}
}
