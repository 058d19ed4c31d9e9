//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// readFigures fails: connections are not watched on this system, where the kernel has no limit to lift either.
func readFigures(syscall.RawConn) (Figures, error) { return Figures{}, syscall.ENOTSUP }

func setAckLimit(syscall.RawConn, time.Duration) error { return syscall.ENOTSUP }

func setProbeInterval(syscall.RawConn, time.Duration) error { return syscall.ENOTSUP }
