package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// start plays the start of a fleet of which some know already: who knows gives, who has learnt gives in its turn. It returns when the
// last had learnt something, and the most questions that any donor had in a second.
func start(t *testing.T, n, know int, slow bool) (last time.Duration, most int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(n), uint64(know)))
	type node struct {
		a     *Asker
		sees  []Member
		d     Donor
		knows bool
		came  []time.Duration
	}
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{a: NewAsker(Usual, 0, rng.Int64N), knows: i < know}
	}
	for i, m := range nodes {
		for j := range nodes {
			if j != i {
				m.sees = append(m.sees, Member{Name: fmt.Sprint(j), Older: j < know})
			}
		}
	}
	type answer struct {
		due      time.Duration
		from, to int
		taught   bool
	}
	var queue []answer
	learnt := know
	for now := time.Duration(0); now < 10*time.Second; now += 5 * time.Millisecond {
		var later []answer
		for _, q := range queue {
			if q.due > now {
				later = append(later, q)
				continue
			}
			nodes[q.to].a.Took(now, fmt.Sprint(q.from), q.taught)
			if q.taught && !nodes[q.to].knows {
				nodes[q.to].knows = true
				learnt++
				last = now
			}
		}
		queue = later
		for i, m := range nodes {
			if i < know {
				continue
			}
			to, ok := m.a.Step(now, m.sees)
			if !ok {
				continue
			}
			var j int
			fmt.Sscan(to, &j)
			donor := nodes[j]
			donor.came = append(donor.came, now)
			in := 0
			for _, at := range donor.came {
				if now-at < time.Second {
					in++
				}
			}
			most = max(most, in)
			late := time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
			if slow && j < know {
				late += 3 * time.Second
			}
			queue = append(queue, answer{now + late, j, i, donor.knows && donor.d.May(now, Usual)})
		}
	}
	if learnt < n*95/100 {
		t.Errorf("%d of %d know something", learnt, n)
	}
	return last, most
}

// With one in ten left, nearly all learn within some seconds, and no donor gives more than its limit.
func TestMostAreNew(t *testing.T) {
	for _, c := range []struct{ n, know int }{{9, 1}, {30, 3}, {150, 15}} {
		last, most := start(t, c.n, c.know, false)
		t.Logf("%d of %d know: the last learns after %v, a donor is asked %d times in a second at the most", c.know, c.n, last, most)
		if last > Usual.Within || most > 8*c.n/c.know {
			t.Errorf("%d of %d: the last learns after %v, a donor is asked %d times in a second", c.know, c.n, last, most)
		}
	}
	// The only ones that know are slow: nobody waits for them longer than for so many tries.
	if last, _ := start(t, 9, 1, true); last > Usual.Within+3*time.Second {
		t.Errorf("with a slow donor the last learns after %v", last)
	}
}

// Older and nearer ones are asked first, each once, up to the limits; with enough learnt nobody is asked.
func TestAsker(t *testing.T) {
	a := NewAsker(Usual, 0, func(n int64) int64 { return 0 })
	members := []Member{{Name: "new"}, {Name: "old", Older: true}, {Name: "near", Older: true, Near: true}}
	now := 2 * time.Millisecond
	if _, ok := a.Step(time.Millisecond, nil); ok {
		t.Error("asked nobody")
	}
	a.Step(time.Millisecond, members)
	for _, want := range []string{"near", "old", "new"} {
		to, ok := a.Step(now, members)
		if !ok || to != want {
			t.Errorf("asked %q, want %q", to, want)
		}
		if _, ok := a.Step(now+Usual.Wait-1, members); ok {
			t.Error("asked another before the answer was due")
		}
		now += Usual.Wait
	}
	if to, ok := a.Step(now, members); !ok || to != "near" {
		t.Errorf("asked %q, want the first again after %v", to, Usual.Again)
	}
	b := NewAsker(Usual, 0, func(n int64) int64 { return 0 })
	b.Step(time.Millisecond, members)
	b.Step(now, members)
	b.Took(now, "stranger", true)
	b.Took(now, "near", true)
	if b.Done(now) || b.taken != 1 {
		t.Errorf("%d taken", b.taken)
	}
	if to, ok := b.Step(now+1, members); !ok || to != "old" {
		t.Errorf("after an answer asked %q", to)
	}
	b.Took(now, "old", true)
	if !b.Done(now) || !NewAsker(Usual, 0, nil).Done(Usual.Within+1) {
		t.Error("goes on asking")
	}
	var d Donor
	for i, want := range []bool{true, true, true, true, false} {
		if got := d.May(now, Usual); got != want {
			t.Errorf("gift %d of a donor: %t, want %t", i, got, want)
		}
	}
	if !d.May(now+time.Second, Usual) {
		t.Error("a donor gives nothing a second later")
	}
}
