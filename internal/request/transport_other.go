//go:build !linux

package request

import (
	"syscall"
	"time"
)

// ackTimeout returns no hook: only keep-alive probes judge a connection on this system.
func ackTimeout(time.Duration) func(network, address string, c syscall.RawConn) error { return nil }
