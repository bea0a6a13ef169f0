// Package quota decides which part of what the whole fleet may do (calls, probes, repeats, a tenant's quota) is a member's
// at this time. It does no I/O and has no clock, so that a simulation drives the same code as the processes.
//
// The invariant: at any instant the parts that all processes act by add up to no more than 1. The whole is cut in two. Floor
// of it belongs to the configured names for good, evenly: whoever sees nobody has that. The rest is the pool, cut into one
// slice for each voter, which lends from its slice alone. So no two need to agree:
//
//   - A voter never has more out than its slice. A loan counts from when its claim came, for Term, at the largest of what the
//     borrower may still act by. It counts less only once the borrower has said that it acts by the smaller one: who is to
//     shrink does so before others grow.
//   - A borrower counts a loan from when it sent the claim, for Term less Margin, so that it stops before the voter may
//     lend it again, as long as clocks run apart by less than Margin in a Term. It says that it acts by a loan only
//     once it does (Applied), and takes no earlier one afterwards.
//   - A voter that starts without memory lends nothing for Term and Margin.
//
// What is lent and what is kept for good cannot be the same: a member that is cut off looks like one that is dead, so
// what it may use while it sees nobody can be lent to nobody. Floor is how that is settled.
package quota

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

// Limits are the times and parts of sharing, the same at all members.
type Limits struct {
	Term   time.Duration // of a loan
	Margin time.Duration // by which a borrower stops earlier; more than clocks run apart in a Term
	Renew  time.Duration // between claims
	Lead   time.Duration // a loan that ends sooner than this is not counted on any more
	// Floor is the part of the whole that is the configured members' for good, from 0 to 1.
	Floor   float64
	Members int // configured
	Voters  int
}

// Validate reports what cannot work.
func (l Limits) Validate() error {
	switch {
	case !(l.Floor >= 0 && l.Floor <= 1):
		return errors.New("share: the floor is not from 0 to 1")
	case l.Members < 1 || l.Voters < 0:
		return errors.New("share: no members")
	case l.Margin <= 0 || l.Renew <= 0 || l.Lead < 0 || l.Term < l.Margin+l.Lead+2*l.Renew:
		return errors.New("share: the term has no room for its margin, its lead and two claims")
	}
	return nil
}

// MinFraction is what a member has whatever it sees.
func (l Limits) MinFraction() float64 { return l.Floor / float64(l.Members) }

// slice is what one voter lends in all.
func (l Limits) slice() float64 {
	if l.Voters == 0 {
		return 0
	}
	return (1 - l.Floor) / float64(l.Voters)
}

// BorrowerID is one life of a member: a later life of the same name is another borrower.
type BorrowerID struct {
	Name        string
	Incarnation uint64
}

// Claim asks each voter for a loan, in the place of earlier ones.
type Claim struct {
	From   BorrowerID
	Seq    uint64  // grows with each claim of a life
	Demand float64 // what it has to do, in requests a second
	// InForce is the claim whose loan it acts by, for each voter that lent it one; it will act by no earlier one.
	InForce map[string]uint64
	// Leaving says that it acts by no loan any more, and wants none.
	Leaving bool
}

// Grant answers a claim.
type Grant struct {
	To       BorrowerID // an answer to an earlier life of the same name is none to this one
	Voter    string
	Seq      uint64  // of the claim
	Fraction float64 // of the whole
}

const (
	// evenPart is what each claimer's demand counts for besides its own, as a part of the mean: one that begins to be
	// asked for more has something to begin with.
	evenPart = 0.25
	// mostDemand bounds what a claimer may say that it has to do.
	mostDemand = 1e6
)

// Voter lends its slice. It is not safe for use by several goroutines at once.
type Voter struct {
	name   string
	limits Limits
	mute   time.Duration // it lends nothing before
	lives  map[BorrowerID]*borrower
	swept  time.Duration
	// Sums over lives. What has ended since the last sweep is still in out, so it errs to the safe side.
	out, demand float64
	asking      int
}

type borrower struct {
	seq    uint64 // of its last claim
	heard  time.Duration
	asks   bool // it is in the sums of who asks
	demand float64
	loans  []loan  // by seq; what it may act by
	out    float64 // the largest of them
}

type loan struct {
	seq   uint64
	part  float64
	until time.Duration
}

// NewVoter returns a voter that remembers nothing, and so waits until what an earlier life of it may have lent has ended.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{name: name, limits: limits, mute: now + limits.Term + limits.Margin, lives: map[BorrowerID]*borrower{}}
}

// Recovering tells whether it still waits.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.mute }

// sweep drops what has ended and forgets who asks no more, and sums up anew.
func (v *Voter) sweep(now time.Duration) {
	v.swept, v.out, v.demand, v.asking = now, 0, 0, 0
	for _, life := range slices.SortedFunc(maps.Keys(v.lives), byLife) { // in order, so that equal histories have equal sums
		b := v.lives[life]
		b.drop(now, 0)
		b.asks = b.asks && now-b.heard <= v.limits.Term
		if !b.asks && len(b.loans) == 0 && now-b.heard > v.limits.Term {
			delete(v.lives, life)
			continue
		}
		v.out += b.out
		if b.asks {
			v.demand += b.demand
			v.asking++
		}
	}
}

// Outstanding is what it has out, at the most that its borrowers may act by, and to how many.
func (v *Voter) Outstanding(now time.Duration) (sum float64, borrowers int) {
	v.sweep(now)
	return v.out, v.asking
}

// drop drops the loans that have ended, and those before the one that it acts by.
func (b *borrower) drop(now time.Duration, acts uint64) {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return now >= l.until || l.seq < acts })
	b.out = 0
	for _, l := range b.loans {
		b.out = max(b.out, l.part)
	}
}

// HandleClaim answers a claim; false: with nothing. A claim that a later one has overtaken changes nothing.
func (v *Voter) HandleClaim(now time.Duration, c Claim) (Grant, bool) {
	if !(c.Demand >= 0 && c.Demand <= mostDemand) {
		return Grant{}, false
	}
	if now-v.swept >= v.limits.Renew/2 {
		v.sweep(now)
	}
	b := v.lives[c.From]
	if b == nil {
		b = &borrower{}
		v.lives[c.From] = b
	}
	if c.Seq <= b.seq {
		return Grant{}, false
	}
	v.out -= b.out
	if b.asks {
		v.demand -= b.demand
		v.asking--
	}
	b.seq, b.heard, b.demand, b.asks = c.Seq, now, c.Demand, !c.Leaving
	if c.Leaving { // it acts by none
		b.loans, b.out = nil, 0
		return Grant{}, false
	}
	b.drop(now, c.InForce[v.name])
	v.demand += b.demand
	v.asking++
	if v.Recovering(now) { // who asks meanwhile counts from the first loan on, or the first to ask would get all
		return Grant{}, false
	}
	part := max(min(v.due(b), v.limits.slice()-v.out), 0)
	if part > 0 {
		b.loans = append(b.loans, loan{c.Seq, part, now + v.limits.Term})
		b.out = max(b.out, part)
	}
	v.out += b.out
	return Grant{c.From, v.name, c.Seq, part}, true
}

// due is what a borrower's demand earns it of the slice.
func (v *Voter) due(b *borrower) float64 {
	n := float64(v.asking)
	if v.demand <= 0 {
		return v.limits.slice() / n
	}
	return v.limits.slice() * (b.demand/v.demand + evenPart/n) / (1 + evenPart)
}

func byLife(a, b BorrowerID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Share is a part to act by until a time, in the place of the one before. Whoever acts by it tells Applied, once it does.
type Share struct {
	Fraction float64       // of the whole, the floor in it
	Until    time.Duration // from then on the part is the floor's, unless another offer has come
	acts     map[string]uint64
}

// Borrower claims for one life of a member. It is not safe for use by several goroutines at once.
type Borrower struct {
	self    BorrowerID
	voters  []string
	limits  Limits
	seq     uint64
	next    time.Duration
	sent    map[uint64]time.Duration
	loans   map[string]held   // the latest of each voter
	acts    map[string]uint64 // by the offer that is in force
	inForce Share
	waits   bool // an offer was handed out and is not applied yet
	leaving bool
	told    bool // that it leaves
}

type held struct {
	seq   uint64
	part  float64
	until time.Duration
}

// keepSent bounds the claims whose answers are waited for.
const keepSent = 32

// NewBorrower returns one that has the floor's part.
func NewBorrower(self BorrowerID, voters []string, limits Limits) *Borrower {
	return &Borrower{self: self, voters: slices.Clone(voters), limits: limits, sent: map[uint64]time.Duration{}, loans: map[string]held{}, acts: map[string]uint64{},
		inForce: Share{Fraction: limits.MinFraction()}}
}

// Step returns the claim that is to go to every voter now; false: none.
func (b *Borrower) Step(now time.Duration, demand float64) (Claim, bool) {
	if now < b.next || b.told {
		return Claim{}, false
	}
	b.next = now + b.limits.Renew
	b.seq++
	c := Claim{From: b.self, Seq: b.seq, Demand: min(max(demand, 0), mostDemand), InForce: maps.Clone(b.acts)}
	if b.leaving && !b.waits && b.inForce.Fraction == b.limits.MinFraction() {
		c.Leaving, b.told = true, true
	}
	b.sent[b.seq] = now
	delete(b.sent, b.seq-keepSent)
	return c, true
}

// HandleGrant takes a voter's answer.
func (b *Borrower) HandleGrant(l Grant) {
	sent, ok := b.sent[l.Seq]
	// An answer that a later one has overtaken is of no use: its voter may be told that the later one is acted by.
	if !ok || l.To != b.self || !slices.Contains(b.voters, l.Voter) || !(l.Fraction >= 0 && l.Fraction <= b.limits.slice()) || b.loans[l.Voter].seq >= l.Seq {
		return
	}
	b.loans[l.Voter] = held{l.Seq, l.Fraction, sent + b.limits.Term - b.limits.Margin}
}

// ReturnAll gives up all that is lent: the next offer is the floor's part, and once that is applied the voters are told.
func (b *Borrower) ReturnAll() { b.leaving, b.next = true, 0 }

// NextShare returns a part to act by, if it differs from the one in force or lasts longer; false: nothing new, or the last one
// is not applied yet. What comes of an offer is told by Applied or Dropped.
func (b *Borrower) NextShare(now time.Duration) (Share, bool) {
	if b.waits {
		return Share{}, false
	}
	o := Share{Fraction: b.limits.MinFraction(), acts: map[string]uint64{}}
	for _, voter := range slices.Sorted(maps.Keys(b.loans)) {
		l := b.loans[voter]
		o.acts[voter] = l.seq
		if b.leaving || l.until-now <= b.limits.Lead || l.part <= 0 {
			continue
		}
		o.Fraction += l.part
		if o.Until == 0 || l.until < o.Until {
			o.Until = l.until
		}
	}
	if maps.Equal(o.acts, b.acts) && o.Fraction == b.inForce.Fraction && o.Until == b.inForce.Until {
		return Share{}, false
	}
	b.waits = true
	return o, true
}

// Confirm says that an offer is acted by from now on.
func (b *Borrower) Confirm(o Share) { b.waits, b.inForce, b.acts = false, o, o.acts }

// Discard says that an offer never will be.
func (b *Borrower) Discard() { b.waits = false }

// Until is when what is acted by ends, unless it is renewed.
func (b *Borrower) Until() time.Duration { return b.inForce.Until }

// Fraction is what is acted by at a time.
func (b *Borrower) Fraction(now time.Duration) float64 {
	return b.inForce.At(now, b.limits.MinFraction())
}

// At is the offer's part at a time, or the least part that a member has whatever it sees, once the offer has ended.
func (o Share) At(now time.Duration, least float64) float64 {
	if now < o.Until {
		return o.Fraction
	}
	return min(o.Fraction, least)
}
