package lease

import (
	"maps"
	"time"
)

// Voter grants tasks to candidates. It is not safe for concurrent use.
type Voter struct {
	name            string
	limits          Limits
	recoveringUntil time.Duration // the voter grants nothing before this time
	minToken        uint64        // highest token that other members have seen, or that Compact has kept
	grants          map[Task]*grant
}

// grant is the last grant for a task. It ends at until, and is kept afterwards to record the highest token.
type grant struct {
	candidate    Candidate
	token        uint64
	highestToken uint64 // highest token granted for the task, and at least minToken at the first claim
	until        time.Duration
}

// NewVoter returns a voter without earlier state. It grants nothing until every grant that an earlier incarnation of it
// may have given has expired.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{
		name:            name,
		limits:          limits,
		recoveringUntil: now + limits.Term + limits.Margin,
		grants:          map[Task]*grant{},
	}
}

// ObserveToken records the highest token that another member has seen for any task, so that tokens keep growing across
// incarnations of the voter. It affects only tasks for which the voter has no recorded grant. The highest token of a
// recorded grant stays as it is, since it already covers every grant recorded for the task. If it were raised, the
// voter would refuse a new claim for the task only because the token of another task is higher.
func (v *Voter) ObserveToken(token uint64) { v.minToken = max(v.minToken, token) }

// Recovering reports whether the voter is still waiting for the grants of an earlier incarnation to expire.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.recoveringUntil }

// HandleRequest answers a request. While the voter is recovering, the reply contains no grants.
func (v *Voter) HandleRequest(now time.Duration, request Request) Reply {
	reply := Reply{Seq: request.Seq, To: request.From, Voter: v.name}
	if v.Recovering(now) {
		return reply
	}
	for _, c := range request.Releases {
		if g := v.grants[c.Task]; g != nil && g.candidate == request.From && g.token == c.Token {
			g.until = min(g.until, now)
		}
	}
	for _, c := range request.Claims {
		reply.Grants = append(reply.Grants, v.handleClaim(now, request.From, c))
	}
	return reply
}

// handleClaim grants or refuses one claim.
func (v *Voter) handleClaim(now time.Duration, from Candidate, c Claim) Grant {
	g := v.grants[c.Task]
	if g == nil {
		g = &grant{highestToken: v.minToken}
		v.grants[c.Task] = g
	}
	sameLease := g.candidate == from && g.token == c.Token
	grantUnexpired := now < g.until
	staleToken := c.Token <= g.highestToken && !c.Renew
	if !sameLease && (grantUnexpired || staleToken) {
		return Grant{
			Task:         c.Task,
			ClaimedToken: c.Token,
			Token:        g.highestToken,
			Remaining:    max(g.until-now, 0),
		}
	}
	g.candidate, g.token, g.highestToken = from, c.Token, max(g.highestToken, c.Token)
	g.until = now + v.limits.Term
	return Grant{Task: c.Task, ClaimedToken: c.Token, Token: c.Token, Granted: true}
}

// Compact drops the grants that expired more than age ago, which belong to tasks that no longer exist. It keeps their
// highest token in minToken.
func (v *Voter) Compact(now, age time.Duration) {
	maps.DeleteFunc(v.grants, func(_ Task, g *grant) bool {
		old := now-g.until > age
		if old {
			v.minToken = max(v.minToken, g.highestToken)
		}
		return old
	})
}
