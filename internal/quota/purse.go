package quota

import (
	"math"
	"time"
)

const (
	demandMemory = 500 * time.Millisecond // over which the demand of an account is averaged
	// stockTime is the demand for which a VM keeps tokens: an ask to another region, and the wait until asks are sent
	// together.
	stockTime = 250 * time.Millisecond
	// minStock is the number of requests expected in the life of a token from which on tokens are asked for ahead of
	// need. Below it most of them would expire.
	minStock = 3
	// minRetryAfter is the shortest time after which a refused request is asked to return: tokens come with asks.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second // no caller waits longer
)

// Purse holds the tokens of one account at a VM and knows the VM's demand for them. The zero value is empty. It is not
// safe for concurrent use.
type Purse struct {
	tokens     []tokens // in the order of expiry
	demand     average
	income     average
	promisedAt time.Time // for when the last refused request was asked to return
}

// tokens are permissions that expire at the same time.
type tokens struct {
	n      int
	expiry time.Time
}

// Spend takes a token for a request. It returns when the token expires; ok is false if there is none.
func (p *Purse) Spend(now time.Time) (expiry time.Time, ok bool) {
	p.removeExpired(now)
	if len(p.tokens) == 0 {
		return time.Time{}, false
	}
	first := &p.tokens[0]
	expiry = first.expiry
	if first.n--; first.n == 0 {
		p.tokens = p.tokens[1:]
	}
	return expiry, true
}

// CountRequest counts a request in the demand.
func (p *Purse) CountRequest(now time.Time) { p.demand.add(1, now) }

// Deposit adds n tokens that were granted.
func (p *Purse) Deposit(n int, expiry, now time.Time) {
	p.income.add(float64(n), now)
	p.put(n, expiry, now)
}

// Refund adds a token that was not used.
func (p *Purse) Refund(expiry, now time.Time) { p.put(1, expiry, now) }

func (p *Purse) put(n int, expiry, now time.Time) {
	if n <= 0 || HasPassed(expiry, now) {
		return
	}
	i := len(p.tokens)
	for i > 0 && p.tokens[i-1].expiry.After(expiry) {
		i--
	}
	p.tokens = append(p.tokens, tokens{})
	copy(p.tokens[i+1:], p.tokens[i:])
	p.tokens[i] = tokens{n: n, expiry: expiry}
}

func (p *Purse) removeExpired(now time.Time) {
	for len(p.tokens) > 0 && HasPassed(p.tokens[0].expiry, now) {
		p.tokens = p.tokens[1:]
	}
}

// Held returns the number of tokens.
func (p *Purse) Held(now time.Time) int {
	p.removeExpired(now)
	n := 0
	for _, t := range p.tokens {
		n += t.n
	}
	return n
}

// Want returns how many tokens to ask for, with waiting requests that need one now and tokens that live for life.
func (p *Purse) Want(waiting int, life time.Duration, now time.Time) int {
	return max(0, waiting+p.stock(life, now)-p.Held(now))
}

// IsLow reports whether so few tokens are left that more should be asked for ahead of need.
func (p *Purse) IsLow(life time.Duration, now time.Time) bool {
	stock := p.stock(life, now)
	return stock > 0 && p.Held(now) < (stock+1)/2
}

// stock returns how many tokens to keep for the demand to come.
func (p *Purse) stock(life time.Duration, now time.Time) int {
	demand := p.demand.perSecond(now)
	if demand*life.Seconds() < minStock {
		return 0
	}
	return int(math.Ceil(demand * min(stockTime.Seconds(), life.Seconds()/2)))
}

// IsIdle reports whether there was no request lately.
func (p *Purse) IsIdle(now time.Time) bool {
	const threshold = 0.001 // requests a second; about ten times demandMemory after the last one
	return p.demand.perSecond(now) < threshold && p.Held(now) == 0
}

// RetryAfter returns when a refused request should return: the requests that were refused are spread over the time in
// which tokens come at the present rate. rate is that of the account, which bounds it.
func (p *Purse) RetryAfter(rate float64, now time.Time) time.Duration {
	income := min(p.income.perSecond(now), rate)
	if income <= 0 {
		income = rate / Shards
	}
	if p.promisedAt.Before(now.Add(minRetryAfter)) {
		p.promisedAt = now.Add(minRetryAfter)
	}
	p.promisedAt = p.promisedAt.Add(time.Duration(float64(time.Second) / max(income, 1/maxRetryAfter.Seconds())))
	if latest := now.Add(maxRetryAfter); p.promisedAt.After(latest) {
		p.promisedAt = latest
	}
	return p.promisedAt.Sub(now)
}

// average is the rate of events, averaged over demandMemory with weights that fall exponentially.
type average struct {
	rate float64 // events a second
	at   time.Time
}

func (a *average) add(n float64, now time.Time) {
	a.rate = a.perSecond(now) + n/demandMemory.Seconds()
	a.at = now
}

func (a *average) perSecond(now time.Time) float64 {
	if a.rate == 0 {
		return 0
	}
	return a.rate * math.Exp(-max(0, now.Sub(a.at).Seconds())/demandMemory.Seconds())
}
