package lookup

import "slices"

// zoneShare is a zone in a choice by share: it takes the hashes up to its bound that zones before it
// do not take.
type zoneShare struct {
	zone  int32
	until uint32
}

// portion is the part, 0 to 1, of some callers that a zone takes.
type portion struct {
	zone int32
	part float64
}

// fallbacks prepares, for each zone that a class uses, where its callers go when one VM of the zone
// is lost, and where they go when the whole zone is.
func (b *builder) fallbacks(c *class) {
	for t := range c.tiers {
		for i := range c.tiers[t].zones {
			choice := &c.tiers[t].zones[i]
			if choice.filled >= minDemand/2 {
				b.prepare(c, choice)
			}
		}
	}
}

// prepare sets the fallbacks of one zone. The loss of the zone bounds what each other zone takes
// from a lost VM, since then all its VMs are lost at once; those whose second VM went with the zone
// make up what is left.
func (b *builder) prepare(c *class, choice *zoneChoice) {
	lost := choice.zone
	vms := float64(len(b.snap.zones[lost].vms))
	zoneLoss := b.portionsAfter(c, lost, 1, nil)
	vmLoss := b.portionsAfter(c, lost, 1/vms, zoneLoss)
	choice.afterVM = sharesOf(vmLoss)
	choice.afterZone = sharesOf(less(zoneLoss, vmLoss))
}

// portionsAfter returns where the callers of a part of a zone go once that part is lost: to the
// nearest zones as far as these have room then, and no further than bounds say.
func (b *builder) portionsAfter(c *class, lost int32, part float64, bounds []portion) []portion {
	amount := b.filled[lost] * part
	left := amount
	var portions []portion
	for t := range c.tiers {
		rooms, total := b.roomsAfter(&c.tiers[t], lost, part, amount, bounds)
		given := min(left, total)
		for i, room := range rooms {
			if room > 0 && given > 0 {
				portions = append(portions, portion{c.tiers[t].zones[i].zone, given * room / total / amount})
			}
		}
		if left -= given; left <= amount*negligible {
			break
		}
	}
	return portions
}

// negligible is the part of an amount that rounding may leave.
const negligible = 1e-6

// roomsAfter returns the room of the zones of t, in requests/s, once part of a zone is lost and the
// limits of all VMs have risen accordingly, with at most the bounded portion of amount.
func (b *builder) roomsAfter(
	t *tier, lost int32, part, amount float64, bounds []portion,
) (rooms []float64, total float64) {
	gone := part * float64(len(b.snap.zones[lost].vms))
	all := float64(len(b.snap.entries))
	rise := all / max(1, all-gone)
	rooms = make([]float64, len(t.zones))
	for i := range t.zones {
		z := t.zones[i].zone
		stays := 1.0
		if z == lost {
			stays = 1 - part
		}
		rooms[i] = max(0, stays*(b.snap.zones[z].capacity*rise-b.filled[z]))
		if bounds != nil && z != lost {
			rooms[i] = min(rooms[i], amount*partOf(bounds, z))
		}
		total += rooms[i]
	}
	return rooms, total
}

func partOf(portions []portion, zone int32) float64 {
	i := slices.IndexFunc(portions, func(p portion) bool { return p.zone == zone })
	if i < 0 {
		return 0
	}
	return portions[i].part
}

// less returns the portions of a above those of b, or a where there are none.
func less(a, b []portion) []portion {
	var rest []portion
	for _, p := range a {
		if part := p.part - partOf(b, p.zone); part > negligible {
			rest = append(rest, portion{p.zone, part})
		}
	}
	if rest == nil {
		return a
	}
	return rest
}

func sharesOf(portions []portion) []zoneShare {
	const all = 1<<32 - 1
	total := 0.0
	for _, p := range portions {
		total += p.part
	}
	shares := make([]zoneShare, len(portions))
	below := 0.0
	for i, p := range portions {
		below += p.part
		shares[i] = zoneShare{zone: p.zone, until: uint32(all * min(1, below/total))}
	}
	if len(shares) > 0 {
		shares[len(shares)-1].until = all
	}
	return shares
}

// pickShare returns the zone that takes hash, or -1.
func pickShare(shares []zoneShare, hash uint32) int32 {
	for i := range shares {
		if hash <= shares[i].until {
			return shares[i].zone
		}
	}
	return -1
}
