package faultbench

import (
	"slices"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
)

// FleetTotals holds what the replicas counted of all dispatchers together, and the quotas that the dispatchers
// reported.
type FleetTotals struct {
	RepeatsPerRequest    float64 `json:"repeats_per_request"`      // prefills and decodes beyond the first, per request
	MaxRepeatsPerRequest float64 `json:"repeats_per_request_most"` // repeats per request in the worst 5 s
	OwnPollRate          float64 `json:"own_probes_per_replica_s"` // rate of load polls without a lease
	MaxOwnPollRate       float64 `json:"own_probes_most_s"`        // highest such rate at a replica in the worst 5 s
	HandshakeRate        float64 `json:"handshakes_per_replica_s"` // rate of connections that dispatchers opened
	MaxConnections       int64   `json:"connections_most"`         // largest number of open connections at one replica
	// HandshakeSurge is the largest number of connections that all dispatchers opened in 5 s after the first fault,
	// divided by the mean number in 5 s before the fault; 0 without a fault.
	HandshakeSurge    float64 `json:"handshakes_rush"`
	MaxLoadOverMean   float64 `json:"load_max_over_mean"`      // most work of a replica over its even share by weight
	SlowStartUsed     float64 `json:"cold_used"`               // work of replicas in slow start over their share
	MaxSlowStartLoad  float64 `json:"cold_most"`               // largest load in slow start over the overload limit
	MaxQuotaSum       float64 `json:"share_sum_most"`          // largest sum of the quotas that dispatchers had at once
	MinQuotaSum       float64 `json:"share_sum_least"`         // smallest sum after the first grants
	MeanQuotaSum      float64 `json:"share_sum_mean"`          // mean sum after the first grants
	MaxQuota          float64 `json:"share_hot_most"`          // largest quota of any dispatcher
	MaxDiscoveryCalls float64 `json:"discovery_calls_most_5s"` // calls by all dispatchers in the worst 5 s
}

const (
	totalsWindow = 5 * time.Second
	// slowStartTarget is the load that the program gives a replica in slow start at an even load, as a fraction of the
	// replica's overload limit.
	slowStartTarget   = 0.45
	quotaPollInterval = 100 * time.Millisecond
)

// maxSumWithin returns the largest sum of weights within a span. The times must be in order.
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

// series holds the times of events, in order, and their weights.
type series struct {
	at     []time.Duration
	weight []float64
}

func (s *series) add(at time.Duration, weight float64) {
	s.at, s.weight = append(s.at, at), append(s.weight, weight)
}

// maxSum returns the largest sum of weights within totalsWindow.
func (s *series) maxSum() float64 { return maxSumWithin(s.at, s.weight, totalsWindow) }

// fleetTotals returns the totals of a run whose traffic began at base and lasted for length. It sorts the slice events
// by time.
func fleetTotals(events []history.Event, rules history.Rules, replicas []*replica.Replica, base, length time.Duration) (out FleetTotals) {
	slices.SortStableFunc(events, func(a, b history.Event) int { return int(a.At - b.At) })
	c := newArrivals(replicas)
	for _, e := range events {
		switch e.Kind {
		case history.AttemptArrived:
			c.addAttempt(e)
		case history.LoadPolled:
			c.addPoll(e)
		case history.DiscoveryRequested:
			if e.At > base { // the calls of all dispatchers at their start do not count
				c.discoveryCalls.add(e.At, 1)
			}
		}
	}
	out.MaxDiscoveryCalls = c.discoveryCalls.maxSum()
	if n := len(c.firstAttempts.at); n > 0 {
		out.RepeatsPerRequest = float64(len(c.repeats.at)) / float64(n)
		perWindow := float64(n) / length.Seconds() * totalsWindow.Seconds()
		out.MaxRepeatsPerRequest = c.repeats.maxSum() / perWindow
	}
	for _, s := range c.ownPolls {
		out.OwnPollRate += float64(len(s.at)) / float64(len(replicas)) / length.Seconds()
		out.MaxOwnPollRate = max(out.MaxOwnPollRate, s.maxSum()/totalsWindow.Seconds())
	}
	stageLoad := c.stageLoad()
	for _, r := range replicas {
		out.HandshakeRate += float64(r.Connections.Opened()) / float64(len(replicas)) / length.Seconds()
		out.MaxConnections = max(out.MaxConnections, r.Connections.MaxOpen())
		if all := stageLoad[r.Decode]; all > 0 {
			out.MaxLoadOverMean = max(out.MaxLoadOverMean, c.load[r.Name]/all*c.stageWeight[r.Decode]/r.Weight())
		}
	}
	out.addSlowStart(events, rules, c)
	return out
}

// requestStage is the prefill stage or the decode stage of a request.
type requestStage struct {
	request string
	decode  bool
}

// arrivals accumulates what arrived at the replicas. In maps by stage, the key is true for decode and false for
// prefill.
type arrivals struct {
	replicas       map[string]*replica.Replica // by name
	order          []*replica.Replica          // the same replicas in a fixed order
	stageWeight    map[bool]float64            // sum of the replicas' weights, by stage
	attempts       map[requestStage]int        // number of attempts so far
	seen           map[string]bool             // IDs of requests with an attempt
	firstAttempts  series                      // first attempt of each request
	repeats        series                      // attempts at a stage of a request beyond the first
	discoveryCalls series
	ownPolls       map[string]*series // load polls without a lease, by replica
	load           map[string]float64 // sum of the work, by replica
	work           map[bool]*series   // work of each attempt, by stage
}

func newArrivals(replicas []*replica.Replica) *arrivals {
	c := &arrivals{replicas: map[string]*replica.Replica{}, order: replicas, stageWeight: map[bool]float64{}, attempts: map[requestStage]int{},
		seen: map[string]bool{}, ownPolls: map[string]*series{}, load: map[string]float64{}, work: map[bool]*series{false: {}, true: {}}}
	for _, r := range replicas {
		c.replicas[r.Name] = r
		c.stageWeight[r.Decode] += r.Weight()
	}
	return c
}

func (c *arrivals) addAttempt(e history.Event) {
	r := c.replicas[e.Replica]
	s := requestStage{e.Request, r.Decode}
	if c.attempts[s]++; c.attempts[s] > 1 {
		c.repeats.add(e.At, 1)
	}
	if !c.seen[e.Request] {
		c.seen[e.Request] = true
		c.firstAttempts.add(e.At, 1)
	}
	c.load[e.Replica] += e.Weight
	c.work[r.Decode].add(e.At, e.Weight)
}

func (c *arrivals) addPoll(e history.Event) {
	if e.Class == replica.LeasedPoll {
		return
	}
	if c.ownPolls[e.Replica] == nil {
		c.ownPolls[e.Replica] = &series{}
	}
	c.ownPolls[e.Replica].add(e.At, 1)
}

// stageLoad returns the work of all replicas, by stage.
func (c *arrivals) stageLoad() map[bool]float64 {
	all := map[bool]float64{}
	for _, r := range c.order {
		all[r.Decode] += c.load[r.Name]
	}
	return all
}

// connectionsSettled is the time after the start of the traffic when all dispatchers have opened their initial
// connections.
const connectionsSettled = 4 * time.Second

// handshakeSurge returns the largest number of connections opened in a totalsWindow after a fault, divided by the mean
// number in such a window before it, or by 1 if the mean is smaller. Connections opened before connectionsSettled do
// not count, and a fault before that time gives 0. Times count from the start of the traffic.
func handshakeSurge(opened []time.Duration, fault time.Duration) float64 {
	if fault <= connectionsSettled {
		return 0
	}
	calm, after := 0.0, series{}
	for _, at := range opened {
		switch {
		case at >= fault:
			after.add(at, 1)
		case at >= connectionsSettled:
			calm++
		}
	}
	return after.maxSum() / max(calm*totalsWindow.Seconds()/(fault-connectionsSettled).Seconds(), 1)
}

// addSlowStart adds the fraction of their share of the work that replicas in slow start were sent, and the largest
// fraction of its overload limit that one of them was sent.
func (out *FleetTotals) addSlowStart(events []history.Event, rules history.Rules, c *arrivals) {
	var used []float64
	for _, start := range events {
		if start.Kind != history.ReplicaStarted {
			continue
		}
		got := 0.0
		b := &history.SlowStartBudget{Rules: rules, Start: start}
		for _, e := range events {
			if e.Kind == history.AttemptArrived && e.Replica == start.Replica && e.At >= start.At && e.At <= start.Until {
				got += e.Weight
				sum, allowed, _ := b.Add(e)
				out.MaxSlowStartLoad = max(out.MaxSlowStartLoad, sum/allowed)
			}
		}
		if share := c.slowStartShare(start, rules); share > 0 {
			used = append(used, got/share)
		}
	}
	for _, u := range used {
		out.SlowStartUsed += u / float64(len(used))
	}
}

// slowStartShare returns the part of the work arriving during a replica's slow start that the replica may get: its even
// share, reduced by its capacity at each time.
func (c *arrivals) slowStartShare(start history.Event, rules history.Rules) (share float64) {
	r := c.replicas[start.Replica]
	work := c.work[r.Decode]
	for i, at := range work.at {
		if at >= start.At && at <= start.Until {
			share += work.weight[i] * r.Weight() / c.stageWeight[r.Decode] * min(slowStartTarget*rules.OverloadMultiple*rules.CapacityFraction(start, at), 1)
		}
	}
	return share
}
