package lookup

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

func testHandler() (http.Handler, *review.Log) {
	table := NewTable(Options{})
	table.Update(smallDeployment())
	log := review.NewLog(review.LogOptions{Self: "e1", Incarnation: 1})
	known := func(s steering.ServiceName) bool { return s == "certdesk" }
	return NewHandler(HandlerOptions{Table: table, Recorder: log, HasService: known}), log
}

func TestHandlerResponds(t *testing.T) {
	h, log := testHandler()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?service=certdesk&origin=r0&block=192.0.2.7", nil))
	var response Response
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || w.Code != 200 {
		t.Fatalf("status %d, body %s", w.Code, w.Body)
	}
	if len(response.Entries) != MaxEntries || response.Entries[0].Address == "" || response.LifetimeMs <= 0 || response.Revision != 12 {
		t.Errorf("unexpected response %+v", response)
	}
	r := log.Find(response.Decision)
	if r == nil || r.Result != string(response.Entries[0].Name) || len(r.Candidates) != MaxEntries {
		t.Errorf("unexpected record %+v", r)
	}
}

func TestHandlerRejectsInvalidQueries(t *testing.T) {
	h, _ := testHandler()
	for query, status := range map[string]int{
		"":                                   400,
		"service=":                           400,
		"service=certdesk&service=stampbook": 400,
		"service=certdesk&sevrice=x":         400,
		"service=%zz":                        400,
		"service=certdesk&origin=" + strings.Repeat("r", 129): 400,
		"service=certdesk&block=" + strings.Repeat("b", 129):  400,
		"service=unheard": 404,
		"service=certdesk&block=" + strings.Repeat("b", 4000): 414,
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?"+query, nil))
		if w.Code != status || w.Header().Get("Content-Type") != problem.ContentType {
			t.Errorf("query %.60q: status %d, body %s", query, w.Code, w.Body)
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/lookup?service=certdesk", nil))
	if w.Code != 405 {
		t.Errorf("POST: status %d, want 405", w.Code)
	}
}

func FuzzParseQuery(f *testing.F) {
	for _, seed := range []string{
		"service=certdesk&origin=batinah&block=192.0.2.0/24", "service=a&block=2001:db8::/32", "service=a&block=16777216",
		"service=%00", "block=::ffff:1.2.3.4&service=a", "service=a&&&;", "=&=", strings.Repeat("a=b&", 300),
	} {
		f.Add(seed)
	}
	table := NewTable(Options{})
	table.Update(smallDeployment())
	f.Fuzz(func(t *testing.T, raw string) {
		q, wrong := parseQuery(raw)
		if wrong != nil {
			return
		}
		q.Now = start
		d := table.Decide(q)
		if q.Service == "" || len(q.Service) > maxNameBytes || d.Count != MaxEntries {
			t.Errorf("%q: %+v", raw, d)
		}
	})
}
