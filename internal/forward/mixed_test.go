package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

// resetConn is a connection whose server responds early and resets it while the request is being written. As on Linux,
// the error of the reset goes to the first call that fails, here a write, and reads only find the end of the stream.
type resetConn struct {
	net.Conn
	response io.Reader
	received chan struct{} // closed by the first write
	reset    chan struct{} // closed by the write that fails
	once     sync.Once
	writes   int
}

// Write implements net.Conn: the first write succeeds.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		close(c.received)
		return len(p), nil
	}
	c.once.Do(func() { close(c.reset) })
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	<-c.received
	n, err := c.response.Read(p)
	if err == io.EOF {
		<-c.reset
	}
	return n, err
}

// serveFrom returns what a caller of path gets if the only server has the given connection.
func serveFrom(t *testing.T, dial func() (net.Conn, error), path, body string) (status int, got string, aborted bool) {
	t.Helper()
	env := &testEnv{table: routing.NewTable(&routing.Config{Version: 1, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 64 << 20}})}
	chooser := placement.NewChooser(placement.Options{Region: "near", RetryRatio: 0.2, RetrySlack: 64})
	chooser.SetMembership(&placement.Membership{Members: []placement.Member{
		{ID: "a", Service: "desk", Address: "a", Slots: 6, Region: "near"},
	}})
	env.handler = NewHandler(Options{
		Headers: testHeaders, Table: func() *routing.Table { return env.table }, Chooser: chooser,
		Pool: NewPool(func(context.Context, string) (net.Conn, error) { return dial() }), Journal: env, Region: "near",
	})
	resp, aborted := env.serve(newRequest("POST", path, body))
	return resp.Code, resp.Body.String(), aborted
}

const unframedHead = "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nTest-Signature: s\r\n\r\n"

// A response without a length whose connection is reset during the upload is not complete, whichever side of the
// connection sees the reset.
func TestUnframedResponseToAnUploadThatIsResetIsNotComplete(t *testing.T) {
	for _, size := range []int{len("part"), 2 * bufferedResponseBytes} {
		response := unframedHead + strings.Repeat("p", size)
		status, _, aborted := serveFrom(t, func() (net.Conn, error) {
			client, server := net.Pipe()
			t.Cleanup(func() { _ = server.Close() })
			return &resetConn{
				Conn: client, response: strings.NewReader(response), received: make(chan struct{}), reset: make(chan struct{}),
			}, nil
		}, "/upload/x", strings.Repeat("u", 1<<20))
		if status == http.StatusOK && !aborted {
			t.Errorf("%d bytes of a response reached the caller as a complete one", size)
		}
	}
}

// The same over loopback, with a server that resets the connection.
func TestUnframedResponseThatIsResetOverLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarlyAndReset(c)
		}
	}()
	upload := strings.Repeat("u", 8<<20)
	for range 30 { // which side sees the reset varies
		status, body, aborted := serveFrom(t, func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }, "/upload/x", upload)
		if status == http.StatusOK && !aborted {
			t.Fatalf("a part of %d bytes reached the caller as a complete response", len(body))
		}
	}
}

// answerEarlyAndReset responds to the head of a request and resets the connection while the body still arrives.
func answerEarlyAndReset(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, unframedHead+"part")
	time.Sleep(5 * time.Millisecond) // the response is read before the reset in most runs
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// A response without a length to a request that was written completely, and one whose server reads the rest of the
// upload later, are passed on.
func TestUnframedResponseToAnUploadThatIsReadIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedHead+"whole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
		_ = c.Close()
	}()
	status, body, aborted := serveFrom(t, func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) },
		"/upload/x", strings.Repeat("u", 4<<20))
	if status != http.StatusOK || body != "whole" || aborted {
		t.Errorf("status %d, body %q, aborted %v", status, body, aborted)
	}
}

// A status that no response can have (RFC 9110, section 15) is none that a caller may get, whoever comes after it on
// the connection.
func TestResponsesWithInvalidStatusAreNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+12", "600", "999"} {
		invalid := "HTTP/1.1 " + status + " X\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
		for name, response := range map[string]string{
			"alone":                    invalid,
			"before a valid response":  "HTTP/1.1 " + status + " X\r\n\r\n" + signedHead + "Content-Length: 4\r\n\r\nbody",
			"without length":           "HTTP/1.1 " + status + " X\r\nTest-Id: ID\r\nTest-Signature: s\r\n\r\nbody",
			"that says it did not run": "HTTP/1.1 " + status + " X\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			withTestEnv(t, []script{respondAndClose(response)}, func(t *testing.T, env *testEnv) {
				resp, aborted := env.serve(newRequest("POST", "/unsafe/x", "sent"))
				if resp.Code != http.StatusBadGateway || aborted || resp.Body.Len() > 0 || resp.Header().Get("Test-Signature") != "" {
					t.Errorf("status %s %s: the caller got %d %q", status, name, resp.Code, resp.Body)
				}
			})
		}
	}
}

// Responses that end early in any framing do not look complete.
func TestResponsesThatEndEarlyAreNotComplete(t *testing.T) {
	large := strings.Repeat("p", 2*bufferedResponseBytes)
	chunk := strconv.FormatInt(int64(len(large)), 16) + "\r\n" + large + "\r\n"
	for name, response := range map[string]string{
		"chunked, no last chunk":        signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"chunked, last chunk cut":       signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n",
		"chunked, cut in a chunk":       signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk[:len(chunk)/2],
		"with a length, cut":            signedHead + "Content-Length: 600000\r\n\r\n" + large,
		"small, chunked, no last chunk": signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		withTestEnv(t, []script{respondAndClose(response)}, func(t *testing.T, env *testEnv) {
			resp, aborted := env.serve(newRequest("POST", "/unsafe/x", "sent"))
			if resp.Code == http.StatusOK && !aborted {
				t.Errorf("%s: %d bytes reached the caller as a complete response", name, resp.Body.Len())
			}
		})
	}
}
