package request

import (
	"sync"
	"time"
)

// race is one attempt and the extra attempts that are sent while none has received a byte. The first response wins; the
// other attempts are canceled.
type race struct {
	x          *exchange
	timer      *time.Timer
	delay      time.Duration
	extraEnded chan struct{} // receives one value for each extra attempt that ended

	mu          sync.Mutex
	running     []*attempt
	winner      *attempt
	firstEnded  bool // the first attempt ended
	extraWasDue bool // an extra attempt was due
	pending     int  // extra attempts that have not ended
}

// race sends one attempt, and extra ones if the operation allows it.
func (x *exchange) race(p *Placement) (*attempt, error) {
	s := attemptOptions{placement: p, extra: x.attemptsMade() > 0}
	if !x.route.operation.Idempotent || x.body != nil {
		return x.send(s)
	}
	r := &race{x: x, delay: x.hedgeDelay(), extraEnded: make(chan struct{}, x.h.opts.MaxAttempts)}
	r.mu.Lock()
	r.timer = time.AfterFunc(r.delay, r.launchExtra)
	r.mu.Unlock()
	s.register = r.addAttempt
	a, err := x.send(s)
	return r.awaitWinner(a, err)
}

// hedgeDelay returns the delay after which a second attempt is worth its cost.
func (x *exchange) hedgeDelay() time.Duration {
	if d, ok := x.route.latency.hedgeDelay(); ok {
		return min(d, x.silentAfter())
	}
	return x.silentAfter()
}

// addAttempt registers an attempt that is about to be sent.
func (r *race) addAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = append(r.running, a)
	if r.winner != nil {
		a.supersede()
	}
}

// launchExtra sends an extra attempt if the budget and the placer allow it, and schedules the next one.
func (r *race) launchExtra() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded || r.winner != nil || r.x.ctx.Err() != nil || r.x.attemptsMade() >= r.x.h.opts.MaxAttempts {
		return
	}
	if p := r.x.placeHedge(r.requiredReserve()); p != nil {
		r.pending++
		go r.runExtra(attemptOptions{placement: p, extra: true, hedge: true, newConn: true, register: r.addAttempt})
	}
	r.delay *= 2
	r.timer.Reset(r.delay)
}

// requiredReserve returns what an extra attempt must leave in the budget. A first hedge only guards against a slow
// response; later ones, and all hedges while connections are becoming unresponsive, may spend the rest.
func (r *race) requiredReserve() int64 {
	first := !r.extraWasDue
	r.extraWasDue = true
	if first && !r.x.h.unresponsive.recentlyClosed(time.Now()) {
		return budgetReserve
	}
	return 0
}

// placeHedge returns a placement for an extra attempt, charged to the budget, or nil.
func (x *exchange) placeHedge(reserve int64) *Placement {
	if !x.route.withdrawExtra(x.route.service.Budgets.Hedges, reserve) {
		return nil
	}
	q := x.placementQuery(x.triedServers())
	q.Hedge = true
	p, err := x.h.opts.Placer.Place(q)
	if err != nil {
		x.route.budget.Refund()
		return nil
	}
	return p
}

// runExtra makes an extra attempt.
func (r *race) runExtra(s attemptOptions) {
	a, err := r.x.send(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.onResponse(a)
	}
	r.pending--
	r.extraEnded <- struct{}{}
}

// onResponse makes a the winner if it is the first attempt with a response. The caller holds r.mu.
func (r *race) onResponse(a *attempt) {
	if r.winner != nil {
		r.x.discardLoser(a)
		return
	}
	r.winner = a
	for _, other := range r.running {
		if other == a {
			continue
		}
		other.supersede()
		if a.hedge && other.reusedWithoutByte() {
			r.x.h.unresponsive.recordSuspect(other.placement.Server.Name, time.Now())
		}
	}
}

// awaitWinner is called when the first attempt ended. It waits for the extra attempts if necessary and returns the
// winner.
func (r *race) awaitWinner(a *attempt, err error) (*attempt, error) {
	r.timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstEnded = true
	if err == nil {
		r.onResponse(a)
	}
	for r.winner == nil && r.pending > 0 {
		r.mu.Unlock()
		<-r.extraEnded
		r.mu.Lock()
	}
	if r.winner == nil {
		return nil, err
	}
	return r.winner, nil
}

// discardLoser ends an attempt whose response was not the first.
func (x *exchange) discardLoser(a *attempt) {
	_ = a.response.Body.Close()
	a.abandon()
	x.releaseAttempt(a, FailureCancelled, OutcomeUnknown)
}
