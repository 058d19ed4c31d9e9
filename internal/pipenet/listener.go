// Package pipenet provides listeners whose connections are in-memory pipes, for tests in virtual time.
package pipenet

import (
	"context"
	"net"
	"sync"
)

// Addr is the address of a Listener, host:port.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }

// Listener accepts the connections that Dial opens. It is safe for concurrent use.
type Listener struct {
	addr     Addr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Listen returns an open Listener.
func Listen(addr Addr) *Listener {
	return &Listener{addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns a connection once it is accepted. Errors: net.ErrClosed if the listener is closed, the error of ctx.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }
