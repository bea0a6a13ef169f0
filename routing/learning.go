package routing

import "math"

// recordOutcome learns from an outcome about the replica that it came from. The request was in state during.
func (r *Router) recordOutcome(s *replica, q *request, e AttemptEnded, during requestState) {
	switch e.Outcome {
	case PrefillDone:
		r.recordSuccess(s, q.Class)
		r.recordPrefill(s, q, e)
	case Served, QueueFull, StateMissing:
		r.recordSuccess(s, q.Class)
	case Errored:
		r.recordFailure(s, q.Class, errorWeight)
	case ConnectFailed, ConnectionReset:
		// Connections break one by one too: a replica that answers others meanwhile is not ejected at once.
		weight := transportFailureWeight
		if r.now-s.lastResponse < aliveWindow {
			weight = aliveFailureWeight
		}
		r.recordFailure(s, q.Class, weight)
	case TimedOut:
		r.recordTimeout(s, q, e, during)
	}
	if e.Outcome == QueueFull {
		s.fullUntil = r.now + queueFullBackoff
		if during == prefilling { // a full queue delays for longer than any class wants to wait
			e.Elapsed = fromMS(r.tightestBudgetMS / latencyHeadroom)
			r.recordPrefill(s, q, e)
		}
	}
}

// recordTimeout learns from a timeout. A prefill replica that has responded to others since the attempt was sent is
// alive and has a queue: ejecting it would push its share on to the rest, which would then time out too, and the
// estimate has already learned of the delay.
func (r *Router) recordTimeout(s *replica, q *request, e AttemptEnded, during requestState) {
	if during == prefilling {
		r.recordPrefill(s, q, e) // it takes at least as long
	}
	silent := s.lastResponse < q.sentAt
	switch {
	case silent && (during == prefilling || during == decoding):
		r.recordFailure(s, q.Class, transportFailureWeight)
	case during == decoding:
		r.recordClassFailure(s, q.Class, transportFailureWeight)
	}
}

// recordPrefill learns from how long a prefill took, or from its timeout or rejection. Ejected replicas teach nothing.
func (r *Router) recordPrefill(s *replica, q *request, e AttemptEnded) {
	cachedTokens := e.CachedTokens
	if e.Outcome != PrefillDone {
		cachedTokens = q.expectedCachedTokens
	} else if q.expectedCachedTokens > minCachedTokensForSample {
		r.cacheHitRatio.add(r.now, min(float64(cachedTokens)/float64(q.expectedCachedTokens), 1))
	}
	if s.health[0].current(r.now) >= ejectionThreshold {
		return
	}
	x := latencyInputs{1, float64(max(0, q.PromptTokens-cachedTokens)) / 1000, q.ownAttemptsAhead}
	commonMS := r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	ramp := r.rampFraction(s)
	elapsedMS, expectedMS := toMS(e.Elapsed), r.prefillModel.predict(x)/ramp+commonMS
	s.queueDelay.add(r.now, elapsedMS-expectedMS)
	if q.reportedQueue >= minQueueForSample {
		r.perQueuedRequest.add(r.now, elapsedMS*ramp/q.reportedQueue)
	}
	if e.Outcome == QueueFull { // no measured time, so it says less of the other replicas
		elapsedMS = min(elapsedMS, outlierMultiple*expectedMS+outlierMarginMS)
	}
	r.estimateError.add(r.now, math.Abs(elapsedMS-expectedMS))
	r.commonQueueDelay.add(r.now, elapsedMS-expectedMS+commonMS)
	if ramp < 1 {
		return // the replica's speed by now is not known
	}
	r.prefillModel.add(r.now, x, min(elapsedMS-commonMS, r.prefillModel.outlierLimit(x)))
}

// recordFirstToken learns from the time to the first token of a decode attempt.
func (r *Router) recordFirstToken(s *replica, q *request, elapsedMS float64) {
	s.firstTokenDelay.add(r.now, elapsedMS)
	x := latencyInputs{1, float64(q.PromptTokens) / 1000, q.ownAttemptsAhead}
	r.decodeModel.add(r.now, x, min(elapsedMS, r.decodeModel.outlierLimit(x)))
	r.recordSuccess(s, q.Class)
}
