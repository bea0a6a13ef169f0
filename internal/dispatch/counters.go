package dispatch

import (
	"context"
	"maps"

	"rampspread/routing"
)

// Counters holds totals since the start of the process, and two gauges.
type Counters struct {
	Accepted        int // accepted requests
	Attempts        int // attempts that were sent
	LoadPolls       int // load polls sent to endpoints
	Releases        int // releases that were sent
	PeerLoadReports int // load reports received from other dispatchers

	ExpiredReservations int // releases sent because nothing had proved in time that an attempt had reached its endpoint

	Served           int // requests answered with a stream
	Rejected         int // requests answered Rejected
	Failed           int // requests answered Failed, by the Router or by AbandonPending
	ClientGone       int // requests whose client disconnected before the final answer
	DeadlineFailures int // requests failed because the Router gave no answer within deadlineGrace of their deadline
	LateAnswers      int // requests that Dispatch answered because the owner had not done so after the deadline
	BrokenStreams    int // streams that broke after their first token

	Outcomes map[string]int // ended attempts by outcome name, or nil if none has ended

	Open      int // gauge: requests without a final answer or with an attempt in flight
	Endpoints int // gauge: listed endpoints
}

var outcomeNames = [...]string{
	routing.Served:               "served",
	routing.ErrorResponse:        "errored",
	routing.QueueFull:            "full",
	routing.PrefillResultMissing: "no_state",
	routing.TimedOut:             "timed_out",
	routing.ConnectFailed:        "connect_failed",
	routing.ConnectionReset:      "reset",
	routing.Cancelled:            "cancelled",
	routing.NotSent:              "moot",
	routing.PrefillDone:          "read",
}

// outcomeName returns the name of an outcome in logs and in the keys of the counters line. Programs parse that line, so
// the names must not change.
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

// Counters returns a copy of the counters. The copy is empty if the context is done or Run has ended first.
func (d *Dispatcher) Counters(ctx context.Context) Counters {
	counters, _ := query(ctx, d, func() Counters {
		c := d.counters
		c.LateAnswers = int(d.lateAnswers.Load())
		c.Outcomes, c.Open, c.Endpoints = maps.Clone(c.Outcomes), len(d.requests), len(d.endpoints)
		return c
	})
	return counters
}
