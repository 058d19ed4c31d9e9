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

func TestStoreCallsAreCountedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		log := logrus.New()
		log.SetOutput(&lines)
		registry := prometheus.NewRegistry()
		link := &storeLink{fakeStore: newFakeStore()}
		store := newCountedStore(link, NewMetrics(registry), log)
		if _, _, err := store.List(t.Context(), "server/"); err != nil {
			t.Fatal(err)
		}
		link.isCut.Store(true)
		if _, _, err := store.List(t.Context(), "server/"); err == nil {
			t.Fatal("a call over a cut link succeeded")
		}
		page := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, outcome := range []string{callSucceeded, callFailed} {
			want := `azureflow_gateway_store_calls_total{call="list",outcome="` + outcome + `"} 1`
			if !strings.Contains(page.Body.String(), want) {
				t.Errorf("metrics page lacks %s", want)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go store.run(ctx)
		time.Sleep(callsLogInterval + time.Second)
		cancel()
		synctest.Wait()
		if got := lines.String(); !strings.Contains(got, `msg="store calls"`) || !strings.Contains(got, "list=2") {
			t.Errorf("log is %q, want a line with msg=store calls and list=2", got)
		}
	})
}

// While the store is unreachable, an entry VM calls it at growing intervals, with jitter against VMs in step.
func TestFailedStoreCallsBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &storeLink{fakeStore: newFakeStore()}
		link.isCut.Store(true)
		store := newCountedStore(link, NewMetrics(prometheus.NewRegistry()), discardLog())
		f := newTestFollower(t, store, "vm-1")
		ctx, cancel := context.WithCancel(t.Context())
		go f.pollServers(ctx)
		const span = 20 * time.Second
		time.Sleep(span)
		cancel()
		synctest.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		// Three calls while the waits grow, then one per retryMax shortened by jitter.
		if maxLists := 4 + int(span.Seconds()/(retryMax.Seconds()*(1-retryJitter))); store.counts[callList] > maxLists {
			t.Errorf("%d lists in %v, want at most %d", store.counts[callList], span, maxLists)
		}
	})
}
