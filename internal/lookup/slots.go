package lookup

// Sizes of the choice of a VM within a zone.
const (
	weighedVMs = 8    // zones with more VMs have a table of slots
	fewSlots   = 1021 // a prime; of zones with up to manyVMs
	manySlots  = 8191 // a prime
	manyVMs    = 64
)

// slotCount returns the size of the table for a number of VMs.
func slotCount(vms int) int {
	if vms <= manyVMs {
		return fewSlots
	}
	return manySlots
}

// fillSlots returns a table of VMs that gives each its part by weight, as in Maglev hashing: in turns,
// each VM takes the next free slot of its own permutation. The loss of a VM moves few other slots.
func fillSlots(vms []candidate) []uint16 {
	const free = 1<<16 - 1
	slots := make([]uint16, slotCount(len(vms)))
	for i := range slots {
		slots[i] = free
	}
	turns := newTurns(vms, uint64(len(slots)))
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

// turn is the state of a VM while slots are filled.
type turn struct {
	weight float32 // of the largest, 0 to 1
	credit float32
	next   uint64 // slot
	skip   uint64 // to the slot after it
}

func newTurns(vms []candidate, slots uint64) []turn {
	least := vms[0].inverse
	for _, v := range vms {
		least = min(least, v.inverse)
	}
	turns := make([]turn, len(vms))
	for i, v := range vms {
		const skipSalt = 0x736b6970
		turns[i] = turn{
			weight: least / v.inverse,
			next:   v.salt % slots,
			skip:   mix(v.salt, skipSalt)%(slots-1) + 1,
		}
	}
	return turns
}

func (t *turn) advance(slots uint64) {
	if t.next += t.skip; t.next >= slots {
		t.next -= slots
	}
}

// fromSlots returns the VM that key falls on, and the one after it.
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
