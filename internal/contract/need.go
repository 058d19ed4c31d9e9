package contract

import (
	"cmp"
	"slices"
)

const (
	headroomPart = 8 // a need is the peak and one part in headroomPart of it, or a slot
	decayPart    = 8 // of the distance to a lower need, taken back at each reading
	growthFactor = 2 // by which a need grows at most in one reading
	minGrowth    = 4 // slots by which a need may grow that is above 0
	firstGrowth  = 2 // slots by which a need may grow from 0
)

// need follows how many slots a VM wants of a service in a zone.
type need struct {
	headroom bool // wanted besides the peak
	value    float64
	denied   uint64 // last reading
}

// read takes the demand since the last reading and returns the slots wanted now.
func (n *need) read(a *account) int64 {
	inUse := a.inUse.Load()
	peak := max(a.peak.Swap(inUse), inUse)
	denied := a.denied.Load()
	missed := denied - n.denied
	n.denied = denied
	want := float64(peak)
	if peak > 0 && n.headroom {
		want += max(1, float64(peak)/headroomPart)
	}
	if missed > 0 {
		want = max(want, min(grown(peak), float64(peak)+float64(missed)))
	}
	if want >= n.value {
		n.value = want
	} else {
		n.value += (want - n.value) / decayPart
	}
	if n.value < 0.5 && want == 0 {
		n.value = 0
	}
	return int64(n.value + 0.5)
}

// grown returns the most that a need with the given peak may become in one reading.
func grown(peak int64) float64 {
	if peak == 0 {
		return firstGrowth
	}
	return float64(max(peak*growthFactor, peak+minGrowth))
}

// fairShares divides total over wants: each gets what it wants up to a common level.
func fairShares(total int64, wants []int64) []int64 {
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	out := make([]int64, len(wants))
	for i, k := range order {
		level := max(0, total) / int64(len(order)-i)
		out[k] = min(wants[k], level)
		total -= out[k]
	}
	return out
}
