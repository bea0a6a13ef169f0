package quota

import (
	"math"
	"testing"
	"time"
)

// newSettledFleet is a fleet without faults but those that a test makes, played until it has settled. It has three
// voters.
func newSettledFleet(t *testing.T, members, up int) *sim {
	t.Helper()
	const seedOfThreeVoters = 2
	s := newSim(seedOfThreeVoters, members, mutant{})
	s.faultGap = 0
	for i, n := range s.nodes {
		n.up, n.demand = i < up, 30
	}
	s.play(t, 3*time.Second)
	return s
}

// checkEvenUse plays on and checks that the first members that are up use all that they may, in nearly equal parts.
func checkEvenUse(t *testing.T, s *sim, up int) {
	t.Helper()
	s.play(t, 2500*time.Millisecond)
	// The floor's part of members that are down is granted to no other.
	want := limits.Floor*float64(up)/float64(len(s.nodes)) + 1 - limits.Floor
	if sum := s.sum(); sum < want-0.02 {
		t.Errorf("%d of %d members act by %.3f, of %.3f that they may", up, len(s.nodes), sum, want)
	}
	mean := want / float64(up)
	for i, n := range s.nodes {
		if fraction := s.fraction(n); i < up && math.Abs(fraction-mean) > 0.15*mean {
			t.Errorf("member %d of %d acts by %.4f, the mean is %.4f", i, up, fraction, mean)
		}
	}
}

// 3 to 30 to 5 members within 30 s: the whole is used again soon after each change, evenly, and never exceeded.
func TestWholeIsUsedWhileFleetGrowsAndShrinks(t *testing.T) {
	s := newSettledFleet(t, 30, 3)
	checkEvenUse(t, s, 3)
	for i := 3; i < 30; i++ {
		s.start(i, false)
		s.play(t, 100*time.Millisecond)
	}
	checkEvenUse(t, s, 30)
	for i := 5; i < 30; i++ {
		s.nodes[i].up = false
		s.play(t, 100*time.Millisecond)
	}
	checkEvenUse(t, s, 5)
}

// In a partition into halves each side goes on by what its voters grant, and both use the whole again afterwards.
func TestEachSideOfPartitionUsesItsVotersSlices(t *testing.T) {
	s := newSettledFleet(t, 10, 10)
	s.partition(func(int) bool { return true })
	s.play(t, 4*time.Second)
	side := [2]float64{}
	for i, n := range s.nodes {
		side[i%2] += s.fraction(n)
	}
	// Voters n0 and n2 are on one side, n1 on the other.
	want := [2]float64{0.125 + 0.5, 0.125 + 0.25}
	if math.Abs(side[0]-want[0]) > 0.02 || math.Abs(side[1]-want[1]) > 0.02 {
		t.Errorf("the sides act by %.3f, want %.3f", side, want)
	}
	clear(s.cut)
	s.play(t, 2500*time.Millisecond)
	if sum := s.sum(); sum < 0.97 {
		t.Errorf("after the partition they act by %.3f", sum)
	}
}

// A member with eight times the mean demand soon has about eight times the fraction.
func TestHotMemberGetsFractionByItsDemand(t *testing.T) {
	s := newSettledFleet(t, 9, 9)
	s.nodes[7].demand = 8 * 30
	s.play(t, 1500*time.Millisecond)
	hot, other := s.nodes[7].share.At(s.clock(s.nodes[7]), 0), s.nodes[6].share.At(s.clock(s.nodes[6]), 0)
	if hot < 0.3 || other < 0.02 || s.sum() < 0.95 {
		t.Errorf("the hot member acts by %.3f, another by %.3f, all by %.3f", hot, other, s.sum())
	}
}

// A member that is cut off has the floor's part once its grants have ended, and the others then have what it gave up.
func TestMemberCutOffFallsToFloor(t *testing.T) {
	s := newSettledFleet(t, 4, 4)
	for i := range 3 {
		s.cut[[2]int{3, i}], s.cut[[2]int{i, 3}] = true, true
	}
	s.play(t, limits.Term)
	if fraction := s.fraction(s.nodes[3]); fraction != s.limits.MinFraction() {
		t.Errorf("cut off it acts by %.3f, not by %.3f", fraction, s.limits.MinFraction())
	}
	s.play(t, 2*time.Second)
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all act by %.3f", sum)
	}
}

// A member that shuts down gracefully returns its grants at once.
func TestLeavingMemberReturnsItsGrants(t *testing.T) {
	s := newSettledFleet(t, 4, 4)
	s.nodes[3].borrower.ReturnAll()
	s.play(t, 700*time.Millisecond) // less than a term
	if fraction := s.nodes[3].share.Fraction; fraction != s.limits.MinFraction() {
		t.Errorf("it still acts by %.3f", fraction)
	}
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all act by %.3f", sum)
	}
}
