package contract

import (
	"cmp"
	"slices"
)

const (
	headroomPart = 8 // an estimate is the peak plus 1/headroomPart of it, but at least one slot more
	decayPart    = 8 // divisor: each reading lowers the estimate by 1/decayPart of its distance to a lower demand
	growthFactor = 2 // maximum factor by which an estimate grows in one reading
	minGrowth    = 4 // slots by which an estimate above 0 may always grow
	firstGrowth  = 2 // slots by which an estimate may grow from 0
)

// demandEstimate estimates how many slots of a service in a zone a VM needs.
type demandEstimate struct {
	withHeadroom bool // adds headroom to the peak
	value        float64
	denied       uint64 // value at the last reading
}

// update reads the demand since the last reading and returns the slots needed now.
func (n *demandEstimate) update(a *slotState) int64 {
	inUse := a.inUse.Load()
	peak := max(a.peak.Swap(inUse), inUse)
	denied := a.denied.Load()
	newDenied := denied - n.denied
	n.denied = denied
	want := float64(peak)
	if peak > 0 && n.withHeadroom {
		want += max(1, float64(peak)/headroomPart)
	}
	if newDenied > 0 {
		want = max(want, min(maxGrowth(peak), float64(peak)+float64(newDenied)))
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

// maxGrowth returns the maximum estimate after one reading with the given peak.
func maxGrowth(peak int64) float64 {
	if peak == 0 {
		return firstGrowth
	}
	return float64(max(peak*growthFactor, peak+minGrowth))
}

// fairShares divides total among wants by max-min fairness: each gets its want up to a common level.
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
