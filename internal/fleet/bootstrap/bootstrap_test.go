package bootstrap

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
		a     *Requester
		sees  []Member
		d     Donor
		knows bool
		came  []time.Duration
	}
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{a: NewRequester(DefaultLimits, 0, rng.Int64N), knows: i < know}
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
			nodes[q.to].a.RecordResponse(now, fmt.Sprint(q.from), q.taught)
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
			to, ok := m.a.NextDonor(now, m.sees)
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
			queue = append(queue, answer{now + late, j, i, donor.knows && donor.d.TakeTransfer(now, DefaultLimits)})
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
		if last > DefaultLimits.Window || most > 8*c.n/c.know {
			t.Errorf("%d of %d: the last learns after %v, a donor is asked %d times in a second", c.know, c.n, last, most)
		}
	}
	// The only ones that know are slow: nobody waits for them longer than for so many tries.
	if last, _ := start(t, 9, 1, true); last > DefaultLimits.Window+3*time.Second {
		t.Errorf("with a slow donor the last learns after %v", last)
	}
}

// Older and nearer ones are asked first, each once, up to the limits; with enough learnt nobody is asked.
func TestAsker(t *testing.T) {
	a := NewRequester(DefaultLimits, 0, func(n int64) int64 { return 0 })
	members := []Member{{Name: "new"}, {Name: "old", Older: true}, {Name: "near", Older: true, SameZone: true}}
	now := 2 * time.Millisecond
	if _, ok := a.NextDonor(time.Millisecond, nil); ok {
		t.Error("asked nobody")
	}
	a.NextDonor(time.Millisecond, members)
	for _, want := range []string{"near", "old", "new"} {
		to, ok := a.NextDonor(now, members)
		if !ok || to != want {
			t.Errorf("asked %q, want %q", to, want)
		}
		if _, ok := a.NextDonor(now+DefaultLimits.ResponseTimeout-1, members); ok {
			t.Error("asked another before the answer was due")
		}
		now += DefaultLimits.ResponseTimeout
	}
	if to, ok := a.NextDonor(now, members); !ok || to != "near" {
		t.Errorf("asked %q, want the first again after %v", to, DefaultLimits.RetryInterval)
	}
	b := NewRequester(DefaultLimits, 0, func(n int64) int64 { return 0 })
	b.NextDonor(time.Millisecond, members)
	b.NextDonor(now, members)
	b.RecordResponse(now, "stranger", true)
	b.RecordResponse(now, "near", true)
	if b.Done(now) || b.taken != 1 {
		t.Errorf("%d taken", b.taken)
	}
	if to, ok := b.NextDonor(now+1, members); !ok || to != "old" {
		t.Errorf("after an answer asked %q", to)
	}
	b.RecordResponse(now, "old", true)
	if !b.Done(now) || !NewRequester(DefaultLimits, 0, nil).Done(DefaultLimits.Window+1) {
		t.Error("goes on asking")
	}
	var d Donor
	for i, want := range []bool{true, true, true, true, false} {
		if got := d.TakeTransfer(now, DefaultLimits); got != want {
			t.Errorf("gift %d of a donor: %t, want %t", i, got, want)
		}
	}
	if !d.TakeTransfer(now+time.Second, DefaultLimits) {
		t.Error("a donor gives nothing a second later")
	}
}
