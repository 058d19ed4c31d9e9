package demo

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
)

// tap is a transport that watches the connections to one address and counts those that the listening side
// closes after it read a request and before its answer was whole.
type tap struct {
	transport
	address atomic.Pointer[string]
	cut     atomic.Int64 // before the answer began
	short   atomic.Int64 // in the middle of the answer
}

func (t *tap) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := t.transport.dial(ctx, address)
	if watched := t.address.Load(); err != nil || watched == nil || *watched != address {
		return c, err
	}
	return &tappedConn{Conn: c, tap: t}, nil
}

// tappedConn is the dialing end of a watched HTTP/1.1 connection.
type tappedConn struct {
	net.Conn
	tap *tap

	mu      sync.Mutex
	pending int // requests without a whole answer
	body    int // bytes of the answer under way that are still to come
}

var contentLength = regexp.MustCompile(`(?i)\r\ncontent-length: (\d+)`)

func (c *tappedConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(" HTTP/1.1\r\n")) {
		c.mu.Lock()
		c.pending++
		c.mu.Unlock()
	}
	return c.Conn.Write(b)
}

func (c *tappedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(b[:n])
	if errors.Is(err, io.EOF) && c.pending > 0 {
		c.pending = 0
		if c.body > 0 {
			c.tap.short.Add(1)
			return n, err
		}
		c.tap.cut.Add(1)
	}
	return n, err
}

// take follows the bytes of answers.
func (c *tappedConn) take(b []byte) {
	if len(b) == 0 {
		return
	}
	if c.body > 0 {
		c.body -= len(b)
	} else if head, rest, ok := bytes.Cut(b, []byte("\r\n\r\n")); ok && bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		length := 0
		if m := contentLength.FindSubmatch(head); m != nil {
			length, _ = strconv.Atoi(string(m[1]))
		}
		c.body = length - len(rest)
	} else {
		return
	}
	if c.body <= 0 {
		c.pending--
	}
}
