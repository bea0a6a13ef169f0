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
	expectedCachedTokens int             // prefill: prompt tokens expected in the replica's prefix cache
	estimate             PrefillEstimate // prefill: with Config.ObservePrefills
	reportedQueue        float64         // prefill: requests ahead, by the replica's load report
	pollUnanswered       bool            // prefill: the replica had not answered a load poll in time
	ownAttemptsAhead     float64         // pending attempts of this router at the replica

	// The selection of the next replica.
	selectionStart time.Duration // time of its first look; selections that are repeated get no slow-start turn
	pollCandidates []EndpointID  // replicas whose load is known or has been polled for the request; nil: not polled yet
	pendingPolls   int           // polls without an answer yet
	pollRounds     int           // how often replicas were polled for the next attempt
	pollDeadline   time.Duration // until then the request waits for the answers

	// The first attempt that may have run, if any.
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	mayHaveRunOn EndpointID
}

// requestArrived opens a request: it enters awaitingPrefill.
func (r *Router) requestArrived(event RequestArrived) {
	if r.requests[event.Request] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(r.cfg.Classes) {
		r.emit(Fail{event.Request, UnknownClass})
		return
	}
	class := r.cfg.Classes[event.Class]
	perPrompt := time.Duration(float64(class.TTFTObjectivePer1K) * float64(event.PromptTokens) / 1000)
	req := &request{
		RequestArrived: event,
		arrivedAt:      r.now,
		deadline:       r.now + event.RemainingTime,
		ttftObjective:  class.TTFTObjective + perPrompt,
		overQuota:      r.overQuota(event.Tenant),
		selectionStart: r.now,
	}
	r.requests[event.Request] = req
	r.countArrival(req)
	r.sweepPrefixCache()
	r.advance(req)
}

// advance takes the next step of a request that has no attempt out.
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

// startPrefill applies the admission test and sends the request to the prefill replica with the lowest estimate.
func (r *Router) startPrefill(req *request) {
	if req.attempts+attemptsPerPass > r.maxAttempts(req) {
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
	r.noteEstimate(req, best)
	r.recordPrefix(req.Session, replica.ID, req.PromptTokens)
	r.recordPrefix(req.SharedPrefix, replica.ID, req.SharedPrefixTokens)
	expectedBy := r.now + time.Duration(expectedPrefillFactor*float64(estimate)) + expectedPrefillGrace
	r.send(req, replica, r.prefillTimeout(req, estimateMS), expectedBy)
}

// startDecode sends a prefilled request to the decode replica with most capacity in the cell of its prefill replica.
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

// retryLater lets a request that found no replica wait for a moment, unless its reservation would expire at limit or
// its time would run out.
func (r *Router) retryLater(req *request, why Reason, limit time.Duration) {
	if r.now+minSelectionRetries*selectionRetryInterval >= min(limit, req.deadline-answerMargin) {
		r.rejectOrFail(req, why, 0)
		return
	}
	r.emit(SetTimer{selectionRetryInterval, TimerID(req.Request)})
}

// send makes an attempt, which counts as overdue after expectedBy. Every Send comes from here.
func (r *Router) send(req *request, replica *replica, timeout, expectedBy time.Duration) {
	r.chargeBudgets(req)
	req.endpoint, req.sentAt = replica.ID, r.now
	req.attempts++
	replica.pending = append(replica.pending, pendingAttempt{req.Request, r.now, expectedBy})
	r.emit(Send{req.Request, replica.ID, timeout})
}

// firstToken moves a request from decoding to streaming. The reservation ends by itself with the first event of the
// stream.
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

// attemptEnded learns from the end of an attempt and takes the request's next step.
func (r *Router) attemptEnded(event AttemptEnded) {
	replica := r.byID[event.Endpoint]
	if replica != nil && event.Load != nil {
		replica.reportedMemory, replica.reportedBacklog = event.Load.Memory, event.Load.QueuedKiloTokens
	}
	req := r.requests[event.Request]
	if req == nil || event.Attempt != req.attempts-1 || req.state == awaitingPrefill || req.state == awaitingDecode {
		return
	}
	during := req.state
	req.selectionStart = r.now
	if during != streaming {
		req.updateReservation(r.now, event.Outcome, during)
	}
	if replica != nil {
		if during == streaming {
			replica.streams--
		}
		replica.removePending(req.Request)
		r.recordOutcome(replica, req, event, during)
	}
	switch {
	case during == abandoned || event.Final:
		if event.Outcome != Served || during == abandoned {
			r.release(req, LateOutcome)
		}
		delete(r.requests, req.Request)
		return
	case during == prefilling:
		r.prefillEnded(req, event)
	default:
		r.decodeEnded(req, event)
	}
	if r.requests[req.Request] == req {
		r.scheduleRelease(req)
	}
}

// prefillEnded moves a request from prefilling to awaitingDecode, or back to awaitingPrefill after a failure. A
// prefill has no effect however it ends, so another replica may always be tried.
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

// decodeEnded moves a request from decoding or streaming back to awaitingDecode or awaitingPrefill after a failure, or
// ends it where a retry is not allowed.
func (r *Router) decodeEnded(req *request, event AttemptEnded) {
	if !event.Outcome.NeverRan() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunAt, req.mayHaveRunOn = true, req.sentAt, event.Endpoint
	}
	req.retrying = true
	idempotency := r.cfg.Classes[req.Class].Idempotency
	canRepeatPrefill := idempotency == Idempotent && req.attempts+attemptsPerPass <= r.maxAttempts(req)
	if event.Outcome == StateMissing || event.StreamStarted && canRepeatPrefill {
		// The prefill result may be gone or only out of reach: it must not stay reserved meanwhile. Another decode
		// replica could not find it, and that attempt would be missing for the second prefill.
		r.retryPrefill(req)
		return
	}
	req.failedEndpoints = append(req.failedEndpoints, event.Endpoint)
	if req.mayHaveRun && idempotency == NonIdempotent {
		r.rejectOrFail(req, MayHaveRun, 0)
		return
	}
	if req.reservation.releasedWhileDecoding { // the prefill result may be gone
		r.retryPrefill(req)
		return
	}
	req.state = awaitingDecode
	r.advance(req)
}

// retryPrefill releases what may remain of a request's reservation and moves it to awaitingPrefill. The host sends the
// prefill after the release has arrived, which would otherwise release the new prefill's result.
func (r *Router) retryPrefill(req *request) {
	r.release(req, BeforePrefillRetry)
	req.state, req.reservation.releasedWhileDecoding = awaitingPrefill, false
	r.advance(req)
}

// reservationExpired moves a request whose reservation has just been released from awaitingDecode to awaitingPrefill.
// A decode attempt that is out goes on; if it arrives after the release, it finds no prefill result.
func (r *Router) reservationExpired(req *request) {
	switch req.state {
	case awaitingDecode:
		req.state, req.retrying, req.pendingPolls, req.selectionStart = awaitingPrefill, true, 0, r.now
		r.advance(req)
	case decoding:
		req.reservation.releasedWhileDecoding = true
	}
}

// timerFired goes on with a request that waited, or checks its reservation.
func (r *Router) timerFired(id TimerID) {
	req := r.requests[RequestID(id&^releaseTimerFlag)]
	switch {
	case req == nil:
	case id&releaseTimerFlag != 0:
		r.releaseIfExpired(req)
	case req.state == awaitingPrefill || req.state == awaitingDecode:
		if req.pendingPolls > 0 && r.now < req.pollDeadline {
			return // the timer of earlier polls
		}
		if req.pendingPolls > 0 { // the answers did not come in time
			req.pendingPolls, req.selectionStart = 0, r.now
		}
		r.advance(req)
	}
}

// clientDisconnected closes a request without an attempt; one with an attempt out moves to abandoned.
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

// rejectOrFail ends a request that has no attempt out. It is rejected where the promise holds that a retry is
// harmless, and failed otherwise. The Retry-After of a rejection is about the time, excessMS, by which the request
// would have been late, with jitter so that not all clients come back at once.
func (r *Router) rejectOrFail(req *request, why Reason, excessMS float64) {
	class := r.cfg.Classes[req.Class]
	deduplicated := class.Idempotency == IdempotentByKey && class.DedupScope == DedupScopeAll
	if req.mayHaveRun && class.Idempotency != Idempotent && !deduplicated {
		r.finish(req, Fail{req.Request, why})
		return
	}
	retryAfter := min(fromMS(max(excessMS, 0)), r.cfg.MaxRetryAfter)
	jittered := (1 - retryAfterJitter + r.rng.Float64()*retryAfterJitter) * float64(retryAfter)
	r.finish(req, Reject{req.Request, time.Duration(jittered), why})
}

// finish closes a request with its final answer. It is the only place that answers an open request.
func (r *Router) finish(req *request, answer Action) {
	if req.attempts > 0 {
		r.release(req, AfterAnswer)
	}
	r.emit(answer)
	delete(r.requests, req.Request)
}
