// Package quota decides which fraction of a fleet-wide quota (calls, load polls, retries, a tenant's rate) a member may
// use now.
//
// Safety invariant: at any time the fractions that all processes use add up to no more than 1.
//
// The algorithm is escrow (O'Neil, "The escrow transactional method", 1986) under leases (Gray and Cheriton 1989): the
// quota is divided into parts that are granted for a limited time, and no two voters need to agree. The fraction
// Limits.Floor of the quota belongs to the configured members permanently, in equal parts; a member that reaches no
// other member may use only its part of the floor. The rest is divided into one slice per voter, and each voter grants
// fractions only from its own slice.
//
//   - A voter never has more outstanding than its slice. A grant is outstanding for Term from the receipt of its claim,
//     with the largest fraction that the borrower may still use. It counts with a smaller fraction only once the
//     borrower has reported that it uses the smaller one: members shrink before others grow.
//   - A borrower counts a grant for Term minus Margin from the sending of the claim, so that it stops before the voter
//     may grant the fraction again, as long as clocks drift apart by less than Margin within a Term. It reports a grant
//     as in force only once it uses the grant (Borrower.Confirm), and never returns to an earlier one.
//   - A voter that starts without its earlier state grants nothing for Term plus Margin.
//
// The floor cannot be granted as well: a member that is cut off looks like a member that is dead, so the part that it
// may use while it reaches no other member must not be granted to another. Floor sets the trade-off between the two
// parts.
//
// The package does no I/O and has no clock, so that a simulation drives the same code as the processes. All times come
// from the process's own monotonic clock. The package's types are not safe for concurrent use.
package quota

import (
	"errors"
	"time"
)

// minClaimsPerTerm is the number of claims that must fit into a term in addition to its margin and lead, so that one
// claim may be lost.
const minClaimsPerTerm = 2

// Limits holds the durations and fractions of the quota protocol. All members use the same values.
type Limits struct {
	Term   time.Duration // duration of a grant
	Margin time.Duration // how much earlier than the voter a borrower stops; must exceed the clock drift within a Term
	Renew  time.Duration // interval between claims
	Lead   time.Duration // a new share does not include a grant that ends within this time
	// Floor is the fraction of the quota that permanently belongs to the configured members, from 0 to 1.
	Floor   float64
	Members int // number of configured members
	Voters  int // number of voters
}

// Validate returns an error if the limits are inconsistent or out of range.
func (l Limits) Validate() error {
	switch {
	case !(l.Floor >= 0 && l.Floor <= 1):
		return errors.New("share: the floor is not from 0 to 1")
	case l.Members < 1 || l.Voters < 0:
		return errors.New("share: no members")
	case l.Margin <= 0 || l.Renew <= 0 || l.Lead < 0 || l.Term < l.Margin+l.Lead+minClaimsPerTerm*l.Renew:
		return errors.New("share: the term has no room for its margin, its lead and two claims")
	}
	return nil
}

// MinFraction returns the fraction that a member may use even if it reaches no other member.
func (l Limits) MinFraction() float64 { return l.Floor / float64(l.Members) }

// sliceFraction returns the fraction of the quota that one voter may have outstanding.
func (l Limits) sliceFraction() float64 {
	if l.Voters == 0 {
		return 0
	}
	return (1 - l.Floor) / float64(l.Voters)
}

// BorrowerID identifies one incarnation of a member. A later incarnation of the same name is a different borrower.
type BorrowerID struct {
	Name        string
	Incarnation uint64
}

// Claim requests a grant from each voter, in place of the earlier grants.
type Claim struct {
	From   BorrowerID
	Seq    uint64  // increases with each claim of a borrower
	Demand float64 // requests per second, up to maxDemand
	// InForce holds, for each voter that granted a fraction, the Seq of the claim whose grant the borrower uses. The
	// borrower will use no earlier grant of that voter.
	InForce map[string]uint64
	// Leaving reports that the borrower uses no grants any more and requests none.
	Leaving bool
}

// maxDemand bounds a claim's Demand.
const maxDemand = 1e6

// Grant is the answer to a Claim.
type Grant struct {
	To       BorrowerID // other incarnations of the same name ignore the grant
	Voter    string
	Seq      uint64  // Seq of the claim
	Fraction float64 // fraction of the whole quota
}
