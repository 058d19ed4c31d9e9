package demo

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection whose bytes arrive after the delay of its path, in both directions.
type conn struct {
	net.Conn
	network  *network
	from, to place
	out, in  *pipe
	muted    atomic.Bool
	once     sync.Once
	closed   chan struct{}
	rest     []byte // read but not yet taken
}

// Write queues b; it blocks while too much is queued.
func (c *conn) Write(b []byte) (int, error) {
	c.tell(&transfer{conn: c, from: c.from, to: c.to, data: b})
	if !c.out.put(append([]byte(nil), b...)) {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// Read returns bytes whose delay has passed.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		data, ok := c.in.get()
		if !ok {
			return 0, io.EOF
		}
		c.rest = data
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes both directions; bytes queued to be sent are sent first.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		delete(c.network.open, c)
		c.network.mu.Unlock()
		c.out.close()
		c.in.close()
		close(c.closed)
	})
	return nil
}

// SetDeadline does nothing: the clients that use these connections cancel by closing them.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, as SetDeadline.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, as SetDeadline.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// breakOff ends the connection as the death of one end does.
func (c *conn) breakOff() {
	c.in.close()
	_ = c.Close()
	_ = c.Conn.Close()
}

func (c *conn) tell(t *transfer) {
	if observe := c.network.observe; observe != nil {
		observe(t)
	}
}

// lost reports whether what is sent from one end to the other is lost.
func (c *conn) lost(from, to place) bool { return c.muted.Load() || c.network.isCut(from, to) }

func (c *conn) pumpOut() {
	defer func() { _ = c.Conn.Close() }()
	for {
		data, ok := c.out.get()
		if !ok {
			return
		}
		c.network.awaitResume(c.from, c.to, c.closed)
		if c.lost(c.from, c.to) {
			continue
		}
		if _, err := c.Conn.Write(data); err != nil {
			return
		}
	}
}

func (c *conn) pumpIn() {
	const chunk = 32 << 10 // bytes
	for {
		buf := make([]byte, chunk)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.tell(&transfer{conn: c, from: c.to, to: c.from, answer: true, data: buf[:n]})
		}
		c.network.awaitResume(c.from, c.to, c.closed)
		if n > 0 && !c.lost(c.to, c.from) && !c.in.put(buf[:n]) {
			return
		}
		if err != nil {
			if !c.lost(c.to, c.from) {
				c.in.finish()
			}
			return
		}
	}
}
