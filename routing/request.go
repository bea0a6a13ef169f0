package routing

import "time"

// requestState is the state of an open request.
//
//	awaitingPrefill --> prefilling --> awaitingDecode --> decoding --> streaming --> closed
//
// A request gets exactly one final answer. It is closed (removed from Router.requests) once it has been answered
// and no attempt is in flight. The transitions, with the functions that make them:
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
//	streaming        failed, as in decoding (decodeEnded)            awaitingDecode or awaitingPrefill
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
	awaitingPrefill requestState = iota // not prefilled, no attempt in flight
	prefilling                          // an attempt at a prefill replica is in flight
	awaitingDecode                      // prefill result reserved at the prefill replica, no attempt in flight
	decoding                            // an attempt at a decode replica is in flight, without a first token yet
	streaming                           // the response stream has begun
	abandoned                           // the client has disconnected; the attempt's outcome is outstanding
)

const (
	// attemptsFromPrefill is the number of attempts that a request needs from its prefill on: a prefill and a decode.
	attemptsFromPrefill = 2
	// minSelectionRetries is the number of retries of a replica selection that must fit into the remaining time; if
	// fewer fit, the request is ended at once.
	minSelectionRetries = 2
	// retryAfterJitter is the fraction of Retry-After that is random.
	retryAfterJitter = 0.5
)

// request is the state of an open request.
type request struct {
	RequestArrived
	state         requestState
	arrivedAt     time.Duration
	deadline      time.Duration
	ttftObjective time.Duration // latency objective for the first token, measured from arrivedAt
	overQuota     bool          // the request exceeds its tenant's quota

	attempts        int          // number of attempts made so far
	retrying        bool         // the next attempt repeats a stage after a failure
	failedEndpoints []EndpointID // replicas at which an attempt of the request failed
	reservation     reservation
	prefillEndpoint EndpointID // replica of the latest prefill

	// The attempt in flight.
	endpoint             EndpointID
	sentAt               time.Duration
	expectedCachedTokens int             // prefill only: prompt tokens expected in the replica's prefix cache
	estimate             PrefillEstimate // prefill only: set if Config.ObservePrefills is set
	reportedQueue        float64         // prefill only: requests ahead, from the replica's load report
	pollUnanswered       bool            // prefill only: the replica had not answered a load poll in time
	ownAttemptsAhead     float64         // earlier pending attempts of this router at the replica

	// The selection of the next replica.
	selectionStart time.Duration // time at which it began; a later repetition may not use a replica in slow start
	pollCandidates []EndpointID  // replicas whose load is known or was polled for the request; nil if none yet
	pendingPolls   int           // number of polls not answered yet
	pollRounds     int           // number of poll rounds for the next attempt
	pollDeadline   time.Duration // time until which the request waits for the answers

	// The first attempt that may have run, if any.
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	mayHaveRunOn EndpointID
}

// requestArrived opens a request in state awaitingPrefill and takes its first step. A request of an unknown class
// fails at once.
func (r *Router) requestArrived(event RequestArrived) {
	if r.requests[event.Request] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(r.cfg.Classes) {
		r.emit(Fail{event.Request, UnknownClass})
		return
	}
	class := r.cfg.Classes[event.Class]
	promptAllowance := time.Duration(float64(class.TTFTObjectivePer1K) * float64(event.PromptTokens) / 1000)
	req := &request{
		RequestArrived: event,
		arrivedAt:      r.now,
		deadline:       r.now + event.RemainingTime,
		ttftObjective:  class.TTFTObjective + promptAllowance,
		overQuota:      r.overQuota(event.Tenant),
		selectionStart: r.now,
	}
	r.requests[event.Request] = req
	r.countArrival(req)
	r.sweepPrefixTable()
	r.advance(req)
}

// advance takes the next step of a request that has no attempt in flight.
func (r *Router) advance(req *request) {
	if req.attempts >= r.maxAttempts(req) {
		r.rejectOrFail(req, AttemptsExhausted, 0)
		return
	}
	if r.now+answerMargin >= req.deadline {
		r.rejectOrFail(req, DeadlineExceeded, 0)
		return
	}
	if !r.withinRetryBudget(req) {
		r.rejectOrFail(req, RetryBudgetExhausted, toMS(r.cfg.MaxRetryAfter))
		return
	}
	if req.state == awaitingDecode {
		r.startDecode(req)
	} else {
		r.startPrefill(req)
	}
}

// startPrefill sends the request to the prefill replica with the lowest estimate if the admission test allows it, and
// rejects it otherwise. Before that it may wait for load polls. If no prefill replica is eligible, the request goes to
// a decode replica that can prefill, or the selection is repeated later.
func (r *Router) startPrefill(req *request) {
	if req.attempts+attemptsFromPrefill > r.maxAttempts(req) {
		r.rejectOrFail(req, AttemptsExhausted, 0)
		return
	}
	if r.pollLoads(req) {
		return
	}
	best, ok := r.bestPrefillReplica(req)
	if !ok {
		if r.cfg.DecodeCanPrefill || r.maxReady[Prefill] == 0 && r.maxReady[Combined] > 0 {
			r.startDecode(req)
			return
		}
		r.retryLater(req, NoPrefillReplica, req.arrivedAt+req.ttftObjective)
		return
	}
	estimateMS := best.queueDelayMS + best.prefillMS
	if !r.admit(req, best.queueDelayMS, best.prefillMS) {
		r.rejectOrFail(req, OverLatencyBudget, estimateMS-toMS(req.ttftObjective))
		return
	}
	replica, estimate := best.replica, fromMS(estimateMS)
	req.state, req.prefillEndpoint = prefilling, replica.ID
	req.expectedCachedTokens = r.expectedCachedTokens(replica, req, best.rank)
	req.ownAttemptsAhead = float64(len(replica.pending))
	req.reportedQueue = r.reportedQueueOf(replica)
	req.pollUnanswered = r.pollUnanswered(replica)
	r.recordEstimate(req, best)
	r.recordPrefix(req.Session, replica.ID, req.PromptTokens)
	r.recordPrefix(req.SharedPrefix, replica.ID, req.SharedPrefixTokens)
	expectedBy := r.now + time.Duration(expectedPrefillFactor*float64(estimate)) + expectedPrefillGrace
	r.send(req, replica, r.prefillTimeout(req, estimateMS), expectedBy)
}

// startDecode sends a request to the decode replica that bestDecodeReplica selects. Before that it may wait for load
// polls. If there is no such replica, the selection is repeated later.
func (r *Router) startDecode(req *request) {
	if r.pollLoads(req) {
		return
	}
	replica := r.bestDecodeReplica(req)
	if replica == nil {
		r.retryLater(req, NoDecodeReplica, r.releaseDeadline(req))
		return
	}
	req.state, req.ownAttemptsAhead = decoding, float64(len(replica.pending))
	r.send(req, replica, r.decodeTimeout(req), r.now+minDecodeTimeout)
}

// retryLater sets a timer to repeat a selection that found no replica. It ends the request instead if too little time
// remains before limit or before the request's deadline.
func (r *Router) retryLater(req *request, reason Reason, limit time.Duration) {
	if r.now+minSelectionRetries*selectionRetryInterval >= min(limit, req.deadline-answerMargin) {
		r.rejectOrFail(req, reason, 0)
		return
	}
	r.emit(SetTimer{selectionRetryInterval, TimerID(req.Request)})
}

// send makes an attempt, which counts as overdue after expectedBy. It is the only function that emits Send.
func (r *Router) send(req *request, replica *replica, timeout, expectedBy time.Duration) {
	r.chargeBudgets(req)
	req.endpoint, req.sentAt = replica.ID, r.now
	req.attempts++
	replica.pending = append(replica.pending, pendingAttempt{req.Request, r.now, expectedBy})
	r.emit(Send{req.Request, replica.ID, timeout})
}

// firstToken moves a request from decoding to streaming. The reservation ends with the first event of the stream,
// without a Release.
func (r *Router) firstToken(event FirstToken) {
	req := r.requests[event.Request]
	if req == nil || req.state != decoding || event.Attempt != req.attempts-1 {
		return
	}
	req.state, req.reservation.mayExist = streaming, false
	if replica := r.byID[event.Endpoint]; replica != nil {
		replica.removePending(req.Request)
		replica.streams++
		r.recordFirstToken(replica, req, toMS(event.Elapsed))
	}
}

// attemptEnded updates the learned state from the end of an attempt and takes the request's next step.
func (r *Router) attemptEnded(event AttemptEnded) {
	replica := r.byID[event.Endpoint]
	if replica != nil && event.Load != nil {
		replica.reportedMemory, replica.reportedBacklog = event.Load.Memory, event.Load.QueuedKiloTokens
	}
	req := r.requests[event.Request]
	if req == nil || event.Attempt != req.attempts-1 || req.state == awaitingPrefill || req.state == awaitingDecode {
		return
	}
	priorState := req.state
	req.selectionStart = r.now
	if priorState != streaming {
		req.updateReservation(r.now, event.Outcome, priorState)
	}
	if replica != nil {
		if priorState == streaming {
			replica.streams--
		}
		replica.removePending(req.Request)
		r.recordOutcome(replica, req, event, priorState)
	}
	switch {
	case priorState == abandoned || event.Final:
		if event.Outcome != Served || priorState == abandoned {
			r.release(req, LateOutcome)
		}
		delete(r.requests, req.Request)
		return
	case priorState == prefilling:
		r.prefillEnded(req, event)
	default:
		r.decodeEnded(req, event)
	}
	if r.requests[req.Request] == req {
		r.scheduleRelease(req)
	}
}

// prefillEnded moves a request from prefilling to awaitingDecode, or back to awaitingPrefill after a failure. A prefill
// has no lasting effect however it ends, so a retry at another replica is always allowed.
func (r *Router) prefillEnded(req *request, event AttemptEnded) {
	if event.Outcome == PrefillDone {
		req.state, req.pollCandidates, req.pollRounds = awaitingDecode, nil, 0
		r.advance(req)
		return
	}
	r.forgetPrefixes(req, event.Endpoint)
	req.failedEndpoints = append(req.failedEndpoints, event.Endpoint)
	req.state, req.retrying = awaitingPrefill, true
	if req.reservation.mayExist {
		r.retryPrefill(req)
		return
	}
	r.advance(req)
}

// decodeEnded moves a request from decoding or streaming back to awaitingDecode or awaitingPrefill after a failure. If
// a retry is not allowed, it ends the request.
func (r *Router) decodeEnded(req *request, event AttemptEnded) {
	if !event.Outcome.NeverRan() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunAt, req.mayHaveRunOn = true, req.sentAt, event.Endpoint
	}
	req.retrying = true
	idempotency := r.cfg.Classes[req.Class].Idempotency
	canRepeatPrefill := idempotency == Idempotent && req.attempts+attemptsFromPrefill <= r.maxAttempts(req)
	if event.Outcome == PrefillResultMissing || event.StreamStarted && canRepeatPrefill {
		// The prefill result may be lost or merely unreachable, so it must not stay reserved. Another decode replica
		// could not fetch it either, and an attempt there would use up one that the second prefill needs.
		r.retryPrefill(req)
		return
	}
	req.failedEndpoints = append(req.failedEndpoints, event.Endpoint)
	if req.mayHaveRun && idempotency == NonIdempotent {
		r.rejectOrFail(req, MayHaveRun, 0)
		return
	}
	if req.reservation.releasedWhileDecoding { // the release may have discarded the prefill result
		r.retryPrefill(req)
		return
	}
	req.state = awaitingDecode
	r.advance(req)
}

// retryPrefill releases what may remain of a request's reservation and moves the request to awaitingPrefill. The host
// sends the new prefill after the release has arrived, unless that takes too long: a release that arrives after the new
// prefill would discard its result.
func (r *Router) retryPrefill(req *request) {
	r.release(req, BeforePrefillRetry)
	req.state, req.reservation.releasedWhileDecoding = awaitingPrefill, false
	r.advance(req)
}

// reservationExpired moves a request whose reservation has just been released from awaitingDecode to awaitingPrefill. A
// decode attempt in flight continues; if it arrives after the release, it finds no prefill result.
func (r *Router) reservationExpired(req *request) {
	switch req.state {
	case awaitingDecode:
		req.state, req.retrying, req.pendingPolls, req.selectionStart = awaitingPrefill, true, 0, r.now
		r.advance(req)
	case decoding:
		req.reservation.releasedWhileDecoding = true
	}
}

// timerFired continues a request that was waiting, or checks the request's reservation.
func (r *Router) timerFired(id TimerID) {
	req := r.requests[RequestID(id&^releaseTimerFlag)]
	switch {
	case req == nil:
	case id&releaseTimerFlag != 0:
		r.releaseIfExpired(req)
	case req.state == awaitingPrefill || req.state == awaitingDecode:
		if req.pendingPolls > 0 && r.now < req.pollDeadline {
			return // the timer belongs to an earlier poll round
		}
		if req.pendingPolls > 0 { // the answers did not arrive in time
			req.pendingPolls, req.selectionStart = 0, r.now
		}
		r.advance(req)
	}
}

// clientDisconnected closes a request without an attempt in flight; a request with one moves to abandoned.
func (r *Router) clientDisconnected(id RequestID) {
	req := r.requests[id]
	switch {
	case req == nil || req.state == abandoned:
		return
	case req.state == awaitingPrefill || req.state == awaitingDecode:
		r.release(req, ClientDisconnected)
		delete(r.requests, id)
	case req.state == streaming:
		if replica := r.byID[req.endpoint]; replica != nil {
			replica.streams--
		}
	case r.cfg.CanCancel:
		r.emit(Cancel{id, req.attempts - 1})
	}
	req.state = abandoned
}

// rejectOrFail ends a request that has no attempt in flight. It rejects the request if a retry by the client is
// harmless, and fails it otherwise. The Retry-After of a rejection is based on excessMS, the time by which the request
// would have been late, with jitter so that clients do not all retry at once.
func (r *Router) rejectOrFail(req *request, reason Reason, excessMS float64) {
	class := r.cfg.Classes[req.Class]
	deduplicated := class.Idempotency == IdempotentByKey && class.DedupScope == DedupScopeAll
	if req.mayHaveRun && class.Idempotency != Idempotent && !deduplicated {
		r.finish(req, Fail{req.Request, reason})
		return
	}
	retryAfter := min(fromMS(max(excessMS, 0)), r.cfg.MaxRetryAfter)
	jittered := (1 - retryAfterJitter + r.rng.Float64()*retryAfterJitter) * float64(retryAfter)
	r.finish(req, Reject{req.Request, time.Duration(jittered), reason})
}

// finish closes a request with its final answer. It is the only function that answers an open request.
func (r *Router) finish(req *request, answer Action) {
	if req.attempts > 0 {
		r.release(req, AfterAnswer)
	}
	r.emit(answer)
	delete(r.requests, req.Request)
}
