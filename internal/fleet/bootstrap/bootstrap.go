// Package bootstrap decides whom a process that has just started asks for what they have learnt, when, and how many a process that knows
// gives to. It does no I/O and has no clock. With most of a fleet new, the few that know are asked at drawn times and give to a bounded
// number; who has learnt something gives in its turn.
package bootstrap

import (
	"slices"
	"time"

	"rampspread/internal/tokenbucket"
)

// Limits bound what a start costs the others.
type Limits struct {
	// SpreadPerMember is the span for each member from which the time of the first question is drawn: a start of the whole fleet at once
	// asks so often in all.
	SpreadPerMember time.Duration
	MaxSpread       time.Duration // the longest span
	ResponseTimeout time.Duration // for an answer, until the next is asked
	// RetryInterval is after how long one that had no time, or knew nothing, is asked once more.
	RetryInterval time.Duration
	// Transfers is from how many others a process learns, MaxRequests how often it asks.
	Transfers, MaxRequests int
	Window                 time.Duration // after its start; later it knows more itself
	TransfersPerSecond     float64       // that one gives in a second,
	Burst                  float64       // and so many at once
}

// DefaultLimits are the limits that members go by.
var DefaultLimits = Limits{SpreadPerMember: 10 * time.Millisecond, MaxSpread: 2 * time.Second, ResponseTimeout: 500 * time.Millisecond, RetryInterval: time.Second, Transfers: 2, MaxRequests: 20, Window: 8 * time.Second, TransfersPerSecond: 6, Burst: 4}

// Member is another that may be asked.
type Member struct {
	Name string
	// Older says that it started well before this process; SameZone that it is in the same zone, where it knows the same replicas best.
	Older, SameZone bool
}

// Requester asks for one life of a process. It is not safe for use by several goroutines at once.
type Requester struct {
	limits Limits
	draw   func(n int64) int64
	begun  time.Duration
	next   time.Duration            // zero until members are known
	asked  map[string]time.Duration // when it may be asked again
	tries  int
	taken  int
}

// NewRequester returns one for a process that started at a time.
func NewRequester(limits Limits, now time.Duration, draw func(n int64) int64) *Requester {
	return &Requester{limits: limits, draw: draw, begun: now, asked: map[string]time.Duration{}}
}

// Done tells whether nobody will be asked any more.
func (a *Requester) Done(now time.Duration) bool {
	return a.taken >= a.limits.Transfers || a.tries >= a.limits.MaxRequests || now-a.begun > a.limits.Window
}

// NextDonor returns whom to ask now; false: nobody yet. Members are those that count.
func (a *Requester) NextDonor(now time.Duration, members []Member) (to string, ok bool) {
	if a.Done(now) || len(members) == 0 {
		return "", false
	}
	if a.next == 0 {
		span := min(a.limits.SpreadPerMember*time.Duration(len(members)+1), a.limits.MaxSpread)
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
		if m.SameZone {
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
	a.asked[to] = now + a.limits.ResponseTimeout + a.limits.RetryInterval
	a.tries++
	a.next = now + a.limits.ResponseTimeout
	return to, true
}

// RecordResponse notes an answer of one that was asked: it taught something, or it knows nothing or has no time. The next is asked after a
// short drawn pause.
func (a *Requester) RecordResponse(now time.Duration, from string, taught bool) {
	if !a.WasRequested(from) {
		return
	}
	a.asked[from] = now + a.limits.RetryInterval
	if taught {
		a.taken++
		a.asked[from] = a.begun + a.limits.Window + 1
	}
	// Where all are asked at once most have no time: the pauses are drawn from a span that grows with the tries.
	a.next = min(a.next, now+1+time.Duration(a.draw(int64(a.limits.ResponseTimeout)*int64(min(a.tries, 4))/4)))
}

// WasRequested tells whether a member was asked: answers of others are passed over.
func (a *Requester) WasRequested(name string) bool {
	_, ok := a.asked[name]
	return ok
}

// Donor bounds what one gives. Its zero value has given nothing.
type Donor struct{ gifts tokenbucket.Bucket }

// TakeTransfer spends a gift; false: it has given enough for now.
func (d *Donor) TakeTransfer(now time.Duration, limits Limits) bool {
	if d.gifts.Fill(now, limits.TransfersPerSecond, limits.Burst) < 1 {
		return false
	}
	d.gifts.Spend()
	return true
}
