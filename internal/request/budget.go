package request

import "sync/atomic"

const (
	maxExtraShare = 0.05 // of the requests of a service, retries and hedges together
	budgetUnit    = 1000 // of one extra attempt
	budgetBurst   = 10   // extra attempts that may be saved up
)

// extraBudget bounds the extra attempts of a service to a share of its requests. Each request pays in
// its share; an extra attempt takes one whole.
type extraBudget struct {
	saved atomic.Int64 // in budgetUnits
}

// newExtraBudget returns a budget that starts full.
func newExtraBudget() *extraBudget {
	b := &extraBudget{}
	b.saved.Store(budgetBurst * budgetUnit)
	return b
}

// payIn adds the share of one request, at most maxExtraShare.
func (b *extraBudget) payIn(share float64) {
	gain := int64(min(share, maxExtraShare) * budgetUnit)
	if gain <= 0 {
		return
	}
	for {
		old := b.saved.Load()
		if old >= budgetBurst*budgetUnit {
			return
		}
		if b.saved.CompareAndSwap(old, min(old+gain, budgetBurst*budgetUnit)) {
			return
		}
	}
}

// take spends one extra attempt. It returns false if the budget is empty.
func (b *extraBudget) take() bool {
	for {
		old := b.saved.Load()
		if old < budgetUnit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}

// putBack returns an extra attempt that was not made.
func (b *extraBudget) putBack() { b.saved.Add(budgetUnit) }
