package standin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

// send runs one request against u without a network.
func send(ctx context.Context, u *Upstream, method, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, "/saldo/7?x=1", strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	u.Handler().ServeHTTP(w, r)
	return w
}

func TestAnswerBelongsToRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUpstream(UpstreamOptions{Name: "s1"})
		w := send(t.Context(), u, "POST", "levy", request.HeaderIdempotency, "k1", request.HeaderAttempt, "a1")
		want := string(AnswerBody(RequestDigest("POST", "/saldo/7?x=1", "k1", []byte("levy")), 512))
		if w.Body.String() != want {
			t.Fatalf("body %q, want %q", w.Body, want)
		}
		if got := w.Header().Get(request.HeaderAttempt); got != "a1" {
			t.Fatalf("attempt %q echoed", got)
		}
		if u.Ledger().Starts("k1") != 1 {
			t.Fatal("run not in ledger")
		}
	})
}

func TestFullServerShedsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUpstream(UpstreamOptions{Slots: 1, Queue: 1, Spread: -1})
		for range 2 {
			go send(t.Context(), u, "POST", "", request.HeaderIdempotency, "k", HeaderServiceMs, "100")
		}
		synctest.Wait()
		w := send(t.Context(), u, "POST", "", request.HeaderIdempotency, "shed")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get(request.HeaderNotRun) != "1" {
			t.Fatalf("code %d, headers %v", w.Code, w.Header())
		}
		time.Sleep(time.Second)
		l := u.Ledger()
		if l.Starts("shed") != 0 || l.Starts("k") != 2 {
			t.Fatalf("ledger %+v", l)
		}
		if d := Doubled(l); len(d) != 1 || d[0] != "k" {
			t.Fatalf("doubled %v", d)
		}
	})
}

func TestCancellationAndDeadlineFreeTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUpstream(UpstreamOptions{Slots: 1, Queue: 1, Spread: -1})
		ctx, cancel := context.WithCancel(t.Context())
		go send(ctx, u, "POST", "", HeaderServiceMs, "5000", request.HeaderIdempotency, "k")
		synctest.Wait()
		cancel()
		synctest.Wait()
		if u.Load().InFlight != 0 {
			t.Fatal("cancelled request holds its slot")
		}
		start := time.Now()
		w := send(t.Context(), u, "GET", "", HeaderServiceMs, "5000", request.HeaderTimeout, "50")
		if w.Code != http.StatusGatewayTimeout || time.Since(start) != 50*time.Millisecond {
			t.Fatalf("code %d after %v", w.Code, time.Since(start))
		}
		if l := u.Ledger(); l.Starts("k") != 1 || l.Runs[0].End != EndCancelled {
			t.Fatalf("ledger %+v", l)
		}
	})
}

func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUpstream(UpstreamOptions{ReportLag: 5 * time.Second, HealthLag: 2 * time.Second})
		go send(t.Context(), u, "GET", "", HeaderServiceMs, "60000")
		time.Sleep(time.Second)
		u.SetDraining(true)
		if r := u.report(time.Now()); r.InFlight != 0 || r.Draining {
			t.Fatalf("report %+v is not late", r)
		}
		time.Sleep(5 * time.Second)
		if r := u.report(time.Now()); r.InFlight != 1 || !r.Draining {
			t.Fatalf("report %+v still old", r)
		}
		w := httptest.NewRecorder()
		u.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/healthz", nil))
		if w.Code != http.StatusServiceUnavailable {
			t.Fatalf("health %d", w.Code)
		}
		time.Sleep(time.Minute)
	})
}

func TestColdStartWarmsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUpstream(UpstreamOptions{ColdFactor: 11, ColdRequests: 10, Spread: -1})
		took := func() time.Duration {
			start := time.Now()
			send(t.Context(), u, "GET", "", HeaderServiceMs, "10")
			return time.Since(start)
		}
		first := took()
		for range 9 {
			took()
		}
		if warm := took(); first != 110*time.Millisecond || warm != 10*time.Millisecond {
			t.Fatalf("first %v, warm %v", first, warm)
		}
	})
}

// exchange sends one GET over TCP and returns the body and the first error.
func exchange(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestSpoiledAnswersOverTCP(t *testing.T) {
	u := NewUpstream(UpstreamOptions{LookupTime: time.Microsecond})
	server := httptest.NewServer(u.Handler())
	defer server.Close()
	for name, fault := range map[string]UpstreamFaults{"cut off": {CutOff: true}, "reset": {Reset: true}} {
		u.SetFaults(fault)
		if body, err := exchange(server.Client(), server.URL+"/x"); err == nil {
			t.Errorf("%s: whole answer %q", name, body)
		}
	}
	u.SetFaults(UpstreamFaults{Informational: http.StatusEarlyHints})
	if _, err := exchange(server.Client(), server.URL+"/x"); err != nil {
		t.Errorf("1xx: %v", err)
	}
	u.SetFaults(UpstreamFaults{Crossed: true})
	body, err := exchange(server.Client(), server.URL+"/y")
	if err != nil || body == string(AnswerBody(RequestDigest("GET", "/y", "", nil), len(body))) {
		t.Errorf("crossed: %v, own answer", err)
	}
}

func TestSilentConnectionOnlyOldOnes(t *testing.T) {
	u := NewUpstream(UpstreamOptions{LookupTime: time.Microsecond})
	server := httptest.NewServer(u.Handler())
	defer server.Close()
	if _, err := exchange(server.Client(), server.URL+"/x"); err != nil {
		t.Fatal(err)
	}
	u.SetFaults(UpstreamFaults{Silent: SilentRequest})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "GET", server.URL+"/old", nil)
	done := make(chan error, 1)
	go func() {
		_, err := server.Client().Do(req)
		done <- err
	}()
	for u.Ledger().Received < 2 {
		time.Sleep(time.Millisecond)
	}
	fresh := &http.Client{Transport: &http.Transport{}}
	if _, err := exchange(fresh, server.URL+"/new"); err != nil {
		t.Fatalf("new connection: %v", err)
	}
	cancel()
	if err := <-done; err == nil {
		t.Fatal("old connection answered")
	}
	if n := u.Ledger().Started; n != 2 {
		t.Fatalf("%d runs started, want 2", n)
	}
}
