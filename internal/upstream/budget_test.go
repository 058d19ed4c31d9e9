package upstream

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetBoundsExtraAttempts checks the bound over every run of requests, with each request
// asking for as many extra attempts as it can, as in a brown-out.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := BudgetOptions{
			Retries: rapid.Float64Range(0.001, 0.05).Draw(t, "retries"),
			Hedges:  rapid.Float64Range(0.001, 0.05).Draw(t, "hedges"),
			Total:   0.05, Burst: 10,
		}
		b := NewBudget(o)
		requests := rapid.IntRange(1, 5000).Draw(t, "requests")
		quiet := rapid.IntRange(0, requests).Draw(t, "quiet")
		for i := range requests {
			b.Request()
			for i >= quiet && (b.TakeRetry() || b.TakeHedge()) {
				continue
			}
		}
		s := b.Stats()
		after := float64(requests - quiet)
		if extra := float64(s.Retries + s.Hedges); extra > 0.05*after+o.Burst {
			t.Fatalf("%v extra attempts for %v requests", extra, after)
		}
		if float64(s.Hedges) > o.Hedges*after+o.Burst || float64(s.Retries) > o.Retries*after+o.Burst {
			t.Fatalf("stats %+v", s)
		}
	})
}

func TestBudgetReturnsUnsentAttempts(t *testing.T) {
	b := NewBudget(BudgetOptions{})
	for range 100 {
		b.Request()
	}
	for range 50 {
		if !b.TakeHedge() {
			t.Fatal("returned attempts were not given back")
		}
		b.ReturnHedge()
	}
	if b.Stats().Hedges != 0 {
		t.Fatalf("stats %+v", b.Stats())
	}
}
