package routing

// Budgets that all routers share: this router's fraction of them, in token buckets. The package that assigns the
// fractions ensures that they add up to at most 1.

// ownFraction returns this router's current fraction of a limit on what all routers do together.
func (r *Router) ownFraction(limit float64) float64 {
	switch {
	case r.now < r.quotaShare.ValidFor:
		return limit * r.quotaShare.Fraction
	case r.cfg.Budgets.Fraction > 0:
		return limit * r.cfg.Budgets.Fraction
	}
	return limit / float64(r.cfg.Routers)
}

// withinPollBudget returns the candidates and spends a poll for each one that has to be polled, because its load is not
// known and no poll of it is in flight. If the poll budget of one of these is used up, it returns none: a choice among
// only some of the candidates would send a request away from its cached prefix.
func (r *Router) withinPollBudget(candidates []candidate) []candidate {
	limit := r.cfg.Budgets.PollsPerReplica
	if limit <= 0 {
		return candidates
	}
	needsPoll := func(c candidate) bool { return !r.loadFresh(c.replica) && len(c.pollWaiters) == 0 }
	rate := r.ownFraction(limit)
	burst := rate*pollBurstSpan.Seconds() + pollBurstExtra
	for _, c := range candidates {
		if needsPoll(c) && c.pollBudget.Fill(r.now, rate, burst) < 1 {
			return nil
		}
	}
	for _, c := range candidates {
		if needsPoll(c) {
			c.pollBudget.Spend()
		}
	}
	return candidates
}

// retryBurst returns how many retries may be sent at once.
func (r *Router) retryBurst() float64 {
	return r.ownFraction(r.cfg.Budgets.RetriesPerSecond)*retryBurstSpan.Seconds() + retryBurstExtra
}

// withinRetryBudget reports whether the retry budget allows a request's next attempt. It always allows an attempt that
// is not a retry. The budget prevents the retries of all routers from amplifying a fault (a retry storm). A fraction of
// it is reserved for critical requests.
func (r *Router) withinRetryBudget(req *request) bool {
	budgets := r.cfg.Budgets
	if !req.retrying || budgets.RetriesPerRequest <= 0 && budgets.RetriesPerSecond <= 0 {
		return true
	}
	requiredTokens, burst := 1.0, r.retryBurst()
	if !r.critical[req.Class] {
		requiredTokens += criticalRetryShare * (burst - 1)
	}
	return r.retryBucket.Fill(r.now, r.ownFraction(budgets.RetriesPerSecond), burst) >= requiredTokens
}

// chargeBudgets charges an attempt to the budgets: a request's first attempt adds to the retry budget and counts
// against the quota of the request's tenant; a retry spends one retry.
func (r *Router) chargeBudgets(req *request) {
	if req.retrying {
		r.retryBucket.Spend()
	}
	if tenant := req.Tenant; req.attempts == 0 && tenant >= 0 && tenant < len(r.tenantBuckets) {
		r.tenantBuckets[tenant].Spend()
	}
	if req.attempts == 0 {
		r.retryBucket.Add(r.cfg.Budgets.RetriesPerRequest, r.retryBurst())
	}
	req.retrying = false
}
