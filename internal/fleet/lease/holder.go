package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxPendingRequests bounds the requests whose replies are awaited.
	maxPendingRequests = 64
	// maxBackoffDoublings bounds how often the span of the backoff is doubled.
	maxBackoffDoublings = 3
)

// Holder claims tasks for one incarnation of a member, and knows which of them it holds. It is not safe for concurrent
// use.
type Holder struct {
	self         Candidate
	limits       Limits
	voters       []string
	seq          uint64
	pending      map[uint64]time.Duration // when the requests were sent that may still be answered, by Seq
	tasks        map[Task]*wantedTask
	highestToken uint64 // known of any task
	lastExpired  *Expired
	releases     []Claim // to be sent with the next request
	draw         func(n int64) int64
}

// wantedTask is the state of a task that the member is to hold.
type wantedTask struct {
	token       uint64                   // of the current attempt, or of the lease that it won
	nextClaim   time.Duration            // when to claim again
	grantsUntil map[string]time.Duration // when the grants end, by voter
	refusals    map[string]bool          // voters that refused the current attempt
	failures    int                      // of attempts in a row, by split votes
	holding     bool                     // the lease was won, and was not seen to have ended
	since       time.Duration            // when it was won
}

// NewHolder returns a Holder that wants no task. Draw returns a random number from 0 up to but not including n; it
// spreads the claims that follow a failed one.
func NewHolder(self Candidate, voters []string, limits Limits, draw func(n int64) int64) *Holder {
	return &Holder{
		self:    self,
		limits:  limits,
		voters:  slices.Clone(voters),
		pending: map[uint64]time.Duration{},
		tasks:   map[Task]*wantedTask{},
		draw:    draw,
	}
}

// ObserveToken notes a token that another member has seen.
func (h *Holder) ObserveToken(token uint64) { h.highestToken = max(h.highestToken, token) }

// HighestToken is the highest token that the holder knows of.
func (h *Holder) HighestToken() uint64 { return h.highestToken }

// SetWanted sets the tasks that this member is to hold from now on. It stops holding the others at once, and releases
// them with the next request.
func (h *Holder) SetWanted(now time.Duration, wanted map[Task]bool) {
	for task, w := range h.tasks {
		if wanted[task] {
			continue
		}
		if len(w.grantsUntil) > 0 {
			h.releases = append(h.releases, Claim{Task: task, Token: w.token})
		}
		if w.holding {
			h.lastExpired = &Expired{task, w.token, now, reasonReassigned}
		}
		delete(h.tasks, task)
	}
	for task := range wanted {
		if h.tasks[task] == nil {
			h.tasks[task] = &wantedTask{
				nextClaim:   now,
				grantsUntil: map[string]time.Duration{},
				refusals:    map[string]bool{},
			}
		}
	}
}

// Step returns the request that is to be sent to each voter now; false means that there is none.
func (h *Holder) Step(now time.Duration) (Request, bool) {
	request := Request{From: h.self, Releases: h.releases}
	h.releases = nil
	// In order, so that equal histories make equal requests.
	for _, task := range slices.Sorted(maps.Keys(h.tasks)) {
		w := h.tasks[task]
		if w.holding && !h.holds(now, w) {
			w.holding = false
			h.lastExpired = &Expired{task, w.token, now, reasonNotRenewed}
		}
		if now >= w.nextClaim {
			h.claim(now, task, w, &request)
		}
	}
	if len(request.Claims) == 0 && len(request.Releases) == 0 {
		return request, false
	}
	h.seq++
	request.Seq = h.seq
	h.pending[request.Seq] = now
	delete(h.pending, request.Seq-maxPendingRequests)
	return request, true
}

// claim adds a task's claim to a request: a renewal if the task is held, else a new attempt under a new token.
func (h *Holder) claim(now time.Duration, task Task, w *wantedTask, request *Request) {
	holds := h.holds(now, w)
	if !holds {
		if w.token > 0 && len(w.grantsUntil) > 0 {
			// What a minority granted would keep other candidates from the task.
			request.Releases = append(request.Releases, Claim{Task: task, Token: w.token})
		}
		clear(w.grantsUntil)
		clear(w.refusals)
		h.highestToken++
		w.token = h.highestToken
	}
	w.nextClaim = now + h.limits.Renew
	request.Claims = append(request.Claims, Claim{task, w.token, holds})
}

// HandleReply takes a voter's reply. One to an unknown request, to another incarnation or by an unconfigured voter is
// ignored.
func (h *Holder) HandleReply(now time.Duration, reply Reply) {
	sent, ok := h.pending[reply.Seq]
	if !ok || reply.To != h.self || !slices.Contains(h.voters, reply.Voter) {
		return
	}
	for _, g := range reply.Grants {
		h.handleGrant(now, sent, reply.Voter, g)
	}
}

// handleGrant takes one grant or refusal of a voter; sent is when it was claimed.
func (h *Holder) handleGrant(now, sent time.Duration, voter string, g Grant) {
	h.highestToken = max(h.highestToken, g.Token)
	w := h.tasks[g.Task]
	switch {
	case w == nil || g.ClaimedToken != w.token:
		// Of a task that is no longer wanted, or of an earlier attempt whose claim arrived late.
		if g.Granted {
			h.releases = append(h.releases, Claim{Task: g.Task, Token: g.ClaimedToken})
		}
	case g.Granted:
		w.grantsUntil[voter] = max(w.grantsUntil[voter], sent+h.limits.Term-h.limits.Margin)
		if !w.holding && h.holds(now, w) {
			w.holding, w.since, w.failures = true, now, 0
		}
	case !h.holds(now, w):
		h.handleRefusal(now, w, voter, g)
	}
}

// handleRefusal takes a voter's refusal of the current attempt. The attempt has failed once it can no longer reach a
// majority. Either another candidate holds the task, and the next attempt comes soon, since it may be released. Or the
// votes were split: then what a minority granted is released at once, since it keeps all others out, and the next
// attempt comes after a backoff, drawn from a span that doubles with each such failure.
func (h *Holder) handleRefusal(now time.Duration, w *wantedTask, voter string, g Grant) {
	w.refusals[voter] = true
	blockingMinority := len(h.voters) - len(h.voters)/2
	if len(w.refusals) < blockingMinority {
		return
	}
	wait, span := min(g.Remaining, h.limits.Renew), int64(h.limits.Renew)/2
	if splitVote := len(w.grantsUntil) > 0; splitVote {
		h.releases = append(h.releases, Claim{Task: g.Task, Token: w.token})
		clear(w.grantsUntil)
		wait, span = 0, span<<min(w.failures, maxBackoffDoublings)
		w.failures++
	}
	w.nextClaim = now + wait + time.Duration(h.draw(span)+1)
	clear(w.refusals)
}

// until is when the lease must be renewed: the time to which a majority's grants last. It is 0 without a majority.
func (h *Holder) until(w *wantedTask) time.Duration {
	majority := len(h.voters)/2 + 1
	if len(w.grantsUntil) < majority {
		return 0
	}
	ends := slices.Sorted(maps.Values(w.grantsUntil))
	return ends[len(ends)-majority]
}

func (h *Holder) holds(now time.Duration, w *wantedTask) bool { return now < h.until(w) }

// Holds reports whether this member may carry out a task at this very time, and under which token. Call it directly
// before each action.
func (h *Holder) Holds(now time.Duration, task Task) (token uint64, ok bool) {
	w := h.tasks[task]
	if w == nil || !h.holds(now, w) {
		return 0, false
	}
	return w.token, true
}

// Leases returns the leases that the member holds, by task.
func (h *Holder) Leases(now time.Duration) []Lease {
	var leases []Lease
	for _, task := range slices.Sorted(maps.Keys(h.tasks)) {
		if w := h.tasks[task]; h.holds(now, w) {
			leases = append(leases, Lease{task, w.token, w.since, h.until(w)})
		}
	}
	return leases
}

// LastExpired is the lease that ended last, or nil if none has.
func (h *Holder) LastExpired() *Expired { return h.lastExpired }
