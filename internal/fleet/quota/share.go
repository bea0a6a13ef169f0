package quota

import "time"

// Share is the fraction that a member may use until a given time, in place of the previous share. A caller that begins
// to use the share must call Borrower.Confirm.
type Share struct {
	Fraction  float64           // fraction of the quota, including the member's part of the floor
	Until     time.Duration     // end of the share; afterwards only the part of the floor may be used
	claimSeqs map[string]uint64 // by voter, Seq of the claim that the voter's latest grant answers
}

// FractionAt returns the fraction that may be used at the time now. Once the share has ended, this is at most
// minFraction, which a member may use in any case.
func (s Share) FractionAt(now time.Duration, minFraction float64) float64 {
	if now < s.Until {
		return s.Fraction
	}
	return min(s.Fraction, minFraction)
}
