package routing

// What all routers may do together, and this one's part of it. The sums over routers are package share's.

// ownFraction is this router's part of a limit on what all routers do, as of now.
func (r *Router) ownFraction(limit float64) float64 {
	switch {
	case r.now < r.quotaShare.Duration:
		return limit * r.quotaShare.Fraction
	case r.cfg.Budgets.Fraction > 0:
		return limit * r.cfg.Budgets.Fraction
	}
	return limit / float64(r.cfg.Routers)
}

// withinPollBudget returns the servers and spends a question at each whose load is not known, or returns none of them if one has
// none left: a choice among some would keep a request from where its text is.
func (r *Router) withinPollBudget(of []candidate) []candidate {
	limit := r.cfg.Budgets.PollsPerReplica
	if limit <= 0 {
		return of
	}
	asked := func(c candidate) bool { return r.now-c.loadReportedAt <= loadMaxAge || len(c.pollWaiters) > 0 }
	rate := r.ownFraction(limit)
	most := rate*pollBurstSpan.Seconds() + pollBurstExtra
	for _, c := range of {
		if !asked(c) && c.pollBudget.Fill(r.now, rate, most) < 1 {
			return nil
		}
	}
	for _, c := range of {
		if !asked(c) {
			c.pollBudget.Spend()
		}
	}
	return of
}

// retryBurstLimit is how many repeats may come at once.
func (r *Router) retryBurstLimit() float64 {
	return r.ownFraction(r.cfg.Budgets.RetriesPerSecond)*retryBurstSpan.Seconds() + retryBurstExtra
}

// withinRetryBudget reports whether a request that failed at a step may take it again. It guards against a disturbance that is
// multiplied by all who try again; critical requests have what others leave.
func (r *Router) withinRetryBudget(q *request) bool {
	b := r.cfg.Budgets
	if !q.retrying || b.RetriesPerRequest <= 0 && b.RetriesPerSecond <= 0 {
		return true
	}
	need, most := 1.0, r.retryBurstLimit()
	if !r.critical[q.Class] {
		need += criticalRetryShare * (most - 1)
	}
	return r.retryBucket.Fill(r.now, r.ownFraction(b.RetriesPerSecond), most) >= need
}

// chargeBudgets takes an attempt into the budgets: a first one earns repeats and is one of its tenant's, one again spends a repeat.
func (r *Router) chargeBudgets(q *request) {
	if q.retrying {
		r.retryBucket.Spend()
	}
	if id := q.Tenant; q.attempts == 0 && id >= 0 && id < len(r.tenantBuckets) {
		r.tenantBuckets[id].Spend()
	}
	if q.attempts == 0 {
		r.retryBucket.Add(r.cfg.Budgets.RetriesPerRequest, r.retryBurstLimit())
	}
	q.retrying = false
}
