package request

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetBoundsExtraAttempts checks the limit over every sequence of requests, where each request withdraws as
// many extra attempts as it can, as in a brown-out.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.001, 0.2).Draw(t, "share")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		requests := rapid.IntRange(1, 5000).Draw(t, "requests")
		quiet := rapid.IntRange(0, requests).Draw(t, "quiet")
		b := NewExtraBudget(burst)
		extra := 0
		for i := range requests {
			b.Deposit(share)
			for i >= quiet && b.TryWithdraw(0) {
				extra++
			}
		}
		if limit := min(share, 0.05)*float64(requests-quiet) + float64(burst); float64(extra) > limit {
			t.Fatalf("%d extra attempts, want at most %v", extra, limit)
		}
	})
}

func TestBudgetRefundsUnsentAttempts(t *testing.T) {
	b := NewExtraBudget(1)
	for range 50 {
		if !b.TryWithdraw(0) {
			t.Fatal("a refunded attempt cannot be withdrawn again")
		}
		b.Refund()
	}
}
