package lookup

import "github.com/azureflow/azureflow/internal/vm"

// Salts of the independent choices that are made from one key.
const (
	tierSalt   = 0x74696572
	secondSalt = 0x7365636f
	thirdSalt  = 0x74686972
)

// rank fills d: first the best VM for key, then the one to use when that is lost, then one in
// another zone.
func (s *snapshot) rank(d *Decision, c *class, key uint64) {
	at := c.tierOf(key)
	if at < 0 {
		return
	}
	if at > 0 && d.Reason == ReasonNearest {
		d.Reason = ReasonSpilled
	}
	choice := c.tiers[at].choose(key)
	first, next := s.bestIn(choice.zone, key)
	s.add(d, first)
	second := pickShare(choice.afterVM, uint32(mix(key, secondSalt)))
	s.addSecond(d, choice.zone, second, next, key)
	third := pickShare(choice.afterZone, uint32(mix(key, thirdSalt)))
	if third >= 0 {
		s.addOther(d, third, mix(key, thirdSalt))
	}
	for t := 0; t < len(c.tiers) && d.Count < MaxEntries; t++ {
		s.addFromTier(d, &c.tiers[t], key)
	}
}

// addSecond adds the VM that takes over when the first is lost: next is the runner-up in its zone.
func (s *snapshot) addSecond(d *Decision, zone, second, next int32, key uint64) {
	if second == zone || second < 0 {
		s.add(d, next)
		return
	}
	s.addOther(d, second, mix(key, secondSalt))
}

// addOther adds a VM of a zone that d does not name yet, each VM for about as many keys.
func (s *snapshot) addOther(d *Decision, zone int32, key uint64) {
	vms := s.zones[zone].vms
	at := int(key % uint64(len(vms)))
	for range vms {
		if index := vms[at].index; !d.names(s.entries[index].Name) {
			s.add(d, index)
			return
		}
		if at++; at == len(vms) {
			at = 0
		}
	}
}

// addFromTier adds VMs of the zones of t until d is full.
func (s *snapshot) addFromTier(d *Decision, t *tier, key uint64) {
	for i := 0; i < len(t.zones) && d.Count < MaxEntries; i++ {
		vms := s.zones[t.zones[i].zone].vms
		offset := int(key % uint64(len(vms)))
		for j := 0; j < len(vms) && d.Count < MaxEntries; j++ {
			index := vms[(offset+j)%len(vms)].index
			if !d.names(s.entries[index].Name) {
				s.add(d, index)
			}
		}
	}
}

// tierOf returns the tier that takes key, or -1.
func (c *class) tierOf(key uint64) int {
	hash := uint32(mix(key, tierSalt))
	for i := range c.tiers {
		if hash <= c.tiers[i].until {
			return i
		}
	}
	return len(c.tiers) - 1
}

// choose returns the best zone for key.
func (t *tier) choose(key uint64) *zoneChoice {
	best := &t.zones[0]
	if len(t.zones) == 1 {
		return best
	}
	least := exponential(fold(key, best.salt)) * best.inverse
	for i := 1; i < len(t.zones); i++ {
		z := &t.zones[i]
		if score := exponential(fold(key, z.salt)) * z.inverse; score < least {
			best, least = z, score
		}
	}
	return best
}

// bestIn returns the best VM of a zone for key, and the next best of its group; -1 for none.
func (s *snapshot) bestIn(zone int32, key uint64) (first, second int32) {
	g := s.zones[zone].choose(key)
	if g.uniform {
		return g.bestOfEqual(key)
	}
	return g.best(key)
}

func (g *group) best(key uint64) (first, second int32) {
	first, second = -1, -1
	var best, next float32
	for i := range g.vms {
		v := &g.vms[i]
		score := exponential(fold(key, v.salt)) * v.inverse
		switch {
		case first < 0 || score < best:
			second, next = first, best
			first, best = v.index, score
		case second < 0 || score < next:
			second, next = v.index, score
		}
	}
	return first, second
}

// bestOfEqual is best where all weights are the same: the order of the hashes is that of the scores.
func (g *group) bestOfEqual(key uint64) (first, second int32) {
	first, second = -1, -1
	var best, next uint64
	for i := range g.vms {
		v := &g.vms[i]
		score := fold(key, v.salt)
		switch {
		case first < 0 || score > best:
			second, next = first, best
			first, best = v.index, score
		case second < 0 || score > next:
			second, next = v.index, score
		}
	}
	return first, second
}

// choose returns the best group for key.
func (z *zone) choose(key uint64) *group {
	best := &z.groups[0]
	if len(z.groups) == 1 {
		return best
	}
	least := exponential(fold(key, best.salt)) * best.inverse
	for i := 1; i < len(z.groups); i++ {
		g := &z.groups[i]
		if score := exponential(fold(key, g.salt)) * g.inverse; score < least {
			best, least = g, score
		}
	}
	return best
}

// add adds a VM to d if there is one and room for it.
func (s *snapshot) add(d *Decision, index int32) {
	if index < 0 || d.Count >= MaxEntries {
		return
	}
	d.Entries[d.Count] = s.entries[index]
	d.Count++
}

func (d *Decision) names(name vm.Name) bool {
	for i := range d.Count {
		if d.Entries[i].Name == name {
			return true
		}
	}
	return false
}
