package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

func regionName(s string) steering.RegionName { return steering.RegionName(s) }

const (
	signedHead   = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signature: s\r\n"
	shedResponse = "HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTest-Load: full\r\nContent-Length: 0\r\n\r\n"
)

// What a server does in the first attempt, and what the caller gets, by kind of route. The second server always
// responds with 200.
func TestAnswersOfServers(t *testing.T) {
	const completeResponse = signedHead + "Content-Length: 4\r\n\r\nbody"
	for _, test := range []struct {
		name     string
		first    script
		path     string
		status   int
		body     string
		attempts int // that reach a server
	}{
		{"whole", respondRaw(completeResponse), "/safe/x", 200, "body", 1},
		{"chunked", respondRaw(signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), "/unsafe/x", 200, "body", 1},
		{"without a length", respondAndClose(signedHead + "Connection: close\r\n\r\nbody"), "/unsafe/x", 200, "body", 1},
		{"interim response first", respondRaw("HTTP/1.1 102 Processing\r\n\r\n" + completeResponse), "/unsafe/x", 200, "body", 1},
		{"stray response first", respondRaw("HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nstray" + completeResponse), "/unsafe/x", 200, "body", 1},
		{"failure of the server", respondRaw("HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n"), "/unsafe/x", 500, "", 1},
		{"failure of the server, safe", respondRaw("HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n"), "/safe/x", 200, "body", 2},
		{"refused by a full server", respondRaw(shedResponse), "/unsafe/x", 200, "body", 2},
		{"refused by a full server, safe", respondRaw(shedResponse), "/safe/x", 200, "body", 2},
		{"another server has the address", respondRaw("HTTP/1.1 421 Misdirected Request\r\nTest-Server: z\r\nContent-Length: 0\r\n\r\n"), "/unsafe/x", 200, "body", 2},
		{"no response", respondAndClose(""), "/unsafe/x", 502, "", 1},
		{"no response, upload", respondAndClose(""), "/upload/x", 502, "", 1},
		{"no response, safe", respondAndClose(""), "/safe/x", 200, "body", 2},
		{"cut off", respondAndClose(signedHead + "Content-Length: 9\r\n\r\nbody"), "/unsafe/x", 502, "", 1},
		{"cut off, safe", respondAndClose(signedHead + "Content-Length: 9\r\n\r\nbody"), "/safe/x", 200, "body", 2},
		{"cut off between chunks", respondAndClose(signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), "/unsafe/x", 502, "", 1},
		{"not HTTP", respondRaw("garbage\r\n\r\n"), "/unsafe/x", 502, "", 1},
		{"no signature", respondRaw("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 4\r\n\r\nbody"), "/unsafe/x", 502, "", 1},
		{"encoded", respondRaw(signedHead + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody"), "/unsafe/x", 502, "", 1},
		{"refusal status without the not-run header", respondRaw("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nContent-Length: 0\r\n\r\n"), "/unsafe/x", 502, "", 1},
		{"only responses to other requests", respondRaw(strings.Repeat("HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n", 3)), "/unsafe/x", 502, "", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, []script{test.first, respondOK}, func(t *testing.T, env *testEnv) {
				resp, aborted := env.serve(newRequest("POST", test.path, "sent"))
				if aborted || resp.Code != test.status || resp.Body.String() != test.body {
					t.Errorf("status %d, body %q, aborted %v; want %d, %q", resp.Code, resp.Body, aborted, test.status, test.body)
				}
				if test.status == 502 && resp.Header().Get("Test-Signature") != "" {
					t.Error("a failure that the entry VM generated has a signature")
				}
				if got := env.servers[0].requestCount() + env.servers[1].requestCount(); got != test.attempts {
					t.Errorf("%d attempts reached servers, want %d", got, test.attempts)
				}
			})
		})
	}
}

// The promise that a request did not run is given only if no server ran it.
func TestRefusalsArePromises(t *testing.T) {
	withTestEnv(t, []script{respondRaw(shedResponse), respondRaw(shedResponse)}, func(t *testing.T, env *testEnv) {
		resp, _ := env.serve(newRequest("POST", "/unsafe/x", "sent"))
		if resp.Code != 503 || resp.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, headers %v; want 503 with Retry-After", resp.Code, resp.Header())
		}
	})
	// The first server may have run the request and the second refuses it: nothing is promised, whether the route is
	// safe or not.
	withTestEnv(t, []script{respondAndClose(""), respondRaw(shedResponse)}, func(t *testing.T, env *testEnv) {
		if resp, _ := env.serve(newRequest("POST", "/safe/x", "sent")); resp.Code != 502 {
			t.Errorf("status %d, want 502", resp.Code)
		}
	})
	withTestEnv(t, []script{respondOK, respondOK}, func(t *testing.T, env *testEnv) {
		env.servers[0].refuseDials, env.servers[1].refuseDials = true, true
		if resp, _ := env.serve(newRequest("POST", "/unsafe/x", "sent")); resp.Code != 503 {
			t.Errorf("status %d without any connection, want 503", resp.Code)
		}
	})
}

func TestRequestReachesTheServerUnchanged(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		for _, target := range []string{"/safe/a%2Fb//c/../d?x=1&y=%20", "/safe/?", "/safe/;p=1"} {
			r := newRequest("PATCH", target, "the body")
			r.Header.Set("X-Other", "kept")
			r.Header.Set("Connection", "x-hop")
			r.Header.Set("X-Hop", "for this connection")
			env.serve(r)
			s := env.servers[0]
			got := s.requests[len(s.requests)-1]
			if got.RequestURI != target || got.Method != "PATCH" || got.Host != "desk.example" {
				t.Errorf("%s %s at %s reached the server, sent was PATCH %s", got.Method, got.RequestURI, got.Host, target)
			}
			if s.bodies[len(s.bodies)-1] != "the body" {
				t.Errorf("body %q", s.bodies[len(s.bodies)-1])
			}
			h := got.Header
			if h.Get("X-Other") != "kept" || h.Get("X-Hop") != "" || h.Get("Test-Id") != "id-1" || h.Get("Test-Expect") != "a" {
				t.Errorf("headers %v", h)
			}
			if h["User-Agent"] != nil {
				t.Errorf("a User-Agent was added: %v", h["User-Agent"])
			}
		}
	})
}

// The server receives the time left of the caller's deadline and of the route's timeout.
func TestDeadlineIsWhatIsLeft(t *testing.T) {
	slowThenCut := func(s *fakeServer, r *http.Request, w io.Writer) {
		time.Sleep(500 * time.Millisecond)
		respondAndClose("")(s, r, w)
	}
	withTestEnv(t, []script{slowThenCut, respondOK}, func(t *testing.T, env *testEnv) {
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Test-Deadline", "1500")
		env.serve(r)
		for i, maxMS := range []int{1500, 1000} {
			ms, err := strconv.Atoi(env.servers[i].requests[0].Header.Get("Test-Deadline"))
			if err != nil || ms > maxMS || ms < maxMS-100 {
				t.Errorf("server %d got %d ms, want %d at most", i, ms, maxMS)
			}
		}
	})
}

func TestFinalAnswerComesAtTheTimeout(t *testing.T) {
	stuck := func(*fakeServer, *http.Request, io.Writer) { time.Sleep(time.Hour) }
	withTestEnv(t, []script{stuck}, func(t *testing.T, env *testEnv) {
		start := time.Now()
		resp, _ := env.serve(newRequest("POST", "/unsafe/x", "sent"))
		took := time.Since(start)
		if resp.Code != http.StatusGatewayTimeout || took != 2*time.Second {
			t.Errorf("status %d after %v, want 504 after 2 s", resp.Code, took)
		}
		time.Sleep(time.Hour)
	})
}

// When a caller disconnects, the connection to its server is closed at once.
func TestCallerThatLeavesReleasesTheServer(t *testing.T) {
	stuck := func(s *fakeServer, r *http.Request, w io.Writer) {
		buf := make([]byte, 1)
		w.(io.Reader).Read(buf) // returns when the entry VM closes the connection
	}
	withTestEnv(t, []script{stuck}, func(t *testing.T, env *testEnv) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, leave)
		_, aborted := env.serve(newRequest("GET", "/safe/x", "").WithContext(ctx))
		synctest.Wait()
		if !aborted {
			t.Error("a response was generated for a caller that disconnected")
		}
		if env.servers[0].closedConnCount() != 1 {
			t.Error("the server's connection is still open")
		}
		if got := env.finished[0].Reason; got != "caller-gone" {
			t.Errorf("reason %q in the journal, want caller-gone", got)
		}
	})
}

// A connection on which an unexpected extra response arrived is not reused.
func TestExtraAnswerBelongsToNobody(t *testing.T) {
	twice := respondRaw(signedHead + "Content-Length: 4\r\n\r\nbody" + "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nextra")
	withTestEnv(t, []script{twice}, func(t *testing.T, env *testEnv) {
		for i := range 3 {
			r := newRequest("POST", "/unsafe/x", "sent")
			r.Header.Set("Test-Id", "id-"+strconv.Itoa(i))
			resp, _ := env.serve(r)
			if resp.Code != 200 || resp.Body.String() != "body" || resp.Header().Get("Test-Id") != "id-"+strconv.Itoa(i) {
				t.Errorf("request %d: status %d, body %q, id %s", i, resp.Code, resp.Body, resp.Header().Get("Test-Id"))
			}
		}
	})
}

// A server may respond before it has read a long body. Its connection is not reused, since the rest of the body is
// still to be written to it.
func TestEarlyAnswerToALongBody(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		early := &earlyServer{}
		env.handler.opts.Pool = NewPool(early.dial)
		for range 2 {
			resp, _ := env.serve(newRequest("POST", "/upload/x", strings.Repeat("b", 100<<10)))
			if resp.Code != 200 || resp.Body.String() != "body" {
				t.Errorf("status %d, body %q", resp.Code, resp.Body)
			}
		}
		synctest.Wait()
		if early.dialCount() != 2 {
			t.Errorf("%d connections, want a new one after an early response", early.dialCount())
		}
	})
}

func TestLargeBodyIsForwardedCompleteAndOnce(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", bufferedBodyBytes/16) + "tail"
	withTestEnv(t, []script{respondRaw(shedResponse), respondOK}, func(t *testing.T, env *testEnv) {
		resp, _ := env.serve(newRequest("POST", "/upload/x", large))
		if resp.Code != 503 || env.servers[0].requestCount() != 1 || env.servers[1].requestCount() != 0 {
			t.Errorf("status %d, attempts %d and %d: a body that is not buffered can be sent only once", resp.Code, env.servers[0].requestCount(), env.servers[1].requestCount())
		}
		if env.servers[0].bodies[0] != large {
			t.Error("the server received another body")
		}
	})
}

func TestResponsesWithoutAServer(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		if resp, _ := env.serve(newRequest("GET", "/nowhere/x", "")); resp.Code != 404 {
			t.Errorf("status %d without a route, want 404", resp.Code)
		}
		if resp, _ := env.serve(newRequest("POST", "/unsafe/x", strings.Repeat("b", 1<<21+1))); resp.Code != 413 {
			t.Errorf("status %d for a body above the limit, want 413", resp.Code)
		}
		env.table = nil
		resp, _ := env.serve(newRequest("GET", "/safe/x", ""))
		if resp.Code != 503 || resp.Header().Get("Retry-After") == "" {
			t.Errorf("status %d without a configuration, want 503 with Retry-After", resp.Code)
		}
		if env.servers[0].requestCount() != 0 {
			t.Error("a request reached a server")
		}
	})
}

func TestDisabledKeepAlivesCloseCallerConnections(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		env.handler.DisableKeepAlives()
		resp, _ := env.serve(newRequest("GET", "/safe/x", ""))
		if resp.Code != 200 || resp.Header().Get("Connection") != "close" {
			t.Errorf("status %d, Connection %q", resp.Code, resp.Header().Get("Connection"))
		}
	})
}

func TestLongestPrefixWins(t *testing.T) {
	route := func(prefix string) routing.Route {
		return routing.Route{Name: prefix, Host: "Desk.example", Prefix: prefix}
	}
	table := routing.NewTable(&routing.Config{Routes: []routing.Route{route("/a/"), route("/a/b/"), route("/")}})
	for path, want := range map[string]string{"/a/x": "/a/", "/a/b/x": "/a/b/", "/a/bx": "/a/", "/x": "/", "/a": "/"} {
		if got := table.Route("desk.EXAMPLE:80", path); got == nil || got.Name != want {
			t.Errorf("%s goes to %v, want %s", path, got, want)
		}
	}
	if table.Route("other.example", "/a/x") != nil {
		t.Error("a host without routes got a route")
	}
}

// Guards against requests that arrive on open connections late in a planned stop, are forwarded, and are cut off when
// the process ends (bench zollbrugg-gate, trouble-3).
func TestStoppingEntryVMForwardsNothing(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		env.handler.DisableKeepAlives()
		env.handler.RefuseNewRequests()
		resp, _ := env.serve(newRequest("POST", "/unsafe/x", "sent"))
		if resp.Code != 503 || resp.Header().Get("Connection") != "close" || resp.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, headers %v; want 503, close and Retry-After", resp.Code, resp.Header())
		}
		if env.servers[0].requestCount() != 0 {
			t.Error("the request reached a server")
		}
	})
}

func TestHeadResponseHasALengthAndNoBody(t *testing.T) {
	withTestEnv(t, []script{respondRaw(signedHead + "Content-Length: 4\r\n\r\n")}, func(t *testing.T, env *testEnv) {
		for range 2 {
			resp, _ := env.serve(newRequest("HEAD", "/safe/x", ""))
			if resp.Code != 200 || resp.Body.Len() != 0 || resp.Header().Get("Content-Length") != "4" {
				t.Errorf("status %d, body %q, headers %v", resp.Code, resp.Body, resp.Header())
			}
		}
	})
}

func TestCallerAndRouteWithoutAnyDeadline(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		routes := testRoutes()
		routes[0].Timeout = 0
		env.table = routing.NewTable(&routing.Config{Version: 1, Routes: routes})
		r := newRequest("GET", "/safe/x", "")
		r.Header.Del("Test-Deadline")
		if resp, _ := env.serve(r); resp.Code != 200 {
			t.Errorf("status %d, want 200", resp.Code)
		}
	})
}

// Guards against requests that are still open at servers that never respond when a planned stop ends, and whose
// callers' connections are then closed without a response (zollbrugg-gate-grown trouble-2, seed 236313630912, LOST).
func TestAbortedRequestsGetAResponse(t *testing.T) {
	stuck := func(*fakeServer, *http.Request, io.Writer) { time.Sleep(time.Hour) }
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		withTestEnv(t, []script{stuck, respondOK}, func(t *testing.T, env *testEnv) {
			const end = time.Second
			time.AfterFunc(end, env.handler.AbortInFlight)
			start := time.Now()
			resp, aborted := env.serve(newRequest(http.MethodGet, path, ""))
			if took := time.Since(start); resp.Code != http.StatusGatewayTimeout || aborted || took != end {
				t.Errorf("%s: status %d, cut off %v, after %v; want 504 as the process ends", path, resp.Code, aborted, took)
			}
			if env.finished[0].Reason != ReasonStopping {
				t.Errorf("%s: reason %s in the journal, want stopping", path, env.finished[0].Reason)
			}
			time.Sleep(time.Hour)
		})
	}
}
