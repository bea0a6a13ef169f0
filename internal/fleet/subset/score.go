package subset

import "github.com/cespare/xxhash/v2"

// scoreSeed seeds the hash of pairs. All members must use the same seed.
const scoreSeed = 0x5ab5e7

// score returns the rendezvous score of a pair. Every process computes the same score.
func score(dispatcher, unit string) uint64 {
	h := xxhash.NewWithSeed(scoreSeed)
	h.WriteString(dispatcher) // never returns an error
	h.WriteString("\x00")
	h.WriteString(unit)
	return h.Sum64()
}

// mantissaBits is the precision of a float64.
const mantissaBits = 53

// roundingOffset returns the offset in [0, 1) for rounding the capacity of a unit. It depends only on the name of the
// unit.
func roundingOffset(unit string) float64 {
	return float64(score("", unit)>>(64-mantissaBits)) / (1 << mantissaBits)
}
