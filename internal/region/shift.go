package region

import (
	"time"
)

// defaultWindow is the window of a shift cap that sets none.
const defaultWindow = time.Minute

// movesPerWindow is the number of parts into which a window is divided. Moves within one part are merged.
const movesPerWindow = 32

// shift moves one origin's traffic from its previous shares toward its target within the shift cap. Traffic that a
// region gains counts as moved; traffic that leaves a lost region without being served elsewhere does not.
type shift struct {
	in     *Inputs
	origin *OriginInput
	from   []float64 // previous shares; 0 for lost regions
	to     []float64 // target shares
	out    []float64 // shares after this step
	capped bool
}

// newShift returns the shift of origin o of t. It is valid until the next call of newShift for t, which reuses its
// memory.
func newShift(t *target, o int) *shift {
	s := &shift{in: t.in, origin: &t.in.Origins[o], to: t.shares[o], from: t.from, out: t.after}
	for r := range t.in.Regions {
		s.from[r] = t.previous[o][r]
		if t.in.Regions[r].Lost {
			s.from[r] = 0
		}
	}
	return s
}

// apply returns the shares after this step and the share that moved.
func (s *shift) apply() ([]float64, float64) {
	gain, loss := 0.0, 0.0
	for r := range s.to {
		gain += max(0, s.to[r]-s.from[r])
		loss += max(0, s.from[r]-s.to[r])
	}
	budget := s.budget()
	unserved := max(0, gain-loss)
	urgent := min(unserved, budget)
	wanted := gain - unserved
	planned := max(0, min(wanted, budget-urgent, s.plannedLimit()))
	moved := urgent + planned
	s.capped = moved < gain-epsilon
	return s.interpolateShares(gain, loss, moved, planned, wanted), moved
}

// interpolateShares returns the shares after regions gained moved of the share gain and other regions gave up planned
// of the share wanted.
func (s *shift) interpolateShares(gain, loss, moved, planned, wanted float64) []float64 {
	up, down := 1.0, 1.0
	if s.capped {
		up = moved / gain
	}
	if loss > epsilon {
		down = min(1, (planned+loss-wanted)/loss)
	}
	for r := range s.out {
		step := s.to[r] - s.from[r]
		if step > 0 {
			s.out[r] = s.from[r] + step*up
		} else {
			s.out[r] = s.from[r] + step*down
		}
	}
	return s.out
}

// budget returns the share that may still move within the sliding window that ends now.
func (s *shift) budget() float64 {
	used := 0.0
	for _, m := range s.origin.Moves {
		if s.in.At.Sub(m.At) < s.window() {
			used += m.Share
		}
	}
	return max(0, s.in.Cap.Share-used)
}

// plannedLimit returns the maximum share of planned moves in this step. They are spread over the window so that a
// region's caches warm up meanwhile.
func (s *shift) plannedLimit() float64 {
	if s.origin.PreviousAt.IsZero() {
		return 0
	}
	step := s.in.At.Sub(s.origin.PreviousAt)
	return s.in.Cap.Share * min(1, max(0, step.Seconds()/s.window().Seconds()))
}

// moves returns the moves within the window, with moved added. Merged moves get the time of the last of them, so that
// merging never frees budget early.
func (s *shift) moves(moved float64) []Move {
	var out []Move
	for _, m := range s.origin.Moves {
		if s.in.At.Sub(m.At) < s.window() {
			out = append(out, m)
		}
	}
	if moved <= 0 {
		return out
	}
	part := s.window() / movesPerWindow
	last := len(out) - 1
	if last >= 0 && out[last].At.Truncate(part).Equal(s.in.At.Truncate(part)) {
		out[last] = Move{At: s.in.At, Share: out[last].Share + moved}
		return out
	}
	return append(out, Move{At: s.in.At, Share: moved})
}

func (s *shift) window() time.Duration {
	if w := s.in.Cap.Window.Std(); w > 0 {
		return w
	}
	return defaultWindow
}
