package faultbench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/frontlayer"
	"rampspread/internal/faultbench/loadgen"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/process"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/fleet/idempotencyquorum"
)

const (
	frontSettleTime  = 3 * frontlayer.HealthPollInterval // time for the front layer to poll every dispatcher
	finalReleaseWait = time.Second                       // time for the last reservations to be released
	faultsStream     = 0xfa17                            // random generator stream for the faults' targets
	// maxShutdownDetection is how long after SIGTERM a process may still get new connections. The protocol allows the
	// front layer 0.2 to 0.4 s to detect a shutdown.
	maxShutdownDetection = 400 * time.Millisecond
)

// startClients creates the front layer and the clients, and returns the configuration of the clients.
func (r *Run) startClients() loadgen.Config {
	r.front = frontlayer.New(frontlayer.Config{Dispatchers: len(r.dispatchers), Zones: r.scenario.Zones, HotFactor: r.scenario.HotFactor,
		HealthURL: func(d int) string { return "http://" + r.addrs.listen(d) + "/healthz" },
		Link:      func(d int) *network.Link { return r.links.clients[d] },
		ShuttingDown: func(d int) bool {
			return r.options.Strict && r.dispatchers[d].Terminating(maxShutdownDetection)
		}})
	c := loadgen.Config{History: r.history, Deployment: r.deployment, Cluster: r.cluster, Front: r.front, Zones: r.scenario.Zones,
		Seed: r.options.Seed, Address: r.addrs.listen, Chat: r.addrs.chat,
		Link:    func(d int) *network.Link { return r.links.clients[d] },
		UpSince: func(d int, t time.Time) bool { return r.dispatchers[d].UpSince(t) }}
	r.clients = loadgen.New(c)
	return c
}

// observe starts goroutines that watch the fleet from outside until the context ends, and adds them to watchers. If the
// dispatchers share budgets, their quotas are recorded in quotas. It returns once the front layer has had time to poll
// the health of all dispatchers.
func (r *Run) observe(ctx context.Context, watchers *sync.WaitGroup, quotas *FleetTotals) error {
	for d := range r.dispatchers {
		watchers.Go(func() { r.front.PollHealth(ctx, d) })
	}
	if r.peerLinks != nil && !r.options.SkipViews {
		for d := range min(len(r.dispatchers), maxWatchedViews) {
			watchers.Go(func() { r.watchViews(ctx, d) })
		}
	}
	if err := timing.Sleep(ctx, frontSettleTime); err != nil {
		return err
	}
	for d, p := range r.dispatchers {
		if r.options.VersionSkew {
			watchers.Go(func() { r.watchAdmission(ctx, d) })
		}
		if r.options.MeasureUsage {
			watchers.Go(func() { p.MonitorUsage(ctx) })
		}
	}
	if r.options.Budgets {
		watchers.Go(func() { r.watchQuotas(ctx, quotas) })
	}
	return nil
}

// play sends the scenario's traffic, injects its faults, waits until all requests are answered, and returns the report.
func (r *Run) play(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clientConfig := r.startClients()
	var watchers sync.WaitGroup
	var quotas FleetTotals
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	if err := r.observe(watching, &watchers, &quotas); err != nil {
		return nil, err
	}
	begin, base := time.Now(), r.history.Now()
	var faults, sending sync.WaitGroup
	idempotency := loadgen.NewIdempotencyClients(clientConfig)
	if r.acceptAnyRequest {
		sending.Go(func() { idempotency.Run(ctx, begin, scenario.Seconds(r.scenario.Seconds)) })
	}
	r.startFaults(ctx, &faults, begin, base)
	results, err := r.sendRequests(ctx, &sending, begin)
	if err != nil {
		return nil, err
	}
	faults.Wait()
	timing.Sleep(ctx, finalReleaseWait)
	stopWatching()
	watchers.Wait()
	r.clients.Close()
	return r.finish(results, idempotency, quotas, base), nil
}

// startFaults draws the faults' targets and injects each fault at its time.
func (r *Run) startFaults(ctx context.Context, faults *sync.WaitGroup, begin time.Time, base time.Duration) {
	rng := rand.New(rand.NewPCG(r.options.Seed, faultsStream))
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
}

// sendRequests sends the drawn requests at their arrival times. It returns once all goroutines in sending are done and
// the scenario's duration has passed.
func (r *Run) sendRequests(ctx context.Context, sending *sync.WaitGroup, begin time.Time) ([]loadgen.Result, error) {
	requests := deployment.DrawRequests(r.scenario, r.deployment.Classes, r.options.Seed)
	results := make([]loadgen.Result, len(requests))
	for i, request := range requests {
		if err := timing.Sleep(ctx, time.Until(begin.Add(request.ArrivesAt))); err != nil {
			return nil, err
		}
		sending.Go(func() { results[i] = r.clients.Do(ctx, request, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	sending.Wait()
	if err := timing.Sleep(ctx, time.Until(begin.Add(scenario.Seconds(r.scenario.Seconds)))); err != nil {
		return nil, err
	}
	return results, nil
}

// finish reads the dispatchers' resource usage and their status of the idempotency records, stops the dispatchers, and
// returns the report.
func (r *Run) finish(results []loadgen.Result, idempotency *loadgen.IdempotencyClients, quotas FleetTotals, base time.Duration) *Report {
	var status []idempotencyquorum.Status
	for d := range r.dispatchers {
		if s, err := r.idempotencyStatus(d); err == nil {
			status = append(status, s)
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
	report := r.report(results, base, r.clients.Opened())
	if r.acceptAnyRequest {
		report.Idempotency = idempotency.Report(report.events, status)
	}
	for _, p := range r.dispatchers {
		report.BootstrapsApplied += p.Counter("beliefs_taken")
	}
	report.MaxQuotaSum, report.MinQuotaSum = quotas.MaxQuotaSum, quotas.MinQuotaSum
	report.MeanQuotaSum, report.MaxQuota = quotas.MeanQuotaSum, quotas.MaxQuota
	report.addUsage(used, r, r.history.Now()-base)
	if r.options.CheckLimits {
		report.checkLimits(used, r.options)
	}
	return report
}
