package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// fakeSource holds rows of every kind.
type fakeSource struct {
	vms       []VMRow
	upstreams []UpstreamRow
	err       error
}

type notReadyError struct{}

func (notReadyError) Error() string { return "no revision in force" }

func (f *fakeSource) RevisionStatus(context.Context) (RevisionStatus, error) {
	return RevisionStatus{InForce: 12, Highest: 13, Lagging: []RevisionLag{{VM: "e1", Revision: 12}}}, f.err
}
func (f *fakeSource) VMRows(context.Context) ([]VMRow, error)     { return f.vms, f.err }
func (f *fakeSource) ZoneRows(context.Context) ([]ZoneRow, error) { return nil, f.err }
func (f *fakeSource) RegionRows(context.Context) ([]RegionRow, error) {
	return []RegionRow{{Region: "batinah", Service: "certdesk"}, {Region: "batinah", Service: "stampbook"}}, f.err
}
func (f *fakeSource) LinkRows(context.Context) ([]LinkRow, error) {
	return []LinkRow{{From: "batinah", To: "muscat"}}, f.err
}
func (f *fakeSource) ContractRows(context.Context) ([]ContractRow, error) {
	return []ContractRow{{Service: "certdesk", Zone: "batinah-a", Holder: "e1"}}, f.err
}
func (f *fakeSource) UpstreamRows(context.Context) ([]UpstreamRow, error) { return f.upstreams, f.err }
func (f *fakeSource) ServicesOf(team steering.TeamName) ([]steering.ServiceName, bool) {
	return []steering.ServiceName{"certdesk"}, team == "certificates"
}

func newFake() (*fakeSource, *review.Log, Options) {
	f := &fakeSource{}
	for i := range 25 {
		f.vms = append(f.vms, VMRow{Name: vmNumber("e", i), Region: "batinah", Zone: "batinah-a"})
		f.upstreams = append(f.upstreams, UpstreamRow{Name: vmNumber("u", i), Service: []steering.ServiceName{"certdesk", "stampbook"}[i%2]})
	}
	slices.Reverse(f.vms)
	log := review.NewLog(review.LogOptions{Self: "e1", Incarnation: 1})
	return f, log, Options{
		Revision: f, VMs: f, Zones: f, Regions: f, Links: f, Contracts: f, Upstreams: f, Teams: f, Decisions: log,
		ExplainSources: func() review.Sources { return review.Sources{Local: log} },
		Gatherer:       prometheus.NewRegistry(),
	}
}

// vmNumber has a fixed width so that names sort by number.
func vmNumber(prefix string, i int) vm.Name { return vm.Name(fmt.Sprintf("%s%02d", prefix, i)) }

func get(h http.Handler, target string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", target, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil || w.Code != 200 {
		t.Fatalf("%d %s: %v", w.Code, w.Body, err)
	}
	return v
}

func TestPagesHoldEveryRowOnce(t *testing.T) {
	_, _, o := newFake()
	h := NewHandler(o)
	var names []string
	cursor := ""
	for pages := 1; ; pages++ {
		p := decode[Page[VMRow]](t, get(h, "/v1/vms?limit=10&cursor="+cursor))
		for _, row := range p.Items {
			names = append(names, string(row.Name))
		}
		if cursor = p.Next; cursor == "" {
			if pages != 3 {
				t.Errorf("%d pages", pages)
			}
			break
		}
	}
	if len(names) != 25 || !slices.IsSorted(names) {
		t.Errorf("names %v", names)
	}
}

func TestTeamSeesItsServicesOnly(t *testing.T) {
	_, log, o := newFake()
	h := NewHandler(o)
	for _, row := range decode[Page[UpstreamRow]](t, get(h, "/v1/upstreams?team=certificates")).Items {
		if row.Service != "certdesk" {
			t.Errorf("row of %s", row.Service)
		}
	}
	other := log.NextID()
	log.Record(&review.Record{ID: other, Kind: review.KindRequest, Service: "stampbook"})
	log.Record(&review.Record{Kind: review.KindRequest, Service: "certdesk"})
	if items := decode[DecisionPage](t, get(h, "/v1/decisions?team=certificates&to=2100-01-01T00:00:00Z")).Items; len(items) != 1 {
		t.Errorf("%d decisions", len(items))
	}
	for target, status := range map[string]int{
		"/v1/upstreams?team=nobody":                                   404,
		"/v1/explain?team=certificates&id=" + string(other):           404,
		"/v1/explain?team=certificates&service=stampbook":             400,
		"/v1/explain?team=certificates":                               400,
		"/v1/explain?team=certificates&service=certdesk&format=text":  200,
		"/v1/decisions?team=certificates&service=stampbook&limit=100": 200,
	} {
		if w := get(h, target); w.Code != status {
			t.Errorf("%s: %d %s", target, w.Code, w.Body)
		}
	}
}

func TestDecisionsAndExplanations(t *testing.T) {
	_, log, o := newFake()
	h := NewHandler(o)
	id := log.NextID()
	log.Record(&review.Record{
		ID: id, Kind: review.KindRequest, Service: "certdesk", Operation: "lookup", Outcome: "done",
		At: time.Now().Add(-time.Second), Took: time.Millisecond,
	})
	if r := decode[review.Record](t, get(h, "/v1/decisions/"+string(id))); r.ID != id {
		t.Errorf("record %+v", r)
	}
	if s := decode[review.Explanation](t, get(h, "/v1/explain?id="+string(id))); s.Outcome != "done" {
		t.Errorf("explanation %+v", s)
	}
	if i := decode[review.Incident](t, get(h, "/v1/explain?service=certdesk&from=5m&to=0s")); i.Done != 1 {
		t.Errorf("incident %+v", i)
	}
	w := get(h, "/v1/explain?format=text&id="+string(id))
	if !strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain") || !strings.Contains(w.Body.String(), "outcome done") {
		t.Errorf("text %s", w.Body)
	}
}

func TestWrongRequestsAreProblems(t *testing.T) {
	f, _, o := newFake()
	h := NewHandler(o)
	for target, status := range map[string]int{
		"/v1/vms?limit=0":                              400,
		"/v1/vms?limit=1001":                           400,
		"/v1/vms?limit=1&limit=2":                      400,
		"/v1/vms?lmit=1":                               400,
		"/v1/vms?service=certdesk":                     400,
		"/v1/vms?cursor=" + strings.Repeat("c", 300):   400,
		"/v1/vms?x=" + strings.Repeat("c", 5000):       414,
		"/v1/decisions/none":                           400,
		"/v1/decisions/e1.1.999":                       404,
		"/v1/decisions?from=yesterday":                 400,
		"/v1/explain?id=e9.1.1":                        404,
		"/v1/explain?id=x":                             400,
		"/v1/explain?format=xml":                       400,
		"/v1/explain?service=certdesk&from=1m&to=2m":   400,
		"/v1/explain?service=certdesk&from=100h&to=1m": 400,
		"/v1/nothing":                                  404,
		"/v2/vms":                                      404,
	} {
		w := get(h, target)
		if w.Code != status || w.Header().Get("Content-Type") != problem.ContentType {
			t.Errorf("%.60s: %d, want %d: %s", target, w.Code, status, w.Body)
		}
	}
	r := httptest.NewRequest("DELETE", "/v1/vms", nil)
	w := httptest.NewRecorder()
	if h.ServeHTTP(w, r); w.Code != 405 {
		t.Errorf("DELETE: %d", w.Code)
	}
	f.err = notReadyError{}
	if w := get(h, "/v1/revision"); w.Code != 502 {
		t.Errorf("failing source: %d", w.Code)
	}
	if w := get(NewHandler(Options{}), "/v1/vms"); w.Code != 503 {
		t.Errorf("no source: %d", w.Code)
	}
}

func TestTokenGuardsAllButHealth(t *testing.T) {
	_, _, o := newFake()
	o.Token = "secret"
	o.Ready = func() error { return notReadyError{} }
	h := NewHandler(o)
	for target, status := range map[string]int{"/v1/vms": 401, "/v1/explain?id=e1.1.1": 401, "/v1/nothing": 404, "/metrics": 401, "/healthz": 200, "/readyz": 503} {
		if w := get(h, target); w.Code != status {
			t.Errorf("%s without token: %d", target, w.Code)
		}
	}
	for token, status := range map[string]int{"Bearer secret": 200, "bearer secret": 200, "Bearer wrong": 401, "Basic secret": 401, "secret": 401, "Bearer ": 401} {
		if w := get(h, "/v1/vms", "Authorization", token); w.Code != status {
			t.Errorf("%q: %d", token, w.Code)
		}
	}
}

func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"/v1/vms?limit=10&cursor=e1", "/v1/explain?id=e1.1.1&format=text", "/v1/decisions/..%2f", "/v1/explain?service=a&from=1h",
		"/v1/decisions?from=9999-99-99T00:00:00Z", "/metrics?x=%00", "/v1//vms", "/v1/regions?team=%ff&service=",
	} {
		f.Add(seed)
	}
	_, _, o := newFake()
	h := NewHandler(o)
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.NewRequest("GET", "http://127.0.0.1", nil)
		if err != nil {
			t.Fatal(err)
		}
		path, query, _ := strings.Cut(target, "?")
		r.URL.Path, r.URL.RawQuery = "/"+strings.TrimPrefix(path, "/"), query
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Errorf("%q: %d %s", target, w.Code, w.Body)
		}
	})
}
