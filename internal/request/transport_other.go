//go:build !linux

package request

import (
	"syscall"
	"time"
)

// ackTimeout returns no hook: on this system only keep-alive probes detect an unresponsive connection.
func ackTimeout(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
