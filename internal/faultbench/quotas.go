package faultbench

import (
	"context"
	"sync"
	"time"

	"rampspread/internal/fleet"
	"rampspread/internal/fleet/subsetter"
)

// Quota is a dispatcher's part as it shows it to its operators.
func (r *Run) Quota(d int) (fleet.QuotaStatus, error) {
	return adminStatus[fleet.QuotaStatus](r, d, "shares")
}

// Subset is what a dispatcher keeps to.
func (r *Run) Subset(d int) (subsetter.Status, error) {
	return adminStatus[subsetter.Status](r, d, "subset")
}

// quotaFractions asks all dispatchers at once what they act by; those that do not answer act by nothing that this can see.
func (r *Run) quotaFractions() (parts []float64) {
	var wg sync.WaitGroup
	parts = make([]float64, len(r.dispatchers))
	for d := range r.dispatchers {
		wg.Go(func() {
			if s, err := r.Quota(d); err == nil {
				parts[d] = s.Fraction
			}
		})
	}
	wg.Wait()
	return parts
}

// watchQuotas adds up what dispatchers act by until the context ends.
func (r *Run) watchQuotas(ctx context.Context, out *FleetTotals) {
	lent, n, all := false, 0.0, 0.0
	tick := time.NewTicker(quotaPollInterval)
	defer tick.Stop()
	for {
		sum := 0.0
		for _, p := range r.quotaFractions() {
			sum += p
			out.MaxQuota = max(out.MaxQuota, p)
		}
		if out.MaxQuotaSum = max(out.MaxQuotaSum, sum); !lent && sum > 0.9 {
			lent, out.MinQuotaSum = true, sum
		}
		if lent {
			out.MinQuotaSum = min(out.MinQuotaSum, sum)
			n, all = n+1, all+sum
			out.MeanQuotaSum = all / n
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
