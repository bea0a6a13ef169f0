package faultbench

import (
	"slices"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
)

// FleetTotals are what all dispatchers did together, counted at the replicas, and the quotas that they show.
type FleetTotals struct {
	RepeatsPerRequest    float64 `json:"repeats_per_request"`      // prefills and decodes beyond the first, for each request
	MaxRepeatsPerRequest float64 `json:"repeats_per_request_most"` // the same in the worst 5 s
	OwnPollRate          float64 `json:"own_probes_per_replica_s"` // without a lease
	MaxOwnPollRate       float64 `json:"own_probes_most_s"`        // at any replica, over the worst 5 s
	HandshakeRate        float64 `json:"handshakes_per_replica_s"` // connections that dispatchers opened
	MaxConnections       int64   `json:"connections_most"`         // at one replica at once
	HandshakeSurge       float64 `json:"handshakes_rush"`          // the most that all dispatchers opened in 5 s from the first fault on, against calm; 0: no fault
	MaxLoadOverMean      float64 `json:"load_max_over_mean"`       // work of a replica, against the mean of its stage by weight
	SlowStartUsed        float64 `json:"cold_used"`                // of what replicas in slow start may be sent, where there were any
	MaxSlowStartLoad     float64 `json:"cold_most"`                // the most that one got of what makes it fall over
	MaxQuotaSum          float64 `json:"share_sum_most"`           // of the quotas that dispatchers had at once
	MinQuotaSum          float64 `json:"share_sum_least"`          // once the first were granted
	MeanQuotaSum         float64 `json:"share_sum_mean"`           // likewise
	MaxQuota             float64 `json:"share_hot_most"`           // of the dispatcher with most
	MaxDiscoveryCalls    float64 `json:"discovery_calls_most_5s"`  // of all dispatchers in the worst 5 s
}

const (
	totalsWindow      = 5 * time.Second
	slowStartTarget   = 0.45 // of what a replica in slow start can take, at an even load: the program's own target
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

// maxSum is the largest sum within totalsWindow.
func (s *series) maxSum() float64 { return maxSumWithin(s.at, s.weight, totalsWindow) }

// fleetTotals counts what arrived at the replicas, from base on for a length. It sorts the events by time.
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
			if e.At > base { // all start at once
				c.discoveryCalls.add(e.At, 1)
			}
		}
	}
	out.MaxDiscoveryCalls = c.discoveryCalls.maxSum()
	if n := len(c.firsts.at); n > 0 {
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

// step is one of a request's two stages.
type step struct {
	request string
	decode  bool
}

// arrivals are what arrived at the replicas. Stages are told apart by whether they decode.
type arrivals struct {
	replicas       map[string]*replica.Replica
	order          []*replica.Replica
	stageWeight    map[bool]float64 // of all listed replicas
	attempts       map[step]int
	seen           map[string]bool // requests
	firsts         series          // first attempts of requests
	repeats        series          // of steps
	discoveryCalls series
	ownPolls       map[string]*series // that no lease asked for, by replica
	load           map[string]float64 // work, by replica
	work           map[bool]*series   // by stage
}

func newArrivals(replicas []*replica.Replica) *arrivals {
	c := &arrivals{replicas: map[string]*replica.Replica{}, order: replicas, stageWeight: map[bool]float64{}, attempts: map[step]int{},
		seen: map[string]bool{}, ownPolls: map[string]*series{}, load: map[string]float64{}, work: map[bool]*series{false: {}, true: {}}}
	for _, r := range replicas {
		c.replicas[r.Name] = r
		c.stageWeight[r.Decode] += r.Weight()
	}
	return c
}

func (c *arrivals) addAttempt(e history.Event) {
	r := c.replicas[e.Replica]
	s := step{e.Request, r.Decode}
	if c.attempts[s]++; c.attempts[s] > 1 {
		c.repeats.add(e.At, 1)
	}
	if !c.seen[e.Request] {
		c.seen[e.Request] = true
		c.firsts.add(e.At, 1)
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

// stageLoad is the work of all replicas, by stage.
func (c *arrivals) stageLoad() map[bool]float64 {
	all := map[bool]float64{}
	for _, r := range c.order {
		all[r.Decode] += c.load[r.Name]
	}
	return all
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

// addSlowStart is how much of what they may be sent replicas in slow start were sent, and the most that one was sent of
// what it can take.
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

// slowStartShare is the work that a replica in slow start may have of all that arrived meanwhile: its even share, by its
// capacity then.
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
