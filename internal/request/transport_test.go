package request

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"
)

// TestListenConfigServes: connections of the listener work with the socket options set.
func TestListenConfigServes(t *testing.T) {
	l, err := ListenConfig(time.Second).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	transport := NewTransport(TransportOptions{})
	defer transport.CloseIdleConnections()
	req, _ := http.NewRequest("GET", "http://"+l.Addr().String()+"/", nil)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestStalePlacementSendsNothing: an attempt that was paused between the choice of its server and its first byte sends
// nothing, and reports that.
func TestStalePlacementSendsNothing(t *testing.T) {
	for _, paused := range []time.Duration{0, placementValidity + time.Second} {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := newSealableConn(near)
		a := &attempt{started: time.Now().Add(-paused), cancel: func() {}}
		a.gotConn(httptrace.GotConnInfo{Conn: c})
		_, err := c.Write([]byte("GET"))
		if p := a.abandon(); (err != nil) != (paused > 0) || p.notSent() != (paused > 0) {
			t.Errorf("paused for %v: write %v, not sent %v", paused, err, p.notSent())
		}
		_ = far.Close()
	}
}
