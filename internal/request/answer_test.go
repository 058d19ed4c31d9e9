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

// TestCutOffAnswerNeverEndsCleanly: whatever framing the upstream uses, the caller sees an error.
func TestCutOffAnswerNeverEndsCleanly(t *testing.T) {
	cuts := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha",
	}
	for _, cut := range cuts {
		u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
			if u.read(r, true) {
				_, _ = io.WriteString(c, cut)
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
			t.Fatalf("a cut-off answer ended cleanly with %q", data)
		}
	}
}

// TestAnswerWithoutFramingIsRefused: an HTTP/1.0 style answer that ends with its connection cannot be told from
// one that was cut off.
func TestAnswerWithoutFramingIsRefused(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nmaybe half")
		}
	})
	e := newTestEntry(t, nil, u.address())
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("answer %d %q", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
}

// TestCrossedAnswerIsDiscarded: an answer that echoes another attempt reaches no caller, and its
// connection is not used again.
func TestCrossedAnswerIsDiscarded(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		for u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAzureflow-Attempt: other.1.1\r\nContent-Length: 6\r\n\r\nsecret")
		}
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "mine") })
	e := newTestEntry(t, nil, u.address(), addressOf(good))
	resp, body := e.do(t, "GET", "/kasse/balances/1", nil)
	if resp.StatusCode != http.StatusOK || body != "mine" {
		t.Fatalf("lookup got %d %q", resp.StatusCode, body)
	}
	resp, body = e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.Header.Get(HeaderOutcome) != "unknown" || strings.Contains(body, "secret") {
		t.Fatalf("levy got %q %q", resp.Header.Get(HeaderOutcome), body)
	}
	if !strings.Contains(resp.Header.Get(HeaderProxyStatus), "http_protocol_error") {
		t.Errorf("proxy status %q", resp.Header.Get(HeaderProxyStatus))
	}
}

// TestCallerGoneCancelsUpstream: the upstream sees the cancellation and the slot comes back.
func TestCallerGoneCancelsUpstream(t *testing.T) {
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
		t.Fatal("an answer came")
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

// TestDeadlineIsCarried: the upstream is told the time left, and is cancelled when it is over.
func TestDeadlineIsCarried(t *testing.T) {
	told := make(chan string, 4)
	ended := make(chan struct{}, 4)
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		told <- r.Header.Get(HeaderTimeout)
		<-r.Context().Done()
		ended <- struct{}{}
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1", HeaderTimeout, "200")
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("answer %d %q", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
	if ms, err := strconv.Atoi(<-told); err != nil || ms < 1 || ms > 200 {
		t.Fatalf("upstream was told %d ms", ms)
	}
	<-ended
}

// TestUploadStreams: the upstream reads the first part before the caller has sent the last.
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
		t.Fatalf("answer %d %q", resp.StatusCode, body)
	}
}

// TestDownloadStreams: the caller reads the first part before the upstream has sent the last.
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

// TestEarlyAnswerEndsUpload: an upstream that refuses early is heard while the caller still sends, and
// a caller that stops sending does not hold the request.
func TestEarlyAnswerEndsUpload(t *testing.T) {
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
		t.Fatalf("answer %d", resp.StatusCode)
	}
}

// TestCallerCutsUpload: a caller that goes away in its upload is no failure of the server.
func TestCallerCutsUpload(t *testing.T) {
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
		t.Fatal("an answer came")
	}
	if err := <-ended; err == nil {
		t.Fatal("the upstream took a cut-off upload for whole")
	}
	e.server.Close()
	if f := e.placer.failures(); len(f) != 1 || f[0] != FailureCancelled {
		t.Fatalf("failures %v", f)
	}
}

// TestShedIsNotRun: an upstream's explicit refusal proves not-run only with the attempt's echo.
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
		t.Fatalf("a released key cannot be used again: %q", again.Header.Get(HeaderOutcome))
	}
	silent := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nAzureflow-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	e = newTestEntry(t, nil, silent.address())
	resp, _ = e.do(t, "POST", "/kasse/levies/1", nil, HeaderIdempotency, "k1")
	if resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("without an echo: %q", resp.Header.Get(HeaderOutcome))
	}
}

// TestRecordsTellRequestAndAttempts: each hop leaves one record, joined by the request's id.
func TestRecordsTellRequestAndAttempts(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {})
	e := newTestEntry(t, nil, addressOf(shed), addressOf(good))
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	e.server.Close()
	requests, attempts := e.recorder.kinds(review.KindRequest), e.recorder.kinds(review.KindAttempt)
	if len(requests) != 1 || len(attempts) != 2 {
		t.Fatalf("%d requests, %d attempts", len(requests), len(attempts))
	}
	if string(requests[0].ID) != resp.Header.Get(HeaderDecision) || requests[0].Outcome != "done" {
		t.Errorf("request %+v", requests[0])
	}
	if attempts[0].Parent != requests[0].ID || attempts[0].Outcome != "not-run" || attempts[1].Outcome != "done" {
		t.Errorf("attempts %+v %+v", attempts[0], attempts[1])
	}
}

func TestPrefixKeepsBodyForTheNextAttempt(t *testing.T) {
	s := newBodySource(strings.NewReader("money"))
	first := s.view()
	_, _ = io.ReadFull(first, make([]byte, 2))
	_ = first.Close()
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
		t.Fatalf("a closed view read on: %v", err)
	}
	data, err := io.ReadAll(s.view())
	if err != nil || string(data) != "money" {
		t.Fatalf("%q, %v", data, err)
	}
	long := newBodySource(strings.NewReader(strings.Repeat("x", replayBytes+1)))
	_, _ = io.Copy(io.Discard, long.view())
	if long.replayable() {
		t.Fatal("a long body counts as replayable")
	}
	var unavailable *BodyUnavailableError
	if _, err := long.view().Read(make([]byte, 1)); !errors.As(err, &unavailable) {
		t.Fatalf("a second view of a long body: %v", err)
	}
}
