package request

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// sealableConn is a connection to a server that counts the bytes handed to the network and can be sealed against
// further writes, so that an attempt can prove that none of its bytes were sent and none will be.
type sealableConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	written int64 // bytes handed to the network

	lastActivity atomic.Int64 // unix nanoseconds of the last byte in either direction
}

func newSealableConn(c net.Conn) *sealableConn {
	g := &sealableConn{Conn: c}
	g.recordActivity()
	return g
}

// Write implements net.Conn. The bytes count as written before they are handed over.
func (c *sealableConn) Write(p []byte) (int, error) {
	if !c.countWrite(len(p)) {
		return 0, &SealedConnError{}
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.recordActivity()
	}
	return n, err
}

// Read implements net.Conn.
func (c *sealableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordActivity()
	}
	return n, err
}

// seal closes the connection and returns the total number of bytes written to it; no write succeeds afterwards.
func (c *sealableConn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.written
	c.mu.Unlock()
	_ = c.Conn.Close()
	return n
}

// bytesWritten returns the number of bytes written so far.
func (c *sealableConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// inactiveFor returns the time since the last byte in either direction.
func (c *sealableConn) inactiveFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.lastActivity.Load())
}

func (c *sealableConn) countWrite(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(bytes)
	return true
}

func (c *sealableConn) recordActivity() { c.lastActivity.Store(time.Now().UnixNano()) }
