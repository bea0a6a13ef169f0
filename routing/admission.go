package routing

// admit applies predictive TTFT-budget admission control (see the package comment) before every prefill. It admits a
// request if its best estimate is within the budget. If the prefill alone exceeds the budget, only the queue delay is
// checked.
//
// The rules and what they protect against:
//   - A request that returns from a full or silent replica is checked again, so that it is not sent into an overload,
//     where it could only be late. This does harm if the failure of one replica looks like an overload of all.
//   - The queue is shared, so its delay is limited by the budget of the class with the smallest objective; otherwise
//     classes with a large budget would crowd out classes with a small one.
//   - A critical request is limited only by its own objective, of which a fraction must remain: without that limit, a
//     flood of critical requests would make all of them late.
//   - A request beyond its tenant's quota is not treated as critical and has half the budget.
func (r *Router) admit(req *request, queueDelayMS, prefillMS float64) bool {
	budgetMS, maxQueueMS := toMS(req.ttftObjective)*latencyHeadroom, r.tightestBudgetMS
	if req.overQuota {
		budgetMS, maxQueueMS = budgetMS/overQuotaDivisor, maxQueueMS/overQuotaDivisor
	} else if r.critical[req.Class] {
		budgetMS = toMS(req.ttftObjective) * criticalHeadroom
		maxQueueMS = budgetMS
	}
	return queueDelayMS <= min(budgetMS, maxQueueMS) && (prefillMS > budgetMS || queueDelayMS+prefillMS <= budgetMS)
}

// overQuota reports whether the requests that this router has sent for a tenant have used up this router's fraction of
// the tenant's quota. One router among many has a small fraction and uneven traffic, so as many requests as the
// fraction allows in several seconds may arrive at once. Rejected requests do not count; otherwise clients' retries
// would use up the quota.
func (r *Router) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(r.tenantBuckets) || r.cfg.TenantQuotas[tenant] <= 0 {
		return false
	}
	rate := r.ownFraction(r.cfg.TenantQuotas[tenant])
	return r.tenantBuckets[tenant].Fill(r.now, rate, quotaBurstSpan.Seconds()*rate+quotaBurstExtra) < 1
}
