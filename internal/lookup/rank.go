package lookup

import (
	"math"

	"github.com/azureflow/azureflow/internal/vm"
)

// Salts that make the choices from one key independent of each other.
const (
	tierSalt   = 0x74696572
	secondSalt = 0x7365636f
	thirdSalt  = 0x74686972
)

// rank fills d: first the best VM for key, then the one to use if that is lost, then one in
// another zone. Callers that spilled from a full tier get a VM of their nearest tier as the third: a request to which
// two distant VMs did not respond has no time left for another distant one.
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
	if at > 0 {
		third = c.tiers[0].choose(mix(key, thirdSalt)).zone
	}
	if third >= 0 {
		s.addFromZone(d, third, mix(key, thirdSalt))
	}
	for t := 0; t < len(c.tiers) && d.Count < MaxEntries; t++ {
		s.addFromTier(d, &c.tiers[t], key)
	}
}

// addSecond adds the VM to use if the first is lost. next is the second best VM in the zone of the first.
func (s *snapshot) addSecond(d *Decision, zone, second, next int32, key uint64) {
	if second == zone || second < 0 {
		s.add(d, next)
		return
	}
	s.addFromZone(d, second, mix(key, secondSalt))
}

// addFromZone adds a VM of a zone that d does not contain yet. Each VM is chosen for about the same number of keys.
func (s *snapshot) addFromZone(d *Decision, zone int32, key uint64) {
	vms := s.zones[zone].vms
	at := int(key % uint64(len(vms)))
	for range vms {
		if index := vms[at].index; !d.contains(s.entries[index].Name) {
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
			if !d.contains(s.entries[index].Name) {
				s.add(d, index)
			}
		}
	}
}

// tierOf returns the index of the tier whose hash range contains key, or -1 if c has no tiers.
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
	if len(t.zones) == 1 {
		return &t.zones[0]
	}
	least := uint64(math.MaxUint64)
	for i := range t.zones {
		z := &t.zones[i]
		least = min(least, packScore(exponential(fold(key, z.salt))*z.inverse, i))
	}
	return &t.zones[uint32(least)]
}

// packScore combines a score and an index in one number, so that the smallest number has the smallest score and
// is found without branches that the processor cannot predict.
func packScore(score float32, place int) uint64 {
	const placeBits = 32
	return uint64(math.Float32bits(score))<<placeBits | uint64(uint32(place))
}

// bestIn returns the best and the second best VM of a zone for key; second is -1 if the zone has only one VM.
func (s *snapshot) bestIn(zone int32, key uint64) (first, second int32) {
	z := &s.zones[zone]
	switch {
	case len(z.vms) == 1:
		return z.vms[0].index, -1
	case z.slots != nil:
		return z.fromSlots(fold(key, z.salt))
	case z.uniform:
		return z.bestOfEqual(key)
	}
	return z.best(key)
}

// best returns the best and the second best VM of z by weighted rendezvous hashing.
func (z *zone) best(key uint64) (first, second int32) {
	least, next := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for i := range z.vms {
		v := &z.vms[i]
		score := packScore(exponential(fold(key, v.salt))*v.inverse, i)
		next = min(next, max(least, score))
		least = min(least, score)
	}
	return z.vms[uint32(least)].index, z.vms[uint32(next)].index
}

// bestOfEqual is like best if all weights are equal: the order of the hashes is then the order of the scores.
func (z *zone) bestOfEqual(key uint64) (first, second int32) {
	const places = maxWeighedVMs - 1
	least, next := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for i := range z.vms {
		score := fold(key, z.vms[i].salt)&^places | uint64(i)
		next = min(next, max(least, score))
		least = min(least, score)
	}
	return z.vms[least&places].index, z.vms[next&places].index
}

// add appends a VM to d, unless index is negative or d already has MaxEntries.
func (s *snapshot) add(d *Decision, index int32) {
	if index < 0 || d.Count >= MaxEntries {
		return
	}
	d.Entries[d.Count] = s.entries[index]
	d.Count++
}

func (d *Decision) contains(name vm.Name) bool {
	for i := range d.Count {
		if d.Entries[i].Name == name {
			return true
		}
	}
	return false
}
