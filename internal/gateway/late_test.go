//go:build linux

package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

const (
	lateBy    = 3 * tcpUserTimeout // in which a peer does not read
	lateBytes = 8 << 20            // more than the sockets of both sides hold
)

// Review cases 6 and 4: a caller, and a server, that reads late was taken for gone after a second.
func TestCallerThatReadsLateGetsItsAnswer(t *testing.T) {
	t.Parallel()
	d := &daemon{
		settings: testSettings("one"), log: discardLog(), watch: provideWatch(),
		follower: newTestFollower(t, newFakeStore(), "one"),
	}
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); d.loops.Wait() }()
	d.loops.Go(func() { d.watch.Run(ctx) })
	listener, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	server, err := d.startServer(ctx, address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(lateBytes))
		_, _ = w.Write(make([]byte, lateBytes))
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	time.Sleep(lateBy)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != lateBytes || err != nil {
		t.Errorf("%d of %d bytes, then %v", n, lateBytes, err)
	}
	if d.watch.Waits() == 0 || d.watch.Ends() != 0 {
		t.Errorf("%d waits and %d ends are counted", d.watch.Waits(), d.watch.Ends())
	}
}

func TestUploadAtAServerThatReadsLateArrives(t *testing.T) {
	t.Parallel()
	arrived := make(chan int64, 1)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(lateBy)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			arrived <- 0
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		arrived <- n
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n")
	}()

	watch := provideWatch()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go watch.Run(ctx)
	chooser := placement.NewChooser(placement.Options{Region: "near"})
	chooser.SetMembership(&placement.Membership{Members: []placement.Member{
		{ID: "a", Service: "desk", Address: server.Addr().String(), Slots: 6, Region: "near"},
	}})
	table := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{{
		Name: "x", Host: "desk.example", Prefix: "/x/", Kind: routing.KindUpload, Timeout: 30 * time.Second, MaxAttempts: 1,
		Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
	}}})
	handler := forward.NewHandler(forward.Options{
		Headers: forward.Headers{RequestID: "Test-Id", Signature: "Test-Signature", NotRun: "Test-Not-Run",
			ParseLoad:    func(string) (placement.Load, bool) { return placement.Load{}, false },
			ParseCold:    func(string) (time.Duration, bool) { return 0, false },
			ParseLeaving: func(string) bool { return false },
		},
		Journal: discardJournal{}, Chooser: chooser, Region: "near",
		Table: func() *routing.Table { return table }, Pool: providePool(watch),
	})
	vm := newTestVMWith(handler, chooser, testSettings("one"))
	defer vm.requestServer.Close()
	c := vm.dial()
	defer func() { _ = c.Close() }()
	go func() {
		_, _ = io.WriteString(c, "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nTest-Id: 1\r\nContent-Length: "+strconv.Itoa(lateBytes)+"\r\n\r\n")
		_, _ = c.Write(make([]byte, lateBytes))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	select {
	case n := <-arrived:
		if n != lateBytes {
			t.Errorf("%d of %d bytes arrived", n, lateBytes)
		}
	default:
		t.Error("the caller was answered before the server")
	}
}
