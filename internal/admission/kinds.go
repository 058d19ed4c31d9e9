package admission

import (
	"math"
	"time"
)

const (
	// kindHalfLife is how long a request counts for how often those of its priority come and are sent.
	kindHalfLife = 2 * time.Second
	// starvedShare is the part of the share of all requests that are sent below which those of a priority no longer
	// yield. It is twice the bound below which a kind of request counts as starved.
	starvedShare = 0.5
)

// kinds tracks how often the requests of each priority come, and are sent to servers.
type kinds struct {
	byPriority map[int]*kind
	all        kind
}

// kind counts requests, decayed.
type kind struct {
	arrived, sent float64
	countedAt     time.Time
	arrivedAt     time.Time // the last one
}

func (k *kind) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(k.countedAt).Seconds() / kindHalfLife.Seconds())
	k.arrived *= factor
	k.sent *= factor
	k.countedAt = now
}

// sentShare returns the share of the requests that were sent.
func (k *kind) sentShare() float64 { return k.sent / max(k.arrived, 1) }

func newKinds() kinds { return kinds{byPriority: make(map[int]*kind)} }

// of returns the counts of a priority and of all, decayed to now.
func (k *kinds) of(priority int, now time.Time) (one, all *kind) {
	one = k.byPriority[priority]
	if one == nil {
		one = &kind{}
		k.byPriority[priority] = one
	}
	one.decay(now)
	k.all.decay(now)
	return one, &k.all
}

func (k *kinds) recordArrival(priority int, now time.Time) {
	one, all := k.of(priority, now)
	one.arrived++
	all.arrived++
	one.arrivedAt = now
}

func (k *kinds) recordSent(priority int, now time.Time) {
	one, all := k.of(priority, now)
	one.sent++
	all.sent++
}

// yields reports whether requests of a priority leave room to others: more urgent ones come, and they are not starved.
func (k *kinds) yields(priority int, now time.Time) bool {
	one, all := k.of(priority, now)
	if one.sentShare() < starvedShare*all.sentShare() {
		return false
	}
	for other, counts := range k.byPriority {
		if other < priority && now.Sub(counts.arrivedAt) < kindHalfLife {
			return true
		}
	}
	return false
}
