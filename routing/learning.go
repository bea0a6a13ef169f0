package routing

import "math"

// recordOutcome updates the learned state from the outcome of an attempt at a replica. priorState is the request's
// state before the outcome.
func (r *Router) recordOutcome(replica *replica, req *request, event AttemptEnded, priorState requestState) {
	if priorState == prefilling {
		r.observePrefill(req, event)
	}
	switch event.Outcome {
	case PrefillDone:
		r.recordSuccess(replica, req.Class)
		r.recordPrefill(replica, req, event)
	case Served, QueueFull, PrefillResultMissing:
		r.recordSuccess(replica, req.Class)
	case ErrorResponse:
		r.recordFailure(replica, req.Class, errorWeight)
	case ConnectFailed, ConnectionReset:
		// A single connection may break at a live replica: a replica that answers others meanwhile is not ejected at
		// once.
		weight := transportFailureWeight
		if r.now-replica.lastResponse < aliveWindow {
			weight = aliveFailureWeight
		}
		r.recordFailure(replica, req.Class, weight)
	case TimedOut:
		r.recordTimeout(replica, req, event, priorState)
	}
	if event.Outcome == QueueFull {
		replica.fullUntil = r.now + queueFullBackoff
		// A full queue delays for longer than any class can wait, so it counts as a delay of the smallest objective.
		if priorState == prefilling {
			event.Elapsed = fromMS(r.tightestBudgetMS / latencyHeadroom)
			r.recordPrefill(replica, req, event)
		}
	}
}

// recordTimeout updates the learned state from a timeout. A prefill replica that has responded to others since the
// attempt was sent is alive and has a queue. Ejecting it would move its share of requests to the other replicas, which
// would then time out too; its delay already counts in the estimate.
func (r *Router) recordTimeout(replica *replica, req *request, event AttemptEnded, priorState requestState) {
	if priorState == prefilling {
		r.recordPrefill(replica, req, event) // the prefill would have taken at least this long
	}
	silent := replica.lastResponse < req.sentAt
	switch {
	case silent && (priorState == prefilling || priorState == decoding):
		r.recordFailure(replica, req.Class, transportFailureWeight)
	case priorState == decoding:
		r.recordClassFailure(replica, req.Class, transportFailureWeight)
	}
}

// recordPrefill updates the learned state from the duration of a prefill, or from its timeout or rejection. Ejected
// replicas only contribute to the cache hit ratio.
func (r *Router) recordPrefill(replica *replica, req *request, event AttemptEnded) {
	cachedTokens := event.CachedTokens
	if event.Outcome != PrefillDone {
		cachedTokens = req.expectedCachedTokens
	} else if req.expectedCachedTokens > minCachedTokensForSample {
		r.cacheHitRatio.add(r.now, min(float64(cachedTokens)/float64(req.expectedCachedTokens), 1))
	}
	if replica.health[0].current(r.now) >= ejectionThreshold {
		return
	}
	inputs := latencyInputs{1, float64(max(0, req.PromptTokens-cachedTokens)) / 1000, req.ownAttemptsAhead}
	prefillMS := r.prefillModel.predict(latencyInputs{inputs[baseInput], inputs[kiloTokensInput]})
	commonMS := r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	ramp := r.rampFraction(replica)
	elapsedMS, expectedMS := toMS(event.Elapsed), r.prefillModel.predict(inputs)/ramp+commonMS
	r.prefillCost.add(r.now, prefillMS)
	replica.queueDelay.add(r.now, elapsedMS-expectedMS)
	if req.reportedQueue >= minQueueForSample {
		r.delayPerQueuedRequest.add(r.now, elapsedMS*ramp/req.reportedQueue)
	}
	if req.pollUnanswered {
		r.unansweredDelay.add(r.now, max(elapsedMS*ramp-prefillMS, 0))
	}
	if event.Outcome == QueueFull { // not a measured time, so it says less about the other replicas
		elapsedMS = min(elapsedMS, outlierMultiple*expectedMS+outlierMarginMS)
	}
	r.estimateError.add(r.now, math.Abs(elapsedMS-expectedMS))
	r.commonQueueDelay.add(r.now, elapsedMS-expectedMS+commonMS)
	if ramp < 1 {
		return // the replica's current speed is not known
	}
	if elapsedMS < (r.prefillModel.predict(inputs)-outlierMarginMS)/outlierMultiple {
		return // the client overstates the prompt's length; one such sample would outweigh all others
	}
	r.prefillModel.add(r.now, inputs, min(elapsedMS-commonMS, r.prefillModel.outlierLimit(inputs)))
}

// recordFirstToken updates the learned state from the time to the first token of a decode attempt.
func (r *Router) recordFirstToken(replica *replica, req *request, elapsedMS float64) {
	replica.firstTokenDelay.add(r.now, elapsedMS)
	inputs := latencyInputs{1, float64(req.PromptTokens) / 1000, req.ownAttemptsAhead}
	r.decodeModel.add(r.now, inputs, min(elapsedMS, r.decodeModel.outlierLimit(inputs)))
	r.recordSuccess(replica, req.Class)
}
