package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azureflow/azureflow/internal/forward"
)

func TestStateIsScraped(t *testing.T) {
	withFollower(t, func(t *testing.T, store *fakeStore, f *follower) {
		registry := prometheus.NewRegistry()
		handler := forward.NewHandler(forward.Options{Chooser: f.chooser})
		p := newPresence(store, testSettings("one"), f.chooser, discardLog())
		if err := registry.Register(newStateCollector(f, p, f.chooser, handler)); err != nil {
			t.Fatal(err)
		}
		page := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, want := range []string{
			`azureflow_gateway_servers{service="desk",state="warm"} 2`,
			`azureflow_gateway_servers{service="desk",state="leaving"} 0`,
			`azureflow_gateway_requests_in_flight{service="desk"} 0`,
			`azureflow_gateway_slots_taken_ratio{service="desk"} 0`,
			`azureflow_gateway_retry_budget_sendings{service="desk"} 0`,
			`azureflow_gateway_store_copy_age_seconds{copy="servers"}`,
			`azureflow_gateway_configuration_version 3`,
			`azureflow_gateway_entry_vms 0`,
			`azureflow_gateway_store_era 0`,
			`azureflow_gateway_routes{state="answered"} 0`,
			`azureflow_gateway_routes{state="unanswered"} 0`,
			`azureflow_gateway_requests_waiting 0`,
		} {
			if !strings.Contains(page.Body.String(), want) {
				t.Errorf("metrics page lacks %s", want)
			}
		}
		if t.Failed() {
			t.Log(page.Body.String())
		}
	})
}
