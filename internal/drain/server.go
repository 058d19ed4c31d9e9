// Package drain stops an HTTP server without losing a request that it has read. http.Server.Shutdown does not: once it
// has begun, a connection on which a request is read is closed without an answer.
package drain

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

const (
	poll = 20 * time.Millisecond // between two looks at the connections of a server that drains
	// A listener that stops accepting is closed once no connection waited for acceptRest, or after acceptLimit; a new
	// connection's request follows within milliseconds in a zone.
	acceptRest  = 5 * time.Millisecond
	acceptLimit = 100 * time.Millisecond
)

// Server is an HTTP server with its open connections. It is safe for concurrent use.
type Server struct {
	listener  net.Listener
	server    *http.Server
	leaving   atomic.Bool
	accepting atomic.Bool
	heard     atomic.Int64 // when bytes came last, Unix nanoseconds

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is a connection of a Server.
type conn struct {
	net.Conn
	owner  *Server
	active atomic.Bool // a request is being handled
	begun  atomic.Bool // bytes of the next request were read
}

// New returns a Server for the connections of listener, which server handles. Its handler and its ConnState are
// replaced.
func New(l net.Listener, server *http.Server) *Server {
	s := &Server{listener: l, server: server, conns: make(map[*conn]struct{})}
	server.ConnState = s.noteState
	server.Handler = s.askToClose(server.Handler)
	return s
}

// askToClose lets every answer of a server that leaves ask its caller to close the connection.
func (s *Server) askToClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header()["Connection"] = []string{"close"}
		}
		next.ServeHTTP(w, r)
	})
}

// Serve handles connections until the server stops accepting. Errors: those of accepting.
func (s *Server) Serve() error {
	s.accepting.Store(true)
	defer s.accepting.Store(false)
	err := s.server.Serve(&listener{Listener: s.listener, owner: s})
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// add notes a connection that was accepted.
func (s *Server) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, owner: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
		c.owner.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite ends the sending side, so that the caller gets an answer whole whose request was not read whole.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// noteState follows the connections of the server.
func (s *Server) noteState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.begun.Store(false)
		c.active.Store(false)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// DisableKeepAlives makes every answer from now on ask its caller to close the connection.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// StopAccepting refuses new connections, but for those that wait to be accepted already: closing the listener resets
// them, and their requests may be on the way.
func (s *Server) StopAccepting() {
	s.DisableKeepAlives()
	if l, ok := s.listener.(deadliner); ok && l.SetDeadline(time.Now()) == nil {
		return // listener.Accept takes what waits, then closes
	}
	_ = s.listener.Close()
}

// Drain waits until no connection is open or ctx ends. Connections on which no request waits or was begun are closed
// once no bytes came on any for quiet. It reports whether none is left.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) bool {
	begun := time.Now()
	for !s.empty() {
		now := time.Now()
		heard := time.Unix(0, s.heard.Load())
		if now.Sub(begun) >= quiet && now.Sub(heard) >= quiet {
			s.closeUnused()
		}
		if clock.Sleep(ctx, poll) != nil {
			return s.empty()
		}
	}
	return true
}

// empty reports whether no connection is open, and none will be.
func (s *Server) empty() bool { return !s.accepting.Load() && s.open() == 0 }

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeUnused ends the connections on which no request waits or was begun.
func (s *Server) closeUnused() {
	for _, c := range s.unused() {
		if socket.Peek(c.Conn) != socket.Unread {
			// Unlike closing, this lets a request that was just read have its answer.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (s *Server) unused() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unused []*conn
	for c := range s.conns {
		if !c.active.Load() && !c.begun.Load() {
			unused = append(unused, c)
		}
	}
	return unused
}

// Close cuts off what is left.
func (s *Server) Close() { _ = s.server.Close() }
