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

// fakeEntry is an entry VM with a scripted answer.
type fakeEntry struct {
	name   string
	server *httptest.Server
	answer http.HandlerFunc

	mu       sync.Mutex
	lookups  int
	previous []string // header of each request, "-" if absent
	keys     []string
	calls    map[string]int // sendings by the name of the call
}

// fleet is a set of entry VMs that all answer lookups with the whole set, in order.
type fleet []*fakeEntry

func newFleet(t *testing.T, answers ...http.HandlerFunc) fleet {
	var f fleet
	for i, answer := range answers {
		e := &fakeEntry{name: string(rune('a' + i)), answer: answer, calls: make(map[string]int)}
		e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/lookup" {
				e.lookup(w, f)
				return
			}
			answer, sendings := e.note(r)
			w.Header().Set("Azureflow-Call-Sendings", strconv.Itoa(sendings))
			answer(w, r)
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

// note keeps what r says and returns how to answer it, and how many sendings of its call came.
func (e *fakeEntry) note(r *http.Request) (http.HandlerFunc, int) {
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
	return e.answer, e.calls[call]
}

func (e *fakeEntry) sawKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.keys)
}

func (e *fakeEntry) lookupCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lookups
}

func (e *fakeEntry) become(answer http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = answer
}

func (e *fakeEntry) saw() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.previous)
}

func (f fleet) client() *caller.Client {
	var addresses []string
	for i := len(f) - 1; i >= 0; i-- { // the last lives in every test
		addresses = append(addresses, f[i].server.Listener.Addr().String())
	}
	return caller.New(caller.Options{Entries: addresses, Origin: "aare", Block: "b", SilentAfter: 50 * time.Millisecond, HTTP: &http.Transport{}})
}

func done(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Azureflow-Outcome", "done")
	_, _ = io.WriteString(w, "whole")
}

func drop(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func refuse(status int, outcome, kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Azureflow-Outcome", outcome)
		w.Header().Set("Azureflow-Decision", "x.1.9")
		w.Header().Set("Proxy-Status", `"x"; error=http_request_denied`)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"type":"about:blank#`+kind+`"}`)
	}
}

func settle(c *caller.Client, opts caller.CallOptions) (string, error) {
	answer, err := c.Do(context.Background(), "kasse", "POST", "/levies/1", strings.NewReader("money"), opts)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func TestUnreachedEntryIsNotNamed(t *testing.T) {
	f := newFleet(t, done, done)
	c := f.client()
	f[0].server.Close()
	if text, err := settle(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := f[1].saw(); !slices.Equal(got, []string{"none"}) {
		t.Fatalf("previous %v", got)
	}
}

func TestResubmissionNamesPreviousEntry(t *testing.T) {
	f := newFleet(t, drop, done)
	if text, err := settle(f.client(), caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := f[1].saw(); !slices.Equal(got, []string{"a/1"}) {
		t.Fatalf("previous %v", got)
	}
	first, second := f[0].sawKeys(), f[1].sawKeys()
	if len(first) != 1 || first[0] == "" || !slices.Equal(first, second) {
		t.Fatalf("keys %v, %v", first, second)
	}
}

func TestRefusedResubmissionIsUnknown(t *testing.T) {
	f := newFleet(t, drop, refuse(http.StatusConflict, "unknown", "key-not-free"), done)
	_, err := settle(f.client(), caller.CallOptions{Key: "k"})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) || unknown.Key != "k" || !slices.Equal(unknown.Previous, []string{"a/1", "b/1"}) {
		t.Fatalf("%#v", err)
	}
	if unknown.Refusal.Kind != "key-not-free" || unknown.Refusal.Decision != "x.1.9" {
		t.Fatalf("%+v", unknown.Refusal)
	}
	if len(f[2].saw()) != 0 {
		t.Fatal("sent on after a refusal")
	}
}

// TestNotRunIsTold: a refusal with proof ends the call.
func TestNotRunIsTold(t *testing.T) {
	f := newFleet(t, refuse(http.StatusServiceUnavailable, "not-run", "contract"), done)
	_, err := settle(f.client(), caller.CallOptions{})
	var notRun *caller.NotRunError
	if !errors.As(err, &notRun) || notRun.Refusal.Kind != "contract" {
		t.Fatalf("%#v", err)
	}
	if len(f[1].saw()) != 0 {
		t.Fatal("a refusal was sent on")
	}
}

func TestBodyThatCannotBeReadAgainIsNotResent(t *testing.T) {
	f := newFleet(t, drop, done)
	body := io.MultiReader(strings.NewReader("money"))
	_, err := f.client().Do(context.Background(), "kasse", "POST", "/levies/1", body, caller.CallOptions{})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) || len(f[1].saw()) != 0 {
		t.Fatalf("%#v, second saw %v", err, f[1].saw())
	}
}

func TestSilentEntryIsLeft(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFleet(t, silent, done)
	answer, err := f.client().Do(context.Background(), "kasse", "GET", "/balances/1", nil, caller.CallOptions{})
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// TestSilentEntryMayStillAnswer: a resubmission that is refused because the silent entry VM has sent the
// key does not end the call; the first answer counts.
func TestSilentEntryMayStillAnswer(t *testing.T) {
	asked := make(chan struct{})
	late := func(w http.ResponseWriter, r *http.Request) {
		<-asked
		done(w, r)
	}
	conflict := refuse(http.StatusConflict, "unknown", "key-not-free")
	f := newFleet(t, late, func(w http.ResponseWriter, r *http.Request) {
		defer close(asked)
		conflict(w, r)
	})
	if text, err := settle(f.client(), caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
}

func TestLookupsAreCached(t *testing.T) {
	f := newFleet(t, done)
	c := f.client()
	for range 5 {
		if _, err := settle(c, caller.CallOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	if f[0].lookupCount() != 1 {
		t.Fatalf("%d lookups", f[0].lookupCount())
	}
}

func TestLeavingEntryIsLookedUpAnew(t *testing.T) {
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Entry-State", "leaving")
		done(w, r)
	})
	c := f.client()
	for range 3 {
		if _, err := settle(c, caller.CallOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	if f[0].lookupCount() != 3 {
		t.Fatalf("%d lookups", f[0].lookupCount())
	}
}

func TestCutOffAnswerIsAnError(t *testing.T) {
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Outcome", "done")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	_, err := settle(f.client(), caller.CallOptions{})
	var cut *caller.CutOffError
	if !errors.As(err, &cut) {
		t.Fatalf("%#v", err)
	}
}

// TestNoReplayByTransport: net/http must not send a key again by itself when a reused connection dies, for
// the entry VM behind the address may have restarted and no longer know the key.
func TestNoReplayByTransport(t *testing.T) {
	f := newFleet(t, done)
	c := f.client()
	if _, err := settle(c, caller.CallOptions{}); err != nil {
		t.Fatal(err)
	}
	f[0].become(drop)
	_, err := c.Do(context.Background(), "kasse", "POST", "/levies/2", nil, caller.CallOptions{})
	var unknown *caller.UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("%#v", err)
	}
	if got := f[0].saw(); len(got) != 2 {
		t.Fatalf("sent %d times", len(got))
	}
}

func TestNoEntryIsALookupError(t *testing.T) {
	f := newFleet(t, done)
	c := f.client()
	f[0].server.Close()
	_, err := settle(c, caller.CallOptions{})
	var lookup *caller.LookupError
	if !errors.As(err, &lookup) {
		t.Fatalf("%#v", err)
	}
}

// TestReplacedEntriesAreFoundAgain: when no entry VM of a cached lookup is reached, a new lookup is asked
// within the same call.
func TestReplacedEntriesAreFoundAgain(t *testing.T) {
	old := newFleet(t, done)
	replacement := newFleet(t, done)
	c := caller.New(caller.Options{
		Entries: []string{old[0].server.Listener.Addr().String(), replacement[0].server.Listener.Addr().String()},
		HTTP:    &http.Transport{DisableKeepAlives: true}, // so that the old one is not reached at all
	})
	if _, err := settle(c, caller.CallOptions{}); err != nil {
		t.Fatal(err)
	}
	old[0].server.Close()
	if text, err := settle(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
	if got := replacement[0].saw(); !slices.Equal(got, []string{"none"}) {
		t.Fatalf("previous %v", got)
	}
}

// TestSilentLookupIsLeft: a lookup that one entry VM does not answer goes to the next beside it.
func TestSilentLookupIsLeft(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	f := newFleet(t, done)
	c := caller.New(caller.Options{
		Entries: []string{silent.Listener.Addr().String(), f[0].server.Listener.Addr().String()},
		HTTP:    &http.Transport{}, LookupTimeout: time.Hour, Timeout: time.Hour,
	})
	if text, err := settle(c, caller.CallOptions{}); err != nil || text != "whole" {
		t.Fatalf("%q, %v", text, err)
	}
}

// TestSlowEntriesAreNotDoubled: while every entry VM is slow, second sendings beside slow ones stay within
// a budget, so that callers start no storm.
func TestSlowEntriesAreNotDoubled(t *testing.T) {
	checkExtraSendings(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		done(w, r)
	})
}

// TestSlowAnswersAreNotRefunded: where some answers are slow and second sendings overtake them, these stay within the budget
// too, since the entry VM got both.
func TestSlowAnswersAreNotRefunded(t *testing.T) {
	var asked atomic.Int64
	checkExtraSendings(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1)%3 == 1 {
			time.Sleep(60 * time.Millisecond)
		}
		done(w, r)
	})
}

// checkExtraSendings fails if calls are sent more often than the budget allows to two entry VMs that answer as slow does.
func checkExtraSendings(t *testing.T, slow http.HandlerFunc) {
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
	if extra := len(f[0].saw()) + len(f[1].saw()) - calls; extra > 4+calls/20 {
		t.Fatalf("%d extra sendings of %d calls", extra, calls)
	}
}

// silentLater answers the first request of each connection and stays silent on all later ones.
func silentLater() http.HandlerFunc {
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
		done(w, r)
	}
}

// TestSilentConnectionIsReplaced: an idempotent call that is silent on an open connection goes to the same entry
// VM on a new one; any other goes to the next entry VM, which is told of the first.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, call := range []struct {
		idempotent bool
		first      int      // requests that the first entry VM got
		second     []string // previous entry VMs that the second one was told
	}{{true, 3, nil}, {false, 2, []string{"a/1"}}} {
		f := newFleet(t, silentLater(), done)
		c := f.client()
		for range 2 {
			answer, err := c.Do(context.Background(), "kasse", "POST", "/levies/1", nil, caller.CallOptions{Idempotent: call.idempotent})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if first, second := len(f[0].saw()), f[1].saw(); first != call.first || !slices.Equal(second, call.second) {
			t.Errorf("idempotent %v: first got %d, second was told %v", call.idempotent, first, second)
		}
	}
}

// silentTogether answers each connection's first request once calls connections are open. Then these are silent, as if
// nothing arrived on them any more, and later ones are not.
func silentTogether(calls int) http.HandlerFunc {
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
		done(w, r)
	}
}

// TestManySilentConnectionsAreReplaced: when all connections fall silent at once, the budget of second sendings is not
// spent on calls that reach an entry VM once.
func TestManySilentConnectionsAreReplaced(t *testing.T) {
	const calls = 12 // three times what the budget holds
	f := newFleet(t, silentTogether(calls), done)
	c := caller.New(caller.Options{
		Entries: []string{f[0].server.Listener.Addr().String()}, SilentAfter: 250 * time.Millisecond,
		HTTP: &http.Transport{MaxIdleConnsPerHost: calls},
	})
	for range 2 { // on new connections, then on these
		var answered sync.WaitGroup
		for range calls {
			answered.Go(func() {
				answer, err := c.Do(context.Background(), "kasse", "GET", "/balances/1", nil, caller.CallOptions{})
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			})
		}
		answered.Wait()
	}
}
