package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/quota"
)

const (
	// quotaLeadDivisor is the lease term divided by the lead time. A new share does not include a grant that ends
	// within the lead time.
	quotaLeadDivisor = 12
	// When the process leaves, the shares are returned in returnTicks ticks at intervals of returnInterval: the process
	// needs a moment to reduce its use to the minimum, and the voters may be notified only after that.
	returnTicks    = 4
	returnInterval = leaveNoticeInterval / 6
)

// Budgets is the part of the fleet file that limits what the whole fleet may do together. If PollsPerReplica is 0,
// polls are unlimited. Retries are unlimited only if both RetriesPerRequest and RetriesPerSecond are 0.
type Budgets struct {
	// Floor is the fraction of each budget that is permanently and evenly divided among the configured members. The
	// voters lend the remaining fraction to active members according to their traffic. With a floor of 1 there is
	// nothing to lend.
	Floor float64 `json:"floor"`
	// PollsPerReplica is the number of load polls per second that all dispatchers together may send to one replica for
	// their own use.
	PollsPerReplica float64 `json:"probes_per_replica_s"`
	// RetriesPerRequest is the number of retries that all dispatchers together may make for each request.
	// RetriesPerSecond is the number of retries per second that they may make in addition.
	RetriesPerRequest float64 `json:"repeats_per_request"`
	RetriesPerSecond  float64 `json:"repeats_s"`
}

// QuotaUser applies this process's share of the budgets.
type QuotaUser interface {
	// Accepted returns the number of requests accepted so far.
	Accepted() int64
	// SetQuotaShare sets the process's share to a fraction of the whole budgets for the remaining time. It calls
	// applied once, when the share is in force, or returns false if it will not apply the share. It must not block.
	SetQuotaShare(fraction float64, remaining time.Duration, applied func()) bool
}

// QuotaStatus is this member's share of the budgets as shown to operators.
type QuotaStatus struct {
	Self          string  `json:"self"`
	Fraction      float64 `json:"part"`  // fraction of the whole budget in force now
	MinFraction   float64 `json:"least"` // fraction of the whole budget that this member always has
	RemainingS    float64 `json:"left_s"`
	Demand        float64 `json:"demand_s"`         // recent requests per second
	IsVoter       bool    `json:"lends"`            // whether this member is a voter
	Recovering    bool    `json:"mute,omitempty"`   // whether this voter grants nothing yet
	Outstanding   float64 `json:"lent,omitempty"`   // fraction of the whole budget granted by this voter
	Borrowers     int     `json:"asking,omitempty"` // number of members to which this voter has granted a share
	SharesApplied int64   `json:"offers"`           // number of shares that came into force
	Dropped       int64   `json:"dropped"`          // number of shares that the core had no capacity for
}

// quotaLimits returns the times and fractions by which the budgets are shared.
func (c *Config) quotaLimits() quota.Limits {
	term := c.leaseTerm
	return quota.Limits{Term: term, Margin: term / leaseMarginDivisor, Renew: term / leaseRenewDivisor,
		Lead: term / quotaLeadDivisor, Floor: c.Budgets.Floor, Members: len(c.Members), Voters: len(c.Voters)}
}

// MinFraction returns the fraction of each budget that this process has even if it reaches no other member, or 0 if
// there are no budgets.
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
	applier QuotaUser
	limits  quota.Limits
	applied atomic.Int64
	dropped atomic.Int64

	mu       sync.Mutex
	borrower *quota.Borrower
	voter    *quota.Voter // nil if this member is not a voter
	traffic  quota.Rate
	demand   float64 // requests per second
}

func newQuotaShares(n *Node, applier QuotaUser) *quotaShares {
	q := &quotaShares{node: n, applier: applier, limits: n.cfg.quotaLimits()}
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

// tick implements component. It applies a new share if there is one, and sends a claim if one is due.
func (q *quotaShares) tick(now time.Duration) {
	accepted := q.applier.Accepted()
	q.mu.Lock()
	q.demand = q.traffic.Observe(now, accepted)
	share, hasShare := q.borrower.NextShare(now)
	claim, hasClaim := q.borrower.Step(now, q.demand)
	q.mu.Unlock()
	if hasShare {
		q.applyShare(share)
	}
	if hasClaim {
		q.sendClaim(claim)
	}
}

// stop implements component. It returns the borrowed shares: it waits briefly until the core uses no more than the
// minimum, and notifies the voters. A grant expires if the voters do not receive the notice.
func (q *quotaShares) stop() {
	q.mu.Lock()
	q.borrower.ReturnAll()
	q.mu.Unlock()
	for range returnTicks {
		q.tick(q.node.now())
		time.Sleep(returnInterval)
	}
}

// applyShare makes the core use a share. The share is confirmed to the borrower only once it is in force.
func (q *quotaShares) applyShare(share quota.Share) {
	if q.node.isSelfRestricted() {
		share.Fraction = 0 // a smaller fraction than the granted one is always safe
	}
	confirm := func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.borrower.Confirm(share)
	}
	if q.applier.SetQuotaShare(share.Fraction, share.Until-q.node.now(), confirm) {
		q.applied.Add(1)
		return
	}
	q.dropped.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Discard()
}

// sendClaim sends a claim to all voters. If this member is a voter, its own voter is called directly.
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

// handleClaim handles a claim as a voter. It returns false if there is no grant to send.
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

// fraction returns the fraction of the whole budget that is in force now.
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

// QuotaFraction returns the fraction of the fleet's budgets that is in force at this process now, or false if budgets
// are not shared.
func (n *Node) QuotaFraction() (fraction float64, ok bool) {
	shares, ok := componentOf[*quotaShares](n)
	if !ok {
		return 0, false
	}
	return shares.fraction(), true
}

// QuotaStatus returns this process's share of the budgets for operators, or false if budgets are not shared.
func (n *Node) QuotaStatus() (s QuotaStatus, ok bool) {
	shares, ok := componentOf[*quotaShares](n)
	if !ok {
		return s, false
	}
	return shares.status(), true
}
