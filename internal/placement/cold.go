package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A cold server handles few requests per second. The entry VMs of its region divide that rate, and only they send to it.
// A token cannot be divided: each entry VM that sends to the server has a whole one at the start, whatever its share of
// the rate. With many entry VMs only some send to a given cold server, so that their first tokens stay within the bound.

// ColdBounds bounds the requests that all entry VMs together send to a cold server in one second: the rate that the
// server tolerates, times Overage, plus Slack. With the zero value, one entry VM sends to each cold server.
type ColdBounds struct {
	Overage float64 // factor
	Slack   float64 // requests
}

// coldBoundFraction is the fraction of the required bound that is used; the rest covers entry VMs that do not agree on
// their number while it changes.
const coldBoundFraction = 0.8

// senders returns how many entry VMs may send to a cold server that tolerates perSecond requests per second. In any
// second each of them may use the token that it saved, and together they may use what the rate adds.
func (b ColdBounds) senders(perSecond float64) int {
	n := coldBoundFraction*(perSecond*b.Overage+b.Slack) - perSecond
	if !(n >= 1) {
		return 1
	}
	return int(min(n, maxSenders))
}

// maxSenders keeps the number of senders in range, whatever the bounds are.
const maxSenders = 1 << 20

// coldRateAllows reports whether s is not cold, or can handle one more request of this entry VM now.
func (c *Chooser) coldRateAllows(s *Server, now time.Time) bool {
	if !s.isCold(now) {
		return true
	}
	if s.member.Region != c.opts.Region || !c.peersKnown {
		return false
	}
	perSecond := c.coldRates[s.member.Service]
	senders := c.opts.Cold.senders(perSecond)
	if c.rankAmongSenders(s) >= senders {
		return false
	}
	s.coldRate.refill(perSecond/float64(min(senders, c.allowancePeers().Region)), 1, now)
	return s.coldRate.tokens >= 1
}

// rankAmongSenders returns how many known entry VMs of the region send to s, while it is cold, before this one does. The
// order is a rendezvous order by server, so that different entry VMs come first at different servers.
func (c *Chooser) rankAmongSenders(s *Server) int {
	if s.rankEpoch == c.rankEpoch {
		return s.senderRank
	}
	own := senderScore(c.opts.VM, s)
	s.senderRank, s.rankEpoch = 0, c.rankEpoch
	for _, vm := range c.peers.OthersInRegion {
		if score := senderScore(vm, s); score > own || score == own && vm < c.opts.VM {
			s.senderRank++
		}
	}
	return s.senderRank
}

func senderScore(vm string, s *Server) uint64 {
	return rendezvousScore(xxhash.Sum64String(vm), s.member.ID)
}
