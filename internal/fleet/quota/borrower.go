package quota

import (
	"maps"
	"slices"
	"time"
)

// maxPendingClaims bounds the number of claims that still await answers.
const maxPendingClaims = 32

// Borrower claims fractions of the quota for one incarnation of a member. It is not safe for concurrent use.
//
// A share passes through these steps: NextShare returns it; the caller begins to use it and calls Confirm, or calls
// Discard if it will never use it; the next claims report the grants of the share as in force.
type Borrower struct {
	self        BorrowerID
	voters      []string
	limits      Limits
	seq         uint64                   // Seq of the last claim
	nextClaim   time.Duration            // time of the next claim
	pending     map[uint64]time.Duration // send times of the claims that may still be answered, by Seq
	grants      map[string]receivedGrant // latest grant of each voter
	inForce     Share
	inForceSeqs map[string]uint64 // Seqs of the claims whose grants are in force, by voter
	unconfirmed bool              // NextShare returned a share that is neither confirmed nor discarded yet
	leaving     bool              // ReturnAll was called
	leaveSent   bool              // Step has returned the last claim, which reports that the borrower is leaving
}

// receivedGrant is a borrower's record of a Grant.
type receivedGrant struct {
	seq      uint64
	fraction float64
	until    time.Duration // time at which the borrower stops using the grant, before the voter may grant it again
}

// NewBorrower returns a Borrower whose share in force is the member's part of the floor.
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

// Step returns the claim to send to every voter now, or false if there is none. demand is in requests per second.
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

// HandleGrant applies a voter's grant. It ignores a grant for an unknown claim or another incarnation, from a voter
// that is not configured, or with a fraction that is negative or larger than a slice. It also ignores a grant that
// arrives after a later grant of the same voter: this borrower may already have reported to the voter that the later
// one is in force.
func (b *Borrower) HandleGrant(g Grant) {
	sent, ok := b.pending[g.Seq]
	if !ok || g.To != b.self || !slices.Contains(b.voters, g.Voter) {
		return
	}
	inBounds := g.Fraction >= 0 && g.Fraction <= b.limits.sliceFraction()
	if !inBounds || b.grants[g.Voter].seq >= g.Seq {
		return
	}
	b.grants[g.Voter] = receivedGrant{g.Seq, g.Fraction, sent + b.limits.Term - b.limits.Margin}
}

// ReturnAll gives up all grants. The next share is the member's part of the floor; once that share is confirmed, the
// next claim notifies the voters.
func (b *Borrower) ReturnAll() { b.leaving, b.nextClaim = true, 0 }

// NextShare returns a share that differs from the one in force in its fraction, its end or its grants. It returns false
// if there is none, or while the last returned share is neither confirmed nor discarded. The caller must call Confirm
// or Discard for each returned share.
func (b *Borrower) NextShare(now time.Duration) (Share, bool) {
	if b.unconfirmed {
		return Share{}, false
	}
	next := b.shareFromGrants(now)
	if maps.Equal(next.claimSeqs, b.inForceSeqs) && next.Fraction == b.inForce.Fraction && next.Until == b.inForce.Until {
		return Share{}, false
	}
	b.unconfirmed = true
	return next, true
}

// shareFromGrants returns the share that adds up the member's part of the floor and the latest grants that last longer
// than Lead. While the borrower is leaving, the share is only the part of the floor.
func (b *Borrower) shareFromGrants(now time.Duration) Share {
	s := Share{Fraction: b.limits.MinFraction(), claimSeqs: map[string]uint64{}}
	for _, voter := range slices.Sorted(maps.Keys(b.grants)) {
		g := b.grants[voter]
		s.claimSeqs[voter] = g.seq
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

// Confirm records that a share is in use from now on.
func (b *Borrower) Confirm(s Share) { b.unconfirmed, b.inForce, b.inForceSeqs = false, s, s.claimSeqs }

// Discard records that the share last returned by NextShare will never be used.
func (b *Borrower) Discard() { b.unconfirmed = false }

// Until returns when the share in force ends unless it is renewed.
func (b *Borrower) Until() time.Duration { return b.inForce.Until }

// Fraction returns the fraction that the member may use at the time now.
func (b *Borrower) Fraction(now time.Duration) float64 {
	return b.inForce.FractionAt(now, b.limits.MinFraction())
}
