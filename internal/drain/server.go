package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/socket"
)

// door is one HTTP server of an entry VM with its open connections. It stops without http.Server.Shutdown, which closes
// a connection without an answer if it reads a request there after the stop has begun.
type door struct {
	listener net.Listener
	server   *http.Server
	heard    atomic.Int64 // when bytes came last, Unix nanoseconds

	mu    sync.Mutex
	conns map[*doorConn]struct{}
}

// doorConn is a connection of a door.
type doorConn struct {
	net.Conn
	door   *door
	active atomic.Bool // a request is being handled
	begun  atomic.Bool // bytes of the next request were read
}

// newDoor returns a door for the connections of listener.
func newDoor(listener net.Listener, server *http.Server) *door {
	d := &door{listener: listener, server: server, conns: make(map[*doorConn]struct{})}
	server.ConnState = d.noteState
	return d
}

// serve handles connections until the door stops accepting. Errors: those of accepting.
func (d *door) serve() error {
	err := d.server.Serve(doorListener{d.listener, d})
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// doorListener wraps what it accepts.
type doorListener struct {
	net.Listener
	door *door
}

// Accept implements net.Listener.
func (l doorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &doorConn{Conn: c, door: l.door}, nil
}

// Read implements net.Conn.
func (c *doorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
		c.door.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite ends the sending side, so that the caller gets an answer whole whose request was not read whole.
func (c *doorConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// noteState follows the connections of the server.
func (d *door) noteState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*doorConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		d.mu.Lock()
		d.conns[c] = struct{}{}
		d.mu.Unlock()
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.begun.Store(false)
		c.active.Store(false)
	case http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}
}

// stopAccepting refuses new connections.
func (d *door) stopAccepting() { _ = d.listener.Close() }

// drain waits until no connection is open or ctx ends. Connections on which no request waits or was begun are closed
// once no bytes came on any for quiet. It reports whether none is left.
func (d *door) drain(ctx context.Context, quiet time.Duration) bool {
	begun := time.Now()
	for d.open() > 0 {
		now := time.Now()
		heard := time.Unix(0, d.heard.Load())
		if now.Sub(begun) >= quiet && now.Sub(heard) >= quiet {
			d.closeUnused()
		}
		if clock.Sleep(ctx, stopPoll) != nil {
			return d.open() == 0
		}
	}
	return true
}

func (d *door) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// closeUnused ends the connections on which no request waits or was begun.
func (d *door) closeUnused() {
	for _, c := range d.unused() {
		if socket.Peek(c.Conn) != socket.Unread {
			// Unlike closing, this lets a request that was just read have its answer.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (d *door) unused() []*doorConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var unused []*doorConn
	for c := range d.conns {
		if !c.active.Load() && !c.begun.Load() {
			unused = append(unused, c)
		}
	}
	return unused
}

// close cuts off what is left.
func (d *door) close() { _ = d.server.Close() }
