package dispatch

import (
	"context"
	"maps"

	"rampspread/routing"
)

// Counters are totals since the start, except the gauges.
type Counters struct {
	Accepted        int // requests
	Attempts        int // attempts that were sent
	LoadPolls       int
	Releases        int
	PeerLoadReports int // load reports of other dispatchers

	ExpiredReservations int // releases because nothing proved in time that an attempt had reached its endpoint

	Served         int // requests answered with a stream
	Rejected       int // requests answered Rejected
	Failed         int // requests answered Failed, by the Router or by AbandonPending
	ClientGone     int // requests whose client disconnected before the final answer
	DeadlineForced int // requests that the Router had not answered by their deadline
	BrokenStreams  int // streams that broke after their first token

	Outcomes map[string]int // ended attempts, by the name of their outcome; nil: none has ended

	Open      int // gauge: requests that are not forgotten
	Endpoints int // gauge: listed endpoints
}

var outcomeNames = [...]string{
	routing.Served:          "served",
	routing.Errored:         "errored",
	routing.QueueFull:       "full",
	routing.StateMissing:    "no_state",
	routing.TimedOut:        "timed_out",
	routing.ConnectFailed:   "connect_failed",
	routing.ConnectionReset: "reset",
	routing.Cancelled:       "cancelled",
	routing.NotSent:         "moot",
	routing.PrefillDone:     "read",
}

// outcomeName names an outcome in logs and in keys of the counters' line, which programs read.
func outcomeName(outcome routing.Outcome) string { return outcomeNames[outcome] }

func (c *Counters) countOutcome(outcome routing.Outcome) {
	if c.Outcomes == nil {
		c.Outcomes = map[string]int{}
	}
	c.Outcomes[outcomeName(outcome)]++
}

// countUnserved counts an answer that is Rejected or Failed.
func (c *Counters) countUnserved(kind AnswerKind) {
	switch kind {
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	}
}

// Counters returns a copy of the counters. It is empty if the context or the dispatcher ended first.
func (d *Dispatcher) Counters(ctx context.Context) Counters {
	counters, _ := query(ctx, d, func() Counters {
		c := d.counters
		c.Outcomes, c.Open, c.Endpoints = maps.Clone(c.Outcomes), len(d.requests), len(d.endpoints)
		return c
	})
	return counters
}
