package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/quota"
	"github.com/azureflow/azureflow/internal/routing"
)

const (
	// quotaWaitLimit bounds the wait of a request for a token. Homes that can be reached answer sooner; while some cannot,
	// it bridges the time that a restarted VM needs to be a home again.
	quotaWaitLimit = 700 * time.Millisecond
	maxQuotaWaits  = 64 // requests of an account that wait for tokens at one VM
	// Times after which a refused request returns while homes cannot be reached.
	partialRetryAfter, partialRetrySpread = 500 * time.Millisecond, 500 * time.Millisecond
	// refusalHold is the time after an answer without tokens in which further requests are refused at once. It bounds the
	// asks of an account that sends many times its rate.
	refusalHold    = 100 * time.Millisecond
	purseRetention = time.Minute // after the last request
)

// quotas grants requests of client accounts within their rates over all entry VMs. It does nothing until the first
// request of an account with a limit, or the first call of a peer that has one.
type quotas struct {
	home    *quotaHome
	asker   *quotaAsker
	metrics *quotaMetrics
	log     logrus.FieldLogger
	bounds  atomic.Pointer[quota.Bounds]
	run     sync.Once
	start   chan struct{} // closed once quotas are in use

	mu      sync.Mutex // guards the fields below and the accounts
	holders map[routing.AccountName]*quotaHolder
	sweepAt time.Time
	refused map[routing.AccountName]int // requests since the last log line
	logAt   time.Time
}

var _ forward.Quotas = (*quotas)(nil)

// quotaHolder is this VM as a holder of tokens of one account.
type quotaHolder struct {
	account *routing.Account // as of the last request
	purse   quota.Purse
	waiting []chan quotaAnswer // requests that wait for a token, oldest first
	round   *quotaRound        // of asks, nil: none
	rounds  int                // number of rounds so far
	usedAt  time.Time

	partialUntil time.Time // until then a round in which not all homes answered counts as the last one
	refuseUntil  time.Time // until then requests without a token are refused at once
	nextRoundAt  time.Time // not before then tokens are asked for ahead of need
}

// quotaAnswer ends the wait of a request.
type quotaAnswer struct {
	expiry     time.Time
	ok         bool
	retryAfter time.Duration
}

func newQuotas(p *presence, pool *peer.Pool, f *follower, s *Settings, m *quotaMetrics, log logrus.FieldLogger) *quotas {
	q := &quotas{
		metrics: m, log: log, start: make(chan struct{}),
		holders: make(map[routing.AccountName]*quotaHolder), refused: make(map[routing.AccountName]int),
	}
	q.bounds.Store(&s.Bounds.Quota)
	q.home = newQuotaHome(p, pool, f.Table, s, func() quota.Bounds { return *q.bounds.Load() }, m, log)
	q.home.onUse = q.use
	q.asker = newQuotaAsker(pool, p.self.Peer, m)
	return q
}

// use starts what runs beside requests, see serve.
func (q *quotas) use() { q.run.Do(func() { close(q.start) }) }

// serve makes this VM a home of quotas once they are in use, until ctx ends.
func (q *quotas) serve(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-q.start:
		q.home.run(ctx)
	}
	q.asker.close()
}

// useIfLimited makes this VM a home at once if an account of table has a limit.
func (q *quotas) useIfLimited(table *routing.Table) {
	for _, a := range table.Accounts() {
		if a.IsLimited() {
			q.use()
			return
		}
	}
}

// Take implements forward.Quotas.
func (q *quotas) Take(ctx context.Context, account *routing.Account) (time.Time, bool, time.Duration) {
	if !account.IsLimited() {
		return time.Time{}, true, 0
	}
	q.use()
	answer, wait := q.take(account, time.Now())
	if wait == nil {
		return answer.expiry, answer.ok, answer.retryAfter
	}
	limit := time.NewTimer(quotaWaitLimit)
	defer limit.Stop()
	select {
	case answer = <-wait:
	case <-limit.C:
		answer = q.stopWaiting(account, wait)
	case <-ctx.Done():
		answer = q.stopWaiting(account, wait)
	}
	return answer.expiry, answer.ok, answer.retryAfter
}

// take takes a token for a request. If there is none it asks for some, and returns where the answer will be sent.
func (q *quotas) take(account *routing.Account, now time.Time) (quotaAnswer, chan quotaAnswer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.holder(account, now)
	h.purse.CountRequest(now)
	life := q.terms(account).Life
	if len(h.waiting) == 0 {
		if expiry, ok := h.purse.Spend(now); ok {
			q.metrics.spent.Inc()
			if h.round == nil && !now.Before(h.nextRoundAt) && h.purse.IsLow(life, now) {
				q.startRound(h, false, now)
			}
			return quotaAnswer{expiry: expiry, ok: true}, nil
		}
	}
	if now.Before(h.refuseUntil) || len(h.waiting) >= maxQuotaWaits {
		return q.refusal(h, now), nil
	}
	wait := make(chan quotaAnswer, 1)
	h.waiting = append(h.waiting, wait)
	if h.round == nil {
		q.startRound(h, true, now)
	} else {
		q.hurry(h)
	}
	select {
	case answer := <-wait: // this VM is the home
		return answer, nil
	default:
		return quotaAnswer{}, wait
	}
}

// stopWaiting ends the wait of a request at wait.
func (q *quotas) stopWaiting(account *routing.Account, wait chan quotaAnswer) quotaAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case answer := <-wait:
		return answer
	default:
	}
	now := time.Now()
	h := q.holder(account, now)
	for i, w := range h.waiting {
		if w == wait {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			break
		}
	}
	return q.refusal(h, now)
}

// Return implements forward.Quotas.
func (q *quotas) Return(account *routing.Account, expiry time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	h := q.holder(account, now)
	h.purse.Refund(expiry, now)
	q.metrics.returned.Inc()
	q.answerWaiting(h, now)
}

// holder returns the holder of an account's tokens. The caller holds q.mu.
func (q *quotas) holder(account *routing.Account, now time.Time) *quotaHolder {
	h := q.holders[account.Name]
	if h == nil {
		q.sweep(now)
		h = &quotaHolder{}
		q.holders[account.Name] = h
	}
	h.account, h.usedAt = account, now
	return h
}

// sweep removes holders that are not used. The caller holds q.mu.
func (q *quotas) sweep(now time.Time) {
	if now.Before(q.sweepAt) {
		return
	}
	q.sweepAt = now.Add(purseRetention)
	for name, h := range q.holders {
		if now.Sub(h.usedAt) >= purseRetention && h.round == nil && len(h.waiting) == 0 {
			delete(q.holders, name)
		}
	}
}

func (q *quotas) terms(account *routing.Account) quota.Terms {
	return q.bounds.Load().TermsOf(account.Rate, account.Burst)
}

// answerWaiting passes the tokens there are to the requests that wait. The caller holds q.mu.
func (q *quotas) answerWaiting(h *quotaHolder, now time.Time) {
	for len(h.waiting) > 0 {
		expiry, ok := h.purse.Spend(now)
		if !ok {
			return
		}
		q.metrics.spent.Inc()
		h.waiting[0] <- quotaAnswer{expiry: expiry, ok: true}
		h.waiting = h.waiting[1:]
	}
}

// refuseWaiting refuses the requests that wait. The caller holds q.mu.
func (q *quotas) refuseWaiting(h *quotaHolder, now time.Time) {
	for _, w := range h.waiting {
		w <- q.refusal(h, now)
	}
	h.waiting = nil
}

// topRefused is the number of accounts that a log line names.
const topRefused = 5

// refusalLogInterval is the time between two log lines with the accounts that are over their quotas.
const refusalLogInterval = 5 * time.Second

// refusal returns the answer to a request over the quota, and counts it. The caller holds q.mu.
func (q *quotas) refusal(h *quotaHolder, now time.Time) quotaAnswer {
	q.metrics.refused.Inc()
	q.refused[h.account.Name]++
	if now.Sub(q.logAt) >= refusalLogInterval {
		q.logAt = now
		for range topRefused {
			var most routing.AccountName
			for name, n := range q.refused {
				if n > q.refused[most] {
					most = name
				}
			}
			if most == "" {
				break
			}
			q.log.WithFields(logrus.Fields{"account": most, "refused": q.refused[most]}).Info("client account over its quota")
			delete(q.refused, most)
		}
		clear(q.refused)
	}
	if now.Before(h.partialUntil) {
		return quotaAnswer{retryAfter: partialRetryAfter + rand.N(partialRetrySpread)}
	}
	return quotaAnswer{retryAfter: h.purse.RetryAfter(h.account.Rate, now)}
}
