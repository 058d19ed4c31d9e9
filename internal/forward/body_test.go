package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// pipeListener accepts the connections that it is given.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// The limit on the time of a body ends with the body: a server may work longer than that on the request.
func TestServerMayTakeLongerThanTheBody(t *testing.T) {
	const work = 3 * defaultDeadline
	slow := func(s *fakeServer, r *http.Request, w io.Writer) {
		time.Sleep(work)
		ok(s, r, w)
	}
	for name, size := range map[string]int{"kept": 100, "passed on": keptBodyBytes + 100} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, []script{slow}, func(t *testing.T, w *world) {
				routes := testRoutes()
				routes[2].Timeout = 2 * work
				w.table = routing.NewTable(&routing.Config{Version: 1, Routes: routes, Limits: routing.Limits{BodyBytes: 1 << 21}})
				l := make(pipeListener, 1)
				server := &http.Server{Handler: w.handler}
				go func() { _ = server.Serve(l) }()
				here, there := net.Pipe()
				l <- there
				defer func() { close(l); here.Close(); server.Close() }()
				go func() {
					_, _ = io.WriteString(here, "POST /upload/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: id-1\r\nTest-Deadline: 90000\r\nContent-Length: "+
						strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("a", size))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(here), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%v, %v; want 200 after %v", resp, err, work)
				}
			})
		})
	}
}
