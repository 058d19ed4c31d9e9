package request

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestArrivalsAreCountedDuringRetention(t *testing.T) {
	start := time.Unix(1000, 0)
	var a arrivals
	for _, step := range []struct {
		call  string
		after time.Duration
		want  int
	}{
		{"a", 0, 1},
		{"a", time.Second, 2},
		{"b", time.Second, 1},
		{"a", arrivalsRetention + time.Second, 3},
		{"a", 5 * arrivalsRetention, 1},
		{strings.Repeat("x", callIDBytes+1), 5 * arrivalsRetention, 0},
	} {
		if got := a.record(step.call, start.Add(step.after)); got != step.want {
			t.Errorf("call %q after %v: %d attempts, want %d", step.call, step.after, got, step.want)
		}
	}
}

func TestArrivalsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var a arrivals
	for i := range 2 * maxArrivals {
		a.record(fmt.Sprint(i), start)
	}
	if n := len(a.current); n > maxArrivals {
		t.Errorf("%d calls are retained, want at most %d", n, maxArrivals)
	}
	if got := a.record("0", start); got != 2 {
		t.Errorf("%d attempts of a retained call, want 2", got)
	}
	if got := a.record("new", start); got != 0 {
		t.Errorf("%d attempts of a call beyond the limit, want 0", got)
	}
}

// TestResponseReportsAttemptsOfCall: the response tells a caller how many attempts of its call arrived. The upstream
// does not receive the call ID.
func TestResponseReportsAttemptsOfCall(t *testing.T) {
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderCall) != "" {
			t.Error("the upstream received the call ID")
		}
		w.Header().Set(HeaderCallSendings, "9")
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	for _, want := range []string{"1", "2"} {
		resp, _ := e.do(t, "GET", "/kasse/balances/7", nil, HeaderCall, "c1")
		if got := resp.Header.Values(HeaderCallSendings); len(got) != 1 || got[0] != want {
			t.Errorf("attempts %q, want %q", got, want)
		}
	}
	if resp, _ := e.do(t, "GET", "/kasse/balances/7", nil); resp.Header.Get(HeaderCallSendings) != "" {
		t.Error("the response reports attempts of a call without an ID")
	}
}
