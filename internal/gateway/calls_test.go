package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
)

func TestStoreCallsAreCountedAndTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := logrus.New()
		log.SetOutput(&lines)
		registry := prometheus.NewRegistry()
		gate := &gatedStore{fakeStore: newFakeStore()}
		store := newCountedStore(gate, NewMetrics(registry), log)
		if _, _, err := store.List(t.Context(), "server/"); err != nil {
			t.Fatal(err)
		}
		gate.cut.Store(true)
		if _, _, err := store.List(t.Context(), "server/"); err == nil {
			t.Fatal("the store turned nobody away")
		}
		page := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, outcome := range []string{callDone, callFailed} {
			want := `azureflow_gateway_store_calls_total{call="list",outcome="` + outcome + `"} 1`
			if !strings.Contains(page.Body.String(), want) {
				t.Errorf("the metrics lack %s", want)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go store.run(ctx)
		time.Sleep(callsInterval + time.Second)
		cancel()
		synctest.Wait()
		if got := lines.String(); !strings.Contains(got, `msg="store calls"`) || !strings.Contains(got, "list=2") {
			t.Errorf("told %q", got)
		}
	})
}

// While the store is away, an entry VM asks it less and less often, and no two in step.
func TestFailedStoreCallsBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &gatedStore{fakeStore: newFakeStore()}
		gate.cut.Store(true)
		store := newCountedStore(gate, NewMetrics(prometheus.NewRegistry()), silentLog())
		f := newTestFollower(t, store, "vm-1")
		ctx, cancel := context.WithCancel(t.Context())
		go f.pollServers(ctx)
		const span = 20 * time.Second
		time.Sleep(span)
		cancel()
		synctest.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		// Three calls while the waits grow, then one in a jittered retryMax.
		if most := 4 + int(span.Seconds()/(retryMax.Seconds()*(1-retryJitter))); store.since[callList] > most {
			t.Errorf("%d lists in %v, at most %d expected", store.since[callList], span, most)
		}
	})
}
