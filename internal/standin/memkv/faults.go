package memkv

import "time"

// Faults are switched on for a whole store or for one client of it. The zero value is no fault.
type Faults struct {
	// Down refuses every call with no effect; a waiting watch ends.
	Down bool `json:"down"`
	// Delay is added to each call, half before and half after its effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of writes to come whose answer is lost after the effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is the number of writes to come that are lost before the effect; the client
	// cannot tell them from a lost answer.
	LoseRequests int `json:"lose_requests"`
	// WatchSilent keeps every watch waiting until its context ends.
	WatchSilent bool `json:"watch_silent"`
	// Stale, if set, answers reads and watches from an earlier state.
	Stale *Snapshot `json:"-"`
}

// Op is a kind of call.
type Op string

// The kinds of call.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpSwap      Op = "compare-and-swap"
	OpDelete    Op = "delete"
	OpWatch     Op = "watch"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keep-alive"
	OpRevoke    Op = "revoke"
)

// Call is one call of a client, as a Hook sees it.
type Call struct {
	Client string
	Op     Op
	Key    string // key or prefix; empty for leases
	Serial int    // of the client's calls, from 1
}

// Verdict is what a Hook makes of a call.
type Verdict uint8

// The verdicts.
const (
	// VerdictPass leaves the call to the other faults.
	VerdictPass Verdict = iota
	// VerdictRefuse has no effect and answers *kv.UnavailableError.
	VerdictRefuse
	// VerdictLoseRequest has no effect; a write answers *kv.EffectUnknownError.
	VerdictLoseRequest
	// VerdictLoseAnswer takes effect; a write answers *kv.EffectUnknownError.
	VerdictLoseAnswer
)

// Hook decides on each call before it is made. It may block to hold the call back.
type Hook func(Call) Verdict

// Counts is the number of calls by kind.
type Counts struct {
	Gets, Lists, Swaps, Deletes, Watches, Grants, KeepAlives, Revokes int
}

// Reads returns the calls that change nothing, a watch as one.
func (c Counts) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the calls that may change something.
func (c Counts) Writes() int { return c.Swaps + c.Deletes + c.Grants + c.KeepAlives + c.Revokes }

// Total returns all calls.
func (c Counts) Total() int { return c.Reads() + c.Writes() }

func (c *Counts) add(op Op) {
	switch op {
	case OpGet:
		c.Gets++
	case OpList:
		c.Lists++
	case OpSwap:
		c.Swaps++
	case OpDelete:
		c.Deletes++
	case OpWatch:
		c.Watches++
	case OpGrant:
		c.Grants++
	case OpKeepAlive:
		c.KeepAlives++
	case OpRevoke:
		c.Revokes++
	}
}

// takeLost counts a write down from the losses to come.
func (f *Faults) takeLost() Verdict {
	if f.LoseRequests > 0 {
		f.LoseRequests--
		return VerdictLoseRequest
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		return VerdictLoseAnswer
	}
	return VerdictPass
}
