package refplatform_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
)

// network connects clients to one server by pipes; open connections can be made unresponsive.
type network struct {
	accept chan net.Conn
	closed chan struct{}

	mu    sync.Mutex
	conns []*unresponsiveConn
}

func newNetwork() *network {
	return &network{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept, Close and Addr implement net.Listener.
func (n *network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *network) Close() error   { close(n.closed); return nil }
func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &unresponsiveConn{Conn: near}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	n.accept <- far
	return c, nil
}

// makeUnresponsive makes every open connection discard writes and deliver no more data.
func (n *network) makeUnresponsive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.unresponsive = true
		c.mu.Unlock()
	}
}

type unresponsiveConn struct {
	net.Conn
	mu           sync.Mutex
	unresponsive bool
}

func (c *unresponsiveConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	unresponsive := c.unresponsive
	c.mu.Unlock()
	if unresponsive {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func TestUnresponsiveConnectionsCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		server := &http.Server{Handler: standin.NewPlatform(standin.PlatformOptions{}).Handler()}
		go func() { _ = server.Serve(n) }()
		transport := &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 4}
		c := refplatform.NewClient(refplatform.ClientOptions{StoreURL: "http://store", Transport: transport})
		if _, err := c.CompareAndSwap(t.Context(), "a", 0, []byte("1"), 0); err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				if _, err := c.Get(t.Context(), "a"); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		n.makeUnresponsive()
		start := time.Now()
		failures := 0
		for {
			_, err := c.Get(t.Context(), "a")
			if err == nil {
				break
			}
			failures++
		}
		if took := time.Since(start); failures != 1 || took > 2*time.Second {
			t.Errorf("%d failures, %v", failures, took)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
		synctest.Wait()
	})
}
