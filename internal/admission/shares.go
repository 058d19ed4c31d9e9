package admission

import (
	"math"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

const (
	// shareHalfLife is how long the work that an account got counts: some times as long as a request takes, and about
	// as long as its callers wait for a response.
	shareHalfLife = 4 * time.Second
	// overShare is how many times the mean share of the others an account may have before its requests yield to theirs.
	overShare = 2.0
	// forgottenAfter is when an account without requests no longer counts for the mean.
	forgottenAfter = 4 * shareHalfLife
)

// shares tracks how much work the client accounts got lately, or wait for, relative to their quotas.
type shares struct {
	accounts map[routing.AccountName]*accountShare
	total    float64 // of all accounts
	rates    float64 // sum of the quotas of the accounts that have one
	limited  int     // number of these accounts
	epoch    time.Time
	sweptAt  time.Time
}

// accountShare is the share of one account. Shares are kept at the scale of the epoch: instead of halving all of them
// each half-life, new work counts twice as much.
type accountShare struct {
	value  float64 // seconds of work for each request per second of its quota
	weight float64
	rate   float64
	usedAt time.Time
}

func newShares() shares { return shares{accounts: make(map[routing.AccountName]*accountShare)} }

// scale returns how much work counts at now relative to the epoch.
func (s *shares) scale(now time.Time) float64 {
	return math.Exp2(now.Sub(s.epoch).Seconds() / shareHalfLife.Seconds())
}

// maxScale bounds the scale, so that sums keep their precision.
const maxScale = 1 << 20

// claim adds work in seconds to the share of an account and returns that share at now.
func (s *shares) claim(a *routing.Account, work float64, now time.Time) float64 {
	scale := s.scale(now)
	if scale > maxScale {
		s.moveEpoch(now, scale)
		scale = 1
	}
	if now.Sub(s.sweptAt) > forgottenAfter {
		s.forgetUnused(now)
	}
	share := s.share(a)
	share.usedAt = now
	added := work * scale / share.weight
	share.value += added
	s.total += added
	return share.value / scale
}

// refund takes work back that claim added at about now, for a request that was not sent.
func (s *shares) refund(a *routing.Account, work float64, now time.Time) {
	share := s.share(a)
	taken := min(work*s.scale(now)/share.weight, share.value)
	share.value -= taken
	s.total -= taken
}

// isOver reports whether the account has so much more than others that its requests yield to theirs.
func (s *shares) isOver(a *routing.Account) bool {
	if a == nil || len(s.accounts) < 2 {
		return false
	}
	share := s.accounts[a.Name]
	return share != nil && share.value > overShare*(s.total-share.value)/float64(len(s.accounts)-1)
}

// share returns the share of an account, which is added if necessary. An account without a quota counts like the mean
// of those that have one.
func (s *shares) share(a *routing.Account) *accountShare {
	share := s.accounts[a.Name]
	if share != nil {
		return share
	}
	share = &accountShare{weight: 1}
	switch {
	case a.IsLimited():
		share.weight, share.rate = a.Rate, a.Rate
		s.rates += a.Rate
		s.limited++
	case s.limited > 0:
		share.weight = s.rates / float64(s.limited)
	}
	s.accounts[a.Name] = share
	return share
}

// moveEpoch moves the epoch to now, where scale is the scale of now.
func (s *shares) moveEpoch(now time.Time, scale float64) {
	for _, share := range s.accounts {
		share.value /= scale
	}
	s.total /= scale
	s.epoch = now
}

// forgetUnused removes the accounts that had no request for a while.
func (s *shares) forgetUnused(now time.Time) {
	s.sweptAt = now
	s.total = 0
	for name, share := range s.accounts {
		if now.Sub(share.usedAt) > forgottenAfter {
			if share.rate > 0 {
				s.rates -= share.rate
				s.limited--
			}
			delete(s.accounts, name)
			continue
		}
		s.total += share.value
	}
}
