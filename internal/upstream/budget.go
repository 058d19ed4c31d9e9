package upstream

import "sync/atomic"

// BudgetOptions configure a Budget. Zero fields take the defaults of NewBudget.
type BudgetOptions struct {
	Retries float64 // retries as a share of the requests, 0 to 1
	Hedges  float64 // hedges as a share of the requests, 0 to 1
	Total   float64 // both together as a share of the requests, 0 to 1
	Burst   float64 // attempts that may be saved up
}

// Budget bounds extra attempts as a share of the requests, so that failures or slowness of all
// servers cause no storm of retries. A request earns a fraction of an attempt; an extra attempt
// spends a whole one. Over any run of n requests at most Total*n+Burst extra attempts are made.
// It is safe for concurrent use.
type Budget struct {
	retries bucket
	hedges  bucket
	total   bucket

	requests     atomic.Uint64
	retriesTaken atomic.Uint64
	hedgesTaken  atomic.Uint64
	denied       atomic.Uint64
}

// NewBudget returns a budget; by default 3% retries, 3% hedges, 5% together and a burst of 10.
func NewBudget(o BudgetOptions) *Budget {
	setDefault(&o.Retries, 0.03)
	setDefault(&o.Hedges, 0.03)
	setDefault(&o.Total, 0.05)
	setDefault(&o.Burst, 10)
	return &Budget{
		retries: newBucket(o.Retries, o.Burst),
		hedges:  newBucket(o.Hedges, o.Burst),
		total:   newBucket(o.Total, o.Burst),
	}
}

// Request counts a request of a caller.
func (b *Budget) Request() {
	b.requests.Add(1)
	b.retries.earn()
	b.hedges.earn()
	b.total.earn()
}

// TakeRetry reports whether a request may be tried again, and counts the attempt if so.
func (b *Budget) TakeRetry() bool { return b.take(&b.retries, &b.retriesTaken) }

// TakeHedge reports whether a request may be hedged, and counts the attempt if so.
func (b *Budget) TakeHedge() bool { return b.take(&b.hedges, &b.hedgesTaken) }

// ReturnRetry gives back a retry that was not sent.
func (b *Budget) ReturnRetry() { b.giveBack(&b.retries, &b.retriesTaken) }

// ReturnHedge gives back a hedge that was not sent.
func (b *Budget) ReturnHedge() { b.giveBack(&b.hedges, &b.hedgesTaken) }

func (b *Budget) take(own *bucket, taken *atomic.Uint64) bool {
	if !own.spend() {
		b.denied.Add(1)
		return false
	}
	if !b.total.spend() {
		own.giveBack()
		b.denied.Add(1)
		return false
	}
	taken.Add(1)
	return true
}

func (b *Budget) giveBack(own *bucket, taken *atomic.Uint64) {
	own.giveBack()
	b.total.giveBack()
	taken.Add(^uint64(0))
}

// BudgetStats counts since the start.
type BudgetStats struct {
	Requests uint64 `json:"requests"`
	Retries  uint64 `json:"retries"`
	Hedges   uint64 `json:"hedges"`
	Denied   uint64 `json:"denied"` // extra attempts that the budget refused
}

// Stats returns the counts.
func (b *Budget) Stats() BudgetStats {
	return BudgetStats{
		Requests: b.requests.Load(),
		Retries:  b.retriesTaken.Load(),
		Hedges:   b.hedgesTaken.Load(),
		Denied:   b.denied.Load(),
	}
}

// unit is one attempt in the integer accounts of a bucket.
const unit = 1_000_000

// bucket is a token bucket filled by requests instead of time.
type bucket struct {
	share  int64 // units a request earns
	limit  int64 // units
	tokens atomic.Int64
}

func newBucket(share, burst float64) bucket {
	return bucket{share: int64(max(share, 0) * unit), limit: int64(max(burst, 0) * unit)}
}

func (b *bucket) earn() { b.add(b.share) }

func (b *bucket) giveBack() { b.add(unit) }

func (b *bucket) add(units int64) {
	for {
		old := b.tokens.Load()
		next := min(old+units, b.limit)
		if next == old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *bucket) spend() bool {
	for {
		old := b.tokens.Load()
		if old < unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}
