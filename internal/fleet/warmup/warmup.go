// Package warmup decides whom a process that has just started asks for what they have learnt, when, and how many a process that knows
// gives to. It does no I/O and has no clock. With most of a fleet new, the few that know are asked at drawn times and give to a bounded
// number; who has learnt something gives in its turn.
package warmup

import (
	"slices"
	"time"

	"rampspread/internal/fleet/share"
)

// Limits bound what a start costs the others.
type Limits struct {
	// Each is the span for each member from which the time of the first question is drawn: a start of the whole fleet at once
	// asks so often in all.
	Each time.Duration
	Span time.Duration // the longest span
	Wait time.Duration // for an answer, until the next is asked
	// Again is after how long one that had no time, or knew nothing, is asked once more.
	Again time.Duration
	// Enough is from how many others a process learns, Tries how often it asks.
	Enough, Tries int
	Within        time.Duration // after its start; later it knows more itself
	Gifts         float64       // that one gives in a second,
	Burst         float64       // and so many at once
}

// Usual are the limits that members go by.
var Usual = Limits{Each: 10 * time.Millisecond, Span: 2 * time.Second, Wait: 500 * time.Millisecond, Again: time.Second, Enough: 2, Tries: 20, Within: 8 * time.Second, Gifts: 6, Burst: 4}

// Member is another that may be asked.
type Member struct {
	Name string
	// Older says that it started well before this process; Near that it is in the same zone, where it knows the same replicas best.
	Older, Near bool
}

// Asker asks for one life of a process. It is not safe for use by several goroutines at once.
type Asker struct {
	limits Limits
	draw   func(n int64) int64
	begun  time.Duration
	next   time.Duration            // zero until members are known
	asked  map[string]time.Duration // when it may be asked again
	tries  int
	taken  int
}

// NewAsker returns one for a process that started at a time.
func NewAsker(limits Limits, now time.Duration, draw func(n int64) int64) *Asker {
	return &Asker{limits: limits, draw: draw, begun: now, asked: map[string]time.Duration{}}
}

// Done tells whether nobody will be asked any more.
func (a *Asker) Done(now time.Duration) bool {
	return a.taken >= a.limits.Enough || a.tries >= a.limits.Tries || now-a.begun > a.limits.Within
}

// Step returns whom to ask now; false: nobody yet. Members are those that count.
func (a *Asker) Step(now time.Duration, members []Member) (to string, ok bool) {
	if a.Done(now) || len(members) == 0 {
		return "", false
	}
	if a.next == 0 {
		span := min(a.limits.Each*time.Duration(len(members)+1), a.limits.Span)
		a.next = now + 1 + time.Duration(a.draw(int64(span)))
	}
	if now < a.next {
		return "", false
	}
	// The best that are left: those that were not asked yet, then older ones, since new ones know as little as this one.
	best, most := []string(nil), -1
	for _, m := range members {
		rank := 0
		if m.Older {
			rank += 2
		}
		if m.Near {
			rank++
		}
		again, asked := a.asked[m.Name]
		if !asked {
			rank += 4
		}
		switch {
		case asked && now < again || rank < most:
		case rank > most:
			best, most = []string{m.Name}, rank
		default:
			best = append(best, m.Name)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	slices.Sort(best)
	to = best[a.draw(int64(len(best)))]
	a.asked[to] = now + a.limits.Wait + a.limits.Again
	a.tries++
	a.next = now + a.limits.Wait
	return to, true
}

// Took notes an answer of one that was asked: it taught something, or it knows nothing or has no time. The next is asked after a
// short drawn pause.
func (a *Asker) Took(now time.Duration, from string, taught bool) {
	if !a.Asked(from) {
		return
	}
	a.asked[from] = now + a.limits.Again
	if taught {
		a.taken++
		a.asked[from] = a.begun + a.limits.Within + 1
	}
	// Where all are asked at once most have no time: the pauses are drawn from a span that grows with the tries.
	a.next = min(a.next, now+1+time.Duration(a.draw(int64(a.limits.Wait)*int64(min(a.tries, 4))/4)))
}

// Asked tells whether a member was asked: answers of others are passed over.
func (a *Asker) Asked(name string) bool {
	_, ok := a.asked[name]
	return ok
}

// Donor bounds what one gives. Its zero value has given nothing.
type Donor struct{ gifts share.Bucket }

// May spends a gift; false: it has given enough for now.
func (d *Donor) May(now time.Duration, limits Limits) bool {
	if d.gifts.Fill(now, limits.Gifts, limits.Burst) < 1 {
		return false
	}
	d.gifts.Spend()
	return true
}
