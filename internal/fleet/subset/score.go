package subset

import "github.com/cespare/xxhash/v2"

// scoreSeed seeds the hash of pairs. All members must use the same.
const scoreSeed = 0x5ab5e7

// score is the rendezvous score of a pair, the same at every process.
func score(dispatcher, unit string) uint64 {
	h := xxhash.NewWithSeed(scoreSeed)
	h.WriteString(dispatcher) // it cannot fail
	h.WriteString("\x00")
	h.WriteString(unit)
	return h.Sum64()
}

// float64Bits is the precision of a float64's mantissa.
const float64Bits = 53

// roundingOffset is what a unit's capacity is rounded with, from 0 up to 1, by the unit's name.
func roundingOffset(unit string) float64 {
	return float64(score("", unit)>>(64-float64Bits)) / (1 << float64Bits)
}
