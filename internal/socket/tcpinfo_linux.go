package socket

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// tcpRTOMax is TCP_RTO_MAX_MS of linux/tcp.h, since Linux 6.15.
const tcpRTOMax = 44

// readFigures returns the figures of a TCP connection; those that the system does not tell are 0. Errors: those of the
// system.
func readFigures(raw syscall.RawConn) (f Figures, err error) {
	var info unix.TCPInfo
	size := uint32(unsafe.Sizeof(info))
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, unix.IPPROTO_TCP, unix.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	if err != nil {
		return f, err
	}
	if errno != 0 {
		return f, errno
	}
	return Figures{
		Unacked: info.Unacked, NotSent: info.Notsent_bytes, Window: info.Snd_wnd,
		Probes:     info.Probes,
		SinceSent:  time.Duration(info.Last_data_sent) * time.Millisecond,
		SinceHeard: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// setAckLimit makes the kernel close the connection when bytes or probes stay unacknowledged, or the window closed, for
// d; 0: when the kernel's own limits are reached. Errors: those of the system.
func setAckLimit(raw syscall.RawConn, d time.Duration) error {
	return setOption(raw, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// setProbeInterval bounds the time between two probes of a closed window, which else doubles each time. Errors: those
// of the system; older ones have no such bound.
func setProbeInterval(raw syscall.RawConn, d time.Duration) error {
	return setOption(raw, tcpRTOMax, int(d.Milliseconds()))
}

func setOption(raw syscall.RawConn, option, value int) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
	}); err != nil {
		return err
	}
	return optErr
}
