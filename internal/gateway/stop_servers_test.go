package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

// workingServer responds to each request after its work.
type workingServer struct {
	work         time.Duration
	refusesAfter time.Duration // from the start of the stop, without running them, after a second; 0: never

	mu         sync.Mutex
	refuseFrom time.Time            // zero: never
	ran        map[string]time.Time // arrival of the requests that it runs, by id
}

func (s *workingServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *workingServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Test-Id")
		work, response := s.work, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
		if !s.accepts(id) {
			work, response = time.Second, "HTTP/1.1 503 Service Unavailable\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}
		time.Sleep(work)
		if _, err := fmt.Fprintf(c, response, id); err != nil {
			return
		}
	}
}

// accepts reports whether the request with id, which arrives now, runs.
func (s *workingServer) accepts(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.refuseFrom.IsZero() || now.Before(s.refuseFrom) {
		s.ran[id] = now
		return true
	}
	return false
}

// newTestVMWithServers returns an entry VM whose requests go to the servers, in the order of their distance.
func newTestVMWithServers(servers ...*workingServer) *testVM {
	var routes []routing.Route
	for name, kind := range map[string]routing.Kind{"safe": routing.KindSafe, "unsafe": routing.KindUnsafe, "upload": routing.KindUpload} {
		routes = append(routes, routing.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 20 * time.Second,
			TargetLatency: 10 * time.Second, MaxAttempts: 3, Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
		})
	}
	chooser := placement.NewChooser(placement.Options{Region: "north", RetryRatio: 1, RetrySlack: 1000})
	members := &placement.Membership{}
	byAddress := make(map[string]*workingServer)
	for i, s := range servers {
		s.ran = make(map[string]time.Time)
		m := placement.Member{ID: placement.ServerID(fmt.Sprint(i)), Service: "desk", Address: fmt.Sprint(i), Slots: 10_000, Region: "north"}
		if i > 0 {
			m.Region = "south"
		}
		members.Members = append(members.Members, m)
		byAddress[m.Address] = s
	}
	chooser.SetMembership(members)
	table := routing.NewTable(&routing.Config{Version: 1, Routes: routes})
	pool := forward.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		return byAddress[address].dial(ctx, address)
	})
	handler := forward.NewHandler(forward.Options{
		Headers: forward.Headers{RequestID: "Test-Id", Signature: "Test-Signature", NotRun: "Test-Not-Run",
			ParseLoad:    func(string) (placement.Load, bool) { return placement.Load{}, false },
			ParseCold:    func(string) (time.Duration, bool) { return 0, false },
			ParseLeaving: func(string) bool { return false },
		},
		Journal: discardJournal{}, Chooser: chooser, Region: "north", Table: func() *routing.Table { return table },
		Pool: pool,
	})
	vm := newTestVMWith(handler, chooser, testSettings("one"))
	vm.pool = pool
	return vm
}

// stopRequest is a request of a caller during a planned stop, in parts with pauses between them.
type stopRequest struct {
	name  string
	parts []string // ID is replaced
	pause time.Duration
}

var stopRequests = []stopRequest{
	{"safe", []string{"GET /safe/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: ID\r\n\r\n"}, 0},
	{"unsafe", []string{"POST /unsafe/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: ID\r\nContent-Length: 4\r\n\r\nbody"}, 0},
	{"upload whose body arrives slowly", []string{
		"POST /upload/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: ID\r\nContent-Length: 6\r\n\r\nab", "cd", "ef"}, 900 * time.Millisecond},
	{"upload in chunks that arrives slowly", []string{
		"POST /upload/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n", "0\r\n\r\n"}, 900 * time.Millisecond},
}

// Operators' report: in a planned stop, requests that came late in the grace were passed on to servers and cut with no
// answer at its end, among them requests that may not be repeated. Whatever a caller sends during a stop, on open
// connections: a request that reaches a server gets the server's response, and one that is read completely gets one.
func TestStopCutsNoRequestAtAServer(t *testing.T) {
	const work = 3 * time.Second // ends before the grace does, if the request is passed on before requests are refused
	for _, test := range []struct {
		name    string
		servers []*workingServer
	}{
		{"one server", []*workingServer{{work: work}}},
		{"a server that refuses after a while, and another one", []*workingServer{{work: work, refusesAfter: 1400 * time.Millisecond}, {work: work}}},
	} {
		for _, request := range stopRequests {
			t.Run(test.name+", "+request.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { stopUnderWork(t, request, test.servers) })
			})
		}
	}
}

func stopUnderWork(t *testing.T, request stopRequest, servers []*workingServer) {
	const interval = 20 * time.Millisecond
	vm := newTestVMWithServers(servers...)
	grace := testSettings("one").Bounds.Grace
	stopAt := time.Now().Add(2 * time.Second)
	for _, s := range servers {
		if s.refuseFrom = (time.Time{}); s.refusesAfter > 0 {
			s.refuseFrom = stopAt.Add(s.refusesAfter)
		}
	}
	var callers sync.WaitGroup
	for wait := -2 * time.Second; wait < grace; wait += interval {
		id := fmt.Sprintf("%v", wait)
		var parts [][]byte
		for _, part := range request.parts {
			parts = append(parts, []byte(strings.ReplaceAll(part, "ID", id)))
		}
		c := vm.dial()
		callers.Go(func() {
			time.Sleep(time.Until(stopAt.Add(wait)))
			defer c.Close()
			got, status := sendRequest(c, request.pause, parts...)
			var arrived time.Time
			for _, s := range servers {
				s.mu.Lock()
				if at, ok := s.ran[id]; ok {
					arrived = at
				}
				s.mu.Unlock()
			}
			switch {
			case !arrived.IsZero() && (got != outcomeAnswered || status != http.StatusOK):
				t.Errorf("a request %v after the stop began reached a server at %v and got outcome %d, status %d", wait, arrived.Sub(stopAt), got, status)
			case got == outcomeLost:
				t.Errorf("a request %v after the stop began got no response", wait)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	_ = vm.shutDown(context.Background())
	if took := time.Since(stopAt); took > grace {
		t.Errorf("the stop took %v, want at most %v", took, grace)
	}
	callers.Wait()
	vm.pool.CloseExpired(time.Now().Add(time.Hour))
	synctest.Wait()
}
