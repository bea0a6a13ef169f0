package quota

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rampspread/internal/testkit/play"
)

var (
	simSeeds = flag.Int("share.seeds", 4, "how many seeds the simulation of shares is run with")
	simSteps = flag.Int("share.steps", 20_000, "of 2 ms each")
)

const slack = 1e-9 // of sums of parts

var limits = Limits{Term: 1200 * time.Millisecond, Margin: 120 * time.Millisecond, Renew: 200 * time.Millisecond, Lead: 100 * time.Millisecond, Floor: 0.25}

// mutant is a fault built into the code under test, which the checker has to catch.
type mutant struct {
	name      string
	first     uint64 // seed to begin with, so that the test takes seconds
	growFirst bool   // a loan counts for less before its borrower has said that it shrank
	noEnd     bool   // a part is acted by for good
	minority  bool   // a voter cuts the pool by the voters that it sees
	forgetful bool   // a voter that starts again lends at once
	soon      bool   // a borrower says that it acts by an offer when it is handed out
	noMargin  bool
	noFloor   bool // the pool is the whole, whatever is kept for good
}

type simNode struct {
	life   BorrowerID
	up     bool
	paused time.Duration // until, in true time
	rate   float64       // of its clock
	offset time.Duration
	demand float64
	b      *Borrower
	voter  *Voter
	acts   Share  // what its module acts by
	coming *Share // on its way to the module,
	at     time.Duration
}

type simMessage struct {
	due      time.Duration
	from, to int
	claim    *Claim
	loan     *Grant
}

// sim plays members, voters, the network and the faults between them in simulated time.
type sim struct {
	rng    *rand.Rand
	m      mutant
	limits Limits
	now    time.Duration
	nodes  []*simNode
	names  []string
	cut    map[[2]int]bool
	queue  []simMessage
	calm   int
	most   float64 // the largest sum
}

func (s *sim) clock(n *simNode) time.Duration { return n.offset + time.Duration(float64(s.now)*n.rate) }

func (s *sim) start(i int, memory bool) {
	n := s.nodes[i]
	n.up = true
	n.life.Incarnation++
	l := s.limits
	if s.m.noMargin {
		l.Margin = time.Nanosecond
	}
	n.b = NewBorrower(n.life, s.names, l)
	n.acts, n.coming = Share{Fraction: l.MinFraction()}, nil
	if i >= len(s.names) || n.voter != nil && memory {
		return
	}
	if s.m.noFloor {
		l.Floor = 0
	}
	n.voter = NewVoter(n.life.Name, l, s.clock(n))
	if s.m.forgetful || s.now == 0 {
		n.voter.mute = 0
	}
}

func newSim(seed uint64, members int, m mutant) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 0x5a)), m: m, limits: limits, cut: map[[2]int]bool{}, calm: []int{100, 300, 2000}[seed%3]}
	voters := 3 + 2*int(seed%2)
	s.limits.Members, s.limits.Voters = members, voters
	for i := range members {
		if i < voters {
			s.names = append(s.names, fmt.Sprint("n", i))
		}
		s.nodes = append(s.nodes, &simNode{life: BorrowerID{Name: fmt.Sprint("n", i)}, rate: 0.99 + 0.02*float64(s.rng.IntN(2)),
			offset: time.Duration(s.rng.Int64N(int64(time.Hour))), demand: 40 * s.rng.Float64()})
	}
	for i := range s.nodes {
		s.start(i, false)
	}
	return s
}

func (s *sim) running(n *simNode) bool { return n.up && s.now >= n.paused }

func (s *sim) send(m simMessage) {
	if s.cut[[2]int{m.from, m.to}] || s.calm > 0 && s.rng.IntN(20) == 0 {
		return
	}
	for range 1 + s.rng.IntN(20)/19 {
		m.due = s.now + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		if s.calm > 0 && s.rng.IntN(30) == 0 {
			m.due += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
		}
		s.queue = append(s.queue, m)
	}
}

func (s *sim) disturb() {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	switch s.rng.IntN(8) {
	case 0:
		n.up = false
	case 1, 2:
		s.start(i, s.rng.IntN(2) == 0)
	case 3:
		n.paused = s.now + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	case 4: // two sides, or one way only
		oneWay := s.rng.IntN(2) == 0
		for a := range s.nodes {
			for b := range s.nodes {
				if a%2 != b%2 && !(oneWay && a%2 == 0) {
					s.cut[[2]int{a, b}] = true
				}
			}
		}
	case 5:
		clear(s.cut)
	default: // traffic moves
		n.demand = 40 * s.rng.Float64()
		if s.rng.IntN(3) == 0 {
			n.demand *= 8
		}
	}
}

// sum is what all processes that are there act by at this instant.
func (s *sim) sum() (sum float64) {
	for _, n := range s.nodes {
		switch {
		case !n.up:
		case s.m.noEnd:
			sum += n.acts.Fraction
		default:
			sum += n.acts.At(s.clock(n), s.limits.MinFraction())
		}
	}
	return sum
}

// step plays 2 ms and returns what is wrong.
func (s *sim) step() string {
	s.now += 2 * time.Millisecond
	if s.calm > 0 && s.rng.IntN(s.calm) == 0 {
		s.disturb()
	}
	var later, due []simMessage
	for _, m := range s.queue {
		if to := s.nodes[m.to]; m.due > s.now || to.up && !s.running(to) {
			later = append(later, m)
		} else if to.up {
			due = append(due, m)
		}
	}
	s.queue = later
	for _, m := range due {
		to := s.nodes[m.to]
		if m.loan != nil {
			to.b.HandleGrant(*m.loan)
			continue
		}
		if s.m.minority {
			to.voter.limits.Voters = 0
			for v := range s.names {
				if !s.cut[[2]int{v, m.to}] && s.nodes[v].up {
					to.voter.limits.Voters++
				}
			}
		}
		l, ok := to.voter.HandleClaim(s.clock(to), *m.claim)
		if b := to.voter.lives[m.claim.From]; s.m.growFirst && b != nil && len(b.loans) > 1 {
			b.loans = b.loans[len(b.loans)-1:]
			to.voter.out += b.loans[0].part - b.out
			b.out = b.loans[0].part
		}
		if ok {
			s.send(simMessage{from: m.to, to: m.from, loan: &l})
		}
	}
	for i, n := range s.nodes {
		if !s.running(n) {
			continue
		}
		now := s.clock(n)
		if n.coming != nil && s.now >= n.at {
			n.acts = *n.coming
			if !s.m.soon {
				n.b.Confirm(*n.coming)
			}
			n.coming = nil
		}
		if n.coming == nil {
			if o, ok := n.b.NextShare(now); ok {
				n.coming, n.at = &o, s.now+time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
				if s.calm > 0 && s.rng.IntN(50) == 0 { // its core is busy
					n.at += time.Duration(s.rng.Int64N(int64(2 * time.Second)))
				}
				if s.m.soon {
					n.b.Confirm(o)
				}
			}
		}
		if c, ok := n.b.Step(now, n.demand); ok {
			for v := range s.names {
				s.send(simMessage{from: i, to: v, claim: &c})
			}
		}
	}
	sum := s.sum()
	if s.most = max(s.most, sum); sum > 1+slack {
		return fmt.Sprintf("all together act by %.4f of the whole at %v", sum, s.now)
	}
	return ""
}

func (s *sim) play(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; {
		if wrong := s.step(); wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// Under kills, restarts with and without memory, pauses, partitions both ways and one way, delay, loss, repeats, reordering,
// a core that applies late, and clocks 2% apart, the parts never add up to more than the whole.
func TestNeverMoreThanTheWhole(t *testing.T) {
	most := 0.0
	for seed := range *simSeeds {
		s := newSim(uint64(seed), 5+int(seed)%6, mutant{})
		for range *simSteps {
			if wrong := s.step(); wrong != "" {
				t.Fatalf("seed %d: %s", seed, wrong)
			}
		}
		most = max(most, s.most)
	}
	t.Logf("%d seeds of %d steps: at the most %.4f of the whole was acted by", *simSeeds, *simSteps, most)
	if most < 0.9 {
		t.Errorf("at the most %.2f of the whole was ever used", most)
	}
}

// The same checker catches each fault that is built in.
func TestMutantsAreCaught(t *testing.T) {
	for _, m := range []mutant{{name: "grow before shrink", growFirst: true}, {name: "no end of a share", noEnd: true},
		{name: "the count taken from a minority", minority: true}, {name: "forgetful voter", forgetful: true},
		{name: "said before it is so", first: 20, soon: true}, {name: "margin zero", first: 70, noMargin: true}, {name: "the floor lent too", noFloor: true}} {
		play.Caught(t, m.name, m.first, 100, func(seed uint64) string { return play.Steps(10_000, newSim(seed, 5+int(seed)%6, m).step) })
	}
}

// quiet is a fleet without faults but those that a test makes, played until it has settled.
func quiet(t *testing.T, members, up int) *sim {
	t.Helper()
	s := newSim(2, members, mutant{}) // three voters
	s.calm = 0
	for i, n := range s.nodes {
		n.up, n.demand = i < up, 30
	}
	s.play(t, 3*time.Second)
	return s
}

// 3 to 30 to 5 members within 30 s: the whole is used again soon after each change, evenly, and never passed.
func TestGrowsAndShrinks(t *testing.T) {
	s := quiet(t, 30, 3)
	settled := func(up int) {
		t.Helper()
		s.play(t, 2500*time.Millisecond)
		// The dead ones' part of the floor is nobody's.
		want := limits.Floor*float64(up)/30 + 1 - limits.Floor
		if sum := s.sum(); sum < want-0.02 {
			t.Errorf("%d of 30 members act by %.3f, of %.3f that they may", up, sum, want)
		}
		for i, n := range s.nodes {
			if part := n.acts.At(s.clock(n), s.limits.MinFraction()); i < up && math.Abs(part-want/float64(up)) > 0.15*want/float64(up) {
				t.Errorf("member %d of %d acts by %.4f, the mean is %.4f", i, up, part, want/float64(up))
			}
		}
	}
	settled(3)
	for i := 3; i < 30; i++ {
		s.start(i, false)
		s.play(t, 100*time.Millisecond)
	}
	settled(30)
	for i := 5; i < 30; i++ {
		s.nodes[i].up = false
		s.play(t, 100*time.Millisecond)
	}
	settled(5)
}

// Half of the members unseen by the other half: each side goes on by what its voters lend, and both come together again.
func TestHalfUnseen(t *testing.T) {
	s := quiet(t, 10, 10)
	for a := range s.nodes {
		for b := range s.nodes {
			if a%2 != b%2 {
				s.cut[[2]int{a, b}] = true
			}
		}
	}
	s.play(t, 4*time.Second)
	side := [2]float64{}
	for i, n := range s.nodes {
		side[i%2] += n.acts.At(s.clock(n), s.limits.MinFraction())
	}
	// Voters n0 and n2 are on one side, n1 on the other.
	if want := [2]float64{0.125 + 0.5, 0.125 + 0.25}; math.Abs(side[0]-want[0]) > 0.02 || math.Abs(side[1]-want[1]) > 0.02 {
		t.Errorf("the sides act by %.3f, want %.3f", side, want)
	}
	clear(s.cut)
	s.play(t, 2500*time.Millisecond)
	if sum := s.sum(); sum < 0.97 {
		t.Errorf("together again they act by %.3f", sum)
	}
}

// A dispatcher with eight times the mean traffic has about eight times the part, soon after it came.
func TestHotMember(t *testing.T) {
	s := quiet(t, 9, 9)
	s.nodes[7].demand = 8 * 30
	s.play(t, 1500*time.Millisecond)
	hot, other := s.nodes[7].acts.At(s.clock(s.nodes[7]), 0), s.nodes[6].acts.At(s.clock(s.nodes[6]), 0)
	if hot < 0.3 || other < 0.02 || s.sum() < 0.95 {
		t.Errorf("the hot one acts by %.3f, another by %.3f, all by %.3f", hot, other, s.sum())
	}
}

// Who sees nobody has the floor's part, from when its loans end on, and the others then have what it gave up.
func TestCutOff(t *testing.T) {
	s := quiet(t, 4, 4)
	for i := range 3 {
		s.cut[[2]int{3, i}], s.cut[[2]int{i, 3}] = true, true
	}
	s.play(t, limits.Term)
	if part := s.nodes[3].acts.At(s.clock(s.nodes[3]), s.limits.MinFraction()); part != s.limits.MinFraction() {
		t.Errorf("cut off it acts by %.3f, not by %.3f", part, s.limits.MinFraction())
	}
	s.play(t, 2*time.Second)
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all act by %.3f", sum)
	}
}

// A voter that waits hears who asks: the first to be lent to is not lent all.
func TestVoterHearsWhileItWaits(t *testing.T) {
	l := limits
	l.Members, l.Voters = 4, 1
	v := NewVoter("n0", l, 0)
	for seq, now := uint64(1), time.Duration(0); now < l.Term+l.Margin+l.Renew; seq, now = seq+1, now+l.Renew {
		for i := range 4 {
			c := Claim{From: BorrowerID{fmt.Sprint("n", i), 1}, Seq: seq, Demand: 30}
			if loan, ok := v.HandleClaim(now, c); ok != (now >= l.Term+l.Margin) || ok && math.Abs(loan.Fraction-l.slice()/4) > slack {
				t.Fatalf("at %v member %d is lent %.3f of a slice of %.3f", now, i, loan.Fraction, l.slice())
			}
		}
	}
}

// One that goes in order gives back what it was lent, at once.
func TestLeaves(t *testing.T) {
	s := quiet(t, 4, 4)
	s.nodes[3].b.ReturnAll()
	s.play(t, 700*time.Millisecond) // less than a term
	if part := s.nodes[3].acts.Fraction; part != s.limits.MinFraction() {
		t.Errorf("it still acts by %.3f", part)
	}
	if sum := s.sum(); sum < 0.98 {
		t.Errorf("all act by %.3f", sum)
	}
}

// Whatever claims come to a voter, in whatever order, it never has more out than its slice.
func TestVoterNeverOverlends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits
		l.Members, l.Voters, l.Floor = 10, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"), rapid.Float64Range(0, 1).Draw(t, "floor")
		v := NewVoter("n0", l, 0)
		now := l.Term + l.Margin
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(l.Term)).Draw(t, "past"))
			seq := rapid.Uint64Range(1, 40).Draw(t, "seq")
			c := Claim{From: BorrowerID{rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), 1}, Seq: seq,
				Demand: rapid.Float64().Draw(t, "demand"), InForce: map[string]uint64{"n0": rapid.Uint64Range(0, seq-1).Draw(t, "acts")},
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaves") == 0}
			loan, _ := v.HandleClaim(now, c)
			if out, _ := v.Outstanding(now); out > l.slice()+slack || loan.Fraction > l.slice()+slack || !(loan.Fraction >= 0) {
				t.Fatalf("%.4f is out, and %.4f was lent, of a slice of %.4f", out, loan.Fraction, l.slice())
			}
		}
	})
}

func TestLimits(t *testing.T) {
	good := limits
	good.Members, good.Voters = 3, 3
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for _, change := range []func(*Limits){func(l *Limits) { l.Floor = 1.1 }, func(l *Limits) { l.Floor = math.NaN() }, func(l *Limits) { l.Members = 0 },
		func(l *Limits) { l.Margin = 0 }, func(l *Limits) { l.Term = 500 * time.Millisecond }} {
		bad := good
		change(&bad)
		if bad.Validate() == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}

// Loans of strangers, for claims never made, beyond a slice, or that a later one has overtaken, are passed over.
func TestBorrowerTakesSense(t *testing.T) {
	l := limits
	l.Members, l.Voters = 3, 3
	b := NewBorrower(BorrowerID{"n0", 1}, []string{"n0", "n1", "n2"}, l)
	b.Step(0, 10)
	b.Step(l.Renew, 10)
	for _, bad := range []Grant{{b.self, "x", 1, 0.1}, {b.self, "n1", 9, 0.1}, {b.self, "n1", 1, 0.9}, {b.self, "n1", 1, -0.1}, {b.self, "n1", 1, math.NaN()},
		{BorrowerID{"n0", 0}, "n1", 1, 0.1}} {
		if b.HandleGrant(bad); len(b.loans) > 0 {
			t.Errorf("%+v was taken", bad)
		}
	}
	b.HandleGrant(Grant{b.self, "n1", 2, 0.1})
	b.HandleGrant(Grant{b.self, "n1", 1, 0.2})
	if got := b.loans["n1"].part; got != 0.1 {
		t.Errorf("%v of the overtaken loan counts", got)
	}
}

func BenchmarkVoter(b *testing.B) {
	for _, n := range []int{3, 30, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := limits
			l.Members, l.Voters = n, 3
			v := NewVoter("n0", l, 0)
			now := time.Hour
			for i := range b.N {
				seq := uint64(i/n + 1)
				v.HandleClaim(now, Claim{From: BorrowerID{fmt.Sprint("n", i%n), 1}, Seq: seq, Demand: 10, InForce: map[string]uint64{"n0": seq - 1}})
				now += l.Renew / time.Duration(n)
			}
		})
	}
}
