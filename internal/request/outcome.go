package request

// Outcome is what is reported to a caller about its request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone: the upstream ran the request and the complete response arrived.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request is proven not to have run, and it never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
