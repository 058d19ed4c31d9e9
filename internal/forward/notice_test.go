package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
)

// newRequestWithID returns a caller's request with its own ID.
func newRequestWithID(path string, id int) *http.Request {
	r := newRequest("POST", path, "sent")
	r.Header.Set("Test-Id", "id-"+strconv.Itoa(id))
	return r
}

// A faulty server writes its refusal of a request once more on the connection that the retry of that request uses, and
// runs the retry: the copy must not pass for the response to it.
func TestRefusalThatIsSentAgainIsNotBelieved(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTest-Load: free\r\nContent-Length: 0\r\n\r\n"
	for _, path := range []string{"/unsafe/x", "/upload/x"} {
		refusedOn := make(map[io.Writer]bool)
		runs := 0
		faulty := func(s *fakeServer, r *http.Request, w io.Writer) {
			switch {
			case refusedOn[w]:
				respondRaw(refusal)(s, r, w)
			case len(refusedOn) == 0:
				refusedOn[w] = true
				respondRaw(refusal)(s, r, w)
				return
			}
			runs++
			respondOK(s, r, w)
		}
		withTestEnv(t, []script{faulty}, func(t *testing.T, env *testEnv) {
			resp, _ := env.serve(newRequestWithID(path, 1))
			if resp.Code != 200 || runs != 1 {
				t.Errorf("%s: status %d, the request ran %d times; want one run and its response", path, resp.Code, runs)
			}
		})
	}
}

// On a kept connection a response without an ID may belong to an earlier request, so that it proves nothing.
func TestRefusalWithoutAnIDOnAKeptConnectionIsNotBelieved(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nTest-Not-Run: 1\r\nTest-Id: id-1\r\nContent-Length: 0\r\n\r\n",
	} {
		runs := 0
		faulty := func(s *fakeServer, r *http.Request, w io.Writer) {
			if runs++; runs > 1 {
				respondRaw(refusal)(s, r, w)
			}
			respondOK(s, r, w)
		}
		withTestEnv(t, []script{faulty, respondOK}, func(t *testing.T, env *testEnv) {
			env.serve(newRequestWithID("/unsafe/x", 1))
			resp, _ := env.serve(newRequestWithID("/unsafe/x", 2))
			if resp.Code == 503 || resp.Code == 429 || resp.Code == 421 || env.servers[1].requestCount() != 0 {
				t.Errorf("status %d, %d requests at the second server; the request ran at the first", resp.Code, env.servers[1].requestCount())
			}
		})
	}
}

// A second copy of a response that arrives late belongs to nobody, whatever connection it arrives on.
func TestLateSecondCopyIsNotTheNextResponse(t *testing.T) {
	previous := ""
	faulty := func(s *fakeServer, r *http.Request, w io.Writer) {
		if previous != "" {
			io.WriteString(w, previous)
		}
		previous = "HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nlate"
		respondOK(s, r, w)
	}
	withTestEnv(t, []script{faulty}, func(t *testing.T, env *testEnv) {
		for i := range 4 {
			resp, _ := env.serve(newRequestWithID("/unsafe/x", i))
			if resp.Code != 200 || resp.Body.String() != "body" || resp.Header().Get("Test-Id") != "id-"+strconv.Itoa(i) {
				t.Errorf("request %d: status %d, body %q, id %s", i, resp.Code, resp.Body, resp.Header().Get("Test-Id"))
			}
		}
	})
}

func TestServerThatSaysItIsLeavingGetsNoFurtherRequest(t *testing.T) {
	leaving := respondRaw(signedHead + "Test-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody")
	withTestEnv(t, []script{leaving, respondOK}, func(t *testing.T, env *testEnv) {
		for i := range 3 {
			if resp, _ := env.serve(newRequestWithID("/unsafe/x", i)); resp.Code != 200 {
				t.Errorf("request %d: status %d", i, resp.Code)
			}
		}
		if got := env.servers[0].requestCount(); got != 1 {
			t.Errorf("%d requests reached the leaving server, want 1", got)
		}
	})
}

func TestServerThatAsksForAPauseIsLeftAlone(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1.5": 1500 * time.Millisecond, "3": 3 * time.Second, "-1": 0, "NaN": 0, "soon": 0, "": 0,
	} {
		pausing := respondRaw("HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTest-Load: full\r\nRetry-After: " + text + "\r\nContent-Length: 0\r\n\r\n")
		withTestEnv(t, []script{pausing}, func(t *testing.T, env *testEnv) {
			env.serve(newRequestWithID("/unsafe/x", 0))
			before := env.servers[0].requestCount()
			resp, _ := env.serve(newRequestWithID("/unsafe/x", 1))
			reached := env.servers[0].requestCount() > before
			if reached != (want == 0) {
				t.Errorf("Retry-After %q: a request reached the server: %v", text, reached)
			}
			if retry, _ := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64); retry < want.Seconds() {
				t.Errorf("Retry-After %q: the response asks the caller to retry after %v s", text, retry)
			}
			time.Sleep(want)
			env.serve(newRequestWithID("/unsafe/x", 2))
			if env.servers[0].requestCount() == before {
				t.Errorf("Retry-After %q: no request reached the server after the pause", text)
			}
		})
	}
}

// A server that is silent towards the registry for a while keeps the requests that it runs, and runs each once.
func TestRequestsAtAServerThatIsNotListedAnyMoreGoOn(t *testing.T) {
	slow := func(s *fakeServer, r *http.Request, w io.Writer) {
		time.Sleep(1500 * time.Millisecond)
		respondOK(s, r, w)
	}
	for _, path := range []string{"/safe/x", "/unsafe/x", "/upload/x"} {
		withTestEnv(t, []script{slow, respondOK}, func(t *testing.T, env *testEnv) {
			time.AfterFunc(500*time.Millisecond, func() {
				env.handler.opts.Chooser.SetMembership(&placement.Membership{Members: []placement.Member{{
					ID: "b", Service: "desk", Address: "b", Slots: 6, Region: "far",
				}}})
			})
			resp, _ := env.serve(newRequestWithID(path, 1))
			if resp.Code != 200 || env.servers[0].requestCount() != 1 || env.servers[1].requestCount() != 0 {
				t.Errorf("%s: status %d, %d and %d requests at the servers; want one at the first",
					path, resp.Code, env.servers[0].requestCount(), env.servers[1].requestCount())
			}
		})
	}
}
