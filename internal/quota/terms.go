package quota

import "time"

// Shards is the number of shards of an account's quota. With three, the loss of one home leaves two thirds of the rate
// until another VM takes over, and the regions of a deployment have one each.
const Shards = 3

// Bounds are the bounds on the requests of an account that run: in each Window at most (rate x Window + burst) x
// (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64 // fraction of the quota
	Slack   float64 // requests
}

// defaultBounds hold where a deployment sets none.
var defaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.1}

const (
	maxLife = 2 * time.Second        // of a token; what expires unused is lost, so that it need not be longer
	minLife = 150 * time.Millisecond // of a token; several times the delay between regions
)

// Parts of what the bounds allow beyond the quota. The rest covers clocks that run at different rates.
const (
	lifePart = 0.4 // at most, for tokens that are granted in one window and used in the next
	usedPart = 0.9 // for these tokens and for what the buckets hold
)

// Terms are the limits of one shard of an account.
type Terms struct {
	Rate  float64       // tokens a second; 0: no limit
	Burst float64       // tokens that the bucket holds at most
	Life  time.Duration // of a token, from before it was asked for
}

// TermsOf returns the terms of each shard of an account with the given rate (requests a second) and burst (requests).
// The quota is rate x Window + burst in each window, so that a demand that is even gets that, too: the burst adds to the
// rate at which tokens come, and the buckets hold what the bounds leave. A bucket that held the burst would give it once
// and then refuse, window after window, what the quota allows.
//
// Tokens that are used in a window were in the buckets, or granted and not yet expired, at its start, or were added in
// it: at most Shards x (Burst + Rate x (Life + Window)), which is within the bounds for the parts above.
func (b Bounds) TermsOf(rate, burst float64) Terms {
	if rate <= 0 {
		return Terms{Life: maxLife}
	}
	if b.Window <= 0 {
		b = defaultBounds
	}
	quota := rate*b.Window.Seconds() + burst
	beyond := b.Overage*quota + b.Slack
	even := quota / b.Window.Seconds()
	life := max(minLife.Seconds(), min(maxLife.Seconds(), lifePart*beyond/even))
	used := quota + usedPart*beyond
	granted := min(even, max(0, used-Shards)/(b.Window.Seconds()+life)) // each bucket holds a token at least
	return Terms{
		Rate:  granted / Shards,
		Burst: max(1, (used-granted*(b.Window.Seconds()+life))/Shards),
		Life:  time.Duration(life * float64(time.Second)),
	}
}
