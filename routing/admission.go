package routing

// admit applies predictive TTFT-budget admission control (see the package comment) before every prefill. A critical
// request passes within its own objective; any other passes if its best estimate is within the budget; if the prefill
// alone exceeds the budget, the queue delay is judged alone.
//
// The rules and what they protect against:
//   - A request that comes back from a full or silent replica is judged again, so that it is not sent on into a jam,
//     where it could only be late. This could do harm if the trouble of one replica looked like that of all.
//   - The queue is shared, so its delay is held to the tightest class's budget; otherwise classes with a long budget
//     would shut out those with a short one.
//   - Critical requests pass only while most of their own objective remains, since a flood of them would make all late.
//   - Requests beyond their tenant's quota have no critical pass and half the budget.
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

// overQuota reports whether the requests that this router sent for a tenant have used up its fraction of the tenant's
// quota. The fraction of one router among many is small and its traffic uneven, so the part of some seconds may arrive
// at once. Rejected requests spend nothing; otherwise clients' retries would use up the quota.
func (r *Router) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(r.tenantBuckets) || r.cfg.TenantQuotas[tenant] <= 0 {
		return false
	}
	rate := r.ownFraction(r.cfg.TenantQuotas[tenant])
	return r.tenantBuckets[tenant].Fill(r.now, rate, quotaBurstSpan.Seconds()*rate+quotaBurstExtra) < 1
}
