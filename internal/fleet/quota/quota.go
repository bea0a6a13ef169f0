// Package quota decides which fraction of a fleet-wide quota (calls, load polls, retries, a tenant's rate) a member may
// use now.
//
// Safety invariant: at any instant the fractions that all processes act by add up to no more than 1.
//
// The algorithm is escrow (O'Neil, "The escrow transactional method", 1986) under leases (Gray and Cheriton 1989): the
// quota is cut into parts that are granted for a time, and no two voters need to agree. Limits.Floor of the whole
// belongs to the configured members for good, in equal parts, and is what a member has that reaches no other. The rest
// is cut into one slice for each voter, which grants from its slice alone.
//
//   - A voter never has more outstanding than its slice. A grant counts from when its claim was received, for Term, at
//     the largest fraction that the borrower may still act by. It counts for less only once the borrower has reported
//     that it acts by the smaller one: members shrink before others grow.
//   - A borrower counts a grant from when it sent the claim, for Term less Margin, so that it stops before the voter
//     may grant it again, as long as clocks run apart by less than Margin within a Term. It reports a grant as in force
//     only once it acts by it (Borrower.Confirm), and never returns to an earlier one.
//   - A voter that starts without memory grants nothing for Term and Margin.
//
// What is granted and what belongs to members for good can't be the same part: a member that is cut off looks like
// one that is dead, so what it may use while it reaches no other can be granted to no other. Floor sets the trade-off.
//
// The package does no I/O and has no clock, so that a simulation drives the same code as the processes. Times are those
// of each process' own monotonic clock. Its types are not safe for concurrent use.
package quota

import (
	"errors"
	"time"
)

// minClaimsPerTerm is how many claims must fit into a term besides its margin and lead, so that one may be lost.
const minClaimsPerTerm = 2

// Limits are the times and fractions of the quota, the same at all members.
type Limits struct {
	Term   time.Duration // of a grant
	Margin time.Duration // by which a borrower stops earlier; more than clocks run apart within a Term
	Renew  time.Duration // between claims
	Lead   time.Duration // a grant that ends sooner than this is no longer counted on
	// Floor is the fraction of the whole that belongs to the configured members for good, from 0 to 1.
	Floor   float64
	Members int // configured
	Voters  int
}

// Validate returns an error if the limits can't work.
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

// MinFraction is what a member has even if it reaches no other.
func (l Limits) MinFraction() float64 { return l.Floor / float64(l.Members) }

// slice is what one voter may have outstanding, as a fraction of the whole.
func (l Limits) slice() float64 {
	if l.Voters == 0 {
		return 0
	}
	return (1 - l.Floor) / float64(l.Voters)
}

// BorrowerID is one incarnation of a member: a later incarnation of the same name is another borrower.
type BorrowerID struct {
	Name        string
	Incarnation uint64
}

// Claim asks each voter for a grant, in the place of earlier ones.
type Claim struct {
	From   BorrowerID
	Seq    uint64  // grows with each claim of a borrower
	Demand float64 // requests a second, up to maxDemand
	// InForce is the Seq of the claim whose grant the borrower acts by, for each voter that granted one. It will act
	// by no earlier one.
	InForce map[string]uint64
	// Leaving says that the borrower acts by no grant any more, and wants none.
	Leaving bool
}

// maxDemand bounds a claim's Demand.
const maxDemand = 1e6

// Grant answers a Claim.
type Grant struct {
	To       BorrowerID // another incarnation of the same name ignores it
	Voter    string
	Seq      uint64  // of the claim
	Fraction float64 // of the whole
}
