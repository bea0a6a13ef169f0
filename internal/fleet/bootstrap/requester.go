package bootstrap

import (
	"slices"
	"time"
)

// Ranks of the members that may be requested from. They add up: a member that was not requested from comes first, then
// an older one, since a new one has learnt as little as this process, then one in the same zone.
const (
	rankSameZone     = 1
	rankOlder        = 2
	rankNotRequested = 4
)

// maxBackoffSteps is after how many requests the span of the backoff reaches ResponseTimeout.
const maxBackoffSteps = 4

// Requester requests transfers for one process that has just started. It is not safe for concurrent use.
type Requester struct {
	limits      Limits
	draw        func(n int64) int64
	started     time.Duration
	nextRequest time.Duration            // zero until members are known
	requested   map[string]time.Duration // when a member may be requested from again
	requests    int
	transfers   int
}

// NewRequester returns a Requester for a process that started at a time. Draw returns a random number from 0 up to but
// not including n.
func NewRequester(limits Limits, now time.Duration, draw func(n int64) int64) *Requester {
	return &Requester{limits: limits, draw: draw, started: now, requested: map[string]time.Duration{}}
}

// Done reports whether no further member will be requested from.
func (r *Requester) Done(now time.Duration) bool {
	return r.transfers >= r.limits.Transfers || r.requests >= r.limits.MaxRequests || now-r.started > r.limits.Window
}

// NextDonor returns the member to send a request to now, out of the active members; false means that there is none yet.
func (r *Requester) NextDonor(now time.Duration, members []Peer) (name string, ok bool) {
	if r.Done(now) || len(members) == 0 {
		return "", false
	}
	if r.nextRequest == 0 {
		fleetSize := len(members) + 1
		span := min(r.limits.SpreadPerMember*time.Duration(fleetSize), r.limits.MaxSpread)
		r.nextRequest = now + r.drawDelay(int64(span))
	}
	if now < r.nextRequest {
		return "", false
	}
	best := r.bestDonors(now, members)
	if len(best) == 0 {
		return "", false
	}
	slices.Sort(best)
	name = best[r.draw(int64(len(best)))]
	r.requested[name] = now + r.limits.ResponseTimeout + r.limits.RetryInterval
	r.requests++
	r.nextRequest = now + r.limits.ResponseTimeout
	return name, true
}

// bestDonors returns the names of the members of the highest rank that may be requested from now.
func (r *Requester) bestDonors(now time.Duration, members []Peer) []string {
	var best []string
	highest := -1
	for _, m := range members {
		retryAt, requested := r.requested[m.Name]
		rank := 0
		if m.Older {
			rank += rankOlder
		}
		if m.SameZone {
			rank += rankSameZone
		}
		if !requested {
			rank += rankNotRequested
		}
		switch {
		case requested && now < retryAt || rank < highest:
		case rank > highest:
			best, highest = []string{m.Name}, rank
		default:
			best = append(best, m.Name)
		}
	}
	return best
}

// drawDelay draws a delay of at least 1 ns and at most span.
func (r *Requester) drawDelay(span int64) time.Duration { return 1 + time.Duration(r.draw(span)) }

// RecordResponse notes a member's response: with taught set, a transfer, and else that it refused or had nothing to
// transfer. The next request follows after a short drawn backoff. A response that was not requested is ignored.
//
//revive:disable-next-line:flag-parameter taught is the content of the peer's response, and package fleet passes it on
func (r *Requester) RecordResponse(now time.Duration, from string, taught bool) {
	if !r.WasRequested(from) {
		return
	}
	r.requested[from] = now + r.limits.RetryInterval
	if taught {
		r.transfers++
		r.requested[from] = r.started + r.limits.Window + 1 // not again
	}
	// Where the whole fleet starts at once most refuse: the backoff is drawn from a span that grows with the requests.
	steps := int64(min(r.requests, maxBackoffSteps))
	r.nextRequest = min(r.nextRequest, now+r.drawDelay(int64(r.limits.ResponseTimeout)*steps/maxBackoffSteps))
}

// WasRequested reports whether a request was sent to a member; responses of others are to be ignored.
func (r *Requester) WasRequested(name string) bool {
	_, ok := r.requested[name]
	return ok
}
