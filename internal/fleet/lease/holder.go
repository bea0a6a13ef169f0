package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxPendingRequests bounds the number of requests that still await replies.
	maxPendingRequests = 64
	// maxBackoffDoublings bounds how often the range of the random backoff is doubled.
	maxBackoffDoublings = 3
)

// Holder claims tasks for one incarnation of a member, and records which of them the member holds. It is not safe for
// concurrent use.
type Holder struct {
	self         Candidate
	limits       Limits
	voters       []string
	seq          uint64                   // Seq of the last request
	pending      map[uint64]time.Duration // send times of the requests that may still be answered, by Seq
	tasks        map[Task]*wantedTask
	highestToken uint64 // highest token known for any task
	lastExpired  *Expired
	releases     []Claim             // releases to send with the next request
	randInt64N   func(n int64) int64 // returns a random number in [0, n)
}

// wantedTask is the state of a task that this member should hold.
type wantedTask struct {
	token       uint64                   // token of the current attempt, or of the lease that it won
	nextClaim   time.Duration            // time of the next claim
	grantsUntil map[string]time.Duration // end of each grant, by voter
	refusals    map[string]bool          // voters that refused the current attempt
	failures    int                      // number of split votes since the lease was last won
	holding     bool                     // the lease was won, and its end has not been detected yet
	heldSince   time.Duration            // time at which the lease was won
}

// NewHolder returns a Holder that claims no task until SetWanted is called. randInt64N returns a random number from 0
// up to but not including n; it randomizes the time of the claim that follows a failed one.
func NewHolder(self Candidate, voters []string, limits Limits, randInt64N func(n int64) int64) *Holder {
	return &Holder{
		self:       self,
		limits:     limits,
		voters:     slices.Clone(voters),
		pending:    map[uint64]time.Duration{},
		tasks:      map[Task]*wantedTask{},
		randInt64N: randInt64N,
	}
}

// ObserveToken records a token that another member has seen. Later attempts of this holder use higher tokens.
func (h *Holder) ObserveToken(token uint64) { h.highestToken = max(h.highestToken, token) }

// HighestToken returns the highest token that the holder has seen or used.
func (h *Holder) HighestToken() uint64 { return h.highestToken }

// SetWanted sets the tasks that this member should hold from now on. The member stops holding all other tasks at once,
// and releases them with the next request.
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

// Step returns the request to send to each voter now, or false if there is none.
func (h *Holder) Step(now time.Duration) (Request, bool) {
	request := Request{From: h.self, Releases: h.releases}
	h.releases = nil
	// The tasks are sorted, so that equal histories produce equal requests.
	for _, task := range slices.Sorted(maps.Keys(h.tasks)) {
		w := h.tasks[task]
		if w.holding && !h.hasMajority(now, w) {
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

// claim adds a claim for a task to a request: a renewal if the task is held, else a new attempt under a new token.
func (h *Holder) claim(now time.Duration, task Task, w *wantedTask, request *Request) {
	hasMajority := h.hasMajority(now, w)
	if !hasMajority {
		if w.token > 0 && len(w.grantsUntil) > 0 {
			// Grants from a minority would keep other candidates from the task.
			request.Releases = append(request.Releases, Claim{Task: task, Token: w.token})
		}
		clear(w.grantsUntil)
		clear(w.refusals)
		h.highestToken++
		w.token = h.highestToken
	}
	w.nextClaim = now + h.limits.Renew
	request.Claims = append(request.Claims, Claim{task, w.token, hasMajority})
}

// HandleReply applies a voter's reply. It ignores a reply to an unknown request, a reply to another incarnation, and a
// reply from a voter that is not configured.
func (h *Holder) HandleReply(now time.Duration, reply Reply) {
	sent, ok := h.pending[reply.Seq]
	if !ok || reply.To != h.self || !slices.Contains(h.voters, reply.Voter) {
		return
	}
	for _, g := range reply.Grants {
		h.handleGrant(now, sent, reply.Voter, g)
	}
}

// handleGrant applies one grant or refusal of a voter; sent is when the claim was sent.
func (h *Holder) handleGrant(now, sent time.Duration, voter string, g Grant) {
	h.highestToken = max(h.highestToken, g.Token)
	w := h.tasks[g.Task]
	switch {
	case w == nil || g.ClaimedToken != w.token:
		// The answer concerns a task that is no longer wanted, or an earlier attempt whose claim arrived late.
		if g.Granted {
			h.releases = append(h.releases, Claim{Task: g.Task, Token: g.ClaimedToken})
		}
	case g.Granted:
		w.grantsUntil[voter] = max(w.grantsUntil[voter], sent+h.limits.Term-h.limits.Margin)
		if !w.holding && h.hasMajority(now, w) {
			w.holding, w.heldSince, w.failures = true, now, 0
		}
	case !h.hasMajority(now, w):
		h.handleRefusal(now, w, voter, g)
	}
}

// handleRefusal records a voter's refusal of the current attempt. The attempt has failed once it can no longer reach a
// majority. If another candidate holds the task, the next attempt comes soon, since that candidate may release the
// task. If the votes were split, the grants from a minority are released at once, since they keep all other candidates
// out, and the next attempt comes after a random backoff, whose range doubles with each such failure.
func (h *Holder) handleRefusal(now time.Duration, w *wantedTask, voter string, g Grant) {
	w.refusals[voter] = true
	blockingRefusals := len(h.voters) - len(h.voters)/2
	if len(w.refusals) < blockingRefusals {
		return
	}
	wait, span := min(g.Remaining, h.limits.Renew), int64(h.limits.Renew)/2
	if splitVote := len(w.grantsUntil) > 0; splitVote {
		h.releases = append(h.releases, Claim{Task: g.Task, Token: w.token})
		clear(w.grantsUntil)
		wait, span = 0, span<<min(w.failures, maxBackoffDoublings)
		w.failures++
	}
	w.nextClaim = now + wait + time.Duration(h.randInt64N(span)+1)
	clear(w.refusals)
}

// majorityUntil returns the time until which grants from a majority are valid; the lease must be renewed by then. It
// returns 0 without a majority.
func (h *Holder) majorityUntil(w *wantedTask) time.Duration {
	majority := len(h.voters)/2 + 1
	if len(w.grantsUntil) < majority {
		return 0
	}
	ends := slices.Sorted(maps.Values(w.grantsUntil))
	return ends[len(ends)-majority]
}

// hasMajority reports whether grants from a majority are valid.
func (h *Holder) hasMajority(now time.Duration, w *wantedTask) bool { return now < h.majorityUntil(w) }

// Holds reports whether this member may carry out a task at the time now, and under which token. Call it directly
// before each action.
func (h *Holder) Holds(now time.Duration, task Task) (token uint64, ok bool) {
	w := h.tasks[task]
	if w == nil || !h.hasMajority(now, w) {
		return 0, false
	}
	return w.token, true
}

// Leases returns the leases that the member holds, sorted by task.
func (h *Holder) Leases(now time.Duration) []Lease {
	var leases []Lease
	for _, task := range slices.Sorted(maps.Keys(h.tasks)) {
		if w := h.tasks[task]; h.hasMajority(now, w) {
			leases = append(leases, Lease{task, w.token, w.heldSince, h.majorityUntil(w)})
		}
	}
	return leases
}

// LastExpired returns the lease that ended last, or nil if none has ended.
func (h *Holder) LastExpired() *Expired { return h.lastExpired }
