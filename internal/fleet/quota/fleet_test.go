package quota

import (
	"math"
	"testing"
	"time"
)

// newStableFleet returns a simulated fleet with three voters and without random faults, after its shares have become
// stable.
func newStableFleet(t *testing.T, members, up int) *sim {
	t.Helper()
	const seedOfThreeVoters = 2
	s := newSim(seedOfThreeVoters, members, mutant{})
	s.faultInterval = 0
	for i, n := range s.nodes {
		n.up, n.demand = i < up, 30
	}
	s.advance(t, 3*time.Second)
	return s
}

// checkEvenUse continues the simulation, and checks that the first up members use all that may be used, in nearly equal
// parts. Only these members may be up.
func checkEvenUse(t *testing.T, s *sim, up int) {
	t.Helper()
	s.advance(t, 2500*time.Millisecond)
	// The parts of the floor that belong to members that are down are not granted to other members.
	want := limits.Floor*float64(up)/float64(len(s.nodes)) + 1 - limits.Floor
	if sum := s.sum(); sum < want-0.02 {
		t.Errorf("%d of %d members use %.3f of the quota, and may use %.3f", up, len(s.nodes), sum, want)
	}
	mean := want / float64(up)
	for i, n := range s.nodes {
		if fraction := s.fraction(n); i < up && math.Abs(fraction-mean) > 0.15*mean {
			t.Errorf("member %d of %d uses %.4f of the quota, the mean is %.4f", i, up, fraction, mean)
		}
	}
}

// While the fleet grows from 3 to 30 members and shrinks to 5 within 30 s, the whole quota is used again soon after
// each change, evenly, and is never exceeded.
func TestWholeIsUsedWhileFleetGrowsAndShrinks(t *testing.T) {
	s := newStableFleet(t, 30, 3)
	checkEvenUse(t, s, 3)
	for i := 3; i < 30; i++ {
		s.start(i, false)
		s.advance(t, 100*time.Millisecond)
	}
	checkEvenUse(t, s, 30)
	for i := 5; i < 30; i++ {
		s.nodes[i].up = false
		s.advance(t, 100*time.Millisecond)
	}
	checkEvenUse(t, s, 5)
}

// In a partition into halves, each side uses what its own voters grant. After the partition, both sides together use
// the whole quota again.
func TestEachSideOfPartitionUsesItsVotersSlices(t *testing.T) {
	s := newStableFleet(t, 10, 10)
	s.partition(func(int) bool { return true })
	s.advance(t, 4*time.Second)
	side := [2]float64{}
	for i, n := range s.nodes {
		side[i%2] += s.fraction(n)
	}
	// Voters n0 and n2 are on one side, n1 on the other.
	want := [2]float64{0.125 + 0.5, 0.125 + 0.25}
	if math.Abs(side[0]-want[0]) > 0.02 || math.Abs(side[1]-want[1]) > 0.02 {
		t.Errorf("the sides use %.3f of the quota, want %.3f", side, want)
	}
	clear(s.cutLinks)
	s.advance(t, 2500*time.Millisecond)
	if sum := s.sum(); sum < 0.97 {
		t.Errorf("after the partition all members use %.3f of the quota", sum)
	}
}

// A member with eight times the demand of the others soon gets about eight times their fraction.
func TestHotMemberGetsFractionByItsDemand(t *testing.T) {
	s := newStableFleet(t, 9, 9)
	s.nodes[7].demand = 8 * 30
	s.advance(t, 1500*time.Millisecond)
	hot, other := s.nodes[7].share.FractionAt(s.clock(s.nodes[7]), 0), s.nodes[6].share.FractionAt(s.clock(s.nodes[6]), 0)
	if hot < 0.3 || other < 0.02 || s.sum() < 0.95 {
		t.Errorf("the hot member uses %.3f of the quota, another member %.3f, all members %.3f", hot, other, s.sum())
	}
}

// A member that is cut off may use only its part of the floor once its grants have ended. The other members then use
// what it gave up.
func TestMemberCutOffFallsToFloor(t *testing.T) {
	s := newStableFleet(t, 4, 4)
	for i := range 3 {
		s.cutLinks[[2]int{3, i}], s.cutLinks[[2]int{i, 3}] = true, true
	}
	s.advance(t, limits.Term)
	if fraction := s.fraction(s.nodes[3]); fraction != s.limits.MinFraction() {
		t.Errorf("the member that is cut off uses %.3f of the quota, want %.3f", fraction, s.limits.MinFraction())
	}
	s.advance(t, 2*time.Second)
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all members use %.3f of the quota", sum)
	}
}

// A member that shuts down gracefully returns its grants at once.
func TestLeavingMemberReturnsItsGrants(t *testing.T) {
	s := newStableFleet(t, 4, 4)
	s.nodes[3].borrower.ReturnAll()
	s.advance(t, 700*time.Millisecond) // less than a term
	if fraction := s.nodes[3].share.Fraction; fraction != s.limits.MinFraction() {
		t.Errorf("the leaving member still uses %.3f of the quota", fraction)
	}
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all members use %.3f of the quota", sum)
	}
}
