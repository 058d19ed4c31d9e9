// Package socket inspects connection state that the standard library does not expose.
package socket

import (
	"net"
	"syscall"
)

// State is the read state of a connection.
type State uint8

// The states of a connection.
const (
	Idle    State = iota // nothing to read
	Unread               // unread bytes
	Closed               // closed by the peer, or failed
	Unknown              // the connection is not a socket
)

// Peek returns the read state of c without consuming data. Another goroutine may be blocked reading c.
func Peek(c net.Conn) State {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, unlike Read, does not wait for a reader that is blocked on the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = Idle
		case err == nil && n > 0:
			state = Unread
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
