package request

import (
	"context"
	"io"
	"net/http"
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
