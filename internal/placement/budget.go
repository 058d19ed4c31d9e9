package placement

// RetryBudget bounds the retries of requests to one service. Each entry VM adds to it for the requests that it serves
// itself and has a fixed part of the fleet's allowance, so the sum over all entry VMs keeps the bound without
// communication between them.
type RetryBudget struct {
	Ratio       float64 // added for each request
	Burst       float64 // most retries that can be saved up
	tokens      float64
	initialized bool
}

// Deposit adds the retry allowance of one request.
func (b *RetryBudget) Deposit() {
	if !b.initialized {
		b.initialized, b.tokens = true, b.Burst
	}
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Balance returns how many retries are allowed now.
func (b *RetryBudget) Balance() float64 {
	if !b.initialized {
		return b.Burst
	}
	return b.tokens
}

// TryWithdraw spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
