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
	table.Update(today())
	log := review.NewLog(review.LogOptions{Self: "e1", Incarnation: 1})
	known := func(s steering.ServiceName) bool { return s == "certdesk" }
	return NewHandler(HandlerOptions{Table: table, Recorder: log, HasService: known}), log
}

func TestHandlerAnswers(t *testing.T) {
	h, log := testHandler()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/lookup?service=certdesk&origin=r0&block=192.0.2.7", nil))
	var answer Response
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil || w.Code != 200 {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	if len(answer.Entries) != MaxEntries || answer.Entries[0].Address == "" || answer.LifetimeMs <= 0 || answer.Revision != 12 {
		t.Errorf("answer %+v", answer)
	}
	r := log.Find(answer.Decision)
	if r == nil || r.Result != string(answer.Entries[0].Name) || len(r.Candidates) != MaxEntries {
		t.Errorf("record %+v", r)
	}
}

func TestHandlerRefusesWhatItCannotRead(t *testing.T) {
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
			t.Errorf("%.60q: %d %s", query, w.Code, w.Body)
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/lookup?service=certdesk", nil))
	if w.Code != 405 {
		t.Errorf("POST: %d", w.Code)
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
	table.Update(today())
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
