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

// directoryDownError reports a directory that does not answer.
type directoryDownError struct{}

func (*directoryDownError) Error() string { return "directory is down" }

// fakeEntry is an entry VM that notes what it is asked.
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

// fakeDirectory answers for the directories in answers; others are down.
type fakeDirectory struct {
	answers map[string]gateway.LookupResult
	asked   []string
}

func (d *fakeDirectory) resolve(
	_ context.Context, directory, _ string, _ steering.RegionName, _ steering.ZoneName,
) (gateway.LookupResult, error) {
	d.asked = append(d.asked, directory)
	found, ok := d.answers[directory]
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

// sendTimes returns how many of n requests were answered.
func sendTimes(t *testing.T, c *gatewayCaller, n int) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	done := 0
	for range n {
		if c.send(ctx) {
			done++
		}
	}
	return done
}

func TestRequestsNameHostIdAndDeadline(t *testing.T) {
	entry := newFakeEntry(t)
	d := &fakeDirectory{answers: map[string]gateway.LookupResult{"b": {Addresses: []string{entry.address()}, TTL: time.Hour}}}
	if done := sendTimes(t, newTestCaller(d, "a", "b"), 2); done != 2 {
		t.Fatalf("%d of 2 requests answered", done)
	}
	if got := strings.Join(d.asked, ""); got != "ab" {
		t.Errorf("asked directories %q, want each once in their order", got)
	}
	first, second := entry.requests[0], entry.requests[1]
	if first.Host != "desk.example" || first.URL.Path != "/x/1" || first.Header.Get("Left") == "" {
		t.Errorf("got %s %s, deadline %q", first.Host, first.URL.Path, first.Header.Get("Left"))
	}
	if first.Header.Get("Id") == second.Header.Get("Id") {
		t.Errorf("two requests have the id %q", first.Header.Get("Id"))
	}
}

func TestEntryVMThatFailedIsLeftOut(t *testing.T) {
	entry, down := newFakeEntry(t), newFakeEntry(t)
	down.Close()
	d := &fakeDirectory{answers: map[string]gateway.LookupResult{
		"a": {Addresses: []string{down.address(), entry.address()}, TTL: time.Hour},
	}}
	const requests = 40
	if done := sendTimes(t, newTestCaller(d, "a"), requests); done < requests-1 {
		t.Errorf("%d of %d requests answered, want all but the first to the lost VM", done, requests)
	}
}

func TestExpiredAnswerIsUsedWhileNoDirectoryAnswers(t *testing.T) {
	entry := newFakeEntry(t)
	d := &fakeDirectory{answers: map[string]gateway.LookupResult{"a": {Addresses: []string{entry.address()}}}}
	c := newTestCaller(d, "a")
	sendTimes(t, c, 1)
	clear(d.answers)
	if done := sendTimes(t, c, 3); done != 3 {
		t.Errorf("%d of 3 requests answered", done)
	}
	if len(d.asked) < 2 {
		t.Errorf("directory asked %d times, want again after its answer expired", len(d.asked))
	}
}

func TestRefusedRequestsAreNotDone(t *testing.T) {
	entry := newFakeEntry(t)
	entry.status = http.StatusServiceUnavailable
	d := &fakeDirectory{answers: map[string]gateway.LookupResult{"a": {Addresses: []string{entry.address()}, TTL: time.Hour}}}
	if done := sendTimes(t, newTestCaller(d, "a"), 3); done != 0 {
		t.Errorf("%d requests count as done", done)
	}
}

func TestNoDirectoryNoRequest(t *testing.T) {
	if done := sendTimes(t, newTestCaller(&fakeDirectory{}, "a", "b"), 1); done != 0 {
		t.Errorf("%d requests count as done", done)
	}
}
