package httpserver

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// A listener that stops accepting is closed once no connection was pending for pendingAcceptWait, or after
	// pendingAcceptLimit; the request of a new connection follows within milliseconds in a zone.
	pendingAcceptWait  = 5 * time.Millisecond
	pendingAcceptLimit = 100 * time.Millisecond
)

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// listener is a listener that can stop accepting without resetting the connections that are already pending.
type listener struct {
	net.Listener
	acceptDeadline time.Time // of accepting pending connections; zero: the server still accepts
}

// Accept implements net.Listener. Once the server stops accepting it returns the pending connections, then
// net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		raw, err = l.acceptPending()
	}
	return raw, err
}

// acceptPending returns the next pending connection. It closes the listener if there is none. Errors: net.ErrClosed,
// those of accepting.
func (l *listener) acceptPending() (net.Conn, error) {
	now := time.Now()
	if l.acceptDeadline.IsZero() {
		l.acceptDeadline = now.Add(pendingAcceptLimit)
	}
	for now.Before(l.acceptDeadline) {
		_ = l.Listener.(deadlineListener).SetDeadline(now.Add(pendingAcceptWait))
		raw, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return raw, err
		}
		startedAt := now
		now = time.Now()
		if now.Sub(startedAt) < 2*pendingAcceptWait { // else the process was delayed, and a connection may have arrived
			break
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}
