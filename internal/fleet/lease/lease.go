// Package lease decides who may carry out a duty: a member acts only under a lease that most of the configured voters
// have granted it, until its own clock says that they may have granted it to another. It does no I/O and has no clock.
//
// A voter grants a duty to one claimer at a time, for Term from when the claim came. A claimer counts each grant from
// when it sent the claim, for Term less Margin; it may act while most voters' grants last. Any two majorities share a
// voter, so two claimers may act at once only if that voter granted both, or if clocks ran apart by more than Margin in
// a Term. A voter that starts without memory grants nothing for Term and Margin: by then all that it may have
// granted has ended.
//
// Each lease has a number, higher than any that a voter of its majority has granted for the duty before. Whoever takes
// results passes over those with a lower number than it has seen (Fence), so that what a holder sent before its lease
// ended, and that came late, is not taken for news.
package lease

import (
	"maps"
	"slices"
	"time"
)

// Task is what one member does for all: the hash of its name.
type Task uint64

// Limits are the times of leases, the same at all members.
type Limits struct {
	Term   time.Duration // of a grant
	Margin time.Duration // by which a claimer stops earlier; more than clocks run apart in a Term
	Renew  time.Duration // between claims for the same duty
}

// Candidate is one life of a member: a later life of the same name is another claimer.
type Candidate struct {
	Name        string
	Incarnation uint64
}

// Claim asks for a duty, or for more time with it. Renew: the claimer holds it by most voters' grants as it sends this. So
// no other has held it since under a higher number, and a voter that had granted one to a claimer without a majority
// may join in: else the lease would rest on the voters of its first hour, and fall with one of them.
type Claim struct {
	Task  Task
	Token uint64
	Renew bool
}

// Request is what a claimer sends to each voter.
type Request struct {
	Seq      uint64 // of this claimer
	From     Candidate
	Claims   []Claim
	Releases []Claim
}

// Grant is a voter's yes, or no with the highest number that it has granted.
type Grant struct {
	Task         Task
	ClaimedToken uint64 // the number that was claimed
	Token        uint64
	Granted      bool
	// Remaining is how long the grant to another still runs.
	Remaining time.Duration
}

// Reply answers a Request. One that was meant for an earlier life of the same name is none to this one: the voter counts
// the grant for that life.
type Reply struct {
	Seq    uint64
	To     Candidate
	Voter  string
	Grants []Grant
}

// Voter grants duties. It is not safe for use by several goroutines at once.
type Voter struct {
	name   string
	limits Limits
	mute   time.Duration // it grants nothing before
	floor  uint64        // the highest number that others remember
	grants map[Task]*grant
}

type grant struct {
	to      Candidate
	number  uint64
	highest uint64 // number of all that were granted
	until   time.Duration
}

// NewVoter returns a voter that remembers nothing, and so waits until what an earlier life of it may have granted
// has ended.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{name: name, limits: limits, mute: now + limits.Term + limits.Margin, grants: map[Task]*grant{}}
}

// ObserveToken tells it of the highest number that another member has seen, so that numbers grow over its lives. A grant that
// it remembers keeps its own, or its holder could not renew it.
func (v *Voter) ObserveToken(number uint64) { v.floor = max(v.floor, number) }

// Recovering tells whether it still waits.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.mute }

// HandleRequest answers a request.
func (v *Voter) HandleRequest(now time.Duration, q Request) Reply {
	out := Reply{Seq: q.Seq, To: q.From, Voter: v.name}
	if v.Recovering(now) {
		return out
	}
	for _, c := range q.Releases {
		if g := v.grants[c.Task]; g != nil && g.to == q.From && g.number == c.Token {
			g.until = min(g.until, now)
		}
	}
	for _, c := range q.Claims {
		g := v.grants[c.Task]
		if g == nil {
			g = &grant{highest: v.floor}
			v.grants[c.Task] = g
		}
		same := g.to == q.From && g.number == c.Token
		if !same && (now < g.until || c.Token <= g.highest && !c.Renew) {
			out.Grants = append(out.Grants, Grant{Task: c.Task, ClaimedToken: c.Token, Token: g.highest, Remaining: max(g.until-now, 0)})
			continue
		}
		g.to, g.number, g.highest, g.until = q.From, c.Token, max(g.highest, c.Token), now+v.limits.Term
		out.Grants = append(out.Grants, Grant{Task: c.Task, ClaimedToken: c.Token, Token: c.Token, Granted: true})
	}
	return out
}

// Compact drops grants that ended long ago, of duties that are no more; it keeps the numbers.
func (v *Voter) Compact(now, age time.Duration) {
	maps.DeleteFunc(v.grants, func(_ Task, g *grant) bool {
		old := now-g.until > age
		if old {
			v.floor = max(v.floor, g.highest)
		}
		return old
	})
}

// Expired is a lease that ended, and why.
type Expired struct {
	Task   Task
	Token  uint64
	At     time.Duration
	Reason string
}

// Lease is a lease as operators see it.
type Lease struct {
	Task  Task
	Token uint64
	Since time.Duration
	Until time.Duration // by which it must be renewed
}

// Holder claims duties for one life of a member. It is not safe for use by several goroutines at once.
type Holder struct {
	self   Candidate
	limits Limits
	voters []string
	seq    uint64
	sent   map[uint64]time.Duration // requests that may still be answered
	duties map[Task]*claim
	seen   uint64 // the highest number of all
	lapsed *Expired
	drop   []Claim
	draw   func(n int64) int64
}

type claim struct {
	number uint64
	next   time.Duration            // when to claim again
	grants map[string]time.Duration // by voter: until when
	acting bool
	since  time.Duration
	noes   map[string]bool // voters that refused this try
	tries  int             // that failed in a row
}

// keepSent bounds the requests whose answers are waited for.
const keepSent = 64

// NewHolder returns a Holder; draw returns a number from 0 up to n, to spread claims that failed.
func NewHolder(self Candidate, voters []string, limits Limits, draw func(n int64) int64) *Holder {
	return &Holder{self: self, limits: limits, voters: slices.Clone(voters), sent: map[uint64]time.Duration{}, duties: map[Task]*claim{}, draw: draw}
}

// ObserveToken tells it of a number that another member has seen.
func (h *Holder) ObserveToken(number uint64) { h.seen = max(h.seen, number) }

// HighestToken is the highest number that it has heard of.
func (h *Holder) HighestToken() uint64 { return h.seen }

// SetWanted says which duties this member is to hold from now on. What it no longer wants it stops at once, and releases.
func (h *Holder) SetWanted(now time.Duration, duties map[Task]bool) {
	for d, c := range h.duties {
		if !duties[d] {
			if len(c.grants) > 0 {
				h.drop = append(h.drop, Claim{Task: d, Token: c.number})
			}
			if c.acting {
				h.lapsed = &Expired{d, c.number, now, "given to another"}
			}
			delete(h.duties, d)
		}
	}
	for d := range duties {
		if h.duties[d] == nil {
			h.duties[d] = &claim{next: now, grants: map[string]time.Duration{}, noes: map[string]bool{}}
		}
	}
}

// Step returns what is to be sent to each voter now; false: nothing.
func (h *Holder) Step(now time.Duration) (Request, bool) {
	q := Request{From: h.self, Releases: h.drop}
	h.drop = nil
	// In order, so that equal histories make equal requests.
	for _, d := range slices.Sorted(maps.Keys(h.duties)) {
		c := h.duties[d]
		if c.acting && !h.holds(now, c) {
			c.acting = false
			h.lapsed = &Expired{d, c.number, now, "not renewed by most voters in time"}
		}
		if now < c.next {
			continue
		}
		holds := h.holds(now, c)
		if !holds {
			if c.number > 0 && len(c.grants) > 0 {
				q.Releases = append(q.Releases, Claim{Task: d, Token: c.number}) // what a minority granted keeps others out
			}
			clear(c.grants)
			clear(c.noes)
			h.seen++
			c.number = h.seen
		}
		c.next = now + h.limits.Renew
		q.Claims = append(q.Claims, Claim{d, c.number, holds})
	}
	if len(q.Claims) == 0 && len(q.Releases) == 0 {
		return q, false
	}
	h.seq++
	q.Seq = h.seq
	h.sent[q.Seq] = now
	delete(h.sent, q.Seq-keepSent)
	return q, true
}

// HandleReply takes a voter's answer.
func (h *Holder) HandleReply(now time.Duration, r Reply) {
	sent, ok := h.sent[r.Seq]
	if !ok || r.To != h.self || !slices.Contains(h.voters, r.Voter) {
		return
	}
	for _, g := range r.Grants {
		h.seen = max(h.seen, g.Token)
		c := h.duties[g.Task]
		if c == nil || g.ClaimedToken != c.number { // given up, or of an earlier try: its claim came late
			if g.Granted {
				h.drop = append(h.drop, Claim{Task: g.Task, Token: g.ClaimedToken})
			}
			continue
		}
		if !g.Granted {
			if !h.holds(now, c) {
				h.refused(now, c, r.Voter, g)
			}
			continue
		}
		c.grants[r.Voter] = max(c.grants[r.Voter], sent+h.limits.Term-h.limits.Margin)
		if !c.acting && h.holds(now, c) {
			c.acting, c.since, c.tries = true, now, 0
		}
	}
}

// mostBackoff bounds how often the span is doubled from which failed claims draw their pause.
const mostBackoff = 3

// refused takes a voter's no. Once most voters can no longer say yes to this try, another holds the duty, and the next try
// comes before long, since it may be given back. Or the votes were split: then what a minority granted is given back at
// once, for it keeps all others out, and the next try comes at a time that is drawn from a span that doubles with each failure.
func (h *Holder) refused(now time.Duration, c *claim, voter string, g Grant) {
	c.noes[voter] = true
	if len(c.noes) < len(h.voters)-len(h.voters)/2 {
		return
	}
	wait, span := min(g.Remaining, h.limits.Renew), int64(h.limits.Renew)/2
	if len(c.grants) > 0 {
		h.drop = append(h.drop, Claim{Task: g.Task, Token: c.number})
		clear(c.grants)
		wait, span = 0, span<<min(c.tries, mostBackoff)
		c.tries++
	}
	c.next = now + wait + time.Duration(h.draw(span)+1)
	clear(c.noes)
}

// until is when the lease must be renewed: the time to which most voters' grants last.
func (h *Holder) until(c *claim) time.Duration {
	most := len(h.voters)/2 + 1
	if len(c.grants) < most {
		return 0
	}
	ends := slices.Sorted(maps.Values(c.grants))
	return ends[len(ends)-most]
}

func (h *Holder) holds(now time.Duration, c *claim) bool { return now < h.until(c) }

// Holds tells whether this member may carry out a duty at this very time, and under which number. It is to be asked
// directly before each act.
func (h *Holder) Holds(now time.Duration, d Task) (number uint64, ok bool) {
	c := h.duties[d]
	if c == nil || !h.holds(now, c) {
		return 0, false
	}
	return c.number, true
}

// Leases are the leases that it holds, by duty.
func (h *Holder) Leases(now time.Duration) []Lease {
	var out []Lease
	for _, d := range slices.Sorted(maps.Keys(h.duties)) {
		if c := h.duties[d]; h.holds(now, c) {
			out = append(out, Lease{d, c.number, c.since, h.until(c)})
		}
	}
	return out
}

// LastExpired is the lease that ended last; nil: none has.
func (h *Holder) LastExpired() *Expired { return h.lapsed }

// fenceFor is for how long a number holds after the last result under it. All members but this one may have lost what they knew, and
// numbers have begun anew; results of the earlier leases that still come so late are worth no more than their age.
const fenceFor = 10 * time.Second

// Fence passes over results of leases that another has followed.
type Fence struct{ seen map[Task]passed }

type passed struct {
	number uint64
	at     time.Duration
}

// Accept tells whether a result of a lease of that number is still news, and notes the number.
func (f *Fence) Accept(now time.Duration, d Task, number uint64) bool {
	if f.seen == nil {
		f.seen = map[Task]passed{}
	}
	if p := f.seen[d]; number < p.number && now-p.at < fenceFor {
		return false
	}
	f.seen[d] = passed{number, now}
	return true
}

// HighestToken is the highest number seen of any duty.
func (f *Fence) HighestToken() (n uint64) {
	for _, p := range f.seen {
		n = max(n, p.number)
	}
	return n
}

// Retain forgets all duties but those that are known.
func (f *Fence) Retain(known func(Task) bool) {
	maps.DeleteFunc(f.seen, func(d Task, _ passed) bool { return !known(d) })
}
