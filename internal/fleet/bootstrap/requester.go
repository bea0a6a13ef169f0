package bootstrap

import (
	"slices"
	"time"
)

// Ranks of the possible donors. The ranks that apply to a member are added up: a member that has received no request
// yet comes first, then an older member, since a new one has learned as little as this process, then a member in the
// same zone.
const (
	rankSameZone     = 1
	rankOlder        = 2
	rankNotRequested = 4
)

// maxBackoffSteps is the number of requests at which the range of the backoff reaches ResponseTimeout.
const maxBackoffSteps = 4

// Requester requests transfers for one process that has just started. It is not safe for concurrent use.
type Requester struct {
	limits      Limits
	draw        func(n int64) int64
	started     time.Duration
	nextRequest time.Duration            // earliest time of the next request, or zero while no other member is known
	requested   map[string]time.Duration // earliest time of another request to a member, by its name
	requests    int
	transfers   int
}

// NewRequester returns a Requester for a process that starts now. The function draw returns a random number from 0 up
// to but not including n.
func NewRequester(limits Limits, now time.Duration, draw func(n int64) int64) *Requester {
	return &Requester{limits: limits, draw: draw, started: now, requested: map[string]time.Duration{}}
}

// Done reports whether the process will send no further request.
func (r *Requester) Done(now time.Duration) bool {
	return r.transfers >= r.limits.MaxTransfers || r.requests >= r.limits.MaxRequests || now-r.started > r.limits.Window
}

// NextDonor returns which of the active members to send a request to now. It returns false if no request is due.
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

// bestDonors returns the names of the highest-ranked members to which a request may be sent now.
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

// drawDelay returns a random delay from 1 ns to span, which is in nanoseconds.
func (r *Requester) drawDelay(span int64) time.Duration { return 1 + time.Duration(r.draw(span)) }

// RecordResponse records a member's response. If transferred is false, the member refused or had nothing to transfer.
// The next request follows after a short random backoff. A response that was not requested is ignored.
//
//revive:disable-next-line:flag-parameter transferred is the content of the peer's response, and package fleet passes it on
func (r *Requester) RecordResponse(now time.Duration, from string, transferred bool) {
	if !r.WasRequested(from) {
		return
	}
	r.requested[from] = now + r.limits.RetryInterval
	if transferred {
		r.transfers++
		r.requested[from] = r.started + r.limits.Window + 1 // no second transfer from the same member
	}
	// If the whole fleet starts at once, most members refuse, so the range of the backoff grows with the requests.
	backoffSteps := int64(min(r.requests, maxBackoffSteps))
	r.nextRequest = min(r.nextRequest, now+r.drawDelay(int64(r.limits.ResponseTimeout)*backoffSteps/maxBackoffSteps))
}

// WasRequested reports whether a request was sent to a member. Responses from other members are to be ignored.
func (r *Requester) WasRequested(name string) bool {
	_, ok := r.requested[name]
	return ok
}
