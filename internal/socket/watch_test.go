//go:build linux

package socket

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lateBy    = 3 * time.Second // in which a peer does not read; the limit is 1 s
	lateBytes = 8 << 20         // more than the buffers of both sides
)

// connect returns the two ends of a TCP connection. The first has TCP_USER_TIMEOUT of testSilentAfter.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	near, far = c.(*net.TCPConn), other.(*net.TCPConn)
	raw, err := near.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := setAckLimit(raw, testSilentAfter); err != nil {
		t.Fatal(err)
	}
	return near, far
}

func startWatch(t *testing.T) *Watch {
	t.Helper()
	w := NewWatch(testSilentAfter)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return w
}

// transfer writes size bytes to c in one of the two ways while far reads late. It returns how many arrived.
func transfer(c net.Conn, far *net.TCPConn, size int, closes bool) (arrived int64, writeErr error) {
	written := make(chan error, 1)
	go func() {
		data := make([]byte, size)
		var err error
		if w, ok := c.(*watchedConn); ok && !closes {
			b := net.Buffers{data[:size/2], data[size/2:]}
			_, err = w.WriteBuffers(&b)
		} else {
			_, err = io.Copy(c, bytes.NewReader(data))
		}
		if closes {
			time.Sleep(testSilentAfter) // the window is closed by now
			_ = c.Close()
		}
		written <- err
	}()
	time.Sleep(lateBy)
	_ = far.SetReadDeadline(time.Now().Add(30 * time.Second))
	arrived, _ = io.CopyN(io.Discard, far, int64(size))
	_ = far.Close()
	return arrived, <-written
}

// TestPeerThatReadsLate: with the kernel's limit alone the connection ends, both when the writer is blocked and when
// the system's buffer holds all that it wrote. Watched, everything arrives, also if the connection was closed meanwhile.
func TestPeerThatReadsLate(t *testing.T) {
	for name, size := range map[string]int{"blocked": lateBytes, "buffered": 256 << 10} {
		for _, way := range []string{"kernel alone", "watched", "watched and closed"} {
			if way == "watched and closed" && size == lateBytes {
				continue // Close waits for no blocked write
			}
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				near, far := connect(t)
				if size < lateBytes { // the peer's window closes before all is sent
					_ = far.SetReadBuffer(4 << 10)
				}
				var c net.Conn = near
				if way != "kernel alone" {
					c = startWatch(t).Conn(near)
				}
				arrived, err := transfer(c, far, size, way == "watched and closed")
				if isWhole := arrived == int64(size); isWhole != (way != "kernel alone") {
					t.Errorf("%d of %d bytes arrived, the writer's error is %v", arrived, size, err)
				}
			})
		}
	}
}

// TestLimitIsRestored: once the window is open again the kernel's limit holds.
func TestLimitIsRestored(t *testing.T) {
	near, far := connect(t)
	c := startWatch(t).Conn(near).(*watchedConn)
	written := make(chan error, 1)
	go func() { _, err := c.Write(make([]byte, lateBytes)); written <- err }()
	awaitLimit(t, c, 0)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	if err := <-written; err != nil {
		t.Error(err)
	}
	awaitLimit(t, c, testSilentAfter)
}

func awaitLimit(t *testing.T, c *watchedConn, want time.Duration) {
	t.Helper()
	got := -1
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		_ = c.raw.Control(func(fd uintptr) {
			got, _ = unix.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if got == int(want.Milliseconds()) {
			return
		}
	}
	t.Fatalf("the limit is %d ms, want %v", got, want)
}

// TestConnectionsAreForgotten: a Watch holds no connection whose bytes are acknowledged, or that is closed.
func TestConnectionsAreForgotten(t *testing.T) {
	near, far := connect(t)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	w := NewWatch(testSilentAfter)
	c := w.Conn(near)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(30 * time.Second); len(w.pending) > 0; time.Sleep(10 * time.Millisecond) {
		if w.sweep(time.Now()); time.Now().After(deadline) {
			t.Fatal("an acknowledged connection is watched")
		}
	}
	_, _ = c.Write([]byte("x"))
	_ = c.Close()
	if w.sweep(time.Now()); len(w.pending) > 0 {
		t.Error("a closed connection is watched")
	}
}
