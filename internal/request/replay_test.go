package request

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// rawUpstream serves each connection with f and counts the requests whose header arrived.
type rawUpstream struct {
	listener net.Listener
	headers  atomic.Int64
}

func newRawUpstream(t testing.TB, f func(u *rawUpstream, c net.Conn, r *bufio.Reader)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(u, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

// read reads the header of a request, and its body if withBody is set.
func (u *rawUpstream) read(r *bufio.Reader, withBody bool) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if req.URL.Path != "/warm" {
		u.headers.Add(1)
	}
	if withBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	return true
}

func (u *rawUpstream) address() string { return u.listener.Addr().String() }

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// closeOnSecond responds to the first request of a connection and closes the connection after the second.
func closeOnSecond(u *rawUpstream, c net.Conn, r *bufio.Reader) {
	if !u.read(r, true) {
		return
	}
	_, _ = io.WriteString(c, emptyOK)
	u.read(r, true)
}

// TestBareTransportReplays shows the fault that the handler must not have: net/http on its own sends a POST with an
// idempotency key twice when a reused connection fails.
func TestBareTransportReplays(t *testing.T) {
	u := newRawUpstream(t, closeOnSecond)
	bare := &http.Transport{}
	defer bare.CloseIdleConnections()
	send := func(path string) error {
		req, _ := http.NewRequest("POST", "http://"+u.address()+path, nil)
		req.Header.Set(HeaderIdempotency, "k")
		resp, err := bare.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	if err := send("/first"); err != nil {
		t.Fatal(err)
	}
	if err := send("/second"); err != nil {
		t.Fatal(err)
	}
	if n := u.headers.Load(); n != 3 {
		t.Fatalf("server received %d requests, want 3: the second one twice", n)
	}
}

func TestReusedDeadConnectionRunsOnce(t *testing.T) {
	for _, body := range []string{"", "money"} {
		u := newRawUpstream(t, closeOnSecond)
		e := newTestEntry(t, nil, u.address())
		first, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader(body), HeaderIdempotency, "k1")
		second, _ := e.do(t, "POST", "/kasse/levies/2", strings.NewReader(body), HeaderIdempotency, "k2")
		if first.Header.Get(HeaderOutcome) != "done" || second.Header.Get(HeaderOutcome) != "unknown" {
			t.Fatalf("outcomes %q, %q", first.Header.Get(HeaderOutcome), second.Header.Get(HeaderOutcome))
		}
		if n := u.headers.Load(); n != 2 {
			t.Fatalf("server received %d requests with body %q, want 2", n, body)
		}
	}
}

// TestClosedIdleConnectionRunsOnce: with a server that closes its connection after each response, every outcome is
// still true and no request runs twice.
func TestClosedIdleConnectionRunsOnce(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, emptyOK)
		}
	})
	e := newTestEntry(t, nil, u.address())
	for i := range 50 {
		key := "k" + strconv.Itoa(i)
		before := u.headers.Load()
		resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, key)
		ran := u.headers.Load() - before
		switch outcome := resp.Header.Get(HeaderOutcome); {
		case ran > 1:
			t.Fatalf("ran %d times", ran)
		case outcome == "done" && ran != 1, outcome == "not-run" && ran != 0:
			t.Fatalf("outcome %q, ran %d times", outcome, ran)
		}
	}
}

func TestHalfWrittenBodyIsUnknown(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, false) {
			_, _ = io.CopyN(io.Discard, r, 1000)
		}
	})
	e := newTestEntry(t, nil, u.address())
	body := strings.NewReader(strings.Repeat("x", 4<<20))
	req, _ := http.NewRequest("POST", e.server.URL+"/kasse/levies/1", body)
	req.Header.Set(HeaderIdempotency, "k1")
	resp, err := e.server.Client().Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		if got := resp.Header.Get(HeaderOutcome); got != "unknown" {
			t.Fatalf("outcome %q", got)
		}
	}
	if n := u.headers.Load(); n != 1 {
		t.Fatalf("server received %d requests", n)
	}
}

func TestInterimResponseThenCloseIsUnknown(t *testing.T) {
	for _, interim := range []string{"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200"} {
		u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
			if u.read(r, true) {
				_, _ = io.WriteString(c, interim)
			}
		})
		e := newTestEntry(t, nil, u.address())
		resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
		if got := resp.Header.Get(HeaderOutcome); got != "unknown" {
			t.Fatalf("outcome %q after %q", got, interim)
		}
		if n := u.headers.Load(); n != 1 {
			t.Fatalf("server received %d requests after %q, want 1", n, interim)
		}
	}
}

// TestSwitchingProtocolsIsRefused: a 101 response is not passed on, as a caller could not use it.
func TestSwitchingProtocolsIsRefused(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, c net.Conn, r *bufio.Reader) {
		if u.read(r, true) {
			_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
		}
	})
	e := newTestEntry(t, nil, u.address())
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("response: status %d, outcome %q", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
}

func TestIdempotentIsRetriedByHandlerNotTransport(t *testing.T) {
	u := newRawUpstream(t, closeOnSecond)
	other := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {})
	e := newTestEntry(t, nil, u.address(), addressOf(other))
	e.do(t, "GET", "/kasse/balances/1", nil)
	resp, _ := e.do(t, "GET", "/kasse/balances/2", nil)
	if got := resp.Header.Get(HeaderOutcome); got != "done" {
		t.Fatalf("outcome %q", got)
	}
	if n := u.headers.Load(); n != 2 {
		t.Fatalf("server received %d requests", n)
	}
	want := []Failure{FailureNone, FailureReset, FailureNone}
	if got := e.placer.failures(); len(got) != 3 || got[1] != want[1] {
		t.Fatalf("failures %v", got)
	}
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := newSealableConn(near)
	if n := c.seal(); n != 0 {
		t.Fatalf("%d bytes before any write", n)
	}
	if _, err := c.Write([]byte("late")); err == nil {
		t.Fatal("a sealed connection accepted a write")
	}
	if n := c.bytesWritten(); n != 0 {
		t.Fatalf("%d bytes counted after the seal", n)
	}
}

// h2Script is how a raw HTTP/2 server ends the first stream of its first connection.
type h2Script struct {
	name       string
	end        func(f *http2.Framer, stream uint32)
	mayHaveRun bool // the server may have run the first stream
	keepsConn  bool // the connection stays open
}

func h2Scripts() []h2Script {
	return []h2Script{
		{"refused stream", func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeRefusedStream) }, false, true},
		{"goaway before stream", func(f *http2.Framer, _ uint32) { _ = f.WriteGoAway(0, http2.ErrCodeNo, nil) }, false, false},
		{"goaway after stream", func(f *http2.Framer, s uint32) { _ = f.WriteGoAway(s, http2.ErrCodeNo, nil) }, true, false},
		{"cancelled stream", func(f *http2.Framer, s uint32) { _ = f.WriteRSTStream(s, http2.ErrCodeCancel) }, true, true},
		{"connection lost", func(*http2.Framer, uint32) {}, true, false},
	}
}

// TestHTTP2NeverSendsTwice: over a transport whose bytes cannot be counted, too, a request whose stream the server
// may have run is not sent again.
func TestHTTP2NeverSendsTwice(t *testing.T) {
	for _, script := range h2Scripts() {
		for _, body := range []string{"", "money"} {
			t.Run(script.name+" body "+body, func(t *testing.T) { checkHTTP2(t, script, body) })
		}
	}
}

func checkHTTP2(t *testing.T, script h2Script, body string) {
	var ran, streams atomic.Int64
	u := newRawUpstream(t, func(_ *rawUpstream, c net.Conn, r *bufio.Reader) {
		serveHTTP2(c, r, func(f *http2.Framer, stream uint32) bool {
			if streams.Add(1) > 1 {
				ran.Add(1)
				respondHTTP2(f, stream)
				return true
			}
			if script.mayHaveRun {
				ran.Add(1)
			}
			script.end(f, stream)
			return script.keepsConn
		})
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	e := newTestEntry(t, func(o *HandlerOptions) { o.Transport = transport }, u.address())
	resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader(body), HeaderIdempotency, "k1")
	if n := ran.Load(); n > 1 {
		t.Fatalf("ran %d times", n)
	}
	outcome := resp.Header.Get(HeaderOutcome)
	if outcome == "not-run" && ran.Load() > 0 {
		t.Fatal("outcome is not-run, but the request ran")
	}
	if script.mayHaveRun && outcome != "unknown" {
		t.Fatalf("outcome %q", outcome)
	}
}

// serveHTTP2 calls onStream for each stream of one connection until it returns false.
func serveHTTP2(c net.Conn, r *bufio.Reader, onStream func(*http2.Framer, uint32) bool) {
	if _, err := io.CopyN(io.Discard, r, int64(len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, r)
	_ = f.WriteSettings()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		if s, ok := frame.(*http2.SettingsFrame); ok && !s.IsAck() {
			_ = f.WriteSettingsAck()
		}
		if frame.Header().Flags.Has(http2.FlagDataEndStream) && isRequestFrame(frame) {
			if !onStream(f, frame.Header().StreamID) {
				return
			}
		}
	}
}

func isRequestFrame(f http2.Frame) bool {
	return f.Header().Type == http2.FrameHeaders || f.Header().Type == http2.FrameData
}

func respondHTTP2(f *http2.Framer, stream uint32) {
	var block strings.Builder
	enc := hpack.NewEncoder(&block)
	_ = enc.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	_ = f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: []byte(block.String()), EndHeaders: true, EndStream: true,
	})
}
