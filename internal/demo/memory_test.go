package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"github.com/azureflow/azureflow/internal/pipenet"
)

// memory is a transport within the process, so that whole sessions run in virtual time.
type memory struct {
	mu        sync.Mutex
	ports     int
	listeners map[string]*pipenet.Listener
}

func newMemory() *memory { return &memory{listeners: make(map[string]*pipenet.Listener)} }

func (m *memory) listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	m.ports++
	l := pipenet.Listen(pipenet.Addr(fmt.Sprintf("%s:%d", host, 10000+m.ports)))
	m.listeners[l.Addr().String()] = l
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
	c, err := l.Dial(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil, refused
	}
	return c, err
}
