package admin

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/gorilla/mux"
)

// Every path is documented in docs/openapi.yaml, and every path there is served.
func TestOpenAPINamesEveryPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, match := range regexp.MustCompile(`(?m)^  (/[^:]*):$`).FindAllStringSubmatch(string(data), -1) {
		documented[match[1]] = true
	}
	h := &handler{}
	router := mux.NewRouter()
	h.registerRoutes(router.PathPrefix("/v1").Subrouter())
	served := map[string]bool{"/healthz": true, "/readyz": true, "/metrics": true}
	_ = router.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		if path, err := route.GetPathTemplate(); err == nil && route.GetHandler() != nil {
			served[path] = true
		}
		return nil
	})
	for path := range served {
		if !documented[path] {
			t.Errorf("%s is served but not documented", path)
		}
	}
	for path := range documented {
		if !served[path] {
			t.Errorf("%s is documented but not served", path)
		}
	}
	_, _, o := newFake()
	for path := range documented {
		if w := get(NewHandler(o), strings.ReplaceAll(path, "{id}", "e1.1.1")); w.Code == http.StatusMethodNotAllowed {
			t.Errorf("%s: %d", path, w.Code)
		}
	}
}
