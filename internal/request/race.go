package request

import (
	"sync"
	"time"
)

// race is one attempt and the second one that may be sent while the first brings no byte. The first
// answer wins; the other attempt is cancelled.
type race struct {
	x     *exchange
	timer *time.Timer
	delay time.Duration

	mu      sync.Mutex
	first   *attempt
	second  *attempt
	winner  *attempt
	settled bool          // the first attempt has ended
	hedge   chan struct{} // closed when the second attempt has ended; nil: none was made
}

// race sends one attempt, and a second one if the operation allows it.
func (x *exchange) race(p *Placement) (*attempt, error) {
	extra := x.made() > 0
	if !x.route.operation.Idempotent || x.body != nil {
		return x.send(p, extra, false, nil)
	}
	r := &race{x: x, delay: x.hedgeDelay()}
	r.mu.Lock()
	r.timer = time.AfterFunc(r.delay, r.launch)
	r.mu.Unlock()
	a, err := x.send(p, extra, false, r.setFirst)
	return r.settle(a, err)
}

// hedgeDelay returns when a second attempt is worth its cost.
func (x *exchange) hedgeDelay() time.Duration {
	if d, ok := x.route.latency.hedgeDelay(); ok {
		return min(d, x.silentAfter())
	}
	return x.silentAfter()
}

func (r *race) setFirst(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = a
}

func (r *race) setSecond(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.second = a
	if r.winner != nil {
		a.lose()
	}
}

// launch sends the second attempt if the budget and the placer have room, else waits on.
func (r *race) launch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled || r.x.ctx.Err() != nil {
		return
	}
	p := r.x.placeHedge()
	if p == nil {
		r.delay *= 2
		r.timer.Reset(r.delay)
		return
	}
	r.hedge = make(chan struct{})
	go r.runSecond(p)
}

// placeHedge returns the right to send a second attempt, paid from the budget, or nil.
func (x *exchange) placeHedge() *Placement {
	if !x.route.takeExtra(x.route.service.Budgets.Hedges) {
		return nil
	}
	q := x.query(x.triedServers())
	q.Hedge = true
	p, err := x.h.opts.Placer.Place(q)
	if err != nil {
		x.route.budget.putBack()
		return nil
	}
	return p
}

func (r *race) runSecond(p *Placement) {
	defer close(r.hedge)
	a, err := r.x.send(p, true, true, r.setSecond)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		r.x.discard(a)
		return
	}
	r.winner = a
	if r.first != nil {
		r.first.lose()
	}
}

// settle ends the race after the first attempt ended and returns the winner.
func (r *race) settle(a *attempt, err error) (*attempt, error) {
	r.timer.Stop()
	r.mu.Lock()
	r.settled = true
	if err == nil && r.winner == nil {
		r.winner = a
		if r.second != nil {
			r.second.lose()
		}
	}
	winner, pending := r.winner, r.hedge
	r.mu.Unlock()
	if winner == nil && pending != nil {
		<-pending
		r.mu.Lock()
		winner = r.winner
		r.mu.Unlock()
	}
	if winner == nil {
		return nil, err
	}
	if a != nil && a != winner {
		r.x.discard(a)
	}
	return winner, nil
}

// discard ends an attempt whose answer came second.
func (x *exchange) discard(a *attempt) {
	_ = a.response.Body.Close()
	a.abandon()
	x.release(a, FailureCancelled, OutcomeUnknown)
}
