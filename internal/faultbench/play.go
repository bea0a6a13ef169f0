package faultbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/fleet/idempotencyquorum"
)

// play sends the day's traffic and makes its faults, waits until all is answered, and judges.
func (r *Run) play(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.front = newFront(r)
	var watchers sync.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for d := range r.dispatchers {
		watchers.Go(func() { r.front.watch(watching, d) })
	}
	if r.peers != nil && !r.options.SkipViews {
		for d := range min(len(r.dispatchers), maxWatchedViews) {
			watchers.Go(func() { r.watchViews(watching, d) })
		}
	}
	if err := timing.Sleep(ctx, 3*healthCheckInterval); err != nil {
		return nil, err
	}
	if r.options.VersionSkew {
		for d := range r.dispatchers {
			watchers.Go(func() { r.watchAdmission(watching, d) })
		}
	}
	var shared FleetTotals
	if r.options.Budgets {
		watchers.Go(func() { r.watchQuotas(watching, &shared) })
	}
	if r.options.MeasureUsage {
		for _, p := range r.dispatchers {
			watchers.Go(func() { p.Measure(watching) })
		}
	}
	c := newClients(r)
	r.clients = c
	begin := time.Now()
	base := r.history.Now()
	specs := deployment.DrawRequests(r.scenario, r.deployment.Classes, r.options.Seed)
	results := make([]result, len(specs))
	var faults, asks sync.WaitGroup
	filer := newIdempotencyClients(r)
	if r.acceptAnyRequest {
		asks.Go(func() { filer.Run(ctx, begin) })
	}
	rng := rand.New(rand.NewPCG(r.options.Seed, 0xfa17))
	for _, f := range r.scenario.Faults {
		targets := r.targets(f, rng)
		r.options.Log.Info("fault", "do", f.Action, "at", f.At, "for", f.Duration, "targets", targets)
		faults.Go(func() {
			r.inject(ctx, f, targets, begin)
			now := r.history.Now()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.lastFaultEnd = max(r.lastFaultEnd, now)
			r.faultSpans = append(r.faultSpans, [2]float64{f.At, (now - base).Seconds()})
		})
	}
	for i, s := range specs {
		if err := timing.Sleep(ctx, time.Until(begin.Add(s.ArrivesAt))); err != nil {
			return nil, err
		}
		asks.Go(func() { results[i] = c.ask(ctx, s, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	asks.Wait()
	if err := timing.Sleep(ctx, time.Until(begin.Add(scenario.Seconds(r.scenario.Seconds)))); err != nil {
		return nil, err
	}
	faults.Wait()
	timing.Sleep(ctx, time.Second) // for what is held to be let go
	stopWatching()
	watchers.Wait()
	c.close()
	var filings []idempotencyquorum.Status
	for d := range r.dispatchers {
		if s, err := r.Filings(d); err == nil {
			filings = append(filings, s)
		}
	}
	var used []process.Usage
	for _, p := range r.dispatchers {
		used = append(used, p.Usage())
	}
	var wg sync.WaitGroup
	for _, p := range r.dispatchers {
		wg.Go(p.Stop)
	}
	wg.Wait()
	report := r.report(results, base, c.made)
	if r.acceptAnyRequest {
		report.Idempotency = filer.Report(report.events, filings)
	}
	for _, p := range r.dispatchers {
		report.BootstrapsApplied += p.Counter("beliefs_taken")
	}
	report.MaxQuotaSum, report.MinQuotaSum, report.MeanQuotaSum, report.MaxQuota = shared.MaxQuotaSum, shared.MinQuotaSum, shared.MeanQuotaSum, shared.MaxQuota
	report.addUsage(used, r, r.history.Now()-base)
	return report, nil
}
