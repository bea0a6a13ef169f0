package routing

import "time"

// requestState is the state of an open request.
//
//	awaitingPrefill --> prefilling --> awaitingDecode --> decoding --> streaming --> closed
//
// A request gets one final answer. It is closed, that is, removed from Router.requests, when it has been answered and
// no attempt is out. The transitions, with the functions that make them:
//
//	state            event                                           next state
//	(none)           RequestArrived (requestArrived)                 awaitingPrefill
//	awaitingPrefill  prefill replica selected (startPrefill)         prefilling
//	awaitingPrefill  a decode replica prefills too (startDecode)     decoding
//	prefilling       PrefillDone (prefillEnded)                      awaitingDecode
//	prefilling       attempt failed (prefillEnded)                   awaitingPrefill
//	awaitingDecode   decode replica selected (startDecode)           decoding
//	awaitingDecode   reservation expired (reservationExpired)        awaitingPrefill
//	decoding         FirstToken (firstToken)                         streaming
//	decoding         failed, prefill result usable (decodeEnded)     awaitingDecode
//	decoding         failed, prefill result lost (retryPrefill)      awaitingPrefill
//	streaming        failed, as decoding (decodeEnded)               awaitingDecode or awaitingPrefill
//	with attempt     final outcome (attemptEnded)                    closed
//	with attempt     ClientGone (clientDisconnected)                 abandoned
//	abandoned        outcome of the attempt (attemptEnded)           closed
//	without attempt  rejected or failed (finish)                     closed
//	without attempt  ClientGone (clientDisconnected)                 closed
//
// "With attempt" is prefilling, decoding or streaming, "without attempt" awaitingPrefill or awaitingDecode. decodeEnded
// rejects or fails a request that may not be retried.
type requestState uint8

const (
	awaitingPrefill requestState = iota // no attempt out, not prefilled
	prefilling                          // an attempt at a prefill replica is out
	awaitingDecode                      // its prefill result is reserved at the prefill replica, no attempt out
	decoding                            // an attempt at a decode replica is out
	streaming                           // the response stream has begun
	abandoned                           // the client has disconnected; the attempt's outcome is still to come
)

const (
	// attemptsPerPass is the number of attempts that a request needs from the start: a prefill and a decode.
	attemptsPerPass = 2
	// minSelectionRetries is the number of further looks for a replica that must fit into the remaining time for a
	// request to wait.
	minSelectionRetries = 2
	// retryAfterJitter is the fraction of Retry-After that is random.
	retryAfterJitter = 0.5
)

// request is an open request.
type request struct {
	RequestArrived
	state         requestState
	arrivedAt     time.Duration
	deadline      time.Duration
	ttftObjective time.Duration // latency objective for the first token, from arrivedAt on
	overQuota     bool          // it is beyond its tenant's quota

	attempts        int          // made so far
	retrying        bool         // the next attempt repeats a stage after a failure
	failedEndpoints []EndpointID // replicas that failed the request
	reservation     reservation
	prefillEndpoint EndpointID // replica of the latest prefill

	// The attempt that is out.
	endpoint             EndpointID
	sentAt               time.Duration
	expectedCachedTokens int     // prefill: prompt tokens expected in the replica's prefix cache
	reportedQueue        float64 // prefill: requests ahead, by the replica's load report
	ownAttemptsAhead     float64 // pending attempts of this router at the replica

	// The selection of the next replica.
	selectionStart time.Duration // time of its first look; selections that are repeated get no slow-start turn
	pollCandidates []EndpointID  // replicas whose load is known or has been polled for the request; nil: not polled yet
	pendingPolls   int           // polls without an answer yet

	// The first attempt that may have run, if any.
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	mayHaveRunOn EndpointID
}

// requestArrived opens a request: it enters awaitingPrefill.
func (r *Router) requestArrived(e RequestArrived) {
	if r.requests[e.Request] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.emit(Fail{e.Request, UnknownClass})
		return
	}
	class := r.cfg.Classes[e.Class]
	perPrompt := time.Duration(float64(class.TTFTObjectivePer1K) * float64(e.PromptTokens) / 1000)
	q := &request{
		RequestArrived: e,
		arrivedAt:      r.now,
		deadline:       r.now + e.TimeLeft,
		ttftObjective:  class.TTFTObjective + perPrompt,
		overQuota:      r.overQuota(e.Tenant),
		selectionStart: r.now,
	}
	r.requests[e.Request] = q
	r.countArrival(q)
	r.sweepPrefixCache()
	r.advance(q)
}

// advance takes the next step of a request that has no attempt out.
func (r *Router) advance(q *request) {
	if q.attempts >= r.maxAttempts(q) {
		r.rejectOrFail(q, AttemptsExhausted, 0)
		return
	}
	if r.now+answerMargin >= q.deadline {
		r.rejectOrFail(q, DeadlineExceeded, 0)
		return
	}
	if !r.withinRetryBudget(q) {
		r.rejectOrFail(q, RetryBudgetExhausted, toMS(r.cfg.MaxRetryAfter))
		return
	}
	if q.state == awaitingDecode {
		r.startDecode(q)
	} else {
		r.startPrefill(q)
	}
}

// startPrefill applies the admission test and sends the request to the prefill replica with the lowest estimate.
func (r *Router) startPrefill(q *request) {
	if q.attempts+attemptsPerPass > r.maxAttempts(q) {
		r.rejectOrFail(q, AttemptsExhausted, 0)
		return
	}
	if r.pollLoads(q) {
		return
	}
	c, ok := r.bestPrefillReplica(q)
	if !ok {
		if r.cfg.DecodeCanPrefill || r.maxReady[Prefill] == 0 && r.maxReady[Combined] > 0 {
			r.startDecode(q)
			return
		}
		r.retryLater(q, NoPrefillReplica, q.arrivedAt+q.ttftObjective)
		return
	}
	estimateMS := c.queueDelayMS + c.prefillMS
	if !r.admit(q, c.queueDelayMS, c.prefillMS) {
		r.rejectOrFail(q, OverLatencyBudget, estimateMS-toMS(q.ttftObjective))
		return
	}
	s, estimate := c.replica, fromMS(estimateMS)
	q.state, q.prefillEndpoint = prefilling, s.ID
	q.expectedCachedTokens = r.expectedCachedTokens(s, q, c.rank)
	q.ownAttemptsAhead = float64(len(s.pending))
	q.reportedQueue = r.reportedQueueOf(s)
	r.recordPrefix(q.Session, s.ID, q.PromptTokens)
	r.recordPrefix(q.SharedPrefix, s.ID, q.SharedPrefixTokens)
	expectedBy := r.now + time.Duration(expectedPrefillFactor*float64(estimate)) + expectedPrefillGrace
	r.send(q, s, r.prefillTimeout(q, estimateMS), expectedBy)
}

// startDecode sends a prefilled request to the decode replica with most capacity in the cell of its prefill replica.
func (r *Router) startDecode(q *request) {
	if r.pollLoads(q) {
		return
	}
	s := r.bestDecodeReplica(q)
	if s == nil {
		r.retryLater(q, NoDecodeReplica, r.releaseDeadline(q))
		return
	}
	q.state, q.ownAttemptsAhead = decoding, float64(len(s.pending))
	r.send(q, s, r.decodeTimeout(q), r.now+minDecodeTimeout)
}

// retryLater lets a request that found no replica wait for a moment, unless its reservation would expire at limit or
// its time would run out.
func (r *Router) retryLater(q *request, why Reason, limit time.Duration) {
	if r.now+minSelectionRetries*selectionRetryInterval >= min(limit, q.deadline-answerMargin) {
		r.rejectOrFail(q, why, 0)
		return
	}
	r.emit(SetTimer{selectionRetryInterval, TimerID(q.Request)})
}

// send makes an attempt, which counts as overdue after expectedBy. Every Send comes from here.
func (r *Router) send(q *request, s *replica, timeout, expectedBy time.Duration) {
	r.chargeBudgets(q)
	q.endpoint, q.sentAt = s.ID, r.now
	q.attempts++
	s.pending = append(s.pending, pendingAttempt{q.Request, r.now, expectedBy})
	r.emit(Send{q.Request, s.ID, timeout})
}

// firstToken moves a request from decoding to streaming. The reservation ends by itself with the first event of the
// stream.
func (r *Router) firstToken(e FirstToken) {
	q := r.requests[e.Request]
	if q == nil || q.state != decoding || e.Attempt != q.attempts-1 {
		return
	}
	q.state, q.reservation.mayExist = streaming, false
	if s := r.byID[e.Endpoint]; s != nil {
		s.removePending(q.Request)
		s.streams++
		r.recordFirstToken(s, q, toMS(e.Elapsed))
	}
}

// attemptEnded learns from the end of an attempt and takes the request's next step.
func (r *Router) attemptEnded(e AttemptEnded) {
	s := r.byID[e.Endpoint]
	if s != nil && e.Load != nil {
		s.reportedMemory, s.reportedBacklog = e.Load.Memory, e.Load.QueuedKiloTokens
	}
	q := r.requests[e.Request]
	if q == nil || e.Attempt != q.attempts-1 || q.state == awaitingPrefill || q.state == awaitingDecode {
		return
	}
	during := q.state
	q.selectionStart = r.now
	if during != streaming {
		q.updateReservation(r.now, e.Outcome, during)
	}
	if s != nil {
		if during == streaming {
			s.streams--
		}
		s.removePending(q.Request)
		r.recordOutcome(s, q, e, during)
	}
	switch {
	case during == abandoned || e.Final:
		if e.Outcome != Served || during == abandoned {
			r.release(q, LateOutcome)
		}
		delete(r.requests, q.Request)
		return
	case during == prefilling:
		r.prefillEnded(q, e)
	default:
		r.decodeEnded(q, e)
	}
	if r.requests[q.Request] == q {
		r.scheduleRelease(q)
	}
}

// prefillEnded moves a request from prefilling to awaitingDecode, or back to awaitingPrefill after a failure. A
// prefill has no effect however it ends, so another replica may always be tried.
func (r *Router) prefillEnded(q *request, e AttemptEnded) {
	if e.Outcome == PrefillDone {
		q.state, q.pollCandidates = awaitingDecode, nil
		r.advance(q)
		return
	}
	r.forgetPrefixes(q, e.Endpoint)
	q.failedEndpoints = append(q.failedEndpoints, e.Endpoint)
	q.state, q.retrying = awaitingPrefill, true
	if q.reservation.mayExist {
		r.retryPrefill(q)
		return
	}
	r.advance(q)
}

// decodeEnded moves a request from decoding or streaming back to awaitingDecode or awaitingPrefill after a failure, or
// ends it where a retry is not allowed.
func (r *Router) decodeEnded(q *request, e AttemptEnded) {
	if !e.Outcome.NeverRan() && !q.mayHaveRun {
		q.mayHaveRun, q.mayHaveRunAt, q.mayHaveRunOn = true, q.sentAt, e.Endpoint
	}
	q.retrying = true
	idempotency := r.cfg.Classes[q.Class].Idempotency
	canRepeatPrefill := idempotency == Idempotent && q.attempts+attemptsPerPass <= r.maxAttempts(q)
	if e.Outcome == StateMissing || e.StreamStarted && canRepeatPrefill {
		// The prefill result may be gone or only out of reach: it must not stay reserved meanwhile. Another decode
		// replica could not find it, and that attempt would be missing for the second prefill.
		r.retryPrefill(q)
		return
	}
	q.failedEndpoints = append(q.failedEndpoints, e.Endpoint)
	if q.mayHaveRun && idempotency == NonIdempotent {
		r.rejectOrFail(q, MayHaveRun, 0)
		return
	}
	if q.reservation.releasedWhileDecoding { // the prefill result may be gone
		r.retryPrefill(q)
		return
	}
	q.state = awaitingDecode
	r.advance(q)
}

// retryPrefill releases what may remain of a request's reservation and moves it to awaitingPrefill. The host sends the
// prefill after the release has arrived, which would otherwise release the new prefill's result.
func (r *Router) retryPrefill(q *request) {
	r.release(q, BeforePrefillRetry)
	q.state, q.reservation.releasedWhileDecoding = awaitingPrefill, false
	r.advance(q)
}

// reservationExpired moves a request whose reservation has just been released from awaitingDecode to awaitingPrefill.
// A decode attempt that is out goes on; if it arrives after the release, it finds no prefill result.
func (r *Router) reservationExpired(q *request) {
	switch q.state {
	case awaitingDecode:
		q.state, q.retrying, q.pendingPolls, q.selectionStart = awaitingPrefill, true, 0, r.now
		r.advance(q)
	case decoding:
		q.reservation.releasedWhileDecoding = true
	}
}

// timerFired goes on with a request that waited, or checks its reservation.
func (r *Router) timerFired(id TimerID) {
	q := r.requests[RequestID(id&^releaseTimerFlag)]
	switch {
	case q == nil:
	case id&releaseTimerFlag != 0:
		r.releaseIfExpired(q)
	case q.state == awaitingPrefill || q.state == awaitingDecode:
		if q.pendingPolls > 0 { // the answers did not come in time
			q.pendingPolls, q.selectionStart = 0, r.now
		}
		r.advance(q)
	}
}

// clientDisconnected closes a request without an attempt; one with an attempt out moves to abandoned.
func (r *Router) clientDisconnected(id RequestID) {
	q := r.requests[id]
	switch {
	case q == nil || q.state == abandoned:
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
	q.state = abandoned
}

// rejectOrFail ends a request that has no attempt out. It is rejected where the promise holds that a retry is
// harmless, and failed otherwise. The Retry-After of a rejection is about the time, excessMS, by which the request
// would have been late, with jitter so that not all clients come back at once.
func (r *Router) rejectOrFail(q *request, why Reason, excessMS float64) {
	class := r.cfg.Classes[q.Class]
	deduplicated := class.Idempotency == IdempotentByKey && class.DedupScope == ScopeAll
	if q.mayHaveRun && class.Idempotency != Idempotent && !deduplicated {
		r.finish(q, Fail{q.Request, why})
		return
	}
	retryAfter := min(fromMS(max(excessMS, 0)), r.cfg.MaxRetryAfter)
	jittered := (1 - retryAfterJitter + r.rng.Float64()*retryAfterJitter) * float64(retryAfter)
	r.finish(q, Reject{q.Request, time.Duration(jittered), why})
}

// finish closes a request with its final answer. It is the only place that answers an open request.
func (r *Router) finish(q *request, answer Action) {
	if q.attempts > 0 {
		r.release(q, AfterAnswer)
	}
	r.emit(answer)
	delete(r.requests, q.Request)
}
