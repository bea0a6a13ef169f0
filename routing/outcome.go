package routing

// Outcomes of attempts: what is learnt from them, and what follows for the request.

import (
	"math"
)

func (r *Router) firstToken(e FirstToken) {
	q := r.requests[e.Request]
	if q == nil || q.state != decoding || e.Attempt != q.attempts-1 {
		return
	}
	q.state, q.reservation.mayExist = streaming, false // with the first event all that is held goes by itself
	if s := r.byID[e.Endpoint]; s != nil {
		s.removePending(q.Request)
		s.streams++
		s.firstTokenDelay.add(r.now, toMS(e.Elapsed))
		x := [3]float64{1, float64(q.PromptTokens) / 1000, q.ownAttemptsAhead}
		r.decodeModel.add(r.now, x, min(toMS(e.Elapsed), 4*r.decodeModel.predict(x)+100))
		r.recordSuccess(s, q.Class)
	}
}

func (r *Router) attemptEnded(e AttemptEnded) {
	s := r.byID[e.Endpoint]
	if s != nil && e.Load != nil {
		s.reportedMemory, s.reportedBacklog = e.Load.Memory, e.Load.QueuedKiloTokens
	}
	q := r.requests[e.Request]
	if q == nil || e.Attempt != q.attempts-1 || q.state == awaitingPrefill || q.state == awaitingDecode {
		return
	}
	was := q.state
	q.selectionStart = r.now
	if was != streaming {
		q.updateReservation(r.now, e.Outcome, was == decoding)
	}
	if s != nil {
		if was == streaming {
			s.streams--
		}
		s.removePending(q.Request)
		r.recordOutcome(s, q, e, was)
	}
	switch {
	case was == answered || e.Final:
		if e.Outcome != Served || was == answered {
			r.release(q, LateOutcome)
		}
		delete(r.requests, q.Request)
		return
	case was == prefilling:
		r.prefillEnded(q, e)
	default:
		r.decodeEnded(q, e)
	}
	if r.requests[q.Request] == q {
		r.scheduleRelease(q)
	}
}

// recordOutcome learns from an outcome about the server it came from.
func (r *Router) recordOutcome(s *replica, q *request, e AttemptEnded, was requestState) {
	switch e.Outcome {
	case PrefillDone:
		r.recordSuccess(s, q.Class)
		r.recordPrefill(s, q, e)
	case Served, QueueFull, StateMissing:
		r.recordSuccess(s, q.Class)
	case Errored:
		r.recordFailure(s, q.Class, errorWeight, true)
	case ConnectFailed, ConnectionReset:
		// Connections break one by one too. A server that answers others meanwhile is not left out at once.
		weight := transportFailureWeight
		if r.now-s.lastResponse < aliveWindow {
			weight = aliveFailureWeight
		}
		r.recordFailure(s, q.Class, weight, true)
	case TimedOut:
		if was == prefilling {
			r.recordPrefill(s, q, e) // it takes at least as long
		}
		// A reader that has answered since is alive and has a queue: to leave it out would push its part
		// on to the rest, which then time out too. The estimate has learnt of the wait.
		if was == decoding || was == prefilling && s.lastResponse < q.sentAt {
			r.recordFailure(s, q.Class, transportFailureWeight, s.lastResponse < q.sentAt)
		}
	}
	if e.Outcome == QueueFull {
		s.fullUntil = r.now + queueFullBackoff
		if was == prefilling { // a full queue takes longer than any class wants to wait
			e.Elapsed = fromMS(r.tightestBudgetMS / latencyHeadroom)
			r.recordPrefill(s, q, e)
		}
	}
}

// recordPrefill learns from how long a read took, or from its time-out.
func (r *Router) recordPrefill(s *replica, q *request, e AttemptEnded) {
	kept := e.CachedTokens
	if e.Outcome != PrefillDone {
		kept = q.expectedCachedTokens
	} else if q.expectedCachedTokens > 200 {
		r.cacheHitRatio.add(r.now, min(float64(kept)/float64(q.expectedCachedTokens), 1))
	}
	if s.health[0].current(r.now) >= ejectionThreshold {
		return
	}
	x, lag := [3]float64{1, float64(max(0, q.PromptTokens-kept)) / 1000, q.ownAttemptsAhead}, r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	warmth := r.rampFraction(s)
	y, expected := toMS(e.Elapsed), r.prefillModel.predict(x)/warmth+lag
	s.queueDelay.add(r.now, y-expected)
	if q.reportedQueue >= 2 {
		r.perQueuedRequest.add(r.now, y*warmth/q.reportedQueue)
	}
	if e.Outcome == QueueFull {
		y = min(y, 4*expected+100) // no measured time: it says less of the others
	}
	r.estimateError.add(r.now, math.Abs(y-expected))
	r.commonQueueDelay.add(r.now, y-expected+lag)
	if warmth < 1 {
		return // how fast it is by now is not known
	}
	r.prefillModel.add(r.now, x, min(y-lag, 4*r.prefillModel.predict(x)+100)) // outliers are clipped
}

func (r *Router) prefillEnded(q *request, e AttemptEnded) {
	if e.Outcome == PrefillDone {
		q.state, q.pollCandidates = awaitingDecode, nil
		r.advance(q)
		return
	}
	// An attempt at a reader has no effect however it ends: another reader may be tried.
	for _, key := range []Key{q.Session, q.SharedPrefix} {
		if t := r.prefixCache[key]; t != nil && t.endpoint == e.Endpoint {
			t.tokens = 0
		}
	}
	q.failedEndpoints = append(q.failedEndpoints, e.Endpoint)
	q.state, q.retrying = awaitingPrefill, true
	if q.reservation.mayExist {
		r.retryPrefill(q)
		return
	}
	r.advance(q)
}

func (r *Router) decodeEnded(q *request, e AttemptEnded) {
	if !e.Outcome.NeverRan() && !q.mayHaveRun {
		q.mayHaveRun, q.mayHaveRunAt, q.mayHaveRunOn = true, q.sentAt, e.Endpoint
	}
	q.retrying = true
	again := r.cfg.Classes[q.Class].Idempotency == Idempotent && q.attempts+2 <= r.maxAttempts(q)
	if e.Outcome == StateMissing || e.StreamStarted && again {
		// Read anew. The state may be gone, or only out of reach: it must not stay pinned meanwhile. Another
		// writer could not find it, and the attempt would be missed for the second read.
		r.retryPrefill(q)
		return
	}
	q.failedEndpoints = append(q.failedEndpoints, e.Endpoint)
	if q.mayHaveRun && r.cfg.Classes[q.Class].Idempotency == NonIdempotent {
		r.rejectOrFail(q, MayHaveRun, 0)
		return
	}
	if q.reservation.releasedWhileDecoding { // what it was to fetch may be gone
		r.retryPrefill(q)
		return
	}
	q.state = awaitingDecode
	r.advance(q)
}

// retryPrefill lets go of what may be left of a request's state, and begins with a read. The host sends the
// read once the release has arrived, which would else let go of what is being read.
func (r *Router) retryPrefill(q *request) {
	r.release(q, BeforePrefillRetry)
	q.state, q.reservation.releasedWhileDecoding = awaitingPrefill, false
	r.advance(q)
}

func (r *Router) clientDisconnected(id RequestID) {
	q := r.requests[id]
	switch {
	case q == nil || q.state == answered:
		return
	case q.state == awaitingPrefill || q.state == awaitingDecode:
		r.release(q, ClientDisconnected)
		delete(r.requests, id)
	case q.state == streaming:
		if s := r.byID[q.endpoint]; s != nil {
			s.streams--
		}
	case r.cfg.CanCancel:
		r.emit(Cancel{id, q.attempts - 1})
	}
	q.state = answered
}
