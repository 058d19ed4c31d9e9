package drain

import (
	"errors"
	"net"
	"os"
	"time"
)

// deadliner is a listener whose Accept can be ended.
type deadliner interface{ SetDeadline(t time.Time) error }

// listener wraps and notes what it accepts.
type listener struct {
	net.Listener
	owner *Server
	limit time.Time // of accepting what waits; zero: the server still accepts
}

// Accept implements net.Listener. Once the server leaves it returns what waits, then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		raw, err = l.acceptRest()
	}
	if err != nil {
		return nil, err
	}
	return l.owner.add(raw), nil
}

// acceptRest returns the next connection that waits. It closes the listener if there is none. Errors: net.ErrClosed,
// those of accepting.
func (l *listener) acceptRest() (net.Conn, error) {
	now := time.Now()
	if l.limit.IsZero() {
		l.limit = now.Add(acceptLimit)
	}
	for now.Before(l.limit) {
		_ = l.Listener.(deadliner).SetDeadline(now.Add(acceptRest))
		raw, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return raw, err
		}
		began := now
		now = time.Now()
		if now.Sub(began) < 2*acceptRest { // else the process was held up, and something may have come
			break
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}
