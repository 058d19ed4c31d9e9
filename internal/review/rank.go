package review

// Outcomes as records carry them; request.Outcome has the same texts.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomePart marks a refusal that belongs to a request, which is counted in its stead.
	outcomePart = "part"
)

// The ranks of records: which go first where there is not room for all.
const (
	rankChange  = iota // what changed how the system steers
	rankRefusal        // what a caller did not get
	rankBasis          // what many requests rest on; counted, with samples
	rankRoutine        // all else; counted, with samples
)

// rank returns the rank of r.
func rank(r *Record) int {
	switch r.Kind {
	case KindShift, KindDrain, KindLeader, KindRevision, KindStop:
		return rankChange
	case KindRefusal:
		return rankRefusal
	}
	if r.Outcome == outcomeUnknown || r.Outcome == outcomeNotRun {
		return rankRefusal
	}
	if r.Kind == KindPlan || r.Kind == KindGrant {
		return rankBasis
	}
	return rankRoutine
}
