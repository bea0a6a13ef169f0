package routing

import "math"

// recordOutcome learns from an outcome about the replica that it came from. The request was in state during.
func (r *Router) recordOutcome(replica *replica, req *request, event AttemptEnded, during requestState) {
	if during == prefilling {
		r.observePrefill(req, event)
	}
	switch event.Outcome {
	case PrefillDone:
		r.recordSuccess(replica, req.Class)
		r.recordPrefill(replica, req, event)
	case Served, QueueFull, StateMissing:
		r.recordSuccess(replica, req.Class)
	case Errored:
		r.recordFailure(replica, req.Class, errorWeight)
	case ConnectFailed, ConnectionReset:
		// Connections break one by one too: a replica that answers others meanwhile is not ejected at once.
		weight := transportFailureWeight
		if r.now-replica.lastResponse < aliveWindow {
			weight = aliveFailureWeight
		}
		r.recordFailure(replica, req.Class, weight)
	case TimedOut:
		r.recordTimeout(replica, req, event, during)
	}
	if event.Outcome == QueueFull {
		replica.fullUntil = r.now + queueFullBackoff
		if during == prefilling { // a full queue delays for longer than any class wants to wait
			event.Elapsed = fromMS(r.tightestBudgetMS / latencyHeadroom)
			r.recordPrefill(replica, req, event)
		}
	}
}

// recordTimeout learns from a timeout. A prefill replica that has responded to others since the attempt was sent is
// alive and has a queue: ejecting it would push its share on to the rest, which would then time out too, and the
// estimate has already learned of the delay.
func (r *Router) recordTimeout(replica *replica, req *request, event AttemptEnded, during requestState) {
	if during == prefilling {
		r.recordPrefill(replica, req, event) // it takes at least as long
	}
	silent := replica.lastResponse < req.sentAt
	switch {
	case silent && (during == prefilling || during == decoding):
		r.recordFailure(replica, req.Class, transportFailureWeight)
	case during == decoding:
		r.recordClassFailure(replica, req.Class, transportFailureWeight)
	}
}

// recordPrefill learns from how long a prefill took, or from its timeout or rejection. Ejected replicas teach nothing.
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
		r.perQueuedRequest.add(r.now, elapsedMS*ramp/req.reportedQueue)
	}
	if req.pollUnanswered {
		r.unansweredDelay.add(r.now, max(elapsedMS*ramp-prefillMS, 0))
	}
	if event.Outcome == QueueFull { // no measured time, so it says less of the other replicas
		elapsedMS = min(elapsedMS, outlierMultiple*expectedMS+outlierMarginMS)
	}
	r.estimateError.add(r.now, math.Abs(elapsedMS-expectedMS))
	r.commonQueueDelay.add(r.now, elapsedMS-expectedMS+commonMS)
	if ramp < 1 {
		return // the replica's speed by now is not known
	}
	if elapsedMS < (r.prefillModel.predict(inputs)-outlierMarginMS)/outlierMultiple {
		return // the prompt cannot be as long as the client says; one such sample would outweigh all others
	}
	r.prefillModel.add(r.now, inputs, min(elapsedMS-commonMS, r.prefillModel.outlierLimit(inputs)))
}

// recordFirstToken learns from the time to the first token of a decode attempt.
func (r *Router) recordFirstToken(replica *replica, req *request, elapsedMS float64) {
	replica.firstTokenDelay.add(r.now, elapsedMS)
	inputs := latencyInputs{1, float64(req.PromptTokens) / 1000, req.ownAttemptsAhead}
	r.decodeModel.add(r.now, inputs, min(elapsedMS, r.decodeModel.outlierLimit(inputs)))
	r.recordSuccess(replica, req.Class)
}
