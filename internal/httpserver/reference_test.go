package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/pipenet"
)

// recorder is a handler that records the complete requests that it gets.
type recorder struct {
	mu       sync.Mutex
	requests []string
}

// ServeHTTP implements http.Handler.
func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	header := fmt.Sprint(req.Header)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, fmt.Sprintf("%s %s %s %q %s", req.Method, req.RequestURI, req.Host, body, header))
}

// referenceTimeout ends a connection on which nothing more arrives.
const referenceTimeout = 20 * time.Millisecond

// requestsOf returns the requests that reach the handler when data is sent to the server that serve runs.
func requestsOf(data []byte, serve func(l net.Listener, h http.Handler) (stop func())) []string {
	r := &recorder{}
	l := pipenet.Listen("reference:80")
	stop := serve(l, r)
	defer stop()
	c, err := l.Dial(context.Background())
	if err != nil {
		return nil
	}
	go func() { _, _ = c.Write(data) }()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

func serveThis(l net.Listener, h http.Handler) func() {
	s := New(l, Options{Handler: h, IdleTimeout: referenceTimeout, HeadTimeout: referenceTimeout})
	go func() { _ = s.Serve() }()
	return s.Close
}

func serveNetHTTP(l net.Listener, h http.Handler) func() {
	s := &http.Server{Handler: h, IdleTimeout: referenceTimeout, ReadHeaderTimeout: referenceTimeout}
	go func() { _ = s.Serve(l) }()
	return func() { _ = s.Close() }
}

const validGet = "GET /ok HTTP/1.1\r\nHost: a.example\r\n\r\n"

// What both servers take and what this one rejects although net/http takes it. No byte sequence is understood in two
// ways: the requests that this server handles are a prefix of those of net/http.
func TestRequestsAreThoseOfNetHTTP(t *testing.T) {
	for _, test := range []struct {
		name, data string
		stricter   bool // rejected here only
	}{
		{"one", validGet, false},
		{"two", validGet + validGet, false},
		{"body", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody" + validGet, false},
		{"chunked body", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + validGet, false},
		{"trailer", "POST /p HTTP/1.1\r\nHost: a\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n" + validGet, false},
		{"HTTP/1.0", "GET /old HTTP/1.0\r\n\r\n", false},
		{"absolute target", "GET http://b.example/x HTTP/1.1\r\nHost: a\r\n\r\n", false},
		{"no host", "GET / HTTP/1.1\r\n\r\n" + validGet, false},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + validGet, false},
		{"invalid host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n" + validGet, false},
		{"no protocol", "GET /\r\n\r\n" + validGet, false},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", true},
		{"space before the colon", "GET / HTTP/1.1\r\nHost: a\r\nX : 1\r\n\r\n" + validGet, false},
		{"two different lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + validGet, false},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nbody" + validGet, false},
		{"unknown encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nbody" + validGet, false},
		{"unknown expectation", "GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n" + validGet, false},
		{"length and encoding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + validGet, true},
		{"the same length twice", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + validGet, true},
		{"folded line", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n" + validGet, true},
		{"bare line feed", "GET / HTTP/1.1\nHost: a\n\n" + validGet, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			here, reference := requestsOf([]byte(test.data), serveThis), requestsOf([]byte(test.data), serveNetHTTP)
			if test.stricter != (len(here) < len(reference)) || !isPrefix(here, reference) {
				t.Errorf("handled %q, net/http %q", here, reference)
			}
		})
	}
}

func isPrefix(short, long []string) bool {
	return len(short) <= len(long) && slices.Equal(short, long[:len(short)])
}

func FuzzRequests(f *testing.F) {
	f.Add([]byte(validGet + validGet))
	f.Add([]byte("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody" + validGet))
	f.Add([]byte("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\n\r\n" + validGet))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + validGet))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n" + validGet))
	f.Add([]byte("GET / HTTP/1.1\nHost: a\n\r\n" + validGet))
	f.Add([]byte("GET http://b/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + validGet))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + validGet))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + validGet))
	f.Fuzz(func(t *testing.T, data []byte) {
		here, reference := requestsOf(data, serveThis), requestsOf(data, serveNetHTTP)
		if !isPrefix(here, reference) {
			t.Errorf("handled %q, net/http %q", here, reference)
		}
	})
}

// Heads longer than the buffer are read, and longer than the limit rejected.
func TestLengthOfHeads(t *testing.T) {
	for _, length := range []int{3 << 10, 5 << 10, 40 << 10, 63 << 10, 65 << 10, 200 << 10} {
		data := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", length) + "\r\n\r\n" + validGet
		want := 2
		if length > 64<<10 {
			want = 0
		}
		if got := len(requestsOf([]byte(data), serveThis)); got != want {
			t.Errorf("%d requests handled with a head of %d bytes, want %d", got, length, want)
		}
	}
}
