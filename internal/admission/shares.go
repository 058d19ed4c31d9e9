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
	// Sums over the accounts that have a quota, and over the others.
	limitedTotal float64 // of work for each request per second of the quota
	openWork     float64
	rates        float64 // of the quotas
	limited      int     // number of accounts that have one
	epoch        time.Time
	sweptAt      time.Time
}

// accountShare is the share of one account. Work is kept at the scale of the epoch: instead of halving all of it each
// half-life, new work counts twice as much.
type accountShare struct {
	work   float64 // seconds
	rate   float64 // of its quota, 0 if it has none
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
	s.add(share, work*scale)
	return s.value(share) / scale
}

// refund takes work back that claim added at about now, for a request that was not sent.
func (s *shares) refund(a *routing.Account, work float64, now time.Time) {
	share := s.share(a)
	s.add(share, -min(work*s.scale(now), share.work))
}

// add adds work at the scale of the epoch to a share.
func (s *shares) add(share *accountShare, work float64) {
	share.work += work
	if share.rate > 0 {
		s.limitedTotal += work / share.rate
	} else {
		s.openWork += work
	}
}

// value returns the work of a share for each request per second of its quota.
func (s *shares) value(share *accountShare) float64 {
	if share.rate > 0 {
		return share.work / share.rate
	}
	return share.work / s.openRate()
}

// openRate returns the rate for which an account without a quota counts: the mean of those that have one.
func (s *shares) openRate() float64 {
	if s.limited == 0 {
		return 1
	}
	return s.rates / float64(s.limited)
}

// isOver reports whether the account has so much more than others that its requests yield to theirs.
func (s *shares) isOver(a *routing.Account) bool {
	if a == nil || len(s.accounts) < 2 {
		return false
	}
	share := s.accounts[a.Name]
	if share == nil {
		return false
	}
	value, total := s.value(share), s.limitedTotal+s.openWork/s.openRate()
	return value > overShare*(total-value)/float64(len(s.accounts)-1)
}

// share returns the share of an account, which is added if necessary and follows its quota.
func (s *shares) share(a *routing.Account) *accountShare {
	rate := 0.0
	if a.IsLimited() {
		rate = a.Rate
	}
	share := s.accounts[a.Name]
	if share != nil && share.rate == rate {
		return share
	}
	work, usedAt := 0.0, time.Time{}
	if share != nil {
		work, usedAt = share.work, share.usedAt
		s.remove(a.Name, share)
	}
	share = &accountShare{rate: rate, usedAt: usedAt}
	s.accounts[a.Name] = share
	if rate > 0 {
		s.rates += rate
		s.limited++
	}
	s.add(share, work)
	return share
}

// remove removes the share of an account.
func (s *shares) remove(name routing.AccountName, share *accountShare) {
	s.add(share, -share.work)
	if share.rate > 0 {
		s.rates -= share.rate
		s.limited--
	}
	delete(s.accounts, name)
}

// moveEpoch moves the epoch to now, where scale is the scale of now.
func (s *shares) moveEpoch(now time.Time, scale float64) {
	for _, share := range s.accounts {
		share.work /= scale
	}
	s.limitedTotal /= scale
	s.openWork /= scale
	s.epoch = now
}

// forgetUnused removes the accounts that had no request for a while.
func (s *shares) forgetUnused(now time.Time) {
	s.sweptAt = now
	for name, share := range s.accounts {
		if now.Sub(share.usedAt) > forgottenAfter {
			s.remove(name, share)
		}
	}
	// The sums are formed anew, since they lose precision.
	s.limitedTotal, s.openWork = 0, 0
	for _, share := range s.accounts {
		if share.rate > 0 {
			s.limitedTotal += share.work / share.rate
		} else {
			s.openWork += share.work
		}
	}
}
