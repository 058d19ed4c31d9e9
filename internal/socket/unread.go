// Package socket looks at the state of connections that the standard library does not show.
package socket

import (
	"net"
	"syscall"
)

// State says what waits to be read on a connection.
type State uint8

// The states of a connection.
const (
	Idle    State = iota // nothing waits
	Unread               // bytes wait
	Closed               // the other side closed it, or it broke
	Unknown              // the connection is no socket
)

// Peek returns what waits to be read on c, without reading it. Another goroutine may be blocked reading c.
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
