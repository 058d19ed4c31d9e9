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

// testHeaders are header names used only in tests.
var testHeaders = Headers{
	RequestID: "Test-Id", Deadline: "Test-Deadline", AffinityCookie: "object", Signature: "Test-Signature",
	ExpectServer: "Test-Expect", Load: "Test-Load", NotRun: "Test-Not-Run", Server: "Test-Server", Cold: "Test-Cold",
	ParseLoad: func(text string) (placement.Load, bool) {
		load := placement.Load{Running: 6, Slots: 6, Slowness: 1}
		if text == "free" {
			load.Running = 1
		}
		return load, text == "full" || text == "free"
	},
	ParseCold: func(string) (time.Duration, bool) { return 0, false },
	Account:   "Test-Account", Leaving: "Test-Leaving", ParseLeaving: func(text string) bool { return text == "1" },
}

// script responds to the requests that reach one server, one connection at a time.
type script func(s *fakeServer, r *http.Request, w io.Writer)

// fakeServer is a server reached through pipes.
type fakeServer struct {
	mu          sync.Mutex
	respond     script
	requests    []*http.Request
	bodies      []string
	closedConns int // connections that the entry VM closed
	refuseDials bool
}

// respondOK responds with a complete signed response.
func respondOK(_ *fakeServer, r *http.Request, w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody")
}

// respondRaw responds with text, in which ID stands for the request's ID, and keeps the connection open.
func respondRaw(text string) script {
	return func(_ *fakeServer, r *http.Request, w io.Writer) {
		io.WriteString(w, strings.ReplaceAll(text, "ID", r.Header.Get("Test-Id")))
	}
}

// respondAndClose responds with text and closes the connection.
func respondAndClose(text string) script {
	return func(s *fakeServer, r *http.Request, w io.Writer) {
		respondRaw(text)(s, r, w)
		w.(net.Conn).Close()
	}
}

func (s *fakeServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.mu.Lock()
			s.closedConns++
			s.mu.Unlock()
			c.Close()
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		respond := s.respond
		s.mu.Unlock()
		respond(s, r, c)
	}
}

func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeServer) closedConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedConns
}

// refusedError reports a connection that a test refuses.
type refusedError struct{}

func (*refusedError) Error() string { return "refused" }

// testEnv is a handler with some servers, in virtual time.
type testEnv struct {
	handler  *Handler
	servers  []*fakeServer
	table    *routing.Table
	finished []*FinishedRequest
	mu       sync.Mutex
}

// AttemptDone implements Journal.
func (*testEnv) AttemptDone(*Attempt) {}

// RequestDone implements Journal.
func (env *testEnv) RequestDone(r *FinishedRequest) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.finished = append(env.finished, r)
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

// withTestEnv runs test with servers that respond by scripts. The first server gets the first attempt.
func withTestEnv(t *testing.T, scripts []script, test func(t *testing.T, env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{}
		byAddress := make(map[string]*fakeServer)
		m := &placement.Membership{}
		for i, respond := range scripts {
			s := &fakeServer{respond: respond}
			env.servers = append(env.servers, s)
			address := string(rune('a' + i))
			byAddress[address] = s
			// Later servers are in another region, so that the order is fixed.
			region := "near"
			if i > 0 {
				region = "far"
			}
			m.Members = append(m.Members, placement.Member{
				ID: placement.ServerID(address), Service: "desk", Address: address, Slots: 6, Region: regionName(region),
			})
		}
		env.table = routing.NewTable(&routing.Config{Version: 1, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 1 << 21}})
		chooser := placement.NewChooser(placement.Options{Region: "near", RetryRatio: 0.2, RetrySlack: 64})
		chooser.SetMembership(m)
		pool := NewPool(func(_ context.Context, address string) (net.Conn, error) {
			s := byAddress[address]
			if s.refuseDials {
				return nil, &refusedError{}
			}
			clientSide, serverSide := net.Pipe()
			go s.serve(serverSide)
			return clientSide, nil
		})
		env.handler = NewHandler(Options{
			Headers: testHeaders, Table: func() *routing.Table { return env.table }, Chooser: chooser, Pool: pool, Journal: env,
			Region: "near",
		})
		test(t, env)
		pool.CloseExpired(time.Now().Add(time.Hour))
		synctest.Wait()
	})
}

// serve passes a request to the handler and returns the response; aborted reports a response that was cut off.
func (env *testEnv) serve(r *http.Request) (recorder *httptest.ResponseRecorder, aborted bool) {
	recorder = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			aborted = true
		}
	}()
	env.handler.ServeHTTP(recorder, r)
	return recorder, false
}

// newRequest returns a caller's request to a path.
func newRequest(method, target, body string) *http.Request {
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
