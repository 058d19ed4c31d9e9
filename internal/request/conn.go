package request

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gatedConn is a connection to a server that counts what was handed to the network and can be sealed,
// so that an attempt can prove that none of its bytes left and that none will.
type gatedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64 // bytes handed to the network

	progress atomic.Int64 // unix nanoseconds of the last byte in either direction
}

func newGatedConn(c net.Conn) *gatedConn {
	g := &gatedConn{Conn: c}
	g.touch()
	return g
}

// Write implements net.Conn. The bytes count as written before they are handed over.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.open(len(p)) {
		return 0, &SealedConnError{}
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// seal closes the connection and returns the bytes written in its life; none follow.
func (c *gatedConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.written
	c.mu.Unlock()
	_ = c.Conn.Close()
	return n
}

// count returns the bytes written so far.
func (c *gatedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// silentFor returns how long nothing moved.
func (c *gatedConn) silentFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.progress.Load())
}

func (c *gatedConn) open(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(bytes)
	return true
}

func (c *gatedConn) touch() { c.progress.Store(time.Now().UnixNano()) }
