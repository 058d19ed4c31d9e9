package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

const whereKey = "key-of-atlas"

// askWhere returns the answer of a VM with 60 servers, of which one leaves, to a query.
func askWhere(t *testing.T, query string) *httptest.ResponseRecorder {
	t.Helper()
	table := routing.NewTable(&routing.Config{
		Version: 4,
		Routes: []routing.Route{{
			Name: "desk", Host: "desk.example", Prefix: "/", Timeout: 2 * time.Second, TargetLatency: time.Second,
			Destinations: []routing.Destination{{Service: "new", Weight: 1}, {Service: "old", Weight: 9}},
		}},
		Accounts: []routing.Account{{Name: "atlas", Keys: []string{whereKey}}},
	})
	members := &placement.Membership{}
	for i := range 60 {
		members.Members = append(members.Members, placement.Member{
			ID: placement.ServerID(fmt.Sprint("s", i)), Service: "old", Zone: "north-a", Region: "north", Slots: 4, Draining: i == 7,
		})
	}
	chooser := placement.NewChooser(placement.Options{Zone: "north-a", Region: "north"})
	chooser.SetMembership(members)
	d := &daemon{settings: testSettings("vm-1"), handler: forward.NewHandler(forward.Options{
		Table: func() *routing.Table { return table }, Chooser: chooser, Region: "north",
	})}
	recorder := httptest.NewRecorder()
	d.serveWhere(recorder, httptest.NewRequest(http.MethodGet, WherePath+"?"+query, nil))
	return recorder
}

func TestWhereAnswersWithinBounds(t *testing.T) {
	r := askWhere(t, "host=desk.example&path=/a&account=atlas&deadline_ms=1500&bytes=10")
	var got Where
	if err := json.Unmarshal(r.Body.Bytes(), &got); err != nil || r.Code != http.StatusOK {
		t.Fatalf("%d %v %s", r.Code, err, r.Body)
	}
	if got.VM != "vm-1" || got.Version != 4 || got.Route != "desk" || got.Kind != "safe" || got.Service != "old" ||
		got.Verdict != "sent" || got.TimeLeftMs != 1500 || got.TargetLeftMs != 1000 || len(got.Destinations) != 2 {
		t.Errorf("answer %+v", got)
	}
	if len(got.Candidates) != maxWhereCandidates || got.Servers != 60 || !got.Candidates[0].Chosen {
		t.Errorf("%d candidates of %d", len(got.Candidates), got.Servers)
	}
	r = askWhere(t, "host=desk.example&path=/a&account=atlas&service=new")
	if !strings.Contains(r.Body.String(), `"reason":"no-server"`) || !strings.Contains(r.Body.String(), `"candidates":[]`) {
		t.Errorf("a service without servers: %s", r.Body)
	}
}

func TestWhereRefusesBadQuestionsAndShowsNoKey(t *testing.T) {
	for query, want := range map[string]int{
		"path=/a":                                                              http.StatusBadRequest,
		"host=desk.example&path=a":                                             http.StatusBadRequest,
		"host=desk.example&path=/a&bytes=-1":                                   http.StatusBadRequest,
		"host=desk.example&path=/a&deadline_ms=1s":                             http.StatusBadRequest,
		"host=elsewhere.example&path=/a":                                       http.StatusNotFound,
		"host=desk.example&path=/a&account=" + whereKey:                        http.StatusNotFound,
		"host=desk.example&path=/a&account=atlas&service=x":                    http.StatusNotFound,
		"host=desk.example&path=/a":                                            http.StatusOK,
		"host=desk.example&path=/a&account=atlas":                              http.StatusOK,
		"host=desk.example&path=/" + strings.Repeat("a", maxWhereQueryBytes+1): http.StatusRequestURITooLong,
	} {
		r := askWhere(t, query)
		if r.Code != want {
			t.Errorf("%.60s: status %d, want %d: %s", query, r.Code, want, r.Body)
		}
		if strings.Contains(r.Body.String(), whereKey) {
			t.Errorf("%.60s: the answer shows a key", query)
		}
	}
}
