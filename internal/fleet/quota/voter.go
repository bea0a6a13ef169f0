package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evenWeight is the weight of an equal division of the slice, next to a weight of 1 for the division by demand. So a
// member whose load has just begun has something to begin with.
const evenWeight = 0.25

// Voter grants fractions from its slice. It is not safe for concurrent use.
type Voter struct {
	name            string
	limits          Limits
	recoveringUntil time.Duration // it grants nothing before
	borrowers       map[BorrowerID]*borrower
	lastSweep       time.Duration
	// Sums over borrowers. Grants that ended since the last sweep are still in outstanding, which errs on the safe
	// side.
	outstanding float64
	demand      float64 // of the active ones
	active      int
}

// borrower is what a voter remembers of a Borrower.
type borrower struct {
	seq         uint64 // of its last claim
	lastClaim   time.Duration
	active      bool // it claims, and is counted in the voter's demand and active
	demand      float64
	grants      []outstandingGrant // by seq; it may act by any of them
	outstanding float64            // the largest of them
}

type outstandingGrant struct {
	seq      uint64
	fraction float64
	until    time.Duration
}

// NewVoter returns a voter without memory. It grants nothing until everything that an earlier incarnation of it may
// have granted has ended.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{
		name:            name,
		limits:          limits,
		recoveringUntil: now + limits.Term + limits.Margin,
		borrowers:       map[BorrowerID]*borrower{},
	}
}

// Recovering reports whether the voter still waits for the grants of an earlier incarnation to end.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.recoveringUntil }

// Outstanding is the fraction that is granted, at the most that the borrowers may act by, and the number of active
// borrowers.
func (v *Voter) Outstanding(now time.Duration) (sum float64, borrowers int) {
	v.sweep(now)
	return v.outstanding, v.active
}

// sweep drops grants that ended and borrowers that no longer claim, and computes the sums anew.
func (v *Voter) sweep(now time.Duration) {
	v.lastSweep, v.outstanding, v.demand, v.active = now, 0, 0, 0
	// In order, so that equal histories have equal sums.
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

// dropGrants drops the grants that ended, and those before the one that is in force.
func (b *borrower) dropGrants(now time.Duration, inForce uint64) {
	b.grants = slices.DeleteFunc(b.grants, func(g outstandingGrant) bool { return now >= g.until || g.seq < inForce })
	b.outstanding = 0
	for _, g := range b.grants {
		b.outstanding = max(b.outstanding, g.fraction)
	}
}

// HandleClaim answers a claim; false means that there is no answer. A claim that a later one has overtaken, or with a
// demand out of bounds, changes nothing.
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
	if c.Leaving { // it acts by no grant
		b.grants, b.outstanding = nil, 0
		return Grant{}, false
	}
	b.dropGrants(now, c.InForce[v.name])
	v.demand += b.demand
	v.active++
	// Claims count while the voter recovers, or the first borrower to claim afterwards would get the whole slice.
	if v.Recovering(now) {
		return Grant{}, false
	}
	return v.grant(now, b, c), true
}

// grant grants a borrower, whose own grants are not in v.outstanding, its part of what remains of the slice.
func (v *Voter) grant(now time.Duration, b *borrower, c Claim) Grant {
	fraction := max(min(v.fairFraction(b), v.limits.slice()-v.outstanding), 0)
	if fraction > 0 {
		b.grants = append(b.grants, outstandingGrant{c.Seq, fraction, now + v.limits.Term})
		b.outstanding = max(b.outstanding, fraction)
	}
	v.outstanding += b.outstanding
	return Grant{c.From, v.name, c.Seq, fraction}
}

// fairFraction is a borrower's part of the slice, by its part of the demand and by the number of active borrowers.
func (v *Voter) fairFraction(b *borrower) float64 {
	n := float64(v.active)
	if v.demand <= 0 {
		return v.limits.slice() / n
	}
	return v.limits.slice() * (b.demand/v.demand + evenWeight/n) / (1 + evenWeight)
}
