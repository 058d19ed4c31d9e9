package lookup

import "slices"

// zoneShare assigns a zone a range of hashes: those up to until that are above the bounds of the preceding zones.
type zoneShare struct {
	zone  int32
	until uint32
}

// portion is the fraction, 0 to 1, of a set of callers that is assigned to a zone.
type portion struct {
	zone     int32
	fraction float64
}

// setFallbacks computes, for each zone that a class uses, where its callers go when one VM of the zone
// is lost, and where they go when the entire zone is lost.
func (b *builder) setFallbacks(c *class) {
	for t := range c.tiers {
		for i := range c.tiers[t].zones {
			choice := &c.tiers[t].zones[i]
			if choice.assigned >= minDemand/2 {
				b.setZoneFallbacks(c, choice)
			}
		}
	}
}

// setZoneFallbacks sets the fallbacks of one zone. The portions after a loss of the entire zone bound what
// each other zone receives from one lost VM, because all VMs of the zone are lost at once then. Callers whose second VM
// was lost with the zone make up the remainder of these portions.
func (b *builder) setZoneFallbacks(c *class, choice *zoneChoice) {
	lost := choice.zone
	vms := float64(len(b.snap.zones[lost].vms))
	zoneLoss := b.portionsAfter(c, lost, 1, nil)
	vmLoss := b.portionsAfter(c, lost, 1/vms, zoneLoss)
	choice.afterVM = zoneSharesOf(vmLoss)
	choice.afterZone = zoneSharesOf(subtractPortions(zoneLoss, vmLoss))
}

// portionsAfter returns where the callers of a part of a zone go once that part is lost: to the
// nearest zones, up to their free capacity at that time and up to bounds.
func (b *builder) portionsAfter(c *class, lost int32, part float64, bounds []portion) []portion {
	amount := b.assigned[lost] * part
	left := amount
	var portions []portion
	for t := range c.tiers {
		free, total := b.freeCapacityAfter(&c.tiers[t], lost, part, amount, bounds)
		given := min(left, total)
		for i, zoneFree := range free {
			if zoneFree > 0 && given > 0 {
				portions = append(portions, portion{c.tiers[t].zones[i].zone, given * zoneFree / total / amount})
			}
		}
		if left -= given; left <= amount*negligible {
			break
		}
	}
	return portions
}

// negligible is the fraction of an amount that may remain due to rounding.
const negligible = 1e-6

// freeCapacityAfter returns the free capacity of the zones of t, in requests/s, once part of a zone is lost and the
// limits of all VMs have risen accordingly. Each value is at most the portion of amount that bounds allows.
func (b *builder) freeCapacityAfter(
	t *tier, lost int32, part, amount float64, bounds []portion,
) (free []float64, total float64) {
	lostVMs := part * float64(len(b.snap.zones[lost].vms))
	all := float64(len(b.snap.entries))
	rise := all / max(1, all-lostVMs)
	free = make([]float64, len(t.zones))
	for i := range t.zones {
		z := t.zones[i].zone
		stays := 1.0
		if z == lost {
			stays = 1 - part
		}
		free[i] = max(0, stays*(b.snap.zones[z].capacity*rise-b.assigned[z]))
		if bounds != nil && z != lost {
			free[i] = min(free[i], amount*partOf(bounds, z))
		}
		total += free[i]
	}
	return free, total
}

func partOf(portions []portion, zone int32) float64 {
	i := slices.IndexFunc(portions, func(p portion) bool { return p.zone == zone })
	if i < 0 {
		return 0
	}
	return portions[i].fraction
}

// subtractPortions returns the portions of a less those of b, or a if nothing remains.
func subtractPortions(a, b []portion) []portion {
	var rest []portion
	for _, p := range a {
		if part := p.fraction - partOf(b, p.zone); part > negligible {
			rest = append(rest, portion{p.zone, part})
		}
	}
	if rest == nil {
		return a
	}
	return rest
}

func zoneSharesOf(portions []portion) []zoneShare {
	const all = 1<<32 - 1
	total := 0.0
	for _, p := range portions {
		total += p.fraction
	}
	shares := make([]zoneShare, len(portions))
	below := 0.0
	for i, p := range portions {
		below += p.fraction
		shares[i] = zoneShare{zone: p.zone, until: uint32(all * min(1, below/total))}
	}
	if len(shares) > 0 {
		shares[len(shares)-1].until = all
	}
	return shares
}

// pickShare returns the zone whose range contains hash, or -1 if there is none.
func pickShare(shares []zoneShare, hash uint32) int32 {
	for i := range shares {
		if hash <= shares[i].until {
			return shares[i].zone
		}
	}
	return -1
}
