package core

import (
	"context"
	"maps"

	"rampspread/decide"
)

// Counters tells what the core took in, sent and answered.
type Counters struct {
	Accepted, Attempts, LoadPolls, Releases, PeerLoadReports            int
	ExpiredReservations                                                 int // releases of them, since nothing told that an attempt had arrived
	Served, Rejected, Failed, ClientGone, DeadlineForced, BrokenStreams int
	Outcomes                                                            map[string]int
	Open, Endpoints                                                     int
}

func outcomeName(o decide.Outcome) string {
	names := [...]string{decide.Served: "served", decide.Errored: "errored", decide.QueueFull: "full",
		decide.StateMissing: "no_state", decide.TimedOut: "timed_out", decide.ConnectFailed: "connect_failed",
		decide.ConnectionReset: "reset", decide.Cancelled: "cancelled", decide.NotSent: "moot", decide.PrefillDone: "read"}
	return names[o]
}

func (n *Counters) outcome(o decide.Outcome) {
	if n.Outcomes == nil {
		n.Outcomes = map[string]int{}
	}
	n.Outcomes[outcomeName(o)]++
}

// Counters returns a copy.
func (c *Dispatcher) Counters(ctx context.Context) Counters {
	got := make(chan Counters, 1)
	c.post(func() {
		n := c.counters
		n.Outcomes, n.Open, n.Endpoints = maps.Clone(n.Outcomes), len(c.requests), len(c.list)
		got <- n
	})
	select {
	case n := <-got:
		return n
	case <-ctx.Done():
	case <-c.done:
	}
	return Counters{}
}
