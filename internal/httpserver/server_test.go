package httpserver

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// newTestServer returns a Server on loopback whose handler reports each request on started, unless that is nil, and
// waits until released is closed.
func newTestServer(t *testing.T, started chan<- struct{}, released <-chan struct{}) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if started != nil {
			started <- struct{}{}
		}
		<-released
		w.WriteHeader(http.StatusNoContent)
	})})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
	})
	return s, "http://" + l.Addr().String()
}

func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func get(t *testing.T, client *http.Client, url string) *http.Response {
	t.Helper()
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

func TestResponsesAskToCloseOnceKeepAlivesAreDisabled(t *testing.T) {
	s, url := newTestServer(t, nil, closedChannel())
	client := &http.Client{Transport: &http.Transport{}}
	if resp := get(t, client, url); resp.Close {
		t.Error("a response asks to close the connection while keep-alives are enabled")
	}
	s.DisableKeepAlives()
	if resp := get(t, client, url); !resp.Close {
		t.Error("a response does not ask to close the connection after keep-alives were disabled")
	}
}

func TestDrainClosesIdleConnections(t *testing.T) {
	s, url := newTestServer(t, nil, closedChannel())
	get(t, &http.Client{Transport: &http.Transport{}}, url) // its connection stays open
	s.StopAccepting()
	if !s.Drain(t.Context(), 10*time.Millisecond) {
		t.Error("an idle connection is left after draining")
	}
	if _, err := http.Get(url); err == nil {
		t.Error("a new connection is accepted after draining")
	}
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, url := newTestServer(t, started, release)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get(url)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-started
	s.StopAccepting()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if s.Drain(ctx, 0) {
		t.Error("Drain reports success with a request in flight")
	}
	close(release)
	if !s.Drain(t.Context(), 0) || <-status != http.StatusNoContent {
		t.Error("the request in flight was aborted")
	}
}

// blockedListener does not call Accept of the TCP listener until it is released.
type blockedListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l *blockedListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Connections that are pending with a sent request when the server stops accepting are served.
func TestConnectionsThatWaitToBeAcceptedAreServed(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	blocked := &blockedListener{TCPListener: l, released: make(chan struct{})}
	s := New(blocked, Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	defer s.Close()
	go func() { _ = s.Serve() }()
	var conns []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"))
		conns = append(conns, c)
	}
	s.StopAccepting()
	close(blocked.released)
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("no response on a pending connection: %v", err)
			continue
		}
		_ = resp.Body.Close()
	}
	if !s.Drain(t.Context(), 0) {
		t.Error("a connection is left after draining")
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("a new connection is accepted after draining")
	}
}
