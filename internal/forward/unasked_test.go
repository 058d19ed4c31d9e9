package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

// chattyServer responds to each request and goes on sending until the connection is closed.
type chattyServer struct {
	listener net.Listener
	sent     atomic.Int64 // bytes beyond the responses
	closed   atomic.Int64 // connections
}

func startChattyServer(t *testing.T) *chattyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &chattyServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *chattyServer) serve(c net.Conn) {
	defer s.closed.Add(1)
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, err = io.WriteString(c, strings.ReplaceAll(signedHead, "ID", r.Header.Get("Test-Id"))+"Content-Length: 4\r\n\r\nbody")
	time.Sleep(20 * time.Millisecond) // until the connection is idle
	for chunk := make([]byte, 16<<10); err == nil; {
		var n int
		n, err = c.Write(chunk)
		s.sent.Add(int64(n))
	}
}

// Operators' report: a server sent bytes that were no response, without end, and the machine that had called it ran out
// of memory. On an idle connection nothing reads them: the system takes no more than its buffer holds, the next request
// gets another connection, and the idle limit closes this one.
func TestBytesWithoutEndOnAnIdleConnection(t *testing.T) {
	const (
		perConn  = 1 << 20 // of the buffers on both sides
		requests = 4
	)
	server := startChattyServer(t)
	env := &testEnv{table: routing.NewTable(&routing.Config{Version: 1, Routes: testRoutes()})}
	chooser := placement.NewChooser(placement.Options{Region: "near"})
	chooser.SetMembership(&placement.Membership{Members: []placement.Member{
		{ID: "a", Service: "desk", Address: server.listener.Addr().String(), Slots: 6, Region: "near"},
	}})
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	env.handler = NewHandler(Options{
		Headers: testHeaders, Table: func() *routing.Table { return env.table }, Chooser: chooser, Pool: pool, Journal: env, Region: "near",
	})
	for range requests {
		if resp, aborted := env.serve(newRequest("POST", "/unsafe/x", "sent")); aborted || resp.Code != 200 || resp.Body.String() != "body" {
			t.Errorf("status %d, body %q, aborted %v; want the response alone", resp.Code, resp.Body, aborted)
		}
		time.Sleep(100 * time.Millisecond) // the server sends on
	}
	pool.CloseExpired(time.Now().Add(defaultIdleTimeout))
	for deadline := time.Now().Add(10 * time.Second); server.closed.Load() < requests && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := server.closed.Load(); got != requests {
		t.Errorf("%d of %d connections are closed although their servers send unasked", got, requests)
	}
	if got := server.sent.Load(); got > requests*perConn {
		t.Errorf("%d bytes were taken on %d connections", got, requests)
	}
}
