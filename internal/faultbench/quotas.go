package faultbench

import (
	"context"
	"sync"
	"time"

	"rampspread/internal/fleet"
	"rampspread/internal/fleet/subsetter"
)

// Quota returns the quota that a dispatcher reports to its operators.
func (r *Run) Quota(d int) (fleet.QuotaStatus, error) {
	return adminStatus[fleet.QuotaStatus](r, d, "shares")
}

// Subset returns the subset of replicas to which a dispatcher routes.
func (r *Run) Subset(d int) (subsetter.Status, error) {
	return adminStatus[subsetter.Status](r, d, "subset")
}

// quotaFractions requests the quotas of all dispatchers at once and returns them. The quota of a dispatcher that does
// not answer is 0.
func (r *Run) quotaFractions() (fractions []float64) {
	var wg sync.WaitGroup
	fractions = make([]float64, len(r.dispatchers))
	for d := range r.dispatchers {
		wg.Go(func() {
			if s, err := r.Quota(d); err == nil {
				fractions[d] = s.Fraction
			}
		})
	}
	wg.Wait()
	return fractions
}

// minGrantedSum is the sum of all quotas above which the first grants count as complete.
const minGrantedSum = 0.9

// watchQuotas polls the dispatchers' quotas until the context ends. It stores the largest quota in out, and the
// extremes and the mean of the sum of all quotas.
func (r *Run) watchQuotas(ctx context.Context, out *FleetTotals) {
	granted, n, total := false, 0.0, 0.0
	tick := time.NewTicker(quotaPollInterval)
	defer tick.Stop()
	for {
		sum := 0.0
		for _, p := range r.quotaFractions() {
			sum += p
			out.MaxQuota = max(out.MaxQuota, p)
		}
		if out.MaxQuotaSum = max(out.MaxQuotaSum, sum); !granted && sum > minGrantedSum {
			granted, out.MinQuotaSum = true, sum
		}
		if granted {
			out.MinQuotaSum = min(out.MinQuotaSum, sum)
			n, total = n+1, total+sum
			out.MeanQuotaSum = total / n
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
