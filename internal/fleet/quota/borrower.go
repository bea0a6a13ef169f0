package quota

import (
	"maps"
	"slices"
	"time"
)

// maxPendingClaims bounds the claims whose answers are awaited.
const maxPendingClaims = 32

// Borrower claims for one incarnation of a member. It is not safe for concurrent use.
//
// A share passes through these steps: NextShare returns it, the caller begins to act by it and calls Confirm (or
// Discard if it never will), and the next claims report its grants as in force.
type Borrower struct {
	self        BorrowerID
	voters      []string
	limits      Limits
	seq         uint64
	nextClaim   time.Duration
	pending     map[uint64]time.Duration // when the claims were sent that may still be answered, by Seq
	grants      map[string]receivedGrant // the latest of each voter
	inForce     Share
	inForceSeqs map[string]uint64 // of the claims whose grants are in force, by voter
	unconfirmed bool              // a share was returned by NextShare and is not confirmed yet
	leaving     bool
	leaveSent   bool
}

type receivedGrant struct {
	seq      uint64
	fraction float64
	until    time.Duration
}

// NewBorrower returns a Borrower that has the floor's part.
func NewBorrower(self BorrowerID, voters []string, limits Limits) *Borrower {
	return &Borrower{
		self:        self,
		voters:      slices.Clone(voters),
		limits:      limits,
		pending:     map[uint64]time.Duration{},
		grants:      map[string]receivedGrant{},
		inForce:     Share{Fraction: limits.MinFraction()},
		inForceSeqs: map[string]uint64{},
	}
}

// Step returns the claim that is to be sent to every voter now; false means that there is none. Demand is in requests a
// second.
func (b *Borrower) Step(now time.Duration, demand float64) (Claim, bool) {
	if now < b.nextClaim || b.leaveSent {
		return Claim{}, false
	}
	b.nextClaim = now + b.limits.Renew
	b.seq++
	c := Claim{
		From:    b.self,
		Seq:     b.seq,
		Demand:  min(max(demand, 0), maxDemand),
		InForce: maps.Clone(b.inForceSeqs),
	}
	if b.leaving && !b.unconfirmed && b.inForce.Fraction == b.limits.MinFraction() {
		c.Leaving, b.leaveSent = true, true
	}
	b.pending[b.seq] = now
	delete(b.pending, b.seq-maxPendingClaims)
	return c, true
}

// HandleGrant takes a voter's grant. One to an unknown claim, to another incarnation, by an unconfigured voter or beyond
// a slice is ignored. So is one that a later grant has overtaken: its voter may have been notified that the later one
// is in force.
func (b *Borrower) HandleGrant(g Grant) {
	sent, ok := b.pending[g.Seq]
	if !ok || g.To != b.self || !slices.Contains(b.voters, g.Voter) {
		return
	}
	inBounds := g.Fraction >= 0 && g.Fraction <= b.limits.slice()
	if !inBounds || b.grants[g.Voter].seq >= g.Seq {
		return
	}
	b.grants[g.Voter] = receivedGrant{g.Seq, g.Fraction, sent + b.limits.Term - b.limits.Margin}
}

// ReturnAll gives up all that is granted: the next share is the floor's part, and once that is confirmed the voters are
// notified.
func (b *Borrower) ReturnAll() { b.leaving, b.nextClaim = true, 0 }

// NextShare returns a share that differs from the one in force in its fraction, its end or its grants; false means that
// there is none, or that the last one is not confirmed yet. The caller reports what becomes of it by Confirm or Discard.
func (b *Borrower) NextShare(now time.Duration) (Share, bool) {
	if b.unconfirmed {
		return Share{}, false
	}
	next := b.shareFromGrants(now)
	if maps.Equal(next.seqs, b.inForceSeqs) && next.Fraction == b.inForce.Fraction && next.Until == b.inForce.Until {
		return Share{}, false
	}
	b.unconfirmed = true
	return next, true
}

// shareFromGrants adds up the floor's part and the latest grants that last for longer than Lead.
func (b *Borrower) shareFromGrants(now time.Duration) Share {
	s := Share{Fraction: b.limits.MinFraction(), seqs: map[string]uint64{}}
	for _, voter := range slices.Sorted(maps.Keys(b.grants)) {
		g := b.grants[voter]
		s.seqs[voter] = g.seq
		if b.leaving || g.until-now <= b.limits.Lead || g.fraction <= 0 {
			continue
		}
		s.Fraction += g.fraction
		if s.Until == 0 || g.until < s.Until {
			s.Until = g.until
		}
	}
	return s
}

// Confirm records that a share is acted by from now on.
func (b *Borrower) Confirm(s Share) { b.unconfirmed, b.inForce, b.inForceSeqs = false, s, s.seqs }

// Discard records that the last share of NextShare will never be acted by.
func (b *Borrower) Discard() { b.unconfirmed = false }

// Until is when the share in force ends, unless it is renewed.
func (b *Borrower) Until() time.Duration { return b.inForce.Until }

// Fraction is the fraction that is acted by at a time.
func (b *Borrower) Fraction(now time.Duration) float64 {
	return b.inForce.At(now, b.limits.MinFraction())
}
