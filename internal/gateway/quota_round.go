package gateway

import (
	"time"

	"github.com/azureflow/azureflow/internal/quota"
)

// nearWait is the time that the homes in this VM's region have to answer before the others are asked as well. It is
// many times the delay between zones.
const nearWait = 50 * time.Millisecond

// quotaRound is one round of asks for tokens of an account: of the homes in this VM's region, then, if these give too
// few, of the others. It ends once enough tokens came, or every home gave fewer than it was asked for.
type quotaRound struct {
	homes     [quota.Shards]string
	isNear    [quota.Shards]bool // the home is in this VM's region
	isShort   [quota.Shards]bool // the home gave fewer tokens than it was asked for, or could not be reached
	isPartial bool               // a home could not be reached, or may not grant tokens
	askedFar  bool
	pending   int // asks without an answer
	hedge     *time.Timer
}

// startRound asks for tokens. isUrgent: a request waits. The caller holds q.mu.
func (q *quotas) startRound(h *quotaHolder, isUrgent bool, now time.Time) {
	r := &quotaRound{}
	r.homes, r.isNear = q.home.homesOf(h.account.Name)
	for i, home := range r.homes {
		r.isShort[i] = home == ""
	}
	h.round = r
	if isUrgent {
		q.startHedge(h, r)
	}
	q.askNext(h, r, isUrgent, now)
}

// startHedge asks the other homes if those in the region do not answer soon. The caller holds q.mu.
func (q *quotas) startHedge(h *quotaHolder, r *quotaRound) {
	if r.hedge != nil || r.askedFar {
		return
	}
	r.hedge = time.AfterFunc(nearWait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if h.round == r && !r.askedFar && len(h.waiting) > 0 {
			now := time.Now()
			q.askFar(h, r, true, now)
			q.finishStage(h, r, now)
		}
	})
}

// hurry sends the asks of a round at once, since a request waits. The caller holds q.mu.
func (q *quotas) hurry(h *quotaHolder) {
	q.startHedge(h, h.round)
	for i, home := range h.round.homes {
		if h.round.isNear[i] || h.round.askedFar {
			q.asker.hurry(home)
		}
	}
}

// rest returns the shards that may have tokens still, those with a home in this VM's region or the others.
func (r *quotaRound) rest(isNear bool) (shards []int) {
	for i := range r.homes {
		if !r.isShort[i] && r.isNear[i] == isNear {
			shards = append(shards, i)
		}
	}
	return shards
}

// askNext asks the homes in this VM's region that may have tokens still, or, if there are none, the others. The caller
// holds q.mu.
func (q *quotas) askNext(h *quotaHolder, r *quotaRound, isUrgent bool, now time.Time) {
	shards := r.rest(true)
	if len(shards) == 0 {
		q.askFar(h, r, isUrgent, now)
		q.finishStage(h, r, now)
		return
	}
	want := h.purse.Want(len(h.waiting), q.terms(h.account).Life, now)
	h.rounds++ // the shards take turns at asks for a single token
	for n := range shards {
		part := (want + len(shards) - n - 1) / (len(shards) - n)
		want -= part
		q.ask(h, r, shards[(h.rounds+n)%len(shards)], part, isUrgent, now)
	}
	q.answerWaiting(h, now)
	q.finishStage(h, r, now)
}

// askFar asks the homes in other regions, each for its part, rounded up: to ask them one after the other takes too long.
// The caller holds q.mu.
func (q *quotas) askFar(h *quotaHolder, r *quotaRound, isUrgent bool, now time.Time) {
	r.askedFar = true
	shards := r.rest(false)
	want := h.purse.Want(len(h.waiting), q.terms(h.account).Life, now)
	for _, i := range shards {
		q.ask(h, r, i, (want+len(shards)-1)/len(shards), isUrgent, now)
	}
	q.answerWaiting(h, now)
}

// ask asks the home of a shard for tokens. The caller holds q.mu.
func (q *quotas) ask(h *quotaHolder, r *quotaRound, index, tokens int, isUrgent bool, now time.Time) {
	if tokens <= 0 {
		return
	}
	shard, home := quota.Shard{Account: h.account.Name, Index: index}, r.homes[index]
	if home == q.home.self.Address {
		granted, life := q.home.grant(shard, home, tokens)
		q.applyGrant(h, r, index, tokens, quotaGrant{tokens: granted, expiry: now.Add(life), isValid: life > 0}, now)
		return
	}
	r.pending++
	q.asker.enqueue(home, isUrgent, &quotaAsk{shard: shard, tokens: tokens, done: func(g quotaGrant) {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := time.Now()
		r.pending--
		q.applyGrant(h, r, index, tokens, g, now)
		q.answerWaiting(h, now)
		q.finishStage(h, r, now)
	}})
}

// applyGrant records the answer to an ask for tokens. The caller holds q.mu.
func (q *quotas) applyGrant(h *quotaHolder, r *quotaRound, index, asked int, g quotaGrant, now time.Time) {
	h.purse.Deposit(g.tokens, g.expiry, now)
	r.isShort[index] = r.isShort[index] || g.tokens < asked
	r.isPartial = r.isPartial || !g.isValid
}

// finishStage goes on with a round once all asks are answered. If tokens are wanted still it asks the homes that may
// have some. If none has, it refuses the requests that wait, or asks again later if not all homes could answer. The
// caller holds q.mu.
func (q *quotas) finishStage(h *quotaHolder, r *quotaRound, now time.Time) {
	if h.round != r || r.pending > 0 {
		return
	}
	isWaiting := len(h.waiting) > 0
	isShort := r.isShort != [quota.Shards]bool{}
	isEmpty := r.isShort == [quota.Shards]bool{true, true, true}
	if !isEmpty && (isWaiting || isShort && h.purse.IsLow(q.terms(h.account).Life, now)) {
		q.askNext(h, r, isWaiting, now)
		return
	}
	if r.hedge != nil {
		r.hedge.Stop()
	}
	h.round = nil
	switch {
	case isWaiting && r.isPartial:
		q.repeatRound(h, r)
	case isWaiting:
		h.refuseUntil = now.Add(refusalHold)
		q.refuseWaiting(h, now)
	case isEmpty:
		h.nextRoundAt = now.Add(refusalHold)
	}
}

// repeatRound asks again later. The caller holds q.mu.
func (q *quotas) repeatRound(h *quotaHolder, r *quotaRound) {
	h.round = r
	h.partialUntil = time.Now().Add(quotaWaitLimit)
	r.pending++
	time.AfterFunc(refusalHold, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		h.round = nil
		if len(h.waiting) > 0 {
			q.startRound(h, true, time.Now())
		}
	})
}
