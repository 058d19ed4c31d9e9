package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/memory"
	"github.com/azureflow/azureflow/internal/pipenet"
)

// reports collects what Limits closed or refused.
type reports struct {
	mu     sync.Mutex
	counts map[Reason]int
}

func (r *reports) record(reason Reason, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[Reason]int)
	}
	r.counts[reason]++
}

func (r *reports) String() string {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.counts)
}

// withLimits runs test with a site, and checks that nothing stays reserved.
func withLimits(t *testing.T, bytes int64, conns int, test func(t *testing.T, s *site, r *reports)) {
	r := &reports{}
	limits := NewLimits(memory.NewAccount(bytes), conns, r.record)
	withSite(t, Options{Limits: limits}, func(t *testing.T, s *site) { test(t, s, r) })
	if limits.OpenConns() != 0 || limits.memory.Used() != 0 {
		t.Errorf("%d connections and %d bytes are still reserved", limits.OpenConns(), limits.memory.Used())
	}
}

// status returns the status of the next response, 0 if the connection ended.
func (c *caller) status() int {
	if resp, _ := c.read(); resp != nil {
		return resp.StatusCode
	}
	return 0
}

func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	withLimits(t, 0, 4, func(t *testing.T, s *site, r *reports) {
		var old []*caller
		for i := range 4 {
			c := s.dial(t)
			defer c.Close()
			c.send(request("GET", fmt.Sprintf("/%d", i)))
			if c.status() != http.StatusOK {
				t.Fatal("no response")
			}
			old = append(old, c)
			time.Sleep(time.Second)
		}
		c := s.dial(t)
		defer c.Close()
		c.send(request("GET", "/new"))
		if c.status() != http.StatusOK || old[0].status() != 0 {
			t.Error("the connection that was idle for longest was not closed for a new one")
		}
		old[1].send(request("GET", "/again"))
		if old[1].status() != http.StatusOK || r.String() != "map[idle:1]" {
			t.Errorf("closed %s, want one idle connection", r)
		}
	})
}

// Idle connections may fill the memory before they are as many as are allowed.
func TestIdleConnectionsMakeRoomInMemory(t *testing.T) {
	withLimits(t, 3*ConnBytes+8*fieldBytes, 4, func(t *testing.T, s *site, r *reports) {
		for range 3 {
			c := s.dial(t)
			defer c.Close()
		}
		time.Sleep(time.Second)
		refused := s.dial(t)
		defer refused.Close()
		if refused.status() != 0 {
			t.Error("a connection without memory was accepted")
		}
		time.Sleep(time.Second)
		c := s.dial(t)
		defer c.Close()
		c.send(request("GET", "/new"))
		if c.status() != http.StatusOK || r.String() != "map[connections:1 idle:1]" {
			t.Errorf("closed %s, want one idle connection for the one that came next", r)
		}
	})
}

func TestRequestsInFlightKeepTheirConnections(t *testing.T) {
	withLimits(t, 0, 2, func(t *testing.T, s *site, r *reports) {
		var busy []*caller
		for range 2 {
			c := s.dial(t)
			defer c.Close()
			c.send(request("GET", "/1", "Take: 5s"))
			busy = append(busy, c)
		}
		c := s.dial(t) // one more than allowed, since others may be about to end
		defer c.Close()
		c.send(request("GET", "/2", "Take: 5s"))
		refused := s.dial(t)
		defer refused.Close()
		if refused.status() != 0 || r.String() != "map[connections:1]" {
			t.Errorf("closed %s, want the new connection", r)
		}
		for _, c := range append(busy, c) {
			if c.status() != http.StatusOK {
				t.Error("a request in flight was cut off")
			}
		}
	})
}

func TestHeadWithoutRoomIsRefusedWithAPromise(t *testing.T) {
	withLimits(t, ConnBytes+4*fieldBytes, 0, func(t *testing.T, s *site, r *reports) {
		c := s.dial(t)
		defer c.Close()
		c.send(request("GET", "/1"))
		if c.status() != http.StatusOK {
			t.Error("a small head was refused")
		}
		c.send(request("GET", "/many", strings.Split(strings.Repeat("a: b\n", 5)+"a: b", "\n")...))
		resp, _ := c.read()
		if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%+v, want 503 with Retry-After", resp)
		}
		if got := s.paths(&s.started); got != "/1" || r.String() != "map[no-memory:1]" {
			t.Errorf("started %q, refused %s", got, r)
		}
	})
}

// Crowds whose heads or bodies stop hold memory until someone else needs it.
// A body does not wait for memory beyond the time at which it is due.
func TestBodyWaitsForRoomUntilItIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = maxRoomWait / 5
		l := pipenet.Listen("site:80")
		waited := make(chan time.Duration, 1)
		server := New(l, Options{
			Limits: NewLimits(memory.NewAccount(2*ConnBytes), 0, nil),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				start := time.Now()
				_ = http.NewResponseController(w).SetReadDeadline(start.Add(due))
				if w.(memory.Holder).Reserve(4*ConnBytes) == nil {
					t.Error("more was reserved than there is")
				}
				waited <- time.Since(start)
			}),
		})
		go func() { _ = server.Serve() }()
		c := (&site{listener: l}).dial(t)
		c.send(request("POST", "/1", "Content-Length: 5") + "12345")
		if got := <-waited; got != due {
			t.Errorf("waited %v, want %v", got, due)
		}
		_ = c.Close()
		server.Close()
	})
}

func TestStalledBodyMakesRoom(t *testing.T) {
	const many = 40
	lines := strings.Split(strings.Repeat("a: b\n", many-1)+"a: b", "\n")
	withLimits(t, 2*ConnBytes+many*fieldBytes*3/2+2000, 0, func(t *testing.T, s *site, r *reports) {
		stalled := s.dial(t)
		defer stalled.Close()
		stalled.send(request("POST", "/1", append(lines, "Content-Length: 10")...) + "x")
		go func() { _, _ = io.Copy(io.Discard, stalled) }() // as a socket takes a short response
		time.Sleep(2 * minStall)
		c := s.dial(t)
		defer c.Close()
		sent := time.Now()
		c.send(request("GET", "/2", lines...))
		if c.status() != http.StatusOK || time.Since(sent) > maxRoomWait {
			t.Errorf("no response within %s, closed %s", time.Since(sent), r)
		}
		if got := r.String(); got != "map[stalled-body:1]" {
			t.Errorf("closed %s, want the body that stalled", got)
		}
	})
}

// A connection may take a request in the moment in which it is told to close. It must not count as closing for ever:
// after that no new connection was accepted.
func TestConnectionThatWentOnMakesRoomLater(t *testing.T) {
	withLimits(t, 0, 1, func(t *testing.T, s *site, r *reports) {
		stalled := s.dial(t)
		defer stalled.Close()
		stalled.send(request("POST", "/1", "Content-Length: 10") + "x")
		go func() { _, _ = io.Copy(io.Discard, stalled) }()
		c := s.openConns()[0]
		c.mu.Lock()
		c.evictedAt = time.Now()
		c.mu.Unlock()
		time.Sleep(maxEviction + minStall)
		next := s.dial(t)
		defer next.Close()
		next.send(request("GET", "/2"))
		if next.status() != http.StatusOK || r.String() != "map[stalled-body:1]" {
			t.Errorf("closed %s, want the body that stalled", r)
		}
	})
}

func TestSlowBodies(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  time.Duration // between bytes
		bytes  int           // sent at each time
		passes bool
	}{
		{"a byte a second", time.Second, 1, false},
		{"stops", time.Minute, 100, false},
		{"4 KiB each two seconds", 2 * time.Second, 4 << 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withLimits(t, 0, 0, func(t *testing.T, s *site, r *reports) {
				caller := s.dial(t)
				defer caller.Close()
				const pieces = 30
				caller.send(request("POST", "/1", fmt.Sprintf("Content-Length: %d", pieces*c.bytes)))
				go func() {
					for range pieces {
						if _, err := caller.Write(make([]byte, c.bytes)); err != nil {
							return
						}
						time.Sleep(c.pause)
					}
				}()
				for range 70 {
					time.Sleep(time.Second)
					s.opts.Limits.Sweep(time.Now())
				}
				if got := s.paths(&s.finished); (got == "/1") != c.passes {
					t.Errorf("finished %q, closed %s; want it served: %v", got, r, c.passes)
				}
				_ = caller.Close()
				synctest.Wait()
			})
		})
	}
}

// A caller that reads slowly gets all of a response, and is none that does not read.
func TestSlowReaderGetsItsResponse(t *testing.T) {
	withLimits(t, 0, 1, func(t *testing.T, s *site, r *reports) {
		slow := s.dial(t)
		defer slow.Close()
		slow.send(request("GET", "/1", "Fill: "+strings.Repeat("x", 26))) // 260 kB
		received := 0
		for piece := make([]byte, 4<<10); received < 260_000; time.Sleep(500 * time.Millisecond) {
			n, err := slow.Read(piece)
			if received += n; err != nil {
				t.Fatalf("%v after %d bytes", err, received)
			}
			s.opts.Limits.makeRoom(time.Now())
		}
		if r.String() != "map[]" {
			t.Errorf("closed %s", r)
		}
	})
}

func TestChooseForConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []candidate{
		{caller: "a", reason: ReasonUnread, since: now.Add(-time.Minute)},
		{caller: "b", reason: ReasonIdle, since: now.Add(-time.Second)},
		{caller: "c", reason: ReasonIdle, since: now.Add(-2 * time.Second)},
		{caller: "d", reason: ReasonStalledBody, since: now.Add(-minStall / 2)},
		{caller: "e", reason: ReasonUnread, since: now.Add(-minUnread / 2)},
	}
	got := func(limit int, extra ...candidate) (callers string) {
		for _, c := range chooseForConnections(append(extra, all...), 3, limit, now) {
			callers += c.caller
		}
		return callers
	}
	if g := got(100); g != "cba" {
		t.Errorf("%q, want idle ones by age, then a response that was not read; neither a short stall nor a late reader", g)
	}
	heavy := candidate{caller: "x", reason: ReasonPartialHead, since: now}
	if g := got(4, heavy, heavy); g != "xxc" {
		t.Errorf("%q, want those of the caller with half of all first", g)
	}
}

func TestChooseForMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	stalled := now.Add(-time.Second)
	all := []candidate{
		{caller: "a", reason: ReasonStalledBody, since: stalled, bytes: 30},
		{caller: "b", reason: ReasonStalledBody, since: stalled, bytes: 20},
		{caller: "b", reason: ReasonStalledBody, since: stalled, bytes: 25},
		{caller: "c", reason: ReasonStalledBody, since: now, bytes: 1000},
		{caller: "d", reason: ReasonIdle, since: stalled, bytes: 1000},
	}
	total := int64(0)
	for _, c := range chooseForMemory(all, 40, now) {
		if c.caller != "b" {
			t.Errorf("chose a body of %s, want those of b, which holds most", c.caller)
		}
		total += c.bytes
	}
	if total != 45 {
		t.Errorf("%d bytes for 40 that are wanted, want 45", total)
	}
}

// A server without Limits keeps what it did before: nothing is closed for others, and a slow body has no bound.
func TestWithoutLimits(t *testing.T) {
	withSite(t, Options{}, func(t *testing.T, s *site) {
		c := s.dial(t)
		defer c.Close()
		c.send(request("POST", "/1", "Content-Length: 2") + "a")
		time.Sleep(time.Hour)
		s.opts.Limits.Sweep(time.Now())
		c.send("b")
		if c.status() != http.StatusOK {
			t.Error("a slow body was given up")
		}
	})
}
