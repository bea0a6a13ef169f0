package lease

import (
	"maps"
	"time"
)

// Voter grants tasks to candidates. It is not safe for concurrent use.
type Voter struct {
	name            string
	limits          Limits
	recoveringUntil time.Duration // it grants nothing before
	minToken        uint64        // the highest token that others know of
	grants          map[Task]*grant
}

// grant is a task's last grant. It ends at until, and remains as the memory of the highest token.
type grant struct {
	to           Candidate
	token        uint64
	highestToken uint64 // of all that were granted for the task
	until        time.Duration
}

// NewVoter returns a voter without memory. It grants nothing until everything that an earlier incarnation of it may
// have granted has expired.
func NewVoter(name string, limits Limits, now time.Duration) *Voter {
	return &Voter{
		name:            name,
		limits:          limits,
		recoveringUntil: now + limits.Term + limits.Margin,
		grants:          map[Task]*grant{},
	}
}

// ObserveToken notes the highest token that another member has seen, so that tokens grow over the voter's
// incarnations. A grant that the voter remembers keeps its own highest token, or its holder could not renew it.
func (v *Voter) ObserveToken(token uint64) { v.minToken = max(v.minToken, token) }

// Recovering reports whether the voter still waits for the grants of an earlier incarnation to expire.
func (v *Voter) Recovering(now time.Duration) bool { return now < v.recoveringUntil }

// HandleRequest answers a request; while the voter recovers, with no grants.
func (v *Voter) HandleRequest(now time.Duration, request Request) Reply {
	reply := Reply{Seq: request.Seq, To: request.From, Voter: v.name}
	if v.Recovering(now) {
		return reply
	}
	for _, c := range request.Releases {
		if g := v.grants[c.Task]; g != nil && g.to == request.From && g.token == c.Token {
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
	sameLease := g.to == from && g.token == c.Token
	grantedToOther := now < g.until
	staleToken := c.Token <= g.highestToken && !c.Renew
	if !sameLease && (grantedToOther || staleToken) {
		return Grant{
			Task:         c.Task,
			ClaimedToken: c.Token,
			Token:        g.highestToken,
			Remaining:    max(g.until-now, 0),
		}
	}
	g.to, g.token, g.highestToken = from, c.Token, max(g.highestToken, c.Token)
	g.until = now + v.limits.Term
	return Grant{Task: c.Task, ClaimedToken: c.Token, Token: c.Token, Granted: true}
}

// Compact drops grants that expired more than age ago, of tasks that no longer exist; their tokens are remembered.
func (v *Voter) Compact(now, age time.Duration) {
	maps.DeleteFunc(v.grants, func(_ Task, g *grant) bool {
		old := now-g.until > age
		if old {
			v.minToken = max(v.minToken, g.highestToken)
		}
		return old
	})
}
