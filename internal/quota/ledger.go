package quota

import "time"

// askMemory is how long an ask counts in the division of too few tokens: several intervals between a holder's asks.
const askMemory = 300 * time.Millisecond

// Ledger holds the buckets of the shards whose home this VM is. It is not safe for concurrent use.
type Ledger struct {
	buckets map[Shard]*bucket
}

// bucket holds the tokens of a shard.
type bucket struct {
	tokens  float64
	filled  time.Time // until when tokens were added
	askedAt time.Time
	asks    map[string]ask // by holder
}

type ask struct {
	tokens int64
	at     time.Time
}

// NewLedger returns a Ledger without buckets.
func NewLedger() *Ledger { return &Ledger{buckets: make(map[Shard]*bucket)} }

// Grant takes up to want tokens of s for holder from its bucket and returns how many. A bucket that is new has what was
// added since the time since, from which on this VM is the home of s.
func (l *Ledger) Grant(s Shard, terms Terms, holder string, want int, since, now time.Time) int {
	if terms.Rate <= 0 {
		return want // the account has no limit any more
	}
	b := l.buckets[s]
	if b == nil {
		b = &bucket{filled: since, asks: make(map[string]ask)}
		l.buckets[s] = b
	}
	b.fill(terms, now)
	granted := min(int64(want), int64(b.tokens))
	if share := b.shareOf(holder, int64(want), now); granted > share {
		granted = max(1, share) // a token that the shares round away is not kept back
	}
	granted = max(0, min(granted, int64(b.tokens)))
	b.tokens -= float64(granted)
	return int(granted)
}

// fill adds the tokens since the last call. A lower limit takes effect at once.
func (b *bucket) fill(terms Terms, now time.Time) {
	if added := now.Sub(b.filled); added > 0 {
		b.tokens += terms.Rate * added.Seconds()
		b.filled = now
	}
	b.tokens = min(b.tokens, terms.Burst)
}

// shareOf records an ask and returns the share of holder in the bucket's tokens among the recent askers, in proportion
// to what they want: then each request of the account is as likely to be let in, wherever it arrives.
func (b *bucket) shareOf(holder string, want int64, now time.Time) int64 {
	b.askedAt = now
	b.asks[holder] = ask{tokens: want, at: now}
	all := int64(0)
	for other, a := range b.asks {
		if now.Sub(a.at) > askMemory {
			delete(b.asks, other)
			continue
		}
		all += a.tokens
	}
	if float64(all) <= b.tokens {
		return want
	}
	return int64(b.tokens * float64(want) / float64(all))
}

// RemoveUnless removes the buckets of shards for which isHome returns false.
func (l *Ledger) RemoveUnless(isHome func(Shard) bool) {
	for s := range l.buckets {
		if !isHome(s) {
			delete(l.buckets, s)
		}
	}
}

// Clear removes all buckets.
func (l *Ledger) Clear() { clear(l.buckets) }

// Len returns the number of buckets.
func (l *Ledger) Len() int { return len(l.buckets) }

// bucketRetention is the time after the last ask after which a bucket is removed.
const bucketRetention = 2 * time.Minute

// RemoveIdle removes the buckets that nobody asked lately, and that are full: a new one has no more tokens.
func (l *Ledger) RemoveIdle(termsOf func(Shard) (Terms, bool), now time.Time) {
	for s, b := range l.buckets {
		if now.Sub(b.askedAt) < bucketRetention {
			continue
		}
		if terms, ok := termsOf(s); ok {
			b.fill(terms, now)
			if b.tokens < terms.Burst {
				continue
			}
		}
		delete(l.buckets, s)
	}
}
