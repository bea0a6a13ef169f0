package routing

// recordEstimate stores the estimate of a request's prefill attempt for observePrefill.
func (r *Router) recordEstimate(req *request, best candidate) {
	if !r.cfg.ObservePrefills {
		return
	}
	load := LoadReport{-1, -1, -1, -1}
	if r.loadKnown(best.replica) {
		load = best.load
	}
	req.estimate = PrefillEstimate{
		Session:            req.Session,
		SharedPrefix:       req.SharedPrefix,
		PromptTokens:       req.PromptTokens,
		SharedPrefixTokens: req.SharedPrefixTokens,
		CachedTokens:       req.expectedCachedTokens,
		QueueDelayMS:       best.queueDelayMS,
		PrefillMS:          best.prefillMS,
		AttemptsAhead:      len(best.pending),
		Load:               load,
	}
}

// observePrefill emits the outcome of a prefill attempt together with its estimate.
func (r *Router) observePrefill(req *request, event AttemptEnded) {
	if !r.cfg.ObservePrefills {
		return
	}
	r.emit(PrefillObserved{
		Request: req.Request, Endpoint: event.Endpoint, Outcome: event.Outcome,
		Elapsed: event.Elapsed, CachedTokens: event.CachedTokens, Estimate: req.estimate,
	})
}
