package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/httpserver"
)

// limitConns returns a listener of which at most limit connections are open at a time, 0: any number. Beyond that the
// one that sent nothing for longest is closed: entry VMs ask each other several times a second.
func limitConns(l net.Listener, limit int, report func(reason httpserver.Reason, caller string)) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitedListener{Listener: l, limit: limit, report: report, conns: make(map[*limitedConn]struct{})}
}

type limitedListener struct {
	net.Listener
	limit  int
	report func(reason httpserver.Reason, caller string)

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: raw, listener: l}
	c.lastRead.Store(time.Now().UnixNano())
	if oldest := l.add(c); oldest != nil {
		_ = oldest.Close()
		l.report(httpserver.ReasonIdle, oldest.RemoteAddr().String())
	}
	return c, nil
}

// add includes c. It returns the connection to close for it, nil if there is room.
func (l *limitedListener) add(c *limitedConn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if len(l.conns) <= l.limit {
		return nil
	}
	var oldest *limitedConn
	for other := range l.conns {
		if oldest == nil || other.lastRead.Load() < oldest.lastRead.Load() {
			oldest = other
		}
	}
	return oldest
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	lastRead atomic.Int64 // when bytes last came, Unix nanoseconds
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements io.Closer.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
