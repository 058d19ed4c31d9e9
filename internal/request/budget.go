package request

import "sync/atomic"

const (
	maxExtraShare = 0.05 // of the requests, for retries and hedges together
	budgetUnit    = 1000 // budget units of one extra attempt
	budgetBurst   = 10   // maximum balance of a service, in extra attempts
	budgetReserve = 6    // extra attempts that hedges leave for unresponsive connections and retries
)

// ExtraBudget limits extra attempts to a share of the requests. Each request deposits its share; an extra attempt
// withdraws one full unit. It is safe for concurrent use.
type ExtraBudget struct {
	burst   int64        // maximum balance, in units of 1/budgetUnit extra attempts
	balance atomic.Int64 // in units of 1/budgetUnit extra attempts
}

// NewExtraBudget returns a budget that starts full, with burst extra attempts.
func NewExtraBudget(burst int) *ExtraBudget {
	b := &ExtraBudget{burst: int64(burst) * budgetUnit}
	b.balance.Store(b.burst)
	return b
}

// Deposit adds the share of one request, at most 0.05.
func (b *ExtraBudget) Deposit(share float64) { b.credit(int64(min(share, maxExtraShare) * budgetUnit)) }

// Refund returns the cost of an extra attempt that was not made, or that turned out to be the only one to arrive.
func (b *ExtraBudget) Refund() { b.credit(budgetUnit) }

// credit adds gain units to the balance, up to burst.
func (b *ExtraBudget) credit(gain int64) {
	for gain > 0 {
		old := b.balance.Load()
		if old >= b.burst || b.balance.CompareAndSwap(old, min(old+gain, b.burst)) {
			return
		}
	}
}

// TryWithdraw spends one extra attempt if more than reserve are available, and reports whether it did.
func (b *ExtraBudget) TryWithdraw(reserve int64) bool {
	for {
		old := b.balance.Load()
		if old < (reserve+1)*budgetUnit {
			return false
		}
		if b.balance.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
