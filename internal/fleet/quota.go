package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/quota"
)

const (
	// quotaLeadDivisor is by which part of its term before its end a grant is not counted on any more.
	quotaLeadDivisor = 12
	// On leaving the shares are returned in returnTicks ticks, returnInterval apart: the process needs a moment to
	// act by its minimum, and only then may the voters be notified.
	returnTicks    = 4
	returnInterval = leaveNoticeInterval / 6
)

// Budgets are what the whole fleet may do together, in the operator's file. A limit of 0 is none.
type Budgets struct {
	// Floor is the fraction of each budget that belongs to the configured members for good, evenly; the voters lend
	// the remaining fraction to active members, by their traffic. With 1 there is nothing to grant.
	Floor float64 `json:"floor"`
	// PollsPerReplica is how many load polls a second all dispatchers together may send to one replica for themselves.
	PollsPerReplica float64 `json:"probes_per_replica_s"`
	// RetriesPerRequest is how many retries all dispatchers together may make for each request, and RetriesPerSecond
	// how many a second on top of that.
	RetriesPerRequest float64 `json:"repeats_per_request"`
	RetriesPerSecond  float64 `json:"repeats_s"`
}

// QuotaUser is this process as one that acts by its share of the budgets.
type QuotaUser interface {
	// Accepted is how many requests it has accepted so far.
	Accepted() int64
	// SetQuotaShare makes it act by a fraction of the whole for a remaining time. It calls applied once, when it does;
	// false: it will not. It must not block.
	SetQuotaShare(fraction float64, remaining time.Duration, applied func()) bool
}

// QuotaStatus is this member's share of the budgets as operators are shown it.
type QuotaStatus struct {
	Self          string  `json:"self"`
	Fraction      float64 `json:"part"`  // of the whole, in force now
	MinFraction   float64 `json:"least"` // of the whole, for good
	RemainingS    float64 `json:"left_s"`
	Demand        float64 `json:"demand_s"`         // recent requests a second
	IsVoter       bool    `json:"lends"`            // this member is a voter
	Recovering    bool    `json:"mute,omitempty"`   // a voter that grants nothing yet
	Outstanding   float64 `json:"lent,omitempty"`   // granted by this voter, of the whole
	Borrowers     int     `json:"asking,omitempty"` // members that this voter has granted a share
	SharesApplied int64   `json:"offers"`           // shares that came into force
	Dropped       int64   `json:"dropped"`          // shares that the core had no capacity for
}

// quotaLimits are the times and fractions by which the budgets are shared.
func (c *Config) quotaLimits() quota.Limits {
	term := c.leaseTerm
	return quota.Limits{Term: term, Margin: term / leaseMarginDivisor, Renew: term / leaseRenewDivisor,
		Lead: term / quotaLeadDivisor, Floor: c.Budgets.Floor, Members: len(c.Members), Voters: len(c.Voters)}
}

// MinFraction is this process's fraction of each budget whatever it sees of the fleet; 0: there are no budgets.
func (c *Config) MinFraction() float64 {
	if c.Budgets == nil {
		return 0
	}
	return c.quotaLimits().MinFraction()
}

// quotaShares is the component that borrows this process's share of the budgets from the voters, and grants shares to
// others if this member is a voter.
type quotaShares struct {
	node    *Node
	user    QuotaUser
	limits  quota.Limits
	applied atomic.Int64
	dropped atomic.Int64

	mu       sync.Mutex
	borrower *quota.Borrower
	voter    *quota.Voter // nil: this member is none
	traffic  quota.Rate
	demand   float64 // requests a second
}

func newQuotaShares(n *Node, user QuotaUser) *quotaShares {
	q := &quotaShares{node: n, user: user, limits: n.cfg.quotaLimits()}
	self := quota.BorrowerID{Name: n.self.Name, Incarnation: uint64(n.startWall.UnixNano())}
	q.borrower = quota.NewBorrower(self, n.cfg.Voters, q.limits)
	if n.cfg.IsVoter(n.self.Name) {
		q.voter = quota.NewVoter(n.self.Name, q.limits, n.now())
	}
	return q
}

// handlers implements component.
func (q *quotaShares) handlers() map[byte]messageHandler {
	return map[byte]messageHandler{
		kindQuotaClaim: func(m peerMessage) { q.answerClaim(m.quotaClaim(q.node.cfg.Voters)) },
		kindQuotaGrant: func(m peerMessage) {
			to := quota.BorrowerID{Name: q.node.self.Name, Incarnation: m.incarnation}
			q.handleGrant(quota.Grant{To: to, Voter: m.from, Seq: m.seq, Fraction: m.fraction})
		},
	}
}

// tick implements component: it applies a new share and sends a claim, if either is due.
func (q *quotaShares) tick(now time.Duration) {
	accepted := q.user.Accepted()
	q.mu.Lock()
	q.demand = q.traffic.Observe(now, accepted)
	share, hasShare := q.borrower.NextShare(now)
	claim, hasClaim := q.borrower.Step(now, q.demand)
	q.mu.Unlock()
	if hasShare {
		q.apply(share)
	}
	if hasClaim {
		q.sendClaim(claim)
	}
}

// stop implements component: it returns what is borrowed. It waits a moment for the core to act by no more than the
// minimum, and notifies the voters; a grant that they do not know to be returned ends by itself.
func (q *quotaShares) stop() {
	q.mu.Lock()
	q.borrower.ReturnAll()
	q.mu.Unlock()
	for range returnTicks {
		q.tick(q.node.now())
		time.Sleep(returnInterval)
	}
}

// apply makes the core act by a share. The voters may count it only once it is in force.
func (q *quotaShares) apply(share quota.Share) {
	if q.node.isSelfRestricted() {
		share.Fraction = 0 // less than what was granted is safe at any time
	}
	confirm := func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.borrower.Confirm(share)
	}
	if q.user.SetQuotaShare(share.Fraction, share.Until-q.node.now(), confirm) {
		q.applied.Add(1)
		return
	}
	q.dropped.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Discard()
}

// sendClaim sends a claim to all voters; this member's own voter is called directly.
func (q *quotaShares) sendClaim(claim quota.Claim) {
	packet := encodeQuotaClaim(claim, q.node.cfg.Voters)
	for _, voter := range q.node.cfg.Voters {
		if voter != q.node.self.Name {
			q.node.send(voter, packet)
		} else if grant, ok := q.handleClaim(claim); ok {
			q.handleGrant(grant)
		}
	}
}

// handleClaim handles a claim as a voter; false: there is no answer.
func (q *quotaShares) handleClaim(claim quota.Claim) (quota.Grant, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.voter == nil {
		return quota.Grant{}, false
	}
	return q.voter.HandleClaim(q.node.now(), claim)
}

// answerClaim answers another member's claim.
func (q *quotaShares) answerClaim(claim quota.Claim) {
	if grant, ok := q.handleClaim(claim); ok {
		q.node.send(claim.From.Name, encodeQuotaGrant(grant))
	}
}

func (q *quotaShares) handleGrant(grant quota.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.HandleGrant(grant)
}

// fraction is the fraction of the whole that is in force now.
func (q *quotaShares) fraction() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.borrower.Fraction(q.node.now())
}

func (q *quotaShares) status() QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.now()
	s := QuotaStatus{Self: q.node.self.Name, Fraction: q.borrower.Fraction(now), MinFraction: q.limits.MinFraction(),
		RemainingS: max(q.borrower.Until()-now, 0).Seconds(), Demand: q.demand, IsVoter: q.voter != nil,
		SharesApplied: q.applied.Load(), Dropped: q.dropped.Load()}
	if q.voter != nil {
		s.Recovering = q.voter.Recovering(now)
		s.Outstanding, s.Borrowers = q.voter.Outstanding(now)
	}
	return s
}

// QuotaFraction is the fraction of the fleet's budgets that is in force at this process now; false: there are none.
func (n *Node) QuotaFraction() (fraction float64, ok bool) {
	shares, ok := componentOf[*quotaShares](n)
	if !ok {
		return 0, false
	}
	return shares.fraction(), true
}

// QuotaStatus is this process's share of the budgets, for operators; false: nothing is shared.
func (n *Node) QuotaStatus() (s QuotaStatus, ok bool) {
	shares, ok := componentOf[*quotaShares](n)
	if !ok {
		return s, false
	}
	return shares.status(), true
}
