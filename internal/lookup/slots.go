package lookup

// Sizes of the choice of a VM within a zone.
const (
	weighedVMs = 8    // zones with more VMs have a table of slots
	zoneSlots  = 4093 // a prime
)

// fillSlots returns a table of VMs that gives each its part by weight, as in Maglev hashing: in turns,
// each VM takes the next free slot of its own permutation. The loss of a VM moves few other slots.
func fillSlots(vms []candidate) []uint16 {
	const free = 1<<16 - 1
	slots := make([]uint16, zoneSlots)
	for i := range slots {
		slots[i] = free
	}
	turns := newTurns(vms)
	for left := zoneSlots; left > 0; {
		for i := range turns {
			t := &turns[i]
			if t.credit += t.weight; t.credit < 1 {
				continue
			}
			t.credit--
			for slots[t.next] != free {
				t.advance()
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

func newTurns(vms []candidate) []turn {
	least := vms[0].inverse
	for _, v := range vms {
		least = min(least, v.inverse)
	}
	turns := make([]turn, len(vms))
	for i, v := range vms {
		const skipSalt = 0x736b6970
		turns[i] = turn{
			weight: least / v.inverse,
			next:   v.salt % zoneSlots,
			skip:   mix(v.salt, skipSalt)%(zoneSlots-1) + 1,
		}
	}
	return turns
}

func (t *turn) advance() {
	if t.next += t.skip; t.next >= zoneSlots {
		t.next -= zoneSlots
	}
}

// fromSlots returns the VM that key falls on, and the one after it.
func (z *zone) fromSlots(key uint64) (first, second int32) {
	const half = 32
	at := key >> half * zoneSlots >> half
	place := z.slots[at]
	other := place
	for other == place {
		if at++; at == zoneSlots {
			at = 0
		}
		other = z.slots[at]
	}
	return z.vms[place].index, z.vms[other].index
}
