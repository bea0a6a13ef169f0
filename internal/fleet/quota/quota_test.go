package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestValidateRejectsLimitsThatCannotWork(t *testing.T) {
	good := limits
	good.Members, good.Voters = 3, 3
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		name   string
		change func(*Limits)
	}{
		{"floor over 1", func(l *Limits) { l.Floor = 1.1 }},
		{"floor not a number", func(l *Limits) { l.Floor = math.NaN() }},
		{"no members", func(l *Limits) { l.Members = 0 }},
		{"no margin", func(l *Limits) { l.Margin = 0 }},
		{"term too short", func(l *Limits) { l.Term = 500 * time.Millisecond }},
	} {
		t.Run(c.name, func(t *testing.T) {
			bad := good
			c.change(&bad)
			if bad.Validate() == nil {
				t.Errorf("%+v is accepted", bad)
			}
		})
	}
}

// A recovering voter counts the claims that it receives, so that the first borrower to claim after recovery is not
// granted the whole slice.
func TestRecoveringVoterCountsClaims(t *testing.T) {
	l := limits
	l.Members, l.Voters = 4, 1
	v := NewVoter("n0", l, 0)
	for seq, now := uint64(1), time.Duration(0); now < l.Term+l.Margin+l.Renew; seq, now = seq+1, now+l.Renew {
		for i := range 4 {
			c := Claim{From: BorrowerID{fmt.Sprint("n", i), 1}, Seq: seq, Demand: 30}
			g, ok := v.HandleClaim(now, c)
			if ok != (now >= l.Term+l.Margin) || ok && math.Abs(g.Fraction-l.sliceFraction()/4) > tolerance {
				t.Fatalf("at %v member %d is granted %.3f of a slice of %.3f", now, i, g.Fraction, l.sliceFraction())
			}
		}
	}
}

// A voter never has more outstanding than its slice, whatever claims it receives and in whatever order.
func TestVoterNeverExceedsItsSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits
		l.Members = 10
		l.Voters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		l.Floor = rapid.Float64Range(0, 1).Draw(t, "floor")
		v := NewVoter("n0", l, 0)
		now := l.Term + l.Margin
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(l.Term)).Draw(t, "elapsed"))
			seq := rapid.Uint64Range(1, 40).Draw(t, "seq")
			c := Claim{
				From:    BorrowerID{rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), 1},
				Seq:     seq,
				Demand:  rapid.Float64().Draw(t, "demand"),
				InForce: map[string]uint64{"n0": rapid.Uint64Range(0, seq-1).Draw(t, "in force")},
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			}
			g, _ := v.HandleClaim(now, c)
			outstanding, _ := v.Outstanding(now)
			if outstanding > l.sliceFraction()+tolerance || g.Fraction > l.sliceFraction()+tolerance || !(g.Fraction >= 0) {
				t.Fatalf("outstanding %.4f, granted %.4f, slice %.4f", outstanding, g.Fraction, l.sliceFraction())
			}
		}
	})
}

func TestBorrowerIgnoresInvalidAndOvertakenGrants(t *testing.T) {
	l := limits
	l.Members, l.Voters = 3, 3
	b := NewBorrower(BorrowerID{"n0", 1}, []string{"n0", "n1", "n2"}, l)
	b.Step(0, 10)
	b.Step(l.Renew, 10)
	for _, c := range []struct {
		name  string
		grant Grant
	}{
		{"unconfigured voter", Grant{b.self, "x", 1, 0.1}},
		{"claim never sent", Grant{b.self, "n1", 9, 0.1}},
		{"beyond the slice", Grant{b.self, "n1", 1, 0.9}},
		{"negative", Grant{b.self, "n1", 1, -0.1}},
		{"not a number", Grant{b.self, "n1", 1, math.NaN()}},
		{"earlier incarnation", Grant{BorrowerID{"n0", 0}, "n1", 1, 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if b.HandleGrant(c.grant); len(b.grants) > 0 {
				t.Errorf("%+v was accepted", c.grant)
			}
		})
	}
	b.HandleGrant(Grant{b.self, "n1", 2, 0.1})
	b.HandleGrant(Grant{b.self, "n1", 1, 0.2})
	if got := b.grants["n1"].fraction; got != 0.1 {
		t.Errorf("the fraction is %v, want 0.1 from the later grant", got)
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
				c := Claim{
					From:    BorrowerID{fmt.Sprint("n", i%n), 1},
					Seq:     seq,
					Demand:  10,
					InForce: map[string]uint64{"n0": seq - 1},
				}
				v.HandleClaim(now, c)
				now += l.Renew / time.Duration(n)
			}
		})
	}
}
