package routing

import "math"

// prefillEstimate returns the estimated queue delay and prefill time at one prefill replica, in ms; their sum is the
// estimated time to first token of the paper. The queue delay is what own pending prefills or load reports say, plus
// the delay that was common to all prefill replicas recently, plus this replica's difference from it. A replica in
// slow start gets less than its share, so that the common delay does not exist there.
func (r *Router) prefillEstimate(replica *replica, cachedTokens int, req *request) (queueDelayMS, prefillMS float64) {
	coefficients := &r.prefillModel.coefficients
	uncachedKiloTokens := float64(max(0, req.PromptTokens-cachedTokens)) / 1000
	ramp := r.rampFraction(replica)
	commonMS := max(coefficients[baseInput]-initialPrefillBaseMS, 0) // a wait that the model takes for a cost
	prefillMS = (coefficients[baseInput] + coefficients[kiloTokensInput]*uncachedKiloTokens - commonMS) / ramp
	if r.cfg.CanPollLoad && r.loadFresh(replica) {
		return replica.reportedQueue*r.perQueuedRequestMS()/ramp + r.overdueMS(replica), prefillMS
	}
	if r.pollUnanswered(replica) {
		return r.unansweredDelayMS()/ramp + r.overdueMS(replica), prefillMS
	}
	queueDelayMS = coefficients[aheadInput] * float64(len(replica.pending))
	if replica.reportedBacklog >= 0 {
		queueDelayMS = replica.reportedBacklog * coefficients[kiloTokensInput]
	}
	queueDelayMS += commonMS + r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	queueDelayMS = max(queueDelayMS+replica.queueDelay.mean(r.now, 0, priorSamples), 0) + r.overdueMS(replica)
	return queueDelayMS, prefillMS
}

// perQueuedRequestMS returns the wait per request ahead, in ms. Its prior is what the router's own prefills cost.
func (r *Router) perQueuedRequestMS() float64 {
	return r.perQueuedRequest.mean(r.now, r.meanPrefillMS(), priorSamples)
}

// meanPrefillMS returns what a prefill costs on average, in ms.
func (r *Router) meanPrefillMS() float64 {
	return r.prefillCost.mean(r.now, initialPerQueuedRequestMS, 1)
}

// unansweredDelayMS returns the wait at a replica that has not answered a load poll in time, in ms: replicas answer
// between their steps, so it is prefilling a long prompt.
func (r *Router) unansweredDelayMS() float64 {
	return r.unansweredDelay.mean(r.now, unansweredPollRequests*r.perQueuedRequestMS(), priorSamples)
}

// overdueMS returns by how much the oldest pending attempt at a replica is overdue, in ms. It protects against silent
// and slowed replicas before a timeout fires.
func (r *Router) overdueMS(replica *replica) float64 {
	if len(replica.pending) == 0 {
		return 0
	}
	return max(toMS(r.now-replica.pending[0].expectedBy), 0)
}

// decodeWaitMS returns what a decode replica adds to the estimate, in ms: nothing unless it is nearly full by its load
// report, by a QueueFull, or by the first tokens that are awaited there.
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

// cellDecodeWaitMS returns the least wait among the decode replicas of a prefill replica's cell, or among all if those
// of the cell wait for longer by nearFullWaitMS.
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
