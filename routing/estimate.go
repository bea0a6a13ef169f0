package routing

import "math"

// prefillEstimate returns the estimated queue delay and prefill time at one prefill replica, in ms; their sum is the
// paper's estimated time to first token. The queue delay follows from a fresh load report or an unanswered load poll
// alone, if there is one. Otherwise it follows from this router's pending prefills or a reported backlog, plus the
// recent delay common to all prefill replicas, plus this replica's difference from the common delay. In each case it
// includes the time by which the oldest pending attempt is overdue. The common delay is not divided by the ramp
// fraction, because a replica in slow start gets less than its share of requests.
func (r *Router) prefillEstimate(replica *replica, cachedTokens int, req *request) (queueDelayMS, prefillMS float64) {
	coefficients := &r.prefillModel.coefficients
	uncachedKiloTokens := float64(max(0, req.PromptTokens-cachedTokens)) / 1000
	ramp := r.rampFraction(replica)
	baseWaitMS := max(coefficients[baseInput]-initialPrefillBaseMS, 0) // a wait that the model has fitted as a cost
	prefillMS = (coefficients[baseInput] + coefficients[kiloTokensInput]*uncachedKiloTokens - baseWaitMS) / ramp
	if r.cfg.CanPollLoad && r.loadFresh(replica) {
		return replica.reportedQueue*r.delayPerQueuedRequestMS()/ramp + r.overdueMS(replica), prefillMS
	}
	if r.pollUnanswered(replica) {
		return r.unansweredDelayMS()/ramp + r.overdueMS(replica), prefillMS
	}
	queueDelayMS = coefficients[attemptsAheadInput] * float64(len(replica.pending))
	if replica.reportedBacklog >= 0 {
		queueDelayMS = replica.reportedBacklog * coefficients[kiloTokensInput]
	}
	queueDelayMS += baseWaitMS + r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	queueDelayMS = max(queueDelayMS+replica.queueDelay.mean(r.now, 0, priorSamples), 0) + r.overdueMS(replica)
	return queueDelayMS, prefillMS
}

// delayPerQueuedRequestMS returns the queue delay per request ahead, in ms. Its prior is the mean cost of the router's
// own prefills.
func (r *Router) delayPerQueuedRequestMS() float64 {
	return r.delayPerQueuedRequest.mean(r.now, r.meanPrefillMS(), priorSamples)
}

// meanPrefillMS returns the mean cost of a prefill, in ms.
func (r *Router) meanPrefillMS() float64 {
	return r.prefillCost.mean(r.now, initialDelayPerQueuedRequestMS, 1)
}

// unansweredDelayMS returns the queue delay at a replica that has not answered a load poll in time, in ms. Replicas
// answer between their steps, so such a replica is prefilling a long prompt.
func (r *Router) unansweredDelayMS() float64 {
	return r.unansweredDelay.mean(r.now, unansweredPollRequests*r.delayPerQueuedRequestMS(), priorSamples)
}

// overdueMS returns by how much the oldest pending attempt at a replica is overdue, in ms. It steers requests away from
// silent and slow replicas before a timeout fires.
func (r *Router) overdueMS(replica *replica) float64 {
	if len(replica.pending) == 0 {
		return 0
	}
	return max(toMS(r.now-replica.pending[0].expectedBy), 0)
}

// decodeWaitMS returns the wait that a decode replica adds to the estimate, in ms. It is 0 unless the replica is nearly
// full according to its load report, a recent QueueFull outcome, or the time that attempts there take or have been
// waiting for their first token.
func (r *Router) decodeWaitMS(replica *replica) float64 {
	waitMS := replica.firstTokenDelay.mean(r.now, 0, priorSamples)
	if len(replica.pending) > 0 {
		predictedMS := r.decodeModel.predict(latencyInputs{1, 0, float64(len(replica.pending))})
		waitMS = max(waitMS, toMS(r.now-replica.pending[0].sentAt), predictedMS)
	}
	nearFullByReport := replica.reportedMemory > nearFullMemoryFraction && r.loadKnown(replica)
	if r.now < replica.fullUntil || waitMS > nearFullWaitMS || nearFullByReport {
		return max(waitMS, toMS(replica.fullUntil-r.now))
	}
	return 0
}

// cellDecodeWaitMS returns the least wait among the decode replicas of a prefill replica's cell, but at most
// nearFullWaitMS more than the least wait among all decode replicas. For a cell without healthy decode replicas it
// returns the least wait among all, and 0 if no decode replica is healthy.
func (r *Router) cellDecodeWaitMS(c *cellCapacity) float64 {
	waitMS := c.minDecodeWaitMS
	if math.IsInf(waitMS, 1) {
		waitMS = r.totalCapacity.minDecodeWaitMS
	}
	waitMS = min(waitMS, r.totalCapacity.minDecodeWaitMS+nearFullWaitMS)
	if math.IsInf(waitMS, 1) {
		return 0
	}
	return waitMS
}
