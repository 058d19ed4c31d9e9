package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/gateway"
	"github.com/azureflow/azureflow/internal/steering"
)

// directoryDownError reports a directory that does not respond.
type directoryDownError struct{}

func (*directoryDownError) Error() string { return "directory is down" }

// fakeEntry is an entry VM that records the requests it receives.
type fakeEntry struct {
	*httptest.Server
	mu       sync.Mutex
	requests []*http.Request
	status   int
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{status: http.StatusOK}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.requests = append(e.requests, r)
		w.WriteHeader(e.status)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEntry) address() string { return strings.TrimPrefix(e.URL, "http://") }

// fakeDirectory resolves for the directories in results; all others are down.
type fakeDirectory struct {
	results   map[string]gateway.LookupResult
	requested []string
}

func (d *fakeDirectory) resolve(
	_ context.Context, directory, _ string, _ steering.RegionName, _ steering.ZoneName,
) (gateway.LookupResult, error) {
	d.requested = append(d.requested, directory)
	found, ok := d.results[directory]
	if !ok {
		return gateway.LookupResult{}, &directoryDownError{}
	}
	return found, nil
}

func newTestCaller(d *fakeDirectory, directories ...string) *gatewayCaller {
	return newGatewayCaller(&Options{Method: http.MethodPost, Path: "/x/1", Body: "sent", Gateways: &Gateways{
		Directories: directories, Host: "desk.example", Resolve: d.resolve,
		Headers: forward.Headers{RequestID: "Id", Deadline: "Left"},
	}})
}

// countSucceeded sends n requests and returns how many of them succeeded.
func countSucceeded(t *testing.T, c *gatewayCaller, n int) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	succeeded := 0
	for range n {
		if c.send(ctx) {
			succeeded++
		}
	}
	return succeeded
}

func TestRequestsCarryHostIDAndDeadline(t *testing.T) {
	entry := newFakeEntry(t)
	d := &fakeDirectory{results: map[string]gateway.LookupResult{"b": {Addresses: []string{entry.address()}, TTL: time.Hour}}}
	if succeeded := countSucceeded(t, newTestCaller(d, "a", "b"), 2); succeeded != 2 {
		t.Fatalf("%d of 2 requests succeeded", succeeded)
	}
	if got := strings.Join(d.requested, ""); got != "ab" {
		t.Errorf("queried directories %q, want each once in order", got)
	}
	first, second := entry.requests[0], entry.requests[1]
	if first.Host != "desk.example" || first.URL.Path != "/x/1" || first.Header.Get("Left") == "" {
		t.Errorf("got %s %s, deadline %q", first.Host, first.URL.Path, first.Header.Get("Left"))
	}
	if first.Header.Get("Id") == second.Header.Get("Id") {
		t.Errorf("two requests have the same ID %q", first.Header.Get("Id"))
	}
}

func TestFailedEntryVMIsExcluded(t *testing.T) {
	entry, down := newFakeEntry(t), newFakeEntry(t)
	down.Close()
	d := &fakeDirectory{results: map[string]gateway.LookupResult{
		"a": {Addresses: []string{down.address(), entry.address()}, TTL: time.Hour},
	}}
	const requests = 40
	if succeeded := countSucceeded(t, newTestCaller(d, "a"), requests); succeeded < requests-1 {
		t.Errorf("%d of %d requests succeeded, want all but the first to the failed VM", succeeded, requests)
	}
}

func TestExpiredResponseIsUsedWhileNoDirectoryResponds(t *testing.T) {
	entry := newFakeEntry(t)
	d := &fakeDirectory{results: map[string]gateway.LookupResult{"a": {Addresses: []string{entry.address()}}}}
	c := newTestCaller(d, "a")
	countSucceeded(t, c, 1)
	clear(d.results)
	if succeeded := countSucceeded(t, c, 3); succeeded != 3 {
		t.Errorf("%d of 3 requests succeeded", succeeded)
	}
	if len(d.requested) < 2 {
		t.Errorf("directory queried %d times, want a new query after its response expired", len(d.requested))
	}
}

func TestRefusedRequestsDoNotSucceed(t *testing.T) {
	entry := newFakeEntry(t)
	entry.status = http.StatusServiceUnavailable
	d := &fakeDirectory{results: map[string]gateway.LookupResult{"a": {Addresses: []string{entry.address()}, TTL: time.Hour}}}
	if succeeded := countSucceeded(t, newTestCaller(d, "a"), 3); succeeded != 0 {
		t.Errorf("%d requests succeeded, want 0", succeeded)
	}
}

func TestNoRequestSucceedsWithoutDirectory(t *testing.T) {
	if succeeded := countSucceeded(t, newTestCaller(&fakeDirectory{}, "a", "b"), 1); succeeded != 0 {
		t.Errorf("%d requests succeeded, want 0", succeeded)
	}
}
