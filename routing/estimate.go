package routing

import "math"

// prefillEstimate returns the estimated queue delay and prefill time at one prefill replica, in ms; their sum is the
// estimated time to first token of the paper. The queue delay is what own pending prefills or load reports say, plus
// the delay that was common to all prefill replicas recently, plus this replica's difference from it. A replica in
// slow start gets less than its share, so that the common delay does not exist there.
func (r *Router) prefillEstimate(s *replica, cachedTokens int, q *request) (queueDelayMS, prefillMS float64) {
	coefficients := &r.prefillModel.coefficients
	uncachedKiloTokens := float64(max(0, q.PromptTokens-cachedTokens)) / 1000
	ramp := r.rampFraction(s)
	commonMS := max(coefficients[baseInput]-initialPrefillBaseMS, 0) // a wait that the model takes for a cost
	prefillMS = (coefficients[baseInput] + coefficients[kiloTokensInput]*uncachedKiloTokens - commonMS) / ramp
	if r.cfg.CanPollLoad && r.loadFresh(s) {
		perRequestMS := r.perQueuedRequest.mean(r.now, initialPerQueuedRequestMS, priorSamples)
		return s.reportedQueue*perRequestMS/ramp + r.overdueMS(s), prefillMS
	}
	queueDelayMS = coefficients[aheadInput] * float64(len(s.pending))
	if s.reportedBacklog >= 0 {
		queueDelayMS = s.reportedBacklog * coefficients[kiloTokensInput]
	}
	queueDelayMS += commonMS + r.commonQueueDelay.mean(r.now, 0, commonDelayPriorSamples)
	queueDelayMS = max(queueDelayMS+s.queueDelay.mean(r.now, 0, priorSamples), 0) + r.overdueMS(s)
	return queueDelayMS, prefillMS
}

// overdueMS returns by how much the oldest pending attempt at a replica is overdue, in ms. It protects against silent
// and slowed replicas before a timeout fires.
func (r *Router) overdueMS(s *replica) float64 {
	if len(s.pending) == 0 {
		return 0
	}
	return max(toMS(r.now-s.pending[0].expectedBy), 0)
}

// decodeWaitMS returns what a decode replica adds to the estimate, in ms: nothing unless it is nearly full by its load
// report, by a QueueFull, or by the first tokens that are awaited there.
func (r *Router) decodeWaitMS(s *replica) float64 {
	waitMS := s.firstTokenDelay.mean(r.now, 0, priorSamples)
	if len(s.pending) > 0 {
		predictedMS := r.decodeModel.predict(latencyInputs{1, 0, float64(len(s.pending))})
		waitMS = max(waitMS, toMS(r.now-s.pending[0].sentAt), predictedMS)
	}
	if r.now < s.fullUntil || waitMS > nearFullWaitMS || s.reportedMemory > nearFullMemoryFraction && r.loadKnown(s) {
		return max(waitMS, toMS(s.fullUntil-r.now))
	}
	return 0
}

// cellDecodeWaitMS returns the least wait among the decode replicas of a prefill replica's cell, or among all if those
// of the cell wait for longer by nearFullWaitMS.
func (r *Router) cellDecodeWaitMS(c *cellCapacity) float64 {
	waitMS := min(c.minDecodeWaitMS, r.totalCapacity.minDecodeWaitMS+nearFullWaitMS)
	if math.IsInf(waitMS, 1) {
		return 0
	}
	return waitMS
}
