package lookup

import (
	"math"
	"math/bits"
)

// Sizes of the logarithm table.
const (
	logBits = 10
	logSize = 1 << logBits
)

// fractions holds ln(1+f) for the midpoint of each of logSize equal intervals of 0 <= f < 1.
var fractions = func() (table [logSize]float32) {
	for i := range table {
		table[i] = float32(math.Log1p((float64(i) + 0.5) / logSize))
	}
	return table
}()

// exponential returns -ln(u) with an error below 0.001, where u is the number between 0 and 1 that h represents.
// In weighted rendezvous hashing the candidate with the smallest value divided by its weight is chosen.
func exponential(h uint64) float32 {
	const all = 64
	h |= 1
	zeros := bits.LeadingZeros64(h)
	mantissa := h << (zeros + 1) >> (all - logBits)
	return float32(zeros+1)*math.Ln2 - fractions[mantissa]
}

// mix returns a hash of a and b, computed with the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fold returns a hash of a key that is already mixed and a salt that is itself a hash. As in wyhash, it
// multiplies their XOR by a constant and combines both halves of the product. It takes one multiplication.
func fold(key, salt uint64) uint64 {
	high, low := bits.Mul64(key^salt, 0xa0761d6478bd642f)
	return high ^ low
}
