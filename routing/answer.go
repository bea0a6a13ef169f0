package routing

// Final answers.

import (
	"time"
)

// rejectOrFail answers a request that has no attempt out: a refusal when that is true, with advice to return about
// when the excess, in ms, should be gone, drawn lest all come back at once; else a failure.
func (r *Router) rejectOrFail(q *request, why Reason, excess float64) {
	c := r.cfg.Classes[q.Class]
	if q.mayHaveRun && (c.Idempotency == NonIdempotent || c.Idempotency == IdempotentByKey && c.DedupScope != ScopeAll) {
		r.finish(q, Fail{q.Request, why})
		return
	}
	back := min(fromMS(max(excess, 0)), r.cfg.MaxRetryAfter)
	r.finish(q, Reject{q.Request, time.Duration((0.5 + r.rng.Float64()/2) * float64(back)), why})
}

// finish is the one exit: it releases what may be held, answers, and forgets the request.
func (r *Router) finish(q *request, answer Action) {
	if q.attempts > 0 {
		r.release(q, AfterAnswer)
	}
	r.emit(answer)
	delete(r.requests, q.Request)
}

// timer goes on with a request that was paused, or looks after what it holds.
func (r *Router) timerFired(id TimerID) {
	q := r.requests[RequestID(id&^releaseTimerFlag)]
	switch {
	case q == nil:
	case id&releaseTimerFlag != 0:
		r.releaseIfExpired(q)
	case q.state == awaitingPrefill || q.state == awaitingDecode:
		if q.pendingPolls > 0 { // what it asked for is missing
			q.pendingPolls, q.selectionStart = 0, r.now
		}
		r.advance(q)
	}
}
