package dispatch

import (
	"context"
	"maps"

	"rampspread/routing"
)

// Counters tells what the core took in, sent and answered.
type Counters struct {
	Accepted, Attempts, LoadPolls, Releases, PeerLoadReports            int
	ExpiredReservations                                                 int // releases of them, since nothing told that an attempt had arrived
	Served, Rejected, Failed, ClientGone, DeadlineForced, BrokenStreams int
	Outcomes                                                            map[string]int
	Open, Endpoints                                                     int
}

func outcomeName(o routing.Outcome) string {
	names := [...]string{routing.Served: "served", routing.Errored: "errored", routing.QueueFull: "full",
		routing.StateMissing: "no_state", routing.TimedOut: "timed_out", routing.ConnectFailed: "connect_failed",
		routing.ConnectionReset: "reset", routing.Cancelled: "cancelled", routing.NotSent: "moot", routing.PrefillDone: "read"}
	return names[o]
}

func (n *Counters) countOutcome(o routing.Outcome) {
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
		n.Outcomes, n.Open, n.Endpoints = maps.Clone(n.Outcomes), len(c.requests), len(c.endpoints)
		got <- n
	})
	select {
	case n := <-got:
		return n
	case <-ctx.Done():
	case <-c.stopped:
	}
	return Counters{}
}
