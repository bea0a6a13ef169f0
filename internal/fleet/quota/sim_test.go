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
	simSteps = flag.Int("share.steps", 20_000, "of 2 ms each")
)

const (
	simStep = 2 * time.Millisecond
	// tolerance is that of sums of fractions.
	tolerance = 1e-9
	// maxDemandDrawn bounds the drawn demand, in requests a second, of a member that is not hot.
	maxDemandDrawn = 40
)

var limits = Limits{
	Term:   1200 * time.Millisecond,
	Margin: 120 * time.Millisecond,
	Renew:  200 * time.Millisecond,
	Lead:   100 * time.Millisecond,
	Floor:  0.25,
}

// mutant is a fault built into the simulated code, which the checker has to catch.
type mutant struct {
	name          string
	firstSeed     uint64 // with which the fault shows soon, so that the test takes seconds
	growFirst     bool   // a grant counts for less before its borrower has reported that it shrank
	noExpiry      bool   // a share is acted by for good
	slicesByReach bool   // a voter cuts the pool by the voters that it reaches
	noRecovery    bool   // a voter that restarts without memory grants at once
	earlyConfirm  bool   // a borrower reports a share as in force when it is returned
	noMargin      bool
	noFloor       bool // the pool is the whole, whatever belongs to the members for good
}

// simNode is one member: a borrower, and a voter if it is one of the first.
type simNode struct {
	id          BorrowerID
	up          bool
	pausedUntil time.Duration // in true time
	clockRate   float64
	clockOffset time.Duration
	demand      float64
	borrower    *Borrower
	voter       *Voter
	share       Share         // that its limiter acts by
	next        *Share        // on its way to the limiter
	nextAt      time.Duration // when it arrives there
}

type simMessage struct {
	due      time.Duration
	from, to int
	claim    *Claim
	grant    *Grant
}

// sim plays members, voters, the network and the faults between them in simulated time.
type sim struct {
	rng      *rand.Rand
	mutant   mutant
	limits   Limits
	now      time.Duration
	nodes    []*simNode
	voters   []string
	cut      map[[2]int]bool // links that deliver nothing, by sender and receiver
	queue    []simMessage
	faultGap int     // mean number of steps between faults; 0: no faults
	maxSum   float64 // the largest sum of fractions so far
}

func newSim(seed uint64, members int, m mutant) *sim {
	s := &sim{
		rng:      rand.New(rand.NewPCG(seed, 0x5a)),
		mutant:   m,
		limits:   limits,
		cut:      map[[2]int]bool{},
		faultGap: []int{100, 300, 2000}[seed%3],
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
			demand:      maxDemandDrawn * s.rng.Float64(),
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

func (s *sim) running(n *simNode) bool { return n.up && s.now >= n.pausedUntil }

// fraction is what a node acts by now.
func (s *sim) fraction(n *simNode) float64 { return n.share.At(s.clock(n), s.limits.MinFraction()) }

// start starts a node anew; with memory, its voter goes on as it was.
func (s *sim) start(i int, memory bool) {
	n := s.nodes[i]
	n.up = true
	n.id.Incarnation++
	l := s.limits
	if s.mutant.noMargin {
		l.Margin = time.Nanosecond
	}
	n.borrower = NewBorrower(n.id, s.voters, l)
	n.share, n.next = Share{Fraction: l.MinFraction()}, nil
	if i >= len(s.voters) || n.voter != nil && memory {
		return
	}
	if s.mutant.noFloor {
		l.Floor = 0
	}
	n.voter = NewVoter(n.id.Name, l, s.clock(n))
	if s.mutant.noRecovery || s.now == 0 { // at the very start nothing can have been granted
		n.voter.recoveringUntil = 0
	}
}

// send loses, repeats, delays and reorders messages.
func (s *sim) send(m simMessage) {
	if s.cut[[2]int{m.from, m.to}] || s.faultGap > 0 && s.rng.IntN(20) == 0 {
		return
	}
	copies := 1 + s.rng.IntN(20)/19
	for range copies {
		m.due = s.now + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		if s.faultGap > 0 && s.rng.IntN(30) == 0 {
			m.due += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
		}
		s.queue = append(s.queue, m)
	}
}

// injectFault begins a fault, ends one, or changes a demand.
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
	case 4: // a partition into two sides, or cut in one direction only
		oneWay := s.rng.IntN(2) == 0
		s.partition(func(from int) bool { return !(oneWay && from%2 == 0) })
	case 5:
		clear(s.cut)
	default:
		n.demand = maxDemandDrawn * s.rng.Float64()
		if s.rng.IntN(3) == 0 {
			n.demand *= 8
		}
	}
}

// partition cuts the links between nodes of even and odd number, from the senders that are given.
func (s *sim) partition(senders func(from int) bool) {
	for from := range s.nodes {
		for to := range s.nodes {
			if from%2 != to%2 && senders(from) {
				s.cut[[2]int{from, to}] = true
			}
		}
	}
}

// sum is what all running processes act by at this instant, together.
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

// step plays simStep and returns the violation that it found; empty: none.
func (s *sim) step() string {
	s.now += simStep
	if s.faultGap > 0 && s.rng.IntN(s.faultGap) == 0 {
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
		return fmt.Sprintf("all together act by %.4f of the whole at %v", sum, s.now)
	}
	return ""
}

// takeDue takes the messages out of the queue that are due at a running node. Those to a paused node wait, and those to
// one that is down are lost.
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

// deliver hands a message to its receiver.
func (s *sim) deliver(m simMessage) {
	to := s.nodes[m.to]
	if m.grant != nil {
		to.borrower.HandleGrant(*m.grant)
		return
	}
	if s.mutant.slicesByReach {
		to.voter.limits.Voters = 0
		for v := range s.voters {
			if !s.cut[[2]int{v, m.to}] && s.nodes[v].up {
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

// runNode lets a node's limiter apply the share that has arrived there, and its borrower return shares and claim.
func (s *sim) runNode(i int, n *simNode) {
	now := s.clock(n)
	if n.next != nil && s.now >= n.nextAt {
		n.share = *n.next
		if !s.mutant.earlyConfirm {
			n.borrower.Confirm(*n.next)
		}
		n.next = nil
	}
	if n.next == nil {
		s.sendShareToLimiter(n, now)
	}
	if c, ok := n.borrower.Step(now, n.demand); ok {
		for v := range s.voters {
			s.send(simMessage{from: i, to: v, claim: &c})
		}
	}
}

// sendShareToLimiter sends a new share on its way, if there is one.
func (s *sim) sendShareToLimiter(n *simNode, now time.Duration) {
	share, ok := n.borrower.NextShare(now)
	if !ok {
		return
	}
	n.next, n.nextAt = &share, s.now+time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
	if s.faultGap > 0 && s.rng.IntN(50) == 0 { // its core is busy
		n.nextAt += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	}
	if s.mutant.earlyConfirm {
		n.borrower.Confirm(share)
	}
}

// play plays on for a time, and fails the test at a violation.
func (s *sim) play(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; {
		if violation := s.step(); violation != "" {
			t.Fatal(violation)
		}
	}
}

// simMembers is the size of the fleet for a seed.
func simMembers(seed uint64) int { return 5 + int(seed)%6 }

// Under kills, restarts with and without memory, pauses, partitions in both directions and in one, delay, loss, repeats,
// reordering, a limiter that applies late, and clocks 2% apart, the fractions never add up to more than the whole.
func TestSumOfFractionsNeverExceedsWhole(t *testing.T) {
	maxSum := 0.0
	for seed := range uint64(*simSeeds) {
		s := newSim(seed, simMembers(seed), mutant{})
		for range *simSteps {
			if violation := s.step(); violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
		}
		maxSum = max(maxSum, s.maxSum)
	}
	t.Logf("%d seeds of %d steps: at most %.4f of the whole was acted by", *simSeeds, *simSteps, maxSum)
	if maxSum < 0.9 {
		t.Errorf("at most %.2f of the whole was ever used", maxSum)
	}
}

// The same checker catches each fault that is built in.
func TestCheckerCatchesMutants(t *testing.T) {
	for _, m := range []mutant{
		{name: "grow before shrink", growFirst: true},
		{name: "share without expiry", noExpiry: true},
		{name: "slices by the voters within reach", slicesByReach: true},
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
