package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rampspread/internal/testutil/simtest"
)

var (
	simSeeds = flag.Int("share.seeds", 4, "how many seeds the simulation of shares is run with")
	// stepsPerSeed is the number of steps that the simulation runs with each seed.
	stepsPerSeed = flag.Int("share.steps", 20_000, "of 2 ms each")
)

const (
	simStep = 2 * time.Millisecond
	// tolerance allows for rounding errors in sums of fractions.
	tolerance = 1e-9
	// maxRandomDemand bounds the random demand, in requests per second, of a member that is not hot.
	maxRandomDemand = 40
)

var limits = Limits{
	Term:   1200 * time.Millisecond,
	Margin: 120 * time.Millisecond,
	Renew:  200 * time.Millisecond,
	Lead:   100 * time.Millisecond,
	Floor:  0.25,
}

// mutant is a fault injected into the simulated code, which the checker must detect.
type mutant struct {
	name                    string
	firstSeed               uint64 // first seed to try; the fault shows soon after it, so that the test takes seconds
	growFirst               bool   // a grant counts with a smaller fraction before its borrower has reported that fraction
	noExpiry                bool   // a share is used without an end
	slicesByReachableVoters bool   // a voter computes its slice from the number of voters that it reaches
	noRecovery              bool   // a voter that restarts without its state grants at once
	earlyConfirm            bool   // a borrower reports a share as in force as soon as NextShare returns it
	noMargin                bool
	noFloor                 bool // voters grant from the whole quota, including the floor
}

// simNode is one member. It has a borrower and, if it is one of the first members, a voter.
type simNode struct {
	id          BorrowerID
	up          bool
	pausedUntil time.Duration // end of the pause, in simulated time
	clockRate   float64
	clockOffset time.Duration
	demand      float64
	borrower    *Borrower
	voter       *Voter
	share       Share         // share that the limiter of the node uses
	nextShare   *Share        // share on its way to the limiter
	nextShareAt time.Duration // when nextShare arrives at the limiter
}

// simMessage is a claim or a grant in transit.
type simMessage struct {
	due      time.Duration
	from, to int
	claim    *Claim
	grant    *Grant
}

// sim simulates members, voters, the network and its faults.
type sim struct {
	rng           *rand.Rand
	mutant        mutant
	limits        Limits
	now           time.Duration // simulated time; the clocks of the nodes deviate from it
	nodes         []*simNode
	voters        []string
	cutLinks      map[[2]int]bool // links that deliver nothing, by sender and receiver
	queue         []simMessage
	faultInterval int     // mean number of steps between faults; 0 disables faults
	maxSum        float64 // largest sum of the fractions in use so far
}

func newSim(seed uint64, members int, m mutant) *sim {
	s := &sim{
		rng:           rand.New(rand.NewPCG(seed, 0x5a)),
		mutant:        m,
		limits:        limits,
		cutLinks:      map[[2]int]bool{},
		faultInterval: []int{100, 300, 2000}[seed%3],
	}
	voters := 3 + 2*int(seed%2)
	s.limits.Members, s.limits.Voters = members, voters
	for i := range members {
		if i < voters {
			s.voters = append(s.voters, fmt.Sprint("n", i))
		}
		s.nodes = append(s.nodes, &simNode{
			id:          BorrowerID{Name: fmt.Sprint("n", i)},
			clockRate:   0.99 + 0.02*float64(s.rng.IntN(2)),
			clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
			demand:      maxRandomDemand * s.rng.Float64(),
		})
	}
	for i := range s.nodes {
		s.start(i, false)
	}
	return s
}

func (s *sim) clock(n *simNode) time.Duration {
	return n.clockOffset + time.Duration(float64(s.now)*n.clockRate)
}

// running reports whether a node is up and not paused.
func (s *sim) running(n *simNode) bool { return n.up && s.now >= n.pausedUntil }

// fraction returns the fraction of the quota that a node uses now.
func (s *sim) fraction(n *simNode) float64 {
	return n.share.FractionAt(s.clock(n), s.limits.MinFraction())
}

// start starts a new incarnation of a node. With keepVoter, its voter keeps its state.
func (s *sim) start(i int, keepVoter bool) {
	n := s.nodes[i]
	n.up = true
	n.id.Incarnation++
	l := s.limits
	if s.mutant.noMargin {
		l.Margin = time.Nanosecond
	}
	n.borrower = NewBorrower(n.id, s.voters, l)
	n.share, n.nextShare = Share{Fraction: l.MinFraction()}, nil
	if i >= len(s.voters) || n.voter != nil && keepVoter {
		return
	}
	if s.mutant.noFloor {
		l.Floor = 0
	}
	n.voter = NewVoter(n.id.Name, l, s.clock(n))
	if s.mutant.noRecovery || s.now == 0 { // no grant can exist when the simulation starts
		n.voter.recoveringUntil = 0
	}
}

// send queues a message, which it may lose, duplicate, delay or reorder.
func (s *sim) send(m simMessage) {
	if s.cutLinks[[2]int{m.from, m.to}] || s.faultInterval > 0 && s.rng.IntN(20) == 0 {
		return
	}
	copies := 1 + s.rng.IntN(20)/19
	for range copies {
		m.due = s.now + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		if s.faultInterval > 0 && s.rng.IntN(30) == 0 {
			m.due += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
		}
		s.queue = append(s.queue, m)
	}
}

// injectFault begins or ends a random fault, or changes a demand.
func (s *sim) injectFault() {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	switch s.rng.IntN(8) {
	case 0:
		n.up = false
	case 1, 2:
		s.start(i, s.rng.IntN(2) == 0)
	case 3:
		n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	case 4: // a partition into two sides, in both directions or only in one
		oneWay := s.rng.IntN(2) == 0
		s.partition(func(from int) bool { return !(oneWay && from%2 == 0) })
	case 5:
		clear(s.cutLinks)
	default:
		n.demand = maxRandomDemand * s.rng.Float64()
		if s.rng.IntN(3) == 0 {
			n.demand *= 8
		}
	}
}

// partition cuts each one-way link from a node that senders selects to a node whose index is odd where the sender's is
// even, or the reverse.
func (s *sim) partition(senders func(from int) bool) {
	for from := range s.nodes {
		for to := range s.nodes {
			if from%2 != to%2 && senders(from) {
				s.cutLinks[[2]int{from, to}] = true
			}
		}
	}
}

// sum returns the total fraction that all running processes use now.
func (s *sim) sum() (sum float64) {
	for _, n := range s.nodes {
		switch {
		case !n.up:
		case s.mutant.noExpiry:
			sum += n.share.Fraction
		default:
			sum += s.fraction(n)
		}
	}
	return sum
}

// step advances the simulation by simStep. It returns the violation that it found, or an empty string.
func (s *sim) step() string {
	s.now += simStep
	if s.faultInterval > 0 && s.rng.IntN(s.faultInterval) == 0 {
		s.injectFault()
	}
	for _, m := range s.takeDue() {
		s.deliver(m)
	}
	for i, n := range s.nodes {
		if s.running(n) {
			s.runNode(i, n)
		}
	}
	sum := s.sum()
	if s.maxSum = max(s.maxSum, sum); sum > 1+tolerance {
		return fmt.Sprintf("all members together use %.4f of the quota at %v", sum, s.now)
	}
	return ""
}

// takeDue removes the messages that are due at running nodes from the queue and returns them. Messages to a paused node
// stay in the queue, and due messages to a node that is down are lost.
func (s *sim) takeDue() []simMessage {
	var later, due []simMessage
	for _, m := range s.queue {
		if to := s.nodes[m.to]; m.due > s.now || to.up && !s.running(to) {
			later = append(later, m)
		} else if to.up {
			due = append(due, m)
		}
	}
	s.queue = later
	return due
}

// deliver passes a message to its receiver.
func (s *sim) deliver(m simMessage) {
	to := s.nodes[m.to]
	if m.grant != nil {
		to.borrower.HandleGrant(*m.grant)
		return
	}
	if s.mutant.slicesByReachableVoters {
		to.voter.limits.Voters = 0
		for v := range s.voters {
			if !s.cutLinks[[2]int{v, m.to}] && s.nodes[v].up {
				to.voter.limits.Voters++
			}
		}
	}
	g, ok := to.voter.HandleClaim(s.clock(to), *m.claim)
	if b := to.voter.borrowers[m.claim.From]; s.mutant.growFirst && b != nil && len(b.grants) > 1 {
		b.grants = b.grants[len(b.grants)-1:]
		to.voter.outstanding += b.grants[0].fraction - b.outstanding
		b.outstanding = b.grants[0].fraction
	}
	if ok {
		s.send(simMessage{from: m.to, to: m.from, grant: &g})
	}
}

// runNode lets the limiter of a node apply a share that has arrived, and lets the borrower return a new share and send
// a claim.
func (s *sim) runNode(i int, n *simNode) {
	now := s.clock(n)
	if n.nextShare != nil && s.now >= n.nextShareAt {
		n.share = *n.nextShare
		if !s.mutant.earlyConfirm {
			n.borrower.Confirm(*n.nextShare)
		}
		n.nextShare = nil
	}
	if n.nextShare == nil {
		s.sendShareToLimiter(n, now)
	}
	if c, ok := n.borrower.Step(now, n.demand); ok {
		for v := range s.voters {
			s.send(simMessage{from: i, to: v, claim: &c})
		}
	}
}

// sendShareToLimiter sends the next share, if there is one, to the limiter of a node with a random delay.
func (s *sim) sendShareToLimiter(n *simNode, now time.Duration) {
	share, ok := n.borrower.NextShare(now)
	if !ok {
		return
	}
	n.nextShare, n.nextShareAt = &share, s.now+time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
	if s.faultInterval > 0 && s.rng.IntN(50) == 0 { // the limiter is busy and applies the share late
		n.nextShareAt += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	}
	if s.mutant.earlyConfirm {
		n.borrower.Confirm(share)
	}
}

// advance runs the simulation for a duration, and fails the test at a violation.
func (s *sim) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; {
		if violation := s.step(); violation != "" {
			t.Fatal(violation)
		}
	}
}

// simMembers returns the size of the simulated fleet for a seed.
func simMembers(seed uint64) int { return 5 + int(seed)%6 }

// The fractions that all members use never add up to more than 1. The simulation has kills, restarts with and without
// the state of the voter, pauses, partitions in one and in both directions, delayed, lost, duplicated and reordered
// messages, a limiter that applies shares late, and clocks that run at rates 2% apart.
func TestSumOfFractionsNeverExceedsWhole(t *testing.T) {
	maxSum := 0.0
	for seed := range uint64(*simSeeds) {
		s := newSim(seed, simMembers(seed), mutant{})
		for range *stepsPerSeed {
			if violation := s.step(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
		maxSum = max(maxSum, s.maxSum)
	}
	t.Logf("%d seeds of %d steps: at most %.4f of the quota was used at a time", *simSeeds, *stepsPerSeed, maxSum)
	if maxSum < 0.9 {
		t.Errorf("at most %.2f of the quota was ever used", maxSum)
	}
}

// The checker of TestSumOfFractionsNeverExceedsWhole detects each injected fault.
func TestCheckerCatchesMutants(t *testing.T) {
	for _, m := range []mutant{
		{name: "grow before shrink", growFirst: true},
		{name: "share without expiry", noExpiry: true},
		{name: "slices by the voters within reach", slicesByReachableVoters: true},
		{name: "voter without recovery", noRecovery: true},
		{name: "share confirmed before it is in force", firstSeed: 20, earlyConfirm: true},
		{name: "margin zero", firstSeed: 70, noMargin: true},
		{name: "floor granted too", noFloor: true},
	} {
		simtest.RequireDetected(t, m.name, m.firstSeed, 100, func(seed uint64) string {
			return simtest.Run(10_000, newSim(seed, simMembers(seed), m).step)
		})
	}
}
