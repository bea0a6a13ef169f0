package faultbench

import (
	"context"
	"sync"
	"time"

	"rampspread/internal/fleet"
	"rampspread/internal/fleet/subsetter"
)

// Quota is a dispatcher's quota as it shows it to its operators.
func (r *Run) Quota(d int) (fleet.QuotaStatus, error) {
	return adminStatus[fleet.QuotaStatus](r, d, "shares")
}

// Subset is the subset of replicas that a dispatcher routes to.
func (r *Run) Subset(d int) (subsetter.Status, error) {
	return adminStatus[subsetter.Status](r, d, "subset")
}

// quotaFractions requests all dispatchers' quotas at once; those that do not answer count as 0.
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

// grantedSum is the sum of quotas from which on the first grants count as made.
const grantedSum = 0.9

// watchQuotas adds up the dispatchers' quotas until the context ends.
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
		if out.MaxQuotaSum = max(out.MaxQuotaSum, sum); !granted && sum > grantedSum {
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
