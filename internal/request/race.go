package request

import (
	"sync"
	"time"
)

// race is one attempt and the further ones that are sent while none brings a byte. The first answer
// wins; the other attempts are cancelled.
type race struct {
	x     *exchange
	timer *time.Timer
	delay time.Duration
	ended chan struct{} // one value for each extra attempt that has ended

	mu       sync.Mutex
	running  []*attempt
	winner   *attempt
	settled  bool // the first attempt has ended
	launched bool // an extra attempt was due
	pending  int  // extra attempts that have not ended
}

// race sends one attempt, and further ones if the operation allows it.
func (x *exchange) race(p *Placement) (*attempt, error) {
	s := sending{placement: p, extra: x.made() > 0}
	if !x.route.operation.Idempotent || x.body != nil {
		return x.send(s)
	}
	r := &race{x: x, delay: x.hedgeDelay(), ended: make(chan struct{}, x.h.opts.MaxAttempts)}
	r.mu.Lock()
	r.timer = time.AfterFunc(r.delay, r.launch)
	r.mu.Unlock()
	s.register = r.add
	a, err := x.send(s)
	return r.settle(a, err)
}

// hedgeDelay returns when a second attempt is worth its cost.
func (x *exchange) hedgeDelay() time.Duration {
	if d, ok := x.route.latency.hedgeDelay(); ok {
		return min(d, x.silentAfter())
	}
	return x.silentAfter()
}

// add notes an attempt that is about to be sent.
func (r *race) add(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = append(r.running, a)
	if r.winner != nil {
		a.lose()
	}
}

// launch sends an extra attempt if the budget and the placer have room, and waits on for the next.
func (r *race) launch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled || r.winner != nil || r.x.ctx.Err() != nil || r.x.made() >= r.x.h.opts.MaxAttempts {
		return
	}
	if p := r.x.placeHedge(r.keep()); p != nil {
		r.pending++
		go r.run(sending{placement: p, extra: true, hedge: true, newConn: true, register: r.add})
	}
	r.delay *= 2
	r.timer.Reset(r.delay)
}

// keep returns what an extra attempt leaves in the budget: a first hedge is only against a slow answer; later
// ones, and all while connections go silent, may spend the rest.
func (r *race) keep() int64 {
	first := !r.launched
	r.launched = true
	if first && !r.x.h.silences.active(time.Now()) {
		return budgetReserve
	}
	return 0
}

// placeHedge returns the right to send an extra attempt, paid from the budget, or nil.
func (x *exchange) placeHedge(keep int64) *Placement {
	if !x.route.takeExtra(x.route.service.Budgets.Hedges, keep) {
		return nil
	}
	q := x.query(x.triedServers())
	q.Hedge = true
	p, err := x.h.opts.Placer.Place(q)
	if err != nil {
		x.route.budget.Refund()
		return nil
	}
	return p
}

// run makes an extra attempt.
func (r *race) run(s sending) {
	a, err := r.x.send(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.finish(a)
	}
	r.pending--
	r.ended <- struct{}{}
}

// finish lets a win if it is the first to answer. The race is locked.
func (r *race) finish(a *attempt) {
	if r.winner != nil {
		r.x.discard(a)
		return
	}
	r.winner = a
	for _, other := range r.running {
		if other == a {
			continue
		}
		other.lose()
		if a.hedge && other.reusedWithoutByte() {
			r.x.h.silences.suspect(other.placement.Server.Name, time.Now())
		}
	}
}

// settle ends the race after the first attempt ended and returns the winner.
func (r *race) settle(a *attempt, err error) (*attempt, error) {
	r.timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = true
	if err == nil {
		r.finish(a)
	}
	for r.winner == nil && r.pending > 0 {
		r.mu.Unlock()
		<-r.ended
		r.mu.Lock()
	}
	if r.winner == nil {
		return nil, err
	}
	return r.winner, nil
}

// discard ends an attempt whose answer came second.
func (x *exchange) discard(a *attempt) {
	_ = a.response.Body.Close()
	a.abandon()
	x.release(a, FailureCancelled, OutcomeUnknown)
}
