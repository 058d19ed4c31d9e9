package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

// testHeaders are names of the tests' own.
var testHeaders = Headers{
	RequestID: "Test-Id", Deadline: "Test-Deadline", AffinityCookie: "object", Signature: "Test-Signature",
	ExpectServer: "Test-Expect", Load: "Test-Load", NotRun: "Test-Not-Run", Server: "Test-Server", Cold: "Test-Cold",
	ParseLoad: func(text string) (placement.Load, bool) {
		return placement.Load{Running: 6, Slots: 6, Slowness: 1}, text == "full"
	},
	ParseCold: func(string) (time.Duration, bool) { return 0, false },
}

// script answers the requests that reach one server, one connection at a time.
type script func(s *fakeServer, r *http.Request, w io.Writer)

// fakeServer is a server behind pipes.
type fakeServer struct {
	mu       sync.Mutex
	answer   script
	requests []*http.Request
	bodies   []string
	closed   int // connections that the entry VM closed
	refuse   bool
}

// ok answers with a whole signed answer.
func ok(_ *fakeServer, r *http.Request, w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody")
}

// raw answers with text, in which ID stands for the request's id, and keeps the connection.
func raw(text string) script {
	return func(_ *fakeServer, r *http.Request, w io.Writer) {
		io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get("Test-Id")))
	}
}

// cut answers with text and closes the connection.
func cut(text string) script {
	return func(s *fakeServer, r *http.Request, w io.Writer) {
		raw(text)(s, r, w)
		w.(net.Conn).Close()
	}
}

func (s *fakeServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.mu.Lock()
			s.closed++
			s.mu.Unlock()
			c.Close()
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		answer := s.answer
		s.mu.Unlock()
		answer(s, r, c)
	}
}

func (s *fakeServer) seen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeServer) lost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// refusedError reports a connection that the tests refuse.
type refusedError struct{}

func (*refusedError) Error() string { return "refused" }

// world is a handler before some servers, in virtual time.
type world struct {
	handler *Handler
	servers []*fakeServer
	table   *routing.Table
	done    []*FinishedRequest
	mu      sync.Mutex
}

// AttemptDone implements Journal.
func (*world) AttemptDone(*Attempt) {}

// RequestDone implements Journal.
func (w *world) RequestDone(d *FinishedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = append(w.done, d)
}

func testRoutes() []routing.Route {
	route := func(name string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			TargetLatency: 400 * time.Millisecond, MaxAttempts: 2,
			Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
		}
	}
	return []routing.Route{route("safe", routing.KindSafe), route("unsafe", routing.KindUnsafe), route("upload", routing.KindUpload)}
}

// inWorld runs test before servers that answer by scripts, the first of which is asked first.
func inWorld(t *testing.T, scripts []script, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		byAddress := make(map[string]*fakeServer)
		m := &placement.Membership{}
		for i, answer := range scripts {
			s := &fakeServer{answer: answer}
			w.servers = append(w.servers, s)
			address := string(rune('a' + i))
			byAddress[address] = s
			// Later servers are farther, so that the order is certain.
			region := "near"
			if i > 0 {
				region = "far"
			}
			m.Members = append(m.Members, placement.Member{
				ID: placement.ServerID(address), Service: "desk", Address: address, Slots: 6, Region: regionName(region),
			})
		}
		w.table = routing.NewTable(&routing.Config{Version: 1, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 1 << 21}})
		chooser := placement.NewChooser(placement.Options{Region: "near", RetryRatio: 0.2, RetrySlack: 64})
		chooser.SetMembership(m)
		pool := NewPool(func(_ context.Context, address string) (net.Conn, error) {
			s := byAddress[address]
			if s.refuse {
				return nil, &refusedError{}
			}
			here, there := net.Pipe()
			go s.serve(there)
			return here, nil
		})
		w.handler = NewHandler(Options{
			Headers: testHeaders, Table: func() *routing.Table { return w.table }, Chooser: chooser, Pool: pool, Journal: w,
			Region: "near",
		})
		test(t, w)
		pool.CloseExpired(time.Now().Add(time.Hour))
		synctest.Wait()
	})
}

// ask sends a request and returns the answer; aborted reports an answer that was cut off.
func (w *world) ask(r *http.Request) (answer *httptest.ResponseRecorder, aborted bool) {
	answer = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			aborted = true
		}
	}()
	w.handler.ServeHTTP(answer, r)
	return answer, false
}

// request builds a caller's request to a path.
func request(method, target, body string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r := httptest.NewRequest(method, target, reader)
	r.Host = "desk.example"
	r.Header.Set("Test-Id", "id-1")
	r.Header.Set("Test-Deadline", "3000")
	return r
}
