package lookup

import (
	"testing"

	"github.com/cespare/xxhash/v2"
)

func candidates(n int) []candidate {
	var vms []candidate
	for i := range n {
		vms = append(vms, candidate{index: int32(i), inverse: 1, salt: xxhash.Sum64String(string(rune('a' + i)))})
	}
	return vms
}

func TestSlotsFollowWeights(t *testing.T) {
	vms := candidates(40)
	vms[7].inverse = 4 // a quarter of the weight of the others
	counts := make([]int, len(vms))
	for _, place := range fillSlots(vms) {
		counts[place]++
	}
	fullShare := float64(slotCount(len(vms))) / 39.25
	for i, n := range counts {
		want := fullShare
		if i == 7 {
			want = fullShare / 4
		}
		if float64(n) < want-2 || float64(n) > want+2 {
			t.Errorf("VM %d has %d slots, want about %.1f", i, n, want)
		}
	}
}

// TestLostVMMovesFewSlots checks that the loss of a VM moves its own slots and few others.
func TestLostVMMovesFewSlots(t *testing.T) {
	const maxMovedShare = 0.05 // fraction of the slots of the remaining VMs
	vms := candidates(40)
	before := fillSlots(vms)
	left := append(append([]candidate{}, vms[:20]...), vms[21:]...)
	after := fillSlots(left)
	moved, kept := 0, 0
	for i := range before {
		was := vms[before[i]].index
		if was == 20 {
			continue
		}
		kept++
		if left[after[i]].index != was {
			moved++
		}
	}
	t.Logf("%d of %d slots moved", moved, kept)
	if float64(moved) > maxMovedShare*float64(kept) {
		t.Errorf("%d of %d slots moved", moved, kept)
	}
}
