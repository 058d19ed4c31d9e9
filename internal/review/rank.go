package review

// Outcomes in records. request.Outcome has the same texts.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomePart marks a refusal that is part of a request. The request is counted instead of it.
	outcomePart = "part"
)

// The ranks of records, by descending priority when not all of them fit.
const (
	rankChange  = iota // changes of the traffic steering
	rankRefusal        // refusals, and the outcomes not-run and unknown
	rankBasis          // plans and grants on which many requests are based; counted, with samples
	rankRoutine        // other records; counted, with samples
)

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
