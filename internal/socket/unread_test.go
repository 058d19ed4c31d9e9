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
	there, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	if got := Peek(here); got != Idle {
		t.Errorf("%d on a new connection, want quiet", got)
	}
	if _, err := there.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	await(t, here, Unread)
	if _, err := here.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	there.Close()
	await(t, here, Closed)
	testPeekBesideReader(t, listener)
	pipe, other := net.Pipe()
	defer other.Close()
	if got := Peek(pipe); got != Unknown {
		t.Errorf("%d on a pipe, want unknown", got)
	}
}

// A stop hung where it looked at a connection on which the HTTP server waited for the next request.
func testPeekBesideReader(t *testing.T, listener net.Listener) {
	t.Helper()
	there, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	here, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = here.Read(make([]byte, 1))
	}()
	<-reading
	for range 20 {
		if got := Peek(here); got != Idle {
			t.Errorf("%d beside a reader, want quiet", got)
		}
		time.Sleep(time.Millisecond)
	}
}

// await waits for what the other end did to arrive.
func await(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for range 1000 {
		if Peek(c) == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d after a second, want %d", Peek(c), want)
}
