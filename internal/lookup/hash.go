package lookup

import (
	"math"
	"math/bits"
)

// Sizes of the table of logarithms.
const (
	logBits = 10
	logSize = 1 << logBits
)

// fractions holds ln(1+f) in the middle of each of logSize parts of 0 <= f < 1.
var fractions = func() (table [logSize]float32) {
	for i := range table {
		table[i] = float32(math.Log1p((float64(i) + 0.5) / logSize))
	}
	return table
}()

// exponential returns -ln(u) for the number u between 0 and 1 that h stands for, with an error
// below 0.001. Divided by a weight, the smallest of several is the weighted rendezvous choice.
func exponential(h uint64) float32 {
	const all = 64
	h |= 1
	zeros := bits.LeadingZeros64(h)
	mantissa := h << (zeros + 1) >> (all - logBits)
	return float32(zeros+1)*math.Ln2 - fractions[mantissa]
}

// mix returns a hash of a and b by the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fold returns a hash of a key that is already mixed and a salt that is itself a hash: both halves of
// their product with a constant, as in wyhash. It takes one multiplication.
func fold(key, salt uint64) uint64 {
	high, low := bits.Mul64(key^salt, 0xa0761d6478bd642f)
	return high ^ low
}
