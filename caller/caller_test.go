package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azureflow/azureflow/caller"
)

// fakeEntry is an entry VM with a configurable handler.
type fakeEntry struct {
	name    string
	server  *httptest.Server
	handler http.HandlerFunc

	mu       sync.Mutex
	lookups  int
	previous []string // Azureflow-Previous header of each request, "-" if absent
	keys     []string
	calls    map[string]int // attempts by call ID
}

// fleet is a set of entry VMs that all respond to lookups with the complete set, in order.
type fleet []*fakeEntry

func newFleet(t *testing.T, handlers ...http.HandlerFunc) fleet {
	var f fleet
	for i, handler := range handlers {
		e := &fakeEntry{name: string(rune('a' + i)), handler: handler, calls: make(map[string]int)}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/lookup" {
				e.lookup(w, f)
				return
			}
			handler, attempts := e.record(r)
			w.Header().Set("Azureflow-Call-Sendings", strconv.Itoa(attempts))
			handler(w, r)
		}))
		t.Cleanup(e.server.Close)
		f = append(f, e)
	}
	return f
}

func (e *fakeEntry) lookup(w http.ResponseWriter, f fleet) {
	e.mu.Lock()
	e.lookups++
	e.mu.Unlock()
	var entries []caller.EntryVM
	for _, other := range f {
		entries = append(entries, caller.EntryVM{Name: other.name, Incarnation: 1, Address: other.server.Listener.Addr().String()})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "lifetime_ms": 60_000})
}

// record records the headers of r and returns its handler and the number of attempts of its call so far.
func (e *fakeEntry) record(r *http.Request) (http.HandlerFunc, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := r.Header.Get("Azureflow-Previous")
	if previous == "" {
		previous = "-"
	}
	e.previous = append(e.previous, previous)
	e.keys = append(e.keys, r.Header.Get("Idempotency-Key"))
	call := r.Header.Get("Azureflow-Call")
	e.calls[call]++
	return e.handler, e.calls[call]
}

func (e *fakeEntry) receivedKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.keys)
}

func (e *fakeEntry) lookupCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lookups
}

func (e *fakeEntry) setHandler(handler http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = handler
}

func (e *fakeEntry) receivedPrevious() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.previous)
}

func (f fleet) client() *caller.Client {
	var addresses []string
	for i := len(f) - 1; i >= 0; i-- { // most tests keep the last entry VM running
		addresses = append(addresses, f[i].server.Listener.Addr().String())
	}
	return caller.New(caller.Options{Entries: addresses, Origin: "aare", Block: "b", SilentAfter: 50 * time.Millisecond, HTTP: &http.Transport{}})
}

func respondDone(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Azureflow-Outcome", "done")
	_, _ = io.WriteString(w, "whole")
}

func abortConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func refuseWith(status int, outcome, kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Azureflow-Outcome", outcome)
		w.Header().Set("Azureflow-Decision", "x.1.9")
		w.Header().Set("Proxy-Status", `"x"; error=http_request_denied`)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"type":"about:blank#`+kind+`"}`)
	}
}

func postLevy(c *caller.Client, opts caller.CallOptions) (string, error) {
	answer, err := c.Do(context.Background(), "kasse", "POST", "/levies/1", strings.NewReader("money"), opts)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func TestUnreachedEntryVMIsNotListedAsPrevious(t *testing.T) {
	f := newFleet(t, respondDone, respondDone)
	c := f.client()
	f[0].server.Close()
	if text, err := postLevy(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := f[1].receivedPrevious(); !slices.Equal(got, []string{"none"}) {
		t.Fatalf("previous %v", got)
	}
}

func TestRetryListsPreviousEntryVM(t *testing.T) {
	f := newFleet(t, abortConnection, respondDone)
	if text, err := postLevy(f.client(), caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := f[1].receivedPrevious(); !slices.Equal(got, []string{"a/1"}) {
		t.Fatalf("previous %v", got)
	}
	first, second := f[0].receivedKeys(), f[1].receivedKeys()
	if len(first) != 1 || first[0] == "" || !slices.Equal(first, second) {
		t.Fatalf("idempotency keys %v and %v, want one equal key each", first, second)
	}
}

func TestRefusedRetryHasUnknownOutcome(t *testing.T) {
	f := newFleet(t, abortConnection, refuseWith(http.StatusConflict, "unknown", "key-not-free"), respondDone)
	_, err := postLevy(f.client(), caller.CallOptions{Key: "k"})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) || unknown.Key != "k" || !slices.Equal(unknown.Previous, []string{"a/1", "b/1"}) {
		t.Fatalf("%#v", err)
	}
	if unknown.Refusal.Kind != "key-not-free" || unknown.Refusal.Decision != "x.1.9" {
		t.Fatalf("%+v", unknown.Refusal)
	}
	if len(f[2].receivedPrevious()) != 0 {
		t.Fatal("a third entry VM received the request after a refusal")
	}
}

// TestNotRunIsReported: a refusal with proof that the request did not run ends the call.
func TestNotRunIsReported(t *testing.T) {
	f := newFleet(t, refuseWith(http.StatusServiceUnavailable, "not-run", "contract"), respondDone)
	_, err := postLevy(f.client(), caller.CallOptions{})
	var notRun *caller.NotRunError
	if !errors.As(err, &notRun) || notRun.Refusal.Kind != "contract" {
		t.Fatalf("%#v", err)
	}
	if len(f[1].receivedPrevious()) != 0 {
		t.Fatal("a second entry VM received the request after a refusal")
	}
}

func TestUnrepeatableBodyIsNotRetried(t *testing.T) {
	f := newFleet(t, abortConnection, respondDone)
	body := io.MultiReader(strings.NewReader("money"))
	_, err := f.client().Do(context.Background(), "kasse", "POST", "/levies/1", body, caller.CallOptions{})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) || len(f[1].receivedPrevious()) != 0 {
		t.Fatalf("error %#v, second entry VM received previous %v", err, f[1].receivedPrevious())
	}
}

func TestUnresponsiveEntryVMIsReplaced(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFleet(t, silent, respondDone)
	answer, err := f.client().Do(context.Background(), "kasse", "GET", "/balances/1", nil, caller.CallOptions{})
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// TestUnresponsiveEntryVMMayStillRespond: a second attempt that is refused because the unresponsive entry VM has
// forwarded the key does not end the call; the response of the first attempt is used.
func TestUnresponsiveEntryVMMayStillRespond(t *testing.T) {
	secondAttempt := make(chan struct{})
	late := func(w http.ResponseWriter, r *http.Request) {
		<-secondAttempt
		respondDone(w, r)
	}
	conflict := refuseWith(http.StatusConflict, "unknown", "key-not-free")
	f := newFleet(t, late, func(w http.ResponseWriter, r *http.Request) {
		defer close(secondAttempt)
		conflict(w, r)
	})
	if text, err := postLevy(f.client(), caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
}

func TestLookupsAreCached(t *testing.T) {
	f := newFleet(t, respondDone)
	c := f.client()
	for range 5 {
		if _, err := postLevy(c, caller.CallOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	if f[0].lookupCount() != 1 {
		t.Fatalf("%d lookups", f[0].lookupCount())
	}
}

func TestLeavingEntryVMTriggersNewLookup(t *testing.T) {
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Entry-State", "leaving")
		respondDone(w, r)
	})
	c := f.client()
	for range 3 {
		if _, err := postLevy(c, caller.CallOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	if f[0].lookupCount() != 3 {
		t.Fatalf("%d lookups", f[0].lookupCount())
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Outcome", "done")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	_, err := postLevy(f.client(), caller.CallOptions{})
	var cut *caller.CutOffError
	if !errors.As(err, &cut) {
		t.Fatalf("%#v", err)
	}
}

// TestNoRetryByTransport: net/http must not retry a request with a key by itself when a reused connection
// breaks, because the entry VM at the address may have restarted and no longer know the key.
func TestNoRetryByTransport(t *testing.T) {
	f := newFleet(t, respondDone)
	c := f.client()
	if _, err := postLevy(c, caller.CallOptions{}); err != nil {
		t.Fatal(err)
	}
	f[0].setHandler(abortConnection)
	_, err := c.Do(context.Background(), "kasse", "POST", "/levies/2", nil, caller.CallOptions{})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("%#v", err)
	}
	if got := f[0].receivedPrevious(); len(got) != 2 {
		t.Fatalf("request sent %d times in total, want 2", len(got))
	}
}

func TestNoReachableEntryVMIsALookupError(t *testing.T) {
	f := newFleet(t, respondDone)
	c := f.client()
	f[0].server.Close()
	_, err := postLevy(c, caller.CallOptions{})
	var lookup *caller.LookupError
	if !errors.As(err, &lookup) {
		t.Fatalf("%#v", err)
	}
}

// TestReplacedEntryVMsAreLookedUp: if no entry VM of a cached lookup can be reached, the same call performs a
// new lookup.
func TestReplacedEntryVMsAreLookedUp(t *testing.T) {
	old := newFleet(t, respondDone)
	replacement := newFleet(t, respondDone)
	c := caller.New(caller.Options{
		Entries: []string{old[0].server.Listener.Addr().String(), replacement[0].server.Listener.Addr().String()},
		HTTP:    &http.Transport{DisableKeepAlives: true}, // so that the old entry VM cannot be reached at all
	})
	if _, err := postLevy(c, caller.CallOptions{}); err != nil {
		t.Fatal(err)
	}
	old[0].server.Close()
	if text, err := postLevy(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := replacement[0].receivedPrevious(); !slices.Equal(got, []string{"none"}) {
		t.Fatalf("previous %v", got)
	}
}

// TestUnresponsiveLookupIsReplaced: if one entry VM does not respond to a lookup, the next one is queried in parallel.
func TestUnresponsiveLookupIsReplaced(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	f := newFleet(t, respondDone)
	c := caller.New(caller.Options{
		Entries: []string{silent.Listener.Addr().String(), f[0].server.Listener.Addr().String()},
		HTTP:    &http.Transport{}, LookupTimeout: time.Hour, Timeout: time.Hour,
	})
	if text, err := postLevy(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
}

// TestSlowEntriesAreNotDoubled: while every entry VM is slow, extra attempts in parallel to slow ones stay
// within a budget, so that callers start no retry storm.
func TestSlowEntriesAreNotDoubled(t *testing.T) {
	checkExtraAttempts(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		respondDone(w, r)
	})
}

// TestSlowAnswersAreNotRefunded: extra attempts that overtake slow responses stay within the budget too, because the
// entry VM received both attempts.
func TestSlowAnswersAreNotRefunded(t *testing.T) {
	var requests atomic.Int64
	checkExtraAttempts(t, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%3 == 1 {
			time.Sleep(60 * time.Millisecond)
		}
		respondDone(w, r)
	})
}

// checkExtraAttempts fails if the calls to two entry VMs with the handler slow need more attempts than the budget
// allows.
func checkExtraAttempts(t *testing.T, slow http.HandlerFunc) {
	const calls = 100
	f := newFleet(t, slow, slow)
	c := caller.New(caller.Options{
		Entries: []string{f[0].server.Listener.Addr().String()}, HTTP: &http.Transport{}, SilentAfter: time.Millisecond,
	})
	for range calls {
		answer, err := c.Do(context.Background(), "kasse", "GET", "/balances/1", nil, caller.CallOptions{})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if extra := len(f[0].receivedPrevious()) + len(f[1].receivedPrevious()) - calls; extra > 4+calls/20 {
		t.Fatalf("%d extra attempts for %d calls", extra, calls)
	}
}

// respondOncePerConnection responds to the first request of each connection and to none of the later ones.
func respondOncePerConnection() http.HandlerFunc {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		silent := seen[r.RemoteAddr]
		seen[r.RemoteAddr] = true
		mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		respondDone(w, r)
	}
}

// TestUnresponsiveConnectionIsReplaced: an idempotent call without a response on an open connection is retried at the
// same entry VM on a new connection; any other call is retried at the next entry VM with the first one listed as
// previous.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	for _, call := range []struct {
		idempotent bool
		first      int      // number of requests received by the first entry VM
		second     []string // previous entry VMs received by the second entry VM
	}{{true, 3, nil}, {false, 2, []string{"a/1"}}} {
		f := newFleet(t, respondOncePerConnection(), respondDone)
		c := f.client()
		for range 2 {
			answer, err := c.Do(context.Background(), "kasse", "POST", "/levies/1", nil, caller.CallOptions{Idempotent: call.idempotent})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if first, second := len(f[0].receivedPrevious()), f[1].receivedPrevious(); first != call.first || !slices.Equal(second, call.second) {
			t.Errorf("idempotent %v: first entry VM received %d requests, second received previous %v", call.idempotent, first, second)
		}
	}
}

// stallAfterConnections responds to the first request of each connection once calls connections are open. After that
// these connections are unresponsive, as if nothing arrived on them any more, and later ones respond.
func stallAfterConnections(calls int) http.HandlerFunc {
	var mu sync.Mutex
	seen := make(map[string]bool)
	open := make(chan struct{})
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		silent := seen[r.RemoteAddr] && len(seen) >= calls
		if !seen[r.RemoteAddr] && len(seen) < calls {
			seen[r.RemoteAddr] = true
			if len(seen) == calls {
				close(open)
			}
		}
		mu.Unlock()
		<-open
		if silent {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Azureflow-Call-Sendings", "1")
		respondDone(w, r)
	}
}

// TestManySilentConnectionsAreReplaced: if all connections become unresponsive at once, calls that reach an entry VM
// only once do not consume the budget of extra attempts.
func TestManySilentConnectionsAreReplaced(t *testing.T) {
	const calls = 12 // three times the burst of the budget
	f := newFleet(t, stallAfterConnections(calls), respondDone)
	c := caller.New(caller.Options{
		Entries: []string{f[0].server.Listener.Addr().String()}, SilentAfter: 250 * time.Millisecond,
		HTTP: &http.Transport{MaxIdleConnsPerHost: calls},
	})
	for range 2 { // on new connections, then on the same ones
		var finished sync.WaitGroup
		for range calls {
			finished.Go(func() {
				answer, err := c.Do(context.Background(), "kasse", "GET", "/balances/1", nil, caller.CallOptions{})
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			})
		}
		finished.Wait()
	}
}
