package request

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestArrivalsAreCountedForAWhile(t *testing.T) {
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
		{"a", arrivalsKept + time.Second, 3},
		{"a", 5 * arrivalsKept, 1},
		{strings.Repeat("x", callIDBytes+1), 5 * arrivalsKept, 0},
	} {
		if got := a.note(step.call, start.Add(step.after)); got != step.want {
			t.Errorf("call %q after %v: %d sendings, want %d", step.call, step.after, got, step.want)
		}
	}
}

func TestArrivalsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var a arrivals
	for i := range 2 * arrivalsMost {
		a.note(fmt.Sprint(i), start)
	}
	if n := len(a.current); n > arrivalsMost {
		t.Errorf("%d calls are remembered, at most %d expected", n, arrivalsMost)
	}
	if got := a.note("0", start); got != 2 {
		t.Errorf("%d sendings of a call that is remembered, want 2", got)
	}
	if got := a.note("new", start); got != 0 {
		t.Errorf("%d sendings of a call that there is no room for, want 0", got)
	}
}

// A caller that sends a call again is told whether an earlier sending of it came, and the upstream learns nothing of that.
func TestAnswerTellsHowOftenACallCame(t *testing.T) {
	upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderCall) != "" {
			t.Error("the upstream was told the name of the call")
		}
		w.Header().Set(HeaderCallSendings, "9")
	})
	e := newTestEntry(t, nil, addressOf(upstream))
	for _, want := range []string{"1", "2"} {
		resp, _ := e.do(t, "GET", "/kasse/balances/7", nil, HeaderCall, "c1")
		if got := resp.Header.Values(HeaderCallSendings); len(got) != 1 || got[0] != want {
			t.Errorf("sendings %q, want %q", got, want)
		}
	}
	if resp, _ := e.do(t, "GET", "/kasse/balances/7", nil); resp.Header.Get(HeaderCallSendings) != "" {
		t.Error("sendings are told of a call without a name")
	}
}
