package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/pipenet"
)

// site is a server in virtual time. Its handler takes the time that a request's "Take" header names, unless the request
// ends before.
type site struct {
	*Server
	listener *pipenet.Listener

	mu       sync.Mutex
	started  []string // paths
	finished []string
	canceled []string
}

// withSite runs test with a server whose GET requests are idempotent.
func withSite(t *testing.T, opts Options, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{listener: pipenet.Listen("site:80")}
		opts.Handler = s
		opts.RunsAhead = func(r *http.Request) bool { return r.Method == http.MethodGet }
		s.Server = New(s.listener, opts)
		go func() { _ = s.Serve() }()
		test(t, s)
		s.Close()
		synctest.Wait()
		if ahead, held := s.ahead.Load(), s.heldBytes.Load(); ahead != 0 || held != 0 {
			t.Errorf("%d places and %d bytes are still reserved", ahead, held)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.record(&s.started, r)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	takes, _ := time.ParseDuration(r.Header.Get("Take"))
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		s.record(&s.canceled, r)
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("Cut") != "" {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "begin")
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", r.Header.Get("Ask"))
	_, _ = io.WriteString(w, r.URL.Path+strings.Repeat("x", len(r.Header.Get("Fill"))*10_000))
	s.record(&s.finished, r)
}

func (s *site) record(to *[]string, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, r.URL.Path)
}

// paths returns the recorded paths in from, separated by spaces, once nothing more happens at this moment.
func (s *site) paths(from *[]string) string {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(*from, " ")
}

// caller is a connection to a site.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *site) dial(t *testing.T) *caller {
	t.Helper()
	c, err := s.listener.Dial(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send sends requests in one write, from a goroutine since a pipe does not buffer.
func (c *caller) send(requests ...string) {
	go func() { _, _ = io.WriteString(c, strings.Join(requests, "")) }()
	synctest.Wait()
}

// read returns the next response; nil: there is none.
func (c *caller) read() (resp *http.Response, body string) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, ""
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, ""
	}
	return resp, string(data)
}

// request returns a request with extra header lines such as "Take: 1s".
func request(method, path string, lines ...string) string {
	head := method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

func TestIdempotentRequestsOfAConnectionRunConcurrently(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		c := s.dial(t)
		defer c.Close()
		sent := time.Now()
		c.send(request("GET", "/1", "Take: 3s"), request("GET", "/2", "Take: 1s"), request("GET", "/3", "Take: 2s"))
		if got := s.paths(&s.started); len(strings.Fields(got)) != 3 {
			t.Errorf("started %q, want all three", got)
		}
		for _, want := range []string{"/1", "/2", "/3"} {
			if _, body := c.read(); body != want {
				t.Errorf("response %q, want that to %s", body, want)
			}
		}
		if took := time.Since(sent); took != 3*time.Second {
			t.Errorf("took %v, want as long as the longest", took)
		}
	})
}

func TestRequestsThatMayRunOnceWaitForEarlierOnes(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		c := s.dial(t)
		defer c.Close()
		c.send(request("GET", "/1", "Take: 1s"), request("POST", "/2", "Take: 1s", "Content-Length: 4")+"body", request("GET", "/3"))
		if got := s.paths(&s.started); got != "/1" {
			t.Errorf("started %q, want the first alone", got)
		}
		c.read()
		if got := s.paths(&s.started); got != "/1 /2" {
			t.Errorf("started %q after the first response, want the second too", got)
		}
		c.read()
		if _, body := c.read(); body != "/3" {
			t.Errorf("third response %q", body)
		}
	})
}

// GONE on badgeworks-gslb trouble-2 --seed 54482574514: net/http stops to look for the end of the connection at the
// first byte of a pipelined request.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	for _, requests := range [][]string{
		{request("GET", "/1", "Take: 9s"), request("GET", "/2", "Take: 9s"), request("GET", "/3", "Take: 9s")},
		{request("GET", "/1", "Take: 9s"), request("POST", "/2", "Take: 9s")},
		{request("POST", "/1", "Take: 9s", "Content-Length: 2") + "ab", request("GET", "/2", "Take: 9s")},
		{request("GET", "/1", "Take: 9s"), "GET /2 HTT"},
	} {
		withSite(t, Options{MaxInFlight: 2}, func(t *testing.T, s *site) {
			c := s.dial(t)
			for _, r := range requests {
				c.send(r)
			}
			running := s.paths(&s.started)
			c.Close()
			if got := s.paths(&s.canceled); len(got) != len(running) || running == "" {
				t.Errorf("of the running %q canceled %q, want all", running, got)
			}
			if got := s.paths(&s.started); got != running {
				t.Errorf("started %q after the caller left, before %q", got, running)
			}
		})
	}
}

// A response that closes the connection leaves what was sent behind it unread, but no request that already runs.
func TestClosingResponseIsTheLastOfThoseInFlight(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests []string
		bodies   []string // of the responses; the last one closes the connection
		started  string
	}{
		{"asked for by the response", []string{request("GET", "/1", "Ask: close"), request("POST", "/2")}, []string{"/1"}, "/1"},
		{"asked for while others run", []string{request("GET", "/1", "Take: 1s", "Ask: close"), request("GET", "/2", "Take: 1s", "Ask: close"), request("POST", "/3")}, []string{"/1", "/2"}, "/1 /2"},
		{"asked for by the caller", []string{request("GET", "/1", "Take: 1s"), request("GET", "/2", "Connection: close"), request("GET", "/3")}, []string{"/1", "/2"}, "/1 /2"},
		{"bad request", []string{request("GET", "/1", "Take: 1s"), "GET /2\r\n\r\n", request("GET", "/3")}, []string{"/1", ""}, "/1"},
		{"broken-off response", []string{request("GET", "/1"), request("GET", "/2", "Cut: 1", "Take: 1s")}, []string{"/1"}, "/1 /2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, Options{}, func(t *testing.T, s *site) {
				c := s.dial(t)
				defer c.Close()
				c.send(test.requests...)
				for i, want := range test.bodies {
					resp, body := c.read()
					if resp == nil || body != want {
						t.Fatalf("response %d is %q, want %q", i, body, want)
					}
					if isLast := i == len(test.bodies)-1; resp.Close != isLast && test.name != "broken-off response" {
						t.Errorf("response %d closes the connection: %v, want %v", i, resp.Close, isLast)
					}
				}
				if resp, _ := c.read(); resp != nil {
					t.Errorf("a complete response with status %d follows", resp.StatusCode)
				}
				if got := s.paths(&s.started); sorted(got) != test.started {
					t.Errorf("started %q, want %q", got, test.started)
				}
			})
		})
	}
}

func sorted(paths string) string {
	fields := strings.Fields(paths)
	for i := range fields {
		for j := i + 1; j < len(fields); j++ {
			if fields[j] < fields[i] {
				fields[i], fields[j] = fields[j], fields[i]
			}
		}
	}
	return strings.Join(fields, " ")
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	three := []string{request("GET", "/1", "Take: 1s"), request("GET", "/2", "Take: 1s"), request("GET", "/3", "Take: 1s")}
	for _, opts := range []Options{{MaxInFlight: 2}, {MaxAhead: 1}} {
		withSite(t, opts, func(t *testing.T, s *site) {
			c := s.dial(t)
			defer c.Close()
			c.send(three...)
			if got := s.paths(&s.started); len(strings.Fields(got)) != 2 {
				t.Errorf("started %q with %+v, want two", got, opts)
			}
			for range three {
				if resp, _ := c.read(); resp == nil {
					t.Fatal("a response is missing")
				}
			}
		})
	}
}

// Finished responses that wait take a bounded amount of memory: beyond it the handler waits.
func TestHeldResponsesAreBounded(t *testing.T) {
	withSite(t, Options{MaxHeldBytes: 10_000}, func(t *testing.T, s *site) {
		c := s.dial(t)
		defer c.Close()
		c.send(request("GET", "/1", "Take: 1s"), request("GET", "/2", "Fill: x"), request("GET", "/3"))
		if got := s.paths(&s.finished); got != "/3" {
			t.Errorf("finished %q, want only the short response", got)
		}
		if held := s.heldBytes.Load(); held > 10_000 {
			t.Errorf("%d bytes are held", held)
		}
		for _, want := range []int{2, 10_002, 2} {
			if _, body := c.read(); len(body) != want {
				t.Errorf("response of %d bytes, want %d", len(body), want)
			}
		}
	})
}

func TestSlowReaderDelaysOnlyItsOwnConnection(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		slow, other := s.dial(t), s.dial(t)
		defer slow.Close()
		defer other.Close()
		slow.send(request("GET", "/1", "Fill: xxx"), request("GET", "/2"))
		sent := time.Now()
		other.send(request("GET", "/3"), request("GET", "/4"))
		for _, want := range []string{"/3", "/4"} {
			if _, body := other.read(); body != want {
				t.Errorf("response %q, want %q", body, want)
			}
		}
		if took := time.Since(sent); took != 0 {
			t.Errorf("the other connection waited %v", took)
		}
		time.Sleep(writeTimeout + time.Second)
		if resp, _ := slow.read(); resp != nil {
			t.Error("a caller that did not read still gets its response after the write timeout")
		}
	})
}

// During a planned stop every request that was read gets its response, and the last one closes the connection.
func TestDrainServesPipelinedRequests(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		c := s.dial(t)
		c.send(request("GET", "/1", "Take: 2s"), request("GET", "/2", "Take: 1s"))
		s.StopAccepting()
		drained := make(chan bool)
		go func() { drained <- s.Drain(context.Background(), 100*time.Millisecond) }()
		time.Sleep(500 * time.Millisecond)
		c.send(request("GET", "/3"))
		for i, want := range []string{"/1", "/2", "/3"} {
			resp, body := c.read()
			if resp == nil || body != want || resp.Close != (i == 2) {
				t.Fatalf("response %d: %v %q, want %q", i, resp, body, want)
			}
		}
		if resp, _ := c.read(); resp != nil {
			t.Error("the connection stays open")
		}
		c.Close()
		if !<-drained {
			t.Error("a connection is left after draining")
		}
	})
}

func TestIdleAndStalledConnectionsAreClosed(t *testing.T) {
	for name, sent := range map[string]string{"idle": "", "stalled": "GET / HT", "after a request": request("GET", "/1")} {
		t.Run(name, func(t *testing.T) {
			withSite(t, Options{IdleTimeout: 5 * time.Second, HeadTimeout: 2 * time.Second}, func(t *testing.T, s *site) {
				c := s.dial(t)
				defer c.Close()
				c.send(sent)
				if name == "after a request" {
					c.read()
				}
				start := time.Now()
				if resp, _ := c.read(); resp != nil {
					t.Error("a response without a request")
				}
				want := 5 * time.Second
				if name == "stalled" {
					want = 2 * time.Second
				}
				if took := time.Since(start); took != want {
					t.Errorf("closed after %v, want %v", took, want)
				}
			})
		})
	}
}

func TestCallerThatAsksIsToldToSendTheBody(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		c := s.dial(t)
		defer c.Close()
		c.send(request("POST", "/1", "Content-Length: 4", "Expect: 100-continue"))
		if resp, _ := c.read(); resp == nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("first response %v, want 100", resp)
		}
		c.send("body")
		if _, body := c.read(); body != "/1" {
			t.Errorf("final response %q", body)
		}
	})
}
