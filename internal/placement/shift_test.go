package placement

import (
	"testing"
	"time"
)

// shiftedTraffic applies a limiter to requests that come every gap: wanted reports which of them would run in another
// region. It returns when each was sent and whether it was sent to another region.
func shiftedTraffic(l *shiftLimiter, span, gap time.Duration, wanted func(t time.Duration) bool) (sent []time.Duration, remote []bool) {
	for t := time.Duration(0); t < span; t += gap {
		now := start.Add(t)
		isRemote := wanted(t)
		switch l.permission(now) {
		case shiftLocalOnly:
			isRemote = false
		case shiftRemoteOnly:
			isRemote = true
		}
		l.record(isRemote, now)
		sent, remote = append(sent, t), append(remote, isRemote)
	}
	return sent, remote
}

// Regression, SHIFT on zollbrugg-gate, deploy/days/callers-move-leave-and-repeat, seed 227716938107: in the last second
// of a burst up to 0.65 of the requests ran in other regions, 0.25 in the second before. Together they kept the bound;
// the two seconds that started with the last one did not.
func TestEndOfTrafficWithinAWindowKeepsTheShiftBound(t *testing.T) {
	const (
		bound       = 0.15 // max_shift of the required bounds
		gap         = 10 * time.Millisecond
		minRequests = int(shiftLatestBuckets * shiftBucket / gap) // requests below which a share differs by chance alone
		steadyPhase = 4 * time.Second
		remoteEvery = 4                      // one in so many requests runs in another region in the steady phase
		windowStep  = 100 * time.Millisecond // between the windows that are checked
		maxBurst    = 2 * shiftWindow        // from the end of the steady phase
	)
	for quiet := time.Duration(0); quiet <= shiftWindow; quiet += shiftBucket {
		for end := steadyPhase + quiet + shiftBucket; end <= steadyPhase+maxBurst; end += shiftBucket {
			l := &shiftLimiter{bound: bound}
			sent, remote := shiftedTraffic(l, end, gap, func(at time.Duration) bool {
				if at < steadyPhase {
					return at/gap%remoteEvery == 0
				}
				return at >= steadyPhase+quiet // nothing for a while, then all
			})
			for at := steadyPhase; at < end; at += windowStep {
				before, after := sharesAround(at, sent, remote)
				if int(after.all) < minRequests || int(before.all) < minRequests {
					continue
				}
				if rise := after.share() - before.share(); rise > bound {
					t.Fatalf("none in other regions for %v, then all until the end at %v: the share rose by %.3f at %v", quiet, end, rise, at)
				}
			}
		}
	}
}

// sharesAround counts the requests in the windows before and after at.
func sharesAround(at time.Duration, sent []time.Duration, remote []bool) (before, after shiftCount) {
	for i, t := range sent {
		c := &before
		switch {
		case t < at-shiftWindow || t >= at+shiftWindow:
			continue
		case t >= at:
			c = &after
		}
		c.all++
		if remote[i] {
			c.remote++
		}
	}
	return before, after
}

func (c shiftCount) share() float64 { return c.remote / max(c.all, 1) }
