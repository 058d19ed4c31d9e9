package request

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	// OutcomeDone: the upstream ran the request and the whole answer is here.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request certainly did not run and never will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
