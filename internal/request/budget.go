package request

import "sync/atomic"

const (
	maxExtraShare = 0.05 // of the requests, retries and hedges together
	budgetUnit    = 1000 // of one extra attempt
	budgetBurst   = 10   // extra attempts of a service that may be saved up
	budgetReserve = 6    // extra attempts that hedges leave for silent connections and retries
)

// ExtraBudget bounds extra attempts to a share of the requests. Each request pays in its share; an extra
// attempt takes one whole. It is safe for concurrent use.
type ExtraBudget struct {
	burst int64        // in budgetUnits
	saved atomic.Int64 // in budgetUnits
}

// NewExtraBudget returns a budget that starts full, with burst extra attempts.
func NewExtraBudget(burst int) *ExtraBudget {
	b := &ExtraBudget{burst: int64(burst) * budgetUnit}
	b.saved.Store(b.burst)
	return b
}

// Deposit adds the share of one request, at most 0.05.
func (b *ExtraBudget) Deposit(share float64) { b.add(int64(min(share, maxExtraShare) * budgetUnit)) }

// Refund returns an extra attempt that was not made, or that turned out to be the only one to arrive.
func (b *ExtraBudget) Refund() { b.add(budgetUnit) }

// add saves up gain budgetUnits, as far as there is room.
func (b *ExtraBudget) add(gain int64) {
	for gain > 0 {
		old := b.saved.Load()
		if old >= b.burst || b.saved.CompareAndSwap(old, min(old+gain, b.burst)) {
			return
		}
	}
}

// TryWithdraw spends one extra attempt if more than keep are saved up.
func (b *ExtraBudget) TryWithdraw(keep int64) bool {
	for {
		old := b.saved.Load()
		if old < (keep+1)*budgetUnit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
