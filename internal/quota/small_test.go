package quota

import (
	"testing"
	"time"
)

// An account whose quota is small is served at least nine tenths of it, window after window.
func TestSmallQuotasAreGiven(t *testing.T) {
	for _, c := range []struct{ rate, burst, overage, slack float64 }{
		{0.2, 1, 0.1, 0}, {0.4, 1, 0.1, 0}, {1, 0, 0.1, 0}, {1, 2, 0.1, 0}, {2, 2, 0.1, 0}, {0.2, 1, 0.1, 2}, {1, 2, 0.1, 2}, {2, 4, 0.1, 5}, {5, 5, 0.1, 0},
	} {
		b := Bounds{Window: 5 * time.Second, Overage: c.overage, Slack: c.slack}
		terms, quota := b.TermsOf(c.rate, c.burst), c.rate*5+c.burst
		if got := Shards * terms.Rate * 5; got < 0.9*quota {
			t.Errorf("rate %v, burst %v, slack %v: %.2f of %.2f requests in a window, bucket %.2f", c.rate, c.burst, c.slack, got, quota, terms.Burst)
		}
	}
}
