package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/quota"
)

// Budgets are what the whole fleet may do together, in the operator's file. A limit of 0 is none.
type Budgets struct {
	// Floor is the part of each budget that is the configured members' for good, evenly; the voters lend the rest to those
	// that are there, by their traffic. With 1 nothing is lent.
	Floor float64 `json:"floor"`
	// PollsPerReplica is how often a second dispatchers may ask one replica for its load for themselves, all together.
	PollsPerReplica float64 `json:"probes_per_replica_s"`
	// RetriesPerRequest is how many steps of a request may be taken again after a failure, for each request, and Spare how many in
	// a second besides, all together.
	RetriesPerRequest float64 `json:"repeats_per_request"`
	RetriesPerSecond  float64 `json:"repeats_s"`
}

// QuotaUser is this process as one that acts by a part of the whole.
type QuotaUser interface {
	// Accepted is how many requests it has taken so far.
	Accepted() int64
	// SetQuotaShare acts by a part until left has passed, and then calls applied, once; false: it will not. It must not block.
	SetQuotaShare(part float64, left time.Duration, applied func()) bool
}

// QuotaStatus is what operators are shown of this member's part.
type QuotaStatus struct {
	Self        string  `json:"self"`
	Fraction    float64 `json:"part"` // of the whole, acted by now
	MinFraction float64 `json:"least"`
	RemainingS  float64 `json:"left_s"`
	Demand      float64 `json:"demand_s"`         // requests a second of late
	IsVoter     bool    `json:"lends"`            // it is a voter,
	Recovering  bool    `json:"mute,omitempty"`   // that lends nothing yet
	Outstanding float64 `json:"lent,omitempty"`   // by it, of the whole
	Borrowers   int     `json:"asking,omitempty"` // members that it lends to
	Shares      int64   `json:"offers"`           // parts that came to be acted by
	Dropped     int64   `json:"dropped"`          // that the core had no room for
}

// limits are the times and parts by which a file's budgets are shared.
func (c *Config) limits() quota.Limits {
	return quota.Limits{Term: c.term, Margin: c.term / 10, Renew: c.term / 6, Lead: c.term / 12, Floor: c.Budgets.Floor,
		Members: len(c.Members), Voters: len(c.Voters)}
}

// MinFraction is what this process may do of each budget whatever it sees; 0: there are no budgets.
func (c *Config) MinFraction() float64 {
	if c.Budgets == nil {
		return 0
	}
	return c.limits().MinFraction()
}

// shares claims this process's part of the budgets from the voters, and lends if it is one.
type shares struct {
	node    *Node
	to      QuotaUser
	limits  quota.Limits
	offers  atomic.Int64
	dropped atomic.Int64

	mu       sync.Mutex
	borrower *quota.Borrower
	voter    *quota.Voter // nil: not one
	traffic  quota.Rate
	demand   float64
}

func newShares(n *Node, to QuotaUser) *shares {
	s := &shares{node: n, to: to, limits: n.cfg.limits()}
	s.borrower = quota.NewBorrower(quota.BorrowerID{Name: n.self.Name, Incarnation: uint64(n.wall.UnixNano())}, n.cfg.Voters, s.limits)
	if slices.Contains(n.cfg.Voters, n.self.Name) {
		s.voter = quota.NewVoter(n.self.Name, s.limits, n.now())
	}
	return s
}

// step is one look at what is to be claimed and acted by.
func (s *shares) step(now time.Duration) {
	taken := s.to.Accepted()
	s.mu.Lock()
	s.demand = s.traffic.Observe(now, taken)
	o, offered := s.borrower.NextShare(now)
	c, claims := s.borrower.Step(now, s.demand)
	s.mu.Unlock()
	if offered {
		s.apply(o)
	}
	if !claims {
		return
	}
	packet := encodeQuotaClaim(c, s.node.cfg.Voters)
	for _, voter := range s.node.cfg.Voters {
		if voter != s.node.self.Name {
			s.node.send(voter, packet)
		} else if l, ok := s.lend(c); ok {
			s.take(l)
		}
	}
}

// apply hands an offer on. Only once it is acted by may the voters count it.
func (s *shares) apply(o quota.Share) {
	settle := func(f func(b *quota.Borrower)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		f(s.borrower)
	}
	if n := s.node.stragglers; n != nil && n.restricted.Load() {
		o.Fraction = 0 // less than what was lent is safe at any time
	}
	if s.to.SetQuotaShare(o.Fraction, o.Until-s.node.now(), func() { settle(func(b *quota.Borrower) { b.Confirm(o) }) }) {
		s.offers.Add(1)
		return
	}
	s.dropped.Add(1)
	settle((*quota.Borrower).Discard)
}

// lend answers a claim as a voter; false: with nothing.
func (s *shares) lend(c quota.Claim) (quota.Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.voter == nil {
		return quota.Grant{}, false
	}
	return s.voter.HandleClaim(s.node.now(), c)
}

// answer answers another member's claim.
func (s *shares) answer(c quota.Claim) {
	if l, ok := s.lend(c); ok {
		s.node.send(c.From.Name, encodeQuotaGrant(l))
	}
}

func (s *shares) take(l quota.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.HandleGrant(l)
}

// end gives back what was lent: this process goes. It waits for a moment for the core to act by no more than the least part,
// and tells the voters; what is not told ends by itself.
func (s *shares) end() {
	s.mu.Lock()
	s.borrower.ReturnAll()
	s.mu.Unlock()
	for range 4 {
		s.step(s.node.now())
		time.Sleep(goodbyeWait / 6)
	}
}

// part is what this process acts by now.
func (s *shares) part() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrower.Fraction(s.node.now())
}

func (s *shares) status() QuotaStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.now()
	out := QuotaStatus{Self: s.node.self.Name, Fraction: s.borrower.Fraction(now), MinFraction: s.limits.MinFraction(), Demand: s.demand, IsVoter: s.voter != nil,
		RemainingS: max(s.borrower.Until()-now, 0).Seconds(), Shares: s.offers.Load(), Dropped: s.dropped.Load()}
	if s.voter != nil {
		out.Recovering = s.voter.Recovering(now)
		out.Outstanding, out.Borrowers = s.voter.Outstanding(now)
	}
	return out
}

// QuotaFraction is the part of the fleet's budgets that this process acts by now; false: there are none.
func (n *Node) QuotaFraction() (part float64, ok bool) {
	if n.shares == nil {
		return 0, false
	}
	return n.shares.part(), true
}

// QuotaStatus is this process's part, for operators; false: nothing is shared.
func (n *Node) QuotaStatus() (s QuotaStatus, ok bool) {
	if n.shares == nil {
		return s, false
	}
	return n.shares.status(), true
}
