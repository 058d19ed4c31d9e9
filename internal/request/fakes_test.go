package request

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// fakePlacer places on the first of a fixed set of servers that has a free slot.
type fakePlacer struct {
	mu      sync.Mutex
	servers []vm.VM
	slots   int
	used    map[vm.Name]int
	freed   chan struct{}
	results []AttemptResult
}

func newFakePlacer(slots int, addresses ...string) *fakePlacer {
	p := &fakePlacer{slots: slots, used: make(map[vm.Name]int), freed: make(chan struct{})}
	for i, a := range addresses {
		p.servers = append(p.servers, vm.VM{Name: vm.Name("server-" + strconv.Itoa(i)), Address: a, Region: "aare"})
	}
	return p
}

func (p *fakePlacer) Place(q *PlacementQuery) (*Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if excluded(q.Exclude, s.Name) || p.used[s.Name] >= p.slots {
			continue
		}
		p.used[s.Name]++
		return &Placement{Server: s, Constraint: review.ConstraintNone, Release: func(r AttemptResult) { p.release(s.Name, r) }}, nil
	}
	return nil, &NoCapacityError{Service: q.Service, Constraint: review.ConstraintContract}
}

func (p *fakePlacer) release(name vm.Name, r AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[name]--
	p.results = append(p.results, r)
	close(p.freed)
	p.freed = make(chan struct{})
}

func (p *fakePlacer) CapacityFreed(steering.ServiceName) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

func (p *fakePlacer) failures() []Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	var f []Failure
	for _, r := range p.results {
		f = append(f, r.Failure)
	}
	return f
}

func excluded(names []vm.Name, name vm.Name) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// fakeRecorder stores the records in memory.
type fakeRecorder struct {
	next atomic.Uint64
	name string

	mu      sync.Mutex
	records []*review.Record
}

func (r *fakeRecorder) NextID() review.ID {
	return review.ID(r.name + ".1." + strconv.FormatUint(r.next.Add(1), 10))
}

func (r *fakeRecorder) Record(rec *review.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

func (r *fakeRecorder) ofKind(k review.Kind) []*review.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*review.Record
	for _, rec := range r.records {
		if rec.Kind == k {
			found = append(found, rec)
		}
	}
	return found
}

func testConfiguration() *steering.Configuration {
	return &steering.Configuration{
		Revision: 1,
		Services: []steering.Service{{
			Name: "kasse",
			Operations: []steering.Operation{
				{Name: "balance", Method: "GET", Path: "/balances/{id}", Idempotent: true, Deadline: steering.Duration(2 * time.Second)},
				{Name: "settle", Method: "POST", Path: "/levies/{id}", Deadline: steering.Duration(2 * time.Second)},
				{Name: "ledger", Method: "PUT", Path: "/ledgers/{id}", Idempotent: true, Class: steering.ClassBulk, Deadline: steering.Duration(5 * time.Second)},
			},
			Budgets: steering.Budgets{Retries: 0.03, Hedges: 0.02},
		}},
	}
}

// testEntry is a Handler on a loopback server.
type testEntry struct {
	handler  *Handler
	server   *httptest.Server
	placer   *fakePlacer
	recorder *fakeRecorder
}

func newTestEntry(t testing.TB, change func(*HandlerOptions), addresses ...string) *testEntry {
	t.Helper()
	c := testConfiguration()
	e := &testEntry{placer: newFakePlacer(5, addresses...), recorder: &fakeRecorder{name: "entry-1"}}
	opts := HandlerOptions{
		Config:   func() *steering.Configuration { return c },
		Placer:   e.placer,
		Recorder: e.recorder,
		Self:     Identity{Name: "entry-1", Incarnation: 7, Region: "aare", Zone: "aare-a"},
		Journal:  NewJournal(JournalOptions{Self: "entry-1", Incarnation: 7, ClaimsCompleteFrom: time.Now()}),
	}
	if change != nil {
		change(&opts)
	}
	e.handler = NewHandler(opts)
	e.server = httptest.NewServer(e.handler)
	t.Cleanup(e.server.Close)
	return e
}

// do sends one request to the entry VM and returns status, header and body.
func (e *testEntry) do(t testing.TB, method, path string, body io.Reader, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, e.server.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := e.server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(data)
}

// newUpstream serves f and echoes the attempt ID as an upstream does.
func newUpstream(t testing.TB, f http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		f(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func addressOf(s *httptest.Server) string { return s.Listener.Addr().String() }
