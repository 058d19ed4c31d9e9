package placement

import "time"

// tokenBucket limits a rate and its burst. The zero value has no tokens.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

// refill adds the tokens that perSecond yielded since the last call, up to burst. The first call fills the bucket.
func (b *tokenBucket) refill(perSecond, burst float64, now time.Time) {
	if b.lastRefill.IsZero() {
		b.tokens = burst
	} else {
		b.tokens += perSecond * now.Sub(b.lastRefill).Seconds()
	}
	b.tokens = min(b.tokens, burst)
	b.lastRefill = now
}

// tryTake removes one token and reports whether there was one.
func (b *tokenBucket) tryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
