package request

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/azureflow/azureflow/internal/review"
)

func TestHandlerForwardsRequestAndResponse(t *testing.T) {
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.String()+" "+r.Header.Get(HeaderIdempotency))
		if r.Header.Get(HeaderTimeout) == "" {
			t.Error("the upstream received no timeout header")
		}
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("got "), body...))
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	resp, body := e.do(t, "POST", "/kasse/levies/7?x=1", strings.NewReader("money"), HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusCreated || body != "got money" {
		t.Fatalf("response: status %d, body %q", resp.StatusCode, body)
	}
	if got := resp.Header.Get("X-Seen"); got != "POST /levies/7?x=1 k1" {
		t.Errorf("upstream saw %q", got)
	}
	if resp.Header.Get(HeaderOutcome) != "done" || resp.Header.Get(HeaderDecision) == "" || resp.Header.Get(HeaderEntry) != "entry-1/7" {
		t.Errorf("headers %v", resp.Header)
	}
	if n := len(e.recorder.ofKind(review.KindAttempt)); n != 1 {
		t.Errorf("%d attempt records", n)
	}
}

func TestHandlerRefusesUnknownOperation(t *testing.T) {
	e := newTestEntry(t, nil)
	resp, body := e.do(t, "GET", "/kasse/nothing", nil)
	if resp.StatusCode != http.StatusNotFound || resp.Header.Get(HeaderOutcome) != "not-run" {
		t.Fatalf("response: status %d, body %q", resp.StatusCode, body)
	}
	resp, _ = e.do(t, "DELETE", "/kasse/levies/7", nil)
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Fatalf("response status %d", resp.StatusCode)
	}
}

func TestSecondSubmissionOfKeyIsUnknown(t *testing.T) {
	var runs atomic.Int64
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { runs.Add(1) })
	e := newTestEntry(t, nil, addressOf(upstream))
	e.do(t, "POST", "/kasse/levies/7", nil, HeaderIdempotency, "k1")
	resp, _ := e.do(t, "POST", "/kasse/levies/7", nil, HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusConflict || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Fatalf("response: status %d, header %v", resp.StatusCode, resp.Header)
	}
	if runs.Load() != 1 {
		t.Fatalf("ran %d times", runs.Load())
	}
}

func TestDialFailureIsRetriedElsewhere(t *testing.T) {
	var runs atomic.Int64
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { runs.Add(1) })
	dead := newUpstream(t, nil)
	dead.Close()
	e := newTestEntry(t, nil, addressOf(dead), addressOf(upstream))
	resp, _ := e.do(t, "POST", "/kasse/levies/7", strings.NewReader("x"), HeaderIdempotency, "k1")
	if resp.StatusCode != http.StatusOK || runs.Load() != 1 {
		t.Fatalf("response status %d, ran %d times", resp.StatusCode, runs.Load())
	}
	if f := e.placer.failures(); len(f) != 2 || f[0] != FailureDial || f[1] != FailureNone {
		t.Fatalf("failures %v", f)
	}
}
