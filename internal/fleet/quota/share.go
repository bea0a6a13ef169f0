package quota

import "time"

// Share is a fraction to act by until a time, in the place of the previous one. Whoever acts by it calls
// Borrower.Confirm once it does.
type Share struct {
	Fraction float64       // of the whole, including the floor's part
	Until    time.Duration // from then on only the floor's part holds, unless another share has come
	seqs     map[string]uint64
}

// At is the share's fraction at a time; once the share has ended, at most minFraction, which a member has in any case.
func (s Share) At(now time.Duration, minFraction float64) float64 {
	if now < s.Until {
		return s.Fraction
	}
	return min(s.Fraction, minFraction)
}
