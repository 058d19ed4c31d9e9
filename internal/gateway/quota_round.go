package gateway

import (
	"time"

	"github.com/azureflow/azureflow/internal/quota"
)

// nearWait is the time that the homes in this VM's region have to answer before the others are asked as well. It is
// many times the delay between zones.
const nearWait = 50 * time.Millisecond

// Stages of a round.
const (
	stageNear = iota // homes in this VM's region
	stageFar         // the others
)

// quotaRound is one round of asks for tokens of an account: of the homes in this VM's region, then, if these give too
// few, of the others.
type quotaRound struct {
	homes     [quota.Shards]string
	near      [quota.Shards]bool
	askedFar  bool
	isShort   [2]bool // homes gave less than was asked for: those in the region, the others
	isPartial bool    // a home could not be reached, or may not grant tokens
	pending   int     // asks without an answer
	hedge     *time.Timer
}

// startRound asks for tokens. isUrgent says that a request waits. The caller holds q.mu.
func (q *quotas) startRound(h *quotaHolder, isUrgent bool, now time.Time) {
	r := &quotaRound{}
	r.homes, r.near = q.home.homesOf(h.account.Name)
	h.round = r
	q.ask(h, r, stageNear, isUrgent, now)
	if isUrgent {
		q.startHedge(h, r)
	}
	q.finishStage(h, r, now)
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
			q.askFar(h, r, true, time.Now())
		}
	})
}

// hurry sends the asks of a round at once, since a request waits. The caller holds q.mu.
func (q *quotas) hurry(h *quotaHolder) {
	q.startHedge(h, h.round)
	for i, home := range h.round.homes {
		if h.round.near[i] || h.round.askedFar {
			q.asker.hurry(home)
		}
	}
}

func (q *quotas) askFar(h *quotaHolder, r *quotaRound, isUrgent bool, now time.Time) {
	r.askedFar = true
	q.ask(h, r, stageFar, isUrgent, now)
	q.finishStage(h, r, now)
}

// ask asks the homes of a stage for what is wanted, divided among them. The caller holds q.mu.
func (q *quotas) ask(h *quotaHolder, r *quotaRound, stage int, isUrgent bool, now time.Time) {
	var shards []int
	for i, home := range r.homes {
		if r.near[i] == (stage == stageNear) && home != "" {
			shards = append(shards, i)
		}
	}
	r.isShort[stage] = len(shards) == 0
	want := h.purse.Want(len(h.waiting), q.terms(h.account).Life, now)
	for n, i := range shards {
		part := (want + len(shards) - n - 1) / (len(shards) - n)
		want -= part
		if part == 0 {
			continue
		}
		shard := quota.Shard{Account: h.account.Name, Index: i}
		if r.homes[i] == q.home.self.Address {
			granted, life := q.home.grant(shard, r.homes[i], part)
			q.applyGrant(h, r, stage, part, quotaGrant{tokens: granted, expiry: now.Add(life), isValid: life > 0}, now)
			continue
		}
		r.pending++
		q.asker.enqueue(r.homes[i], isUrgent, &quotaAsk{shard: shard, tokens: part, done: func(g quotaGrant) {
			q.mu.Lock()
			defer q.mu.Unlock()
			now := time.Now()
			r.pending--
			q.applyGrant(h, r, stage, part, g, now)
			q.answerWaiting(h, now)
			q.finishStage(h, r, now)
		}})
	}
	q.answerWaiting(h, now)
}

// applyGrant records the answer to an ask for tokens. The caller holds q.mu.
func (q *quotas) applyGrant(h *quotaHolder, r *quotaRound, stage, asked int, g quotaGrant, now time.Time) {
	h.purse.Deposit(g.tokens, g.expiry, now)
	r.isShort[stage] = r.isShort[stage] || g.tokens < asked
	r.isPartial = r.isPartial || !g.isValid
}

// finishStage goes on with a round once all asks are answered. If the homes gave less than was wanted, it asks the other
// homes; if these were asked, it refuses the requests that wait, or asks again if not all homes could answer. The caller holds q.mu.
func (q *quotas) finishStage(h *quotaHolder, r *quotaRound, now time.Time) {
	if h.round != r || r.pending > 0 {
		return
	}
	isWaiting := len(h.waiting) > 0
	if !r.askedFar && r.isShort[stageNear] && (isWaiting || h.purse.IsLow(q.terms(h.account).Life, now)) {
		q.askFar(h, r, isWaiting, now)
		return
	}
	if r.hedge != nil {
		r.hedge.Stop()
	}
	h.round = nil
	switch isEmpty := r.askedFar && r.isShort[stageFar]; {
	case isWaiting && isEmpty && r.isPartial:
		q.repeatRound(h, r)
	case isWaiting && isEmpty:
		h.refuseUntil = now.Add(refusalHold)
		q.refuseWaiting(h, now)
	case isWaiting: // these came after the asks
		q.startRound(h, true, now)
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
		now := time.Now()
		h.round = nil
		if len(h.waiting) > 0 {
			q.startRound(h, true, now)
		}
	})
}
