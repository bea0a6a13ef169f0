package faultbench

import (
	"context"
	"slices"
	"sync"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/subsetter"
)

// FleetTotals are what all dispatchers did together, counted at the replicas, and the parts that they say they act by.
type FleetTotals struct {
	RepeatsPerRequest    float64 `json:"repeats_per_request"`      // steps that came again, for each request that was sent
	MaxRepeatsPerRequest float64 `json:"repeats_per_request_most"` // the same in the worst 5 s
	OwnPollRate          float64 `json:"own_probes_per_replica_s"` // that no duty asked
	MaxOwnPollRate       float64 `json:"own_probes_most_s"`        // at any replica, over the worst 5 s
	HandshakeRate        float64 `json:"handshakes_per_replica_s"` // connections that dispatchers opened
	MaxConnections       int64   `json:"connections_most"`         // at one replica at once
	HandshakeSurge       float64 `json:"handshakes_rush"`          // the most that all dispatchers opened in 5 s from the first fault on, against calm; 0: no fault
	MaxLoadOverMean      float64 `json:"load_max_over_mean"`       // work that came to a replica, against the mean of its role by weight
	SlowStartUsed        float64 `json:"cold_used"`                // of what cold replicas may be sent, where there were any
	MaxSlowStartLoad     float64 `json:"cold_most"`                // the most that one got of what it bears before it falls over
	MaxQuotaSum          float64 `json:"share_sum_most"`           // of the parts that dispatchers acted by at once
	MinQuotaSum          float64 `json:"share_sum_least"`          // once the first were lent,
	MeanQuotaSum         float64 `json:"share_sum_mean"`           // also
	MaxQuota             float64 `json:"share_hot_most"`           // of the one with most
	MaxDiscoveryCalls    float64 `json:"discovery_calls_most_5s"`  // of all dispatchers in the worst 5 s
}

const (
	totalsWindow      = 5 * time.Second
	slowStartShare    = 0.45 // of what a cold server bears, at an even load: the module's own aim
	quotaPollInterval = 100 * time.Millisecond
)

// maxSumWithin is the largest sum of weights within a span; times are in order.
func maxSumWithin(at []time.Duration, weight []float64, span time.Duration) (most float64) {
	sum, from := 0.0, 0
	for i := range at {
		for sum += weight[i]; at[i]-at[from] > span; from++ {
			sum -= weight[from]
		}
		most = max(most, sum)
	}
	return most
}

// series is what happened when, with weights.
type series struct {
	at     []time.Duration
	weight []float64
}

func (s *series) add(at time.Duration, weight float64) {
	s.at, s.weight = append(s.at, at), append(s.weight, weight)
}

// maxSum is the largest sum in sumSpan.
func (s *series) maxSum() float64 { return maxSumWithin(s.at, s.weight, totalsWindow) }

// fleetTotals counts what came, from base on for so long.
func fleetTotals(events []history.Event, rules history.Rules, replicas []*replica.Replica, base, length time.Duration) (out FleetTotals) {
	slices.SortStableFunc(events, func(a, b history.Event) int { return int(a.At - b.At) })
	byName := map[string]*replica.Replica{}
	roles := map[bool]float64{} // weights of all listed
	for _, r := range replicas {
		byName[r.Name] = r
		roles[r.Decode] += r.Weight()
	}
	type step struct {
		request string
		writer  bool
	}
	came := map[step]int{}
	seen := map[string]bool{}
	var firsts, repeats, lists series
	own, load := map[string]*series{}, map[string]float64{}
	work := map[bool]*series{false: {}, true: {}}
	for _, e := range events {
		switch e.Kind {
		case history.AttemptArrived:
			r := byName[e.Replica]
			s := step{e.Request, r.Decode}
			if came[s]++; came[s] > 1 {
				repeats.add(e.At, 1)
			}
			if !seen[e.Request] {
				seen[e.Request] = true
				firsts.add(e.At, 1)
			}
			load[e.Replica] += e.Weight
			work[r.Decode].add(e.At, e.Weight)
		case history.LoadPolled:
			if e.Class != replica.LeasedPoll {
				if own[e.Replica] == nil {
					own[e.Replica] = &series{}
				}
				own[e.Replica].add(e.At, 1)
			}
		case history.DiscoveryRequested:
			if e.At > base { // all start at once
				lists.add(e.At, 1)
			}
		}
	}
	out.MaxDiscoveryCalls = lists.maxSum()
	if n := len(firsts.at); n > 0 {
		out.RepeatsPerRequest = float64(len(repeats.at)) / float64(n)
		perSpan := float64(n) / length.Seconds() * totalsWindow.Seconds()
		out.MaxRepeatsPerRequest = repeats.maxSum() / perSpan
	}
	for _, s := range own {
		out.OwnPollRate += float64(len(s.at)) / float64(len(replicas)) / length.Seconds()
		out.MaxOwnPollRate = max(out.MaxOwnPollRate, s.maxSum()/totalsWindow.Seconds())
	}
	for _, r := range replicas {
		out.HandshakeRate += float64(r.Connections.Opened()) / float64(len(replicas)) / length.Seconds()
		out.MaxConnections = max(out.MaxConnections, r.Connections.MaxOpen())
		all := 0.0
		for _, o := range replicas {
			if o.Decode == r.Decode {
				all += load[o.Name]
			}
		}
		if all > 0 {
			out.MaxLoadOverMean = max(out.MaxLoadOverMean, load[r.Name]/all*roles[r.Decode]/r.Weight())
		}
	}
	out.addSlowStart(events, rules, byName, work, roles)
	return out
}

// connectionsSettled is when all dispatchers have the connections that they begin with.
const connectionsSettled = 4 * time.Second

// handshakeSurge is the most connections made in a span from a fault on, against the mean of so long a span before it. At least one is
// taken for the calm, which may have none. Times count from the beginning of the traffic.
func handshakeSurge(made []time.Duration, fault time.Duration) float64 {
	if fault <= connectionsSettled {
		return 0
	}
	calm, after := 0.0, series{}
	for _, at := range made {
		switch {
		case at >= fault:
			after.add(at, 1)
		case at >= connectionsSettled:
			calm++
		}
	}
	return after.maxSum() / max(calm*totalsWindow.Seconds()/(fault-connectionsSettled).Seconds(), 1)
}

// addSlowStart is how much of what they may be sent addSlowStart replicas were sent, and the most that one was sent of what it bears.
func (out *FleetTotals) addSlowStart(events []history.Event, rules history.Rules, byName map[string]*replica.Replica, work map[bool]*series, roles map[bool]float64) {
	var used []float64
	for _, start := range events {
		if start.Kind != history.ReplicaStarted {
			continue
		}
		r, b := byName[start.Replica], &history.SlowStartBudget{Rules: rules, Start: start}
		got, may := 0.0, 0.0
		for _, e := range events {
			if e.Kind == history.AttemptArrived && e.Replica == start.Replica && e.At >= start.At && e.At <= start.Until {
				got += e.Weight
				sum, allowed, _ := b.Add(e)
				out.MaxSlowStartLoad = max(out.MaxSlowStartLoad, sum/allowed)
			}
		}
		w := work[r.Decode]
		for i, at := range w.at { // of all that came meanwhile, its even part by what it may have of that
			if at >= start.At && at <= start.Until {
				may += w.weight[i] * r.Weight() / roles[r.Decode] * min(slowStartShare*rules.OverloadMultiple*rules.CapacityFraction(start, at), 1)
			}
		}
		if may > 0 {
			used = append(used, got/may)
		}
	}
	for _, u := range used {
		out.SlowStartUsed += u / float64(len(used))
	}
}

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
