package faultbench

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/subsetter"
)

// Sums are what all dispatchers did together, counted at the replicas, and the parts that they say they act by.
type Sums struct {
	Repeats     float64 `json:"repeats_per_request"`      // steps that came again, for each request that was sent
	RepeatsMost float64 `json:"repeats_per_request_most"` // the same in the worst 5 s
	OwnProbes   float64 `json:"own_probes_per_replica_s"` // that no duty asked
	OwnMost     float64 `json:"own_probes_most_s"`        // at any replica, over the worst 5 s
	Handshakes  float64 `json:"handshakes_per_replica_s"` // connections that dispatchers opened
	Open        int64   `json:"connections_most"`         // at one replica at once
	Rush        float64 `json:"handshakes_rush"`          // the most that all dispatchers opened in 5 s from the first fault on, against calm; 0: no fault
	LoadSpread  float64 `json:"load_max_over_mean"`       // work that came to a replica, against the mean of its role by weight
	ColdUsed    float64 `json:"cold_used"`                // of what cold replicas may be sent, where there were any
	ColdMost    float64 `json:"cold_most"`                // the most that one got of what it bears before it falls over
	ShareSum    float64 `json:"share_sum_most"`           // of the parts that dispatchers acted by at once
	ShareLow    float64 `json:"share_sum_least"`          // once the first were lent,
	ShareMean   float64 `json:"share_sum_mean"`           // also
	HotPart     float64 `json:"share_hot_most"`           // of the one with most
	Lists       float64 `json:"discovery_calls_most_5s"`  // of all dispatchers in the worst 5 s
}

const (
	sumSpan   = 5 * time.Second
	coldAim   = 0.45 // of what a cold server bears, at an even load: the module's own aim
	shareTick = 100 * time.Millisecond
)

// calls counts the connections of one replica.
type calls struct {
	made, open, most atomic.Int64

	mu sync.Mutex
	at []time.Time // of those made
}

// times are when connections were made.
func (c *calls) times() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.at)
}

func (c *calls) state(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.made.Add(1)
		c.mu.Lock()
		c.at = append(c.at, time.Now())
		c.mu.Unlock()
		for n := c.open.Add(1); ; {
			if m := c.most.Load(); n <= m || c.most.CompareAndSwap(m, n) {
				return
			}
		}
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// mostIn is the largest sum of weights within a span; times are in order.
func mostIn(at []time.Duration, weight []float64, span time.Duration) (most float64) {
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

// most is the largest sum in sumSpan.
func (s *series) most() float64 { return mostIn(s.at, s.weight, sumSpan) }

// sum counts what came, from base on for so long.
func sum(events []history.Event, rules history.Rules, replicas []*replica, base, length time.Duration) (out Sums) {
	slices.SortStableFunc(events, func(a, b history.Event) int { return int(a.At - b.At) })
	byName := map[string]*replica{}
	roles := map[bool]float64{} // weights of all listed
	for _, r := range replicas {
		byName[r.name] = r
		roles[r.writer] += r.weightOnList()
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
			s := step{e.Request, r.writer}
			if came[s]++; came[s] > 1 {
				repeats.add(e.At, 1)
			}
			if !seen[e.Request] {
				seen[e.Request] = true
				firsts.add(e.At, 1)
			}
			load[e.Replica] += e.Weight
			work[r.writer].add(e.At, e.Weight)
		case history.LoadPolled:
			if e.Class != dutyProbe {
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
	out.Lists = lists.most()
	if n := len(firsts.at); n > 0 {
		out.Repeats = float64(len(repeats.at)) / float64(n)
		perSpan := float64(n) / length.Seconds() * sumSpan.Seconds()
		out.RepeatsMost = repeats.most() / perSpan
	}
	for _, s := range own {
		out.OwnProbes += float64(len(s.at)) / float64(len(replicas)) / length.Seconds()
		out.OwnMost = max(out.OwnMost, s.most()/sumSpan.Seconds())
	}
	for _, r := range replicas {
		out.Handshakes += float64(r.calls.made.Load()) / float64(len(replicas)) / length.Seconds()
		out.Open = max(out.Open, r.calls.most.Load())
		all := 0.0
		for _, o := range replicas {
			if o.writer == r.writer {
				all += load[o.name]
			}
		}
		if all > 0 {
			out.LoadSpread = max(out.LoadSpread, load[r.name]/all*roles[r.writer]/r.weightOnList())
		}
	}
	out.cold(events, rules, byName, work, roles)
	return out
}

// calmFrom is when all dispatchers have the connections that they begin with.
const calmFrom = 4 * time.Second

// rush is the most connections made in a span from a fault on, against the mean of so long a span before it. At least one is
// taken for the calm, which may have none. Times count from the beginning of the traffic.
func rush(made []time.Duration, fault time.Duration) float64 {
	if fault <= calmFrom {
		return 0
	}
	calm, after := 0.0, series{}
	for _, at := range made {
		switch {
		case at >= fault:
			after.add(at, 1)
		case at >= calmFrom:
			calm++
		}
	}
	return after.most() / max(calm*sumSpan.Seconds()/(fault-calmFrom).Seconds(), 1)
}

// cold is how much of what they may be sent cold replicas were sent, and the most that one was sent of what it bears.
func (out *Sums) cold(events []history.Event, rules history.Rules, byName map[string]*replica, work map[bool]*series, roles map[bool]float64) {
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
				out.ColdMost = max(out.ColdMost, sum/allowed)
			}
		}
		w := work[r.writer]
		for i, at := range w.at { // of all that came meanwhile, its even part by what it may have of that
			if at >= start.At && at <= start.Until {
				may += w.weight[i] * r.weightOnList() / roles[r.writer] * min(coldAim*rules.OverloadMultiple*rules.CapacityFraction(start, at), 1)
			}
		}
		if may > 0 {
			used = append(used, got/may)
		}
	}
	for _, u := range used {
		out.ColdUsed += u / float64(len(used))
	}
}

// Shares is a dispatcher's part as it shows it to its operators.
func (r *Run) Shares(d int) (fleet.QuotaStatus, error) {
	return shown[fleet.QuotaStatus](r, d, "shares")
}

// Subset is what a dispatcher keeps to.
func (r *Run) Subset(d int) (subsetter.Status, error) { return shown[subsetter.Status](r, d, "subset") }

// parts asks all dispatchers at once what they act by; those that do not answer act by nothing that this can see.
func (r *Run) parts() (parts []float64) {
	var wg sync.WaitGroup
	parts = make([]float64, len(r.procs))
	for d := range r.procs {
		wg.Go(func() {
			if s, err := r.Shares(d); err == nil {
				parts[d] = s.Fraction
			}
		})
	}
	wg.Wait()
	return parts
}

// watchShares adds up what dispatchers act by until the context ends.
func (r *Run) watchShares(ctx context.Context, out *Sums) {
	lent, n, all := false, 0.0, 0.0
	tick := time.NewTicker(shareTick)
	defer tick.Stop()
	for {
		sum := 0.0
		for _, p := range r.parts() {
			sum += p
			out.HotPart = max(out.HotPart, p)
		}
		if out.ShareSum = max(out.ShareSum, sum); !lent && sum > 0.9 {
			lent, out.ShareLow = true, sum
		}
		if lent {
			out.ShareLow = min(out.ShareLow, sum)
			n, all = n+1, all+sum
			out.ShareMean = all / n
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
