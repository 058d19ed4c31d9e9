package placement

import "time"

// Constants of the bound on change of region.
const (
	shiftWindow  = 2 * time.Second // of the users' bound max_shift
	shiftBuckets = 8               // in a window
	shiftBucket  = shiftWindow / shiftBuckets
	shiftLatest  = 3   // buckets
	shiftPart    = 0.8 // of the bound that is used: several entry VMs count apart, and by chance
	shiftFall    = 0.9 // the same while the share falls, which harms nobody
	shiftLeast   = 12  // requests below which a share says little
)

// shiftLimiter bounds how fast the share of requests that run in other regions rises and falls, against waves of
// load that would move everything at once and meet cold servers there or here.
type shiftLimiter struct {
	bound  float64 // greatest change of the share between windows
	counts [2*shiftBuckets + 1]shiftCount
	tick   int64
}

type shiftCount struct{ all, remote float64 }

// advance moves the buckets on to now.
func (l *shiftLimiter) advance(now time.Time) {
	tick := now.UnixNano() / int64(shiftBucket)
	steps := min(tick-l.tick, int64(len(l.counts)))
	for i := int64(1); i <= steps; i++ {
		l.counts[(l.tick+i)%int64(len(l.counts))] = shiftCount{}
	}
	if steps == int64(len(l.counts)) {
		clear(l.counts[:])
	}
	l.tick = max(l.tick, tick)
}

// window sums the buckets from newest to oldest ticks ago.
func (l *shiftLimiter) window(newest, oldest int64) shiftCount {
	var sum shiftCount
	for i := newest; i <= oldest; i++ {
		at := l.tick - i
		if at < 0 {
			break
		}
		c := l.counts[at%int64(len(l.counts))]
		sum.all += c.all
		sum.remote += c.remote
	}
	return sum
}

// shiftRoom says where the bound on change of region lets a request go.
type shiftRoom uint8

const (
	shiftAnywhere   shiftRoom = iota
	shiftStay                 // no more may go to other regions
	shiftAway                 // the share that goes to other regions must not fall further
	shiftAwayIfWarm           // it should not fall further: requests whose object is at hand there go there
)

// room returns where one more request may run at now.
func (l *shiftLimiter) room(now time.Time) shiftRoom {
	if l.bound <= 0 {
		return shiftAnywhere
	}
	l.advance(now)
	before := l.window(shiftBuckets, 2*shiftBuckets-1)
	current := l.window(0, shiftBuckets-1)
	if before.all == 0 {
		return shiftAnywhere // nothing ran anywhere, so nothing moves
	}
	if l.rises() {
		return shiftStay
	}
	share, step := before.remote/before.all, shiftPart*l.bound
	// The latest requests are looked at by themselves, too: after a burst the window is full of older ones, and
	// once those are past it would be too late.
	latest := l.window(0, shiftLatest-1)
	switch {
	case current.below(share - shiftFall*l.bound), latest.below(share - l.bound):
		return shiftAway
	case latest.below(share - step):
		return shiftAwayIfWarm
	}
	return shiftAnywhere
}

// rises reports whether one more request elsewhere would raise the share by too much. Traffic may end at any moment, and
// then the latest requests are a window by themselves, so each longer part of the window that ends now is compared with
// the window before that part.
func (l *shiftLimiter) rises() bool {
	for n := int64(shiftLatest); n <= shiftBuckets; n++ {
		latest, before := l.window(0, n-1), l.window(n, n+shiftBuckets-1)
		if before.all == 0 {
			continue
		}
		if limit := before.remote/before.all + shiftPart*l.bound; latest.remote+1 > limit*max(latest.all+1, shiftLeast) {
			return true
		}
	}
	return false
}

// below reports whether the share that runs in other regions would be less than share with one more request here.
func (c shiftCount) below(share float64) bool {
	return c.all+1 >= shiftLeast && c.remote < share*(c.all+1)
}

// note counts a request that is sent.
func (l *shiftLimiter) note(remote bool, now time.Time) {
	l.advance(now)
	c := &l.counts[l.tick%int64(len(l.counts))]
	c.all++
	if remote {
		c.remote++
	}
}
