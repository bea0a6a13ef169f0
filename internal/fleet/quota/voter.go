package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evenWeight is the weight of dividing the slice evenly, relative to a weight of 1 for dividing it by demand. The even
// part gives a member whose load has just begun a fraction to begin with.
const evenWeight = 0.25

// Voter grants fractions from its slice. It is not safe for concurrent use.
type Voter struct {
	name            string
	limits          Limits
	recoveringUntil time.Duration // the voter grants nothing before this time
	borrowers       map[BorrowerID]*borrower
	lastSweep       time.Duration
	// Sums over the borrowers. outstanding still includes grants that ended after the last sweep, so it may be too high
	// but never too low.
	outstanding float64
	demand      float64 // demand of the active borrowers
	active      int     // number of active borrowers
}

// borrower is a voter's record of a Borrower.
type borrower struct {
	seq         uint64        // Seq of the last claim
	lastClaim   time.Duration // when the last claim was received
	active      bool          // the borrower still claims, and is counted in the demand and active of the Voter
	demand      float64
	grants      []outstandingGrant // outstanding grants, sorted by seq; the borrower may use any of them
	outstanding float64            // largest fraction among the grants
}

// outstandingGrant is a voter's record of a Grant that its borrower may use.
type outstandingGrant struct {
	seq      uint64
	fraction float64
	until    time.Duration // time at which the grant ends
}

// NewVoter returns a voter without earlier state. It grants nothing until every grant that an earlier incarnation of it
// may have given has ended.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{
		name:            name,
		limits:          limits,
		recoveringUntil: now + limits.Term + limits.Margin,
		borrowers:       map[BorrowerID]*borrower{},
	}
}

// Recovering reports whether the voter is still waiting for the grants of an earlier incarnation to end.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.recoveringUntil }

// Outstanding returns the largest total fraction that the borrowers may use under this voter's grants, and the number
// of active borrowers.
func (v *Voter) Outstanding(now time.Duration) (sum float64, borrowers int) {
	v.sweep(now)
	return v.outstanding, v.active
}

// sweep drops the grants that have ended and the borrowers that no longer claim, and recomputes the sums.
func (v *Voter) sweep(now time.Duration) {
	v.lastSweep, v.outstanding, v.demand, v.active = now, 0, 0, 0
	// The borrowers are sorted, so that equal histories produce equal sums.
	for _, id := range slices.SortedFunc(maps.Keys(v.borrowers), compareIDs) {
		b := v.borrowers[id]
		b.dropGrants(now, 0)
		silent := now-b.lastClaim > v.limits.Term
		b.active = b.active && !silent
		if !b.active && len(b.grants) == 0 && silent {
			delete(v.borrowers, id)
			continue
		}
		v.outstanding += b.outstanding
		if b.active {
			v.demand += b.demand
			v.active++
		}
	}
}

func compareIDs(a, b BorrowerID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// dropGrants drops the grants that have ended, and the grants for claims before inForce, the Seq of the claim whose
// grant the borrower uses. With 0 it drops only the grants that have ended.
func (b *borrower) dropGrants(now time.Duration, inForce uint64) {
	b.grants = slices.DeleteFunc(b.grants, func(g outstandingGrant) bool { return now >= g.until || g.seq < inForce })
	b.outstanding = 0
	for _, g := range b.grants {
		b.outstanding = max(b.outstanding, g.fraction)
	}
}

// HandleClaim answers a claim, or returns false if there is no answer. It ignores a claim that arrives after a later
// one, and a claim whose demand is out of range.
func (v *Voter) HandleClaim(now time.Duration, c Claim) (Grant, bool) {
	if !(c.Demand >= 0 && c.Demand <= maxDemand) {
		return Grant{}, false
	}
	if now-v.lastSweep >= v.limits.Renew/2 {
		v.sweep(now)
	}
	b := v.borrowers[c.From]
	if b == nil {
		b = &borrower{}
		v.borrowers[c.From] = b
	}
	if c.Seq <= b.seq {
		return Grant{}, false
	}
	v.outstanding -= b.outstanding
	if b.active {
		v.demand -= b.demand
		v.active--
	}
	b.seq, b.lastClaim, b.demand, b.active = c.Seq, now, c.Demand, !c.Leaving
	if c.Leaving { // the borrower uses no grants any more
		b.grants, b.outstanding = nil, 0
		return Grant{}, false
	}
	b.dropGrants(now, c.InForce[v.name])
	v.demand += b.demand
	v.active++
	// Claims count during recovery too; otherwise the first borrower to claim after recovery would get the whole slice.
	if v.Recovering(now) {
		return Grant{}, false
	}
	return v.grant(now, b, c), true
}

// grant grants a borrower its fair fraction, or the rest of the slice if that is less. The caller has subtracted the
// borrower's own grants from v.outstanding.
func (v *Voter) grant(now time.Duration, b *borrower, c Claim) Grant {
	fraction := max(min(v.fairFraction(b), v.limits.sliceFraction()-v.outstanding), 0)
	if fraction > 0 {
		b.grants = append(b.grants, outstandingGrant{c.Seq, fraction, now + v.limits.Term})
		b.outstanding = max(b.outstanding, fraction)
	}
	v.outstanding += b.outstanding
	return Grant{c.From, v.name, c.Seq, fraction}
}

// fairFraction returns the fraction for a borrower, which depends on its part of the demand and on the number of active
// borrowers.
func (v *Voter) fairFraction(b *borrower) float64 {
	n := float64(v.active)
	if v.demand <= 0 {
		return v.limits.sliceFraction() / n
	}
	return v.limits.sliceFraction() * (b.demand/v.demand + evenWeight/n) / (1 + evenWeight)
}
