package placement

// RetryBudget bounds the sendings beyond the first of each request to one service. Each entry VM earns from the
// requests that it serves itself and has a fixed part of the fleet's allowance, so the sum over all entry VMs
// keeps the bound with no word between them.
type RetryBudget struct {
	Ratio  float64 // earned for each request
	Burst  float64 // most that can be saved up
	tokens float64
	begun  bool
}

// Deposit notes a request.
func (b *RetryBudget) Deposit() {
	if !b.begun {
		b.begun, b.tokens = true, b.Burst
	}
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Balance returns how many sendings are allowed now.
func (b *RetryBudget) Balance() float64 {
	if !b.begun {
		return b.Burst
	}
	return b.tokens
}

// TryWithdraw spends one sending if the budget allows it.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
