package socket

import (
	"net"
	"testing"
	"time"
)

func TestPeek(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	remote, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer local.Close()
	if got := Peek(local); got != Idle {
		t.Errorf("%d on a new connection, want idle", got)
	}
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitForState(t, local, Unread)
	if _, err := local.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	remote.Close()
	waitForState(t, local, Closed)
	testPeekDuringRead(t, listener)
	pipe, other := net.Pipe()
	defer other.Close()
	if got := Peek(pipe); got != Unknown {
		t.Errorf("%d on a pipe, want unknown", got)
	}
}

// Peek must not block while another goroutine reads: a stop hung when it peeked at a connection on which the HTTP
// server waited for the next request.
func testPeekDuringRead(t *testing.T, listener net.Listener) {
	t.Helper()
	remote, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	local, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer local.Close()
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = local.Read(make([]byte, 1))
	}()
	<-reading
	for range 20 {
		if got := Peek(local); got != Idle {
			t.Errorf("%d during a read, want idle", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitForState waits until c has the state want.
func waitForState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for range 1000 {
		if Peek(c) == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d after a second, want %d", Peek(c), want)
}
