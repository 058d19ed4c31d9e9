// Package httpserver serves HTTP/1.1 connections. Unlike net/http it handles the pipelined requests of a connection
// concurrently, with the responses in the order of the requests (RFC 9112, section 9.3.2), and it can stop without
// losing a request that it has read.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/socket"
)

// Options configure a Server.
type Options struct {
	Handler http.Handler
	// RunsAhead reports whether a request without a body may run while earlier requests of its connection run, which
	// requires that it is idempotent. nil: no request may.
	RunsAhead    func(r *http.Request) bool
	MaxHeadBytes int           // of a request; default 64 KiB
	HeadTimeout  time.Duration // from the first byte of a request's head to its end; default 10 s
	IdleTimeout  time.Duration // of a connection without a request; default 1 min
	MaxInFlight  int           // requests of one connection; default 32
	MaxAhead     int           // requests of all connections that run ahead of earlier ones; default 256
	MaxHeldBytes int64         // responses of all connections that wait for earlier ones; default 16 MiB
	Limits       *Limits       // shared with other servers; nil: none
	// CallerLimits returns the limits in force, which replace those above where they are positive. nil: none.
	CallerLimits func() CallerLimits
	Log          logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	if o.MaxHeadBytes <= 0 {
		o.MaxHeadBytes = 64 << 10
	}
	if o.HeadTimeout <= 0 {
		o.HeadTimeout = 10 * time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = time.Minute
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 32
	}
	if o.MaxAhead <= 0 {
		o.MaxAhead = 256
	}
	if o.MaxHeldBytes <= 0 {
		o.MaxHeldBytes = 16 << 20
	}
	if o.RunsAhead == nil {
		o.RunsAhead = func(*http.Request) bool { return false }
	}
	if o.CallerLimits == nil {
		o.CallerLimits = func() CallerLimits { return CallerLimits{} }
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

// Server is an HTTP server with its open connections. It is safe for concurrent use.
type Server struct {
	opts               Options
	listener           net.Listener
	keepAlivesDisabled atomic.Bool
	accepting          atomic.Bool
	lastRead           atomic.Int64 // when bytes were last read, Unix nanoseconds
	startedAt          time.Time
	ahead              atomic.Int64 // requests that run ahead of earlier ones of their connection
	heldBytes          atomic.Int64 // of responses that wait for earlier ones

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// New returns a Server for the connections of listener.
func New(l net.Listener, opts Options) *Server {
	s := &Server{listener: &listener{Listener: l}, opts: opts.withDefaults(), conns: make(map[*conn]struct{}), startedAt: time.Now()}
	s.opts.Limits.add(s)
	return s
}

// ticks returns t as nanoseconds of the steady clock since the server's start, which go on neither while the VM is
// suspended nor when the time of day is set. They are never 0.
func (s *Server) ticks(t time.Time) int64 { return int64(t.Sub(s.startedAt)) + 1 }

// timeAt returns the time of ticks.
func (s *Server) timeAt(ticks int64) time.Time { return s.startedAt.Add(time.Duration(ticks - 1)) }

// callerLimits returns the limits in force.
func (s *Server) callerLimits() CallerLimits {
	limits := s.opts.CallerLimits()
	if limits.HeadBytes <= 0 {
		limits.HeadBytes = s.opts.MaxHeadBytes
	}
	if limits.HeadTimeout <= 0 {
		limits.HeadTimeout = s.opts.HeadTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = s.opts.IdleTimeout
	}
	return limits
}

// acceptRetryDelay is the pause after a connection could not be accepted for lack of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve handles connections until the server stops accepting. Errors: those of accepting.
func (s *Server) Serve() error {
	s.accepting.Store(true)
	defer s.accepting.Store(false)
	for {
		raw, err := s.listener.Accept()
		switch {
		case err == nil:
			s.startConn(raw)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTransientAcceptError(err):
			s.opts.Limits.makeRoom(time.Now())
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

func (s *Server) startConn(raw net.Conn) {
	if !s.opts.Limits.admit(raw.RemoteAddr(), time.Now()) {
		_ = raw.Close()
		return
	}
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = raw.Close()
		s.opts.Limits.remove()
		return
	}
	s.conns[c] = struct{}{}
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.opts.Limits.remove()
}

// DisableKeepAlives makes responses from now on ask the caller to close the connection.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// StopAccepting refuses new connections, except for those that are already pending: closing the listener resets them,
// and their requests may be in transit.
func (s *Server) StopAccepting() {
	s.DisableKeepAlives()
	if l, ok := s.listener.(*listener).Listener.(deadlineListener); ok && l.SetDeadline(time.Now()) == nil {
		return // listener.Accept returns the pending connections, then closes
	}
	_ = s.listener.Close()
}

// drainPollInterval is the time between two checks of the connections of a server that drains.
const drainPollInterval = 20 * time.Millisecond

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
		if clock.Sleep(ctx, drainPollInterval) != nil {
			return s.isDrained()
		}
	}
	return true
}

// isDrained reports whether no connection is open and none will be accepted.
func (s *Server) isDrained() bool { return !s.accepting.Load() && len(s.openConns()) == 0 }

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// closeIdle closes the connections without a waiting or partly read request.
func (s *Server) closeIdle() {
	for _, c := range s.openConns() {
		if socket.Peek(c.raw) != socket.Unread {
			c.closeIfIdle()
		}
	}
}

// Close closes the listener and the remaining connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		_ = c.raw.Close()
	}
}

// reserveAhead takes one of the places for requests that run ahead, and reports whether one was free.
func (s *Server) reserveAhead() bool {
	if s.ahead.Add(1) <= int64(s.opts.MaxAhead) {
		return true
	}
	s.ahead.Add(-1)
	return false
}

// reserveHeld reserves n bytes for responses that wait, and reports whether they were free.
func (s *Server) reserveHeld(n int) bool {
	if s.heldBytes.Add(int64(n)) <= s.opts.MaxHeldBytes {
		return true
	}
	s.heldBytes.Add(-int64(n))
	return false
}
