package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// memory is a transport within the process, so that whole sessions run in virtual time.
type memory struct {
	mu        sync.Mutex
	ports     int
	listeners map[string]*memoryListener
}

func newMemory() *memory { return &memory{listeners: make(map[string]*memoryListener)} }

type memoryAddr string

func (memoryAddr) Network() string  { return "tcp" }
func (a memoryAddr) String() string { return string(a) }

// memoryListener accepts pipes.
type memoryListener struct {
	memory  *memory
	address memoryAddr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (m *memory) listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	m.ports++
	l := &memoryListener{
		memory: m, address: memoryAddr(fmt.Sprintf("%s:%d", host, 10000+m.ports)),
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.listeners[l.address.String()] = l
	return l, nil
}

func (m *memory) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
