package contract

import "math"

// floorSlots returns this VM's part and the other VMs' parts of a floor that is the given share of slots. own and
// others are fractions of the floor, 0 to 1, with a sum of at most 1.
func floorSlots(slots int64, share, own, others float64) (mine, theirs int64) {
	floor := math.Floor(float64(slots) * clamp(share))
	mine = int64(floor * clamp(own))
	theirs = min(int64(math.Ceil(floor*clamp(others))), int64(floor)-mine)
	return mine, theirs
}

func clamp(part float64) float64 { return min(1, max(0, part)) }
