// Package drain stops an HTTP server without losing a request that it has read. http.Server.Shutdown does not guarantee
// that: once it has started, a connection on which a request is read is closed without a response.
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
	pollInterval = 20 * time.Millisecond // between two checks of the connections of a server that drains
	// A listener that stops accepting is closed once no connection was pending for pendingAcceptWait, or after
	// pendingAcceptLimit; the request of a new connection follows within milliseconds in a zone.
	pendingAcceptWait  = 5 * time.Millisecond
	pendingAcceptLimit = 100 * time.Millisecond
)

// Server is an HTTP server with its open connections. It is safe for concurrent use.
type Server struct {
	listener           net.Listener
	server             *http.Server
	keepAlivesDisabled atomic.Bool
	accepting          atomic.Bool
	lastRead           atomic.Int64 // when bytes were last read, Unix nanoseconds

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is a connection of a Server.
type conn struct {
	net.Conn
	owner          *Server
	active         atomic.Bool // a request is being handled
	requestStarted atomic.Bool // bytes of the next request were read
}

// New returns a Server for the connections of listener, which server handles. It replaces the handler and the ConnState
// of server.
func New(l net.Listener, server *http.Server) *Server {
	s := &Server{listener: l, server: server, conns: make(map[*conn]struct{})}
	server.ConnState = s.onStateChange
	server.Handler = s.withConnectionClose(server.Handler)
	return s
}

// withConnectionClose makes responses ask the caller to close the connection once keep-alives are disabled.
func (s *Server) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
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

// track adds a connection that was accepted.
func (s *Server) track(raw net.Conn) *conn {
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
		c.requestStarted.Store(true)
		c.owner.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// CloseWrite closes the sending side, so that the caller gets the complete response to a request that was not read
// completely.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// onStateChange updates the connections of the server.
func (s *Server) onStateChange(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.requestStarted.Store(false)
		c.active.Store(false)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// DisableKeepAlives makes every response from now on ask the caller to close the connection.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// StopAccepting refuses new connections, except for those that are already pending: closing the listener resets them,
// and their requests may be in transit.
func (s *Server) StopAccepting() {
	s.DisableKeepAlives()
	if l, ok := s.listener.(deadlineListener); ok && l.SetDeadline(time.Now()) == nil {
		return // listener.Accept returns the pending connections, then closes
	}
	_ = s.listener.Close()
}

// Drain waits until no connection is open or ctx ends. Connections without a waiting or partly read request are closed
// once no bytes arrived on any connection for quiet. It reports whether no connection is left.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) bool {
	startedAt := time.Now()
	for !s.isDrained() {
		now := time.Now()
		lastRead := time.Unix(0, s.lastRead.Load())
		if now.Sub(startedAt) >= quiet && now.Sub(lastRead) >= quiet {
			s.closeIdle()
		}
		if clock.Sleep(ctx, pollInterval) != nil {
			return s.isDrained()
		}
	}
	return true
}

// isDrained reports whether no connection is open and none will be accepted.
func (s *Server) isDrained() bool { return !s.accepting.Load() && s.openConns() == 0 }

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeIdle closes the connections without a waiting or partly read request.
func (s *Server) closeIdle() {
	for _, c := range s.idleConns() {
		if socket.Peek(c.Conn) != socket.Unread {
			// Unlike closing, this lets a request that was just read get its response.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

func (s *Server) idleConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*conn
	for c := range s.conns {
		if !c.active.Load() && !c.requestStarted.Load() {
			idle = append(idle, c)
		}
	}
	return idle
}

// Close closes the remaining connections.
func (s *Server) Close() { _ = s.server.Close() }
