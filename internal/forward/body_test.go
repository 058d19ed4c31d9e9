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

// pipeListener accepts the connections that are sent to it.
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

// Guards against a read deadline that stays set after the caller's body has ended: the server may take longer for the
// request than the body may take to arrive.
func TestServerMayWorkLongerThanTheBodyMayTake(t *testing.T) {
	const work = 3 * defaultDeadline
	slow := func(s *fakeServer, r *http.Request, w io.Writer) {
		time.Sleep(work)
		respondOK(s, r, w)
	}
	for name, size := range map[string]int{"kept": 100, "streamed": bufferedBodyBytes + 100} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, []script{slow}, func(t *testing.T, env *testEnv) {
				routes := testRoutes()
				routes[2].Timeout = 2 * work
				env.table = routing.NewTable(&routing.Config{Version: 1, Routes: routes, Limits: routing.Limits{BodyBytes: 1 << 21}})
				l := make(pipeListener, 1)
				server := &http.Server{Handler: env.handler}
				go func() { _ = server.Serve(l) }()
				clientSide, serverSide := net.Pipe()
				l <- serverSide
				defer func() { close(l); clientSide.Close(); server.Close() }()
				go func() {
					_, _ = io.WriteString(clientSide, "POST /upload/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: id-1\r\nTest-Deadline: 90000\r\nContent-Length: "+
						strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("a", size))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(clientSide), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%v, %v; want 200 after %v", resp, err, work)
				}
			})
		})
	}
}
