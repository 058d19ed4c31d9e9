package lookup

// Sizes of the slot tables for choosing a VM within a zone.
const (
	maxWeighedVMs    = 8    // zones with more VMs use a slot table instead of comparing all VMs
	smallTableSlots  = 1021 // prime; for zones with up to smallTableMaxVMs VMs
	largeTableSlots  = 8191 // prime; for larger zones
	smallTableMaxVMs = 64
)

// slotCount returns the size of the slot table for a number of VMs.
func slotCount(vms int) int {
	if vms <= smallTableMaxVMs {
		return smallTableSlots
	}
	return largeTableSlots
}

// fillSlots returns a lookup table in which each VM has a number of slots in proportion to its weight, as in Maglev
// hashing: in each round, each VM takes the next free slot of its own permutation. The loss of a VM moves few slots of
// other VMs.
func fillSlots(vms []candidate) []uint16 {
	const free = 1<<16 - 1
	slots := make([]uint16, slotCount(len(vms)))
	for i := range slots {
		slots[i] = free
	}
	turns := newFillStates(vms, uint64(len(slots)))
	for left := len(slots); left > 0; {
		for i := range turns {
			t := &turns[i]
			if t.credit += t.weight; t.credit < 1 {
				continue
			}
			t.credit--
			for slots[t.next] != free {
				t.advance(uint64(len(slots)))
			}
			slots[t.next] = uint16(i)
			if left--; left == 0 {
				break
			}
		}
	}
	return slots
}

// fillState is the state of a VM while the slot table is filled.
type fillState struct {
	weight float32 // relative to the largest, 0 to 1
	credit float32
	next   uint64 // next slot of the permutation
	skip   uint64 // distance to the slot after it
}

func newFillStates(vms []candidate, slots uint64) []fillState {
	least := vms[0].inverse
	for _, v := range vms {
		least = min(least, v.inverse)
	}
	turns := make([]fillState, len(vms))
	for i, v := range vms {
		const skipSalt = 0x736b6970
		turns[i] = fillState{
			weight: least / v.inverse,
			next:   v.salt % slots,
			skip:   mix(v.salt, skipSalt)%(slots-1) + 1,
		}
	}
	return turns
}

func (t *fillState) advance(slots uint64) {
	if t.next += t.skip; t.next >= slots {
		t.next -= slots
	}
}

// fromSlots returns the VM whose slot key maps to, and the VM of the next slot that has a different one.
func (z *zone) fromSlots(key uint64) (first, second int32) {
	const half = 32
	slots := uint64(len(z.slots))
	at := key >> half * slots >> half
	place := z.slots[at]
	other := place
	for other == place {
		if at++; at == slots {
			at = 0
		}
		other = z.slots[at]
	}
	return z.vms[place].index, z.vms[other].index
}
