package drain

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// running returns a Server on loopback whose handler waits until released is closed.
func running(t *testing.T, released <-chan struct{}) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-released
		w.WriteHeader(http.StatusNoContent)
	})})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("serving ended with %v", err)
		}
	})
	return s, "http://" + l.Addr().String()
}

func released() <-chan struct{} {
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

func TestAnswersOfALeavingServerAskToClose(t *testing.T) {
	s, url := running(t, released())
	client := &http.Client{Transport: &http.Transport{}}
	if resp := get(t, client, url); resp.Close {
		t.Error("an answer asks to close the connection though the server stays")
	}
	s.DisableKeepAlives()
	if resp := get(t, client, url); !resp.Close {
		t.Error("an answer of a server that leaves does not ask to close the connection")
	}
}

func TestDrainClosesWhatIsUnused(t *testing.T) {
	s, url := running(t, released())
	get(t, &http.Client{Transport: &http.Transport{}}, url) // its connection stays open
	s.StopAccepting()
	if !s.Drain(t.Context(), 10*time.Millisecond) {
		t.Error("a connection that nobody uses is left")
	}
	if _, err := http.Get(url); err == nil {
		t.Error("a new connection is accepted")
	}
}

func TestDrainWaitsForWhatIsInFlight(t *testing.T) {
	release := make(chan struct{})
	s, url := running(t, release)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.Get(url)
		if err != nil {
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	for s.open() == 0 || len(s.unused()) > 0 {
		time.Sleep(time.Millisecond)
	}
	s.StopAccepting()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if s.Drain(ctx, 0) {
		t.Error("drained with a request in flight")
	}
	close(release)
	if !s.Drain(t.Context(), 0) || <-answered != http.StatusNoContent {
		t.Error("the request in flight was cut off")
	}
}

// heldUpListener does not come to accept until it is released.
type heldUpListener struct {
	*net.TCPListener
	released chan struct{}
}

// Accept implements net.Listener.
func (l *heldUpListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Connections whose requests were sent, and that wait to be accepted when the server stops accepting, are served.
func TestConnectionsThatWaitToBeAcceptedAreServed(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	held := &heldUpListener{TCPListener: l, released: make(chan struct{})}
	s := New(held, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
	close(held.released)
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("no answer: %v", err)
			continue
		}
		_ = resp.Body.Close()
	}
	if !s.Drain(t.Context(), 0) {
		t.Error("a connection is left")
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("a new connection is accepted")
	}
}
