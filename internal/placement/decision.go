package placement

import "time"

// decision is the server for a request, or why there is none.
type decision struct {
	best       estimate
	times      *RouteTimes
	candidates int
	refusal    *Refusal // nil: the request is sent to the server of best
}

// decide counts the request and decides where it is sent.
func (c *Chooser) decide(q *Query, now time.Time) decision {
	budget := c.retryBudget(q.Service)
	if q.FirstAttempt {
		budget.Deposit()
	}
	d := decision{times: c.routeTimes(q.Route, q.Service)}
	if q.FirstAttempt {
		d.times.demand.add(now)
	}
	d.best, d.candidates = c.selectServer(q, d.times, now)
	if d.best.server == nil {
		d.refusal = c.noServerRefusal(q, d.candidates, now)
		return d
	}
	basis := d.best.refusalBasis(q)
	if basis == BasisNone && q.WaitBounds.areExceeded(&d.best, q) {
		basis = BasisOrder
	}
	switch {
	case basis != BasisNone:
		d.refusal = d.best.noCapacityRefusal(q, basis, d.candidates, now)
	case q.Retry && !budget.TryWithdraw():
		d.refusal = d.best.refusal(q, ReasonBudget, minRetryAfter, d.candidates, now)
	}
	return d
}
