package placement

import "time"

// Constants of the bound on change of region.
const (
	shiftWindow        = 2 * time.Second // of the required bound max_shift
	shiftBuckets       = 8               // in a window
	shiftBucket        = shiftWindow / shiftBuckets
	shiftLatestBuckets = 3
	shiftBoundFraction = 0.8 // used fraction of the bound: several entry VMs count separately, and counts vary by chance
	shiftFallFraction  = 0.9 // the same while the share falls, which does no harm
	shiftMinRequests   = 12  // requests below which a share says little
)

// shiftLimiter bounds how fast the share of requests that run in other regions rises and falls. Otherwise waves of load
// would move all requests at once and meet cold servers in the other regions or in this one.
type shiftLimiter struct {
	bound  float64 // greatest change of the share between windows
	counts [2*shiftBuckets + 1]shiftCount
	tick   int64
}

type shiftCount struct{ all, remote float64 }

// advance moves the buckets forward to now.
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

// shiftPermission is where the bound on change of region lets a request go.
type shiftPermission uint8

const (
	shiftAnywhere     shiftPermission = iota
	shiftLocalOnly                    // no more requests may go to other regions
	shiftRemoteOnly                   // the share that goes to other regions must not fall further
	shiftRemoteIfWarm                 // the share should not fall further: requests whose object is warm there go there
)

// permission returns where one more request may run at now.
func (l *shiftLimiter) permission(now time.Time) shiftPermission {
	if l.bound <= 0 {
		return shiftAnywhere
	}
	l.advance(now)
	before := l.window(shiftBuckets, 2*shiftBuckets-1)
	current := l.window(0, shiftBuckets-1)
	if before.all == 0 {
		return shiftAnywhere // no request ran anywhere, so there is no share to change
	}
	if l.wouldRiseTooFast() {
		return shiftLocalOnly
	}
	share, step := before.remote/before.all, shiftBoundFraction*l.bound
	// The latest requests are also checked on their own: after a burst the window is full of older ones, and once those
	// have left it a correction would come too late.
	latest := l.window(0, shiftLatestBuckets-1)
	switch {
	case current.wouldFallBelow(share - shiftFallFraction*l.bound), latest.wouldFallBelow(share - l.bound):
		return shiftRemoteOnly
	case latest.wouldFallBelow(share - step):
		return shiftRemoteIfWarm
	}
	return shiftAnywhere
}

// wouldRiseTooFast reports whether one more request in another region would raise the share by too much. Traffic may
// end at any moment, and then the latest requests are a window of their own, so each longer part of the window that
// ends now is compared with the window before that part.
func (l *shiftLimiter) wouldRiseTooFast() bool {
	for n := int64(shiftLatestBuckets); n <= shiftBuckets; n++ {
		latest, before := l.window(0, n-1), l.window(n, n+shiftBuckets-1)
		if before.all == 0 {
			continue
		}
		if limit := before.remote/before.all + shiftBoundFraction*l.bound; latest.remote+1 > limit*max(latest.all+1, shiftMinRequests) {
			return true
		}
	}
	return false
}

// wouldFallBelow reports whether one more request in this region would leave the share of other regions below share.
func (c shiftCount) wouldFallBelow(share float64) bool {
	return c.all+1 >= shiftMinRequests && c.remote < share*(c.all+1)
}

// record counts a request that is sent.
func (l *shiftLimiter) record(remote bool, now time.Time) {
	l.advance(now)
	c := &l.counts[l.tick%int64(len(l.counts))]
	c.all++
	if remote {
		c.remote++
	}
}
