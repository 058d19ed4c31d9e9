package contract

import "math"

// floorSlots returns the slots of this VM's part and of other VMs' parts of a floor that is the
// given share of slots. The parts are 0 to 1 and sum to at most 1.
func floorSlots(slots int64, share, own, others float64) (mine, theirs int64) {
	floor := math.Floor(float64(slots) * clamp(share))
	mine = int64(floor * clamp(own))
	theirs = min(int64(math.Ceil(floor*clamp(others))), int64(floor)-mine)
	return mine, theirs
}

func clamp(part float64) float64 { return min(1, max(0, part)) }
