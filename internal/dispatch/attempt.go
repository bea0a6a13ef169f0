package dispatch

import (
	"log/slog"
	"time"

	"rampspread/routing"
)

// attempt is one call of a request that was sent, or was to be sent, to a server.
type attempt struct {
	core   *Dispatcher
	req    *request
	number int
	to     *listed
	sent   time.Duration
	call   Attempt
	timer  *time.Timer
	first  bool
	ended  bool

	aborted bool
	as      routing.Outcome // what it then ended as, if it may have run
}

// FirstToken implements Events.
func (a *attempt) FirstToken(s Stream) bool {
	won := make(chan bool, 1)
	if !a.core.post(func() { won <- a.core.first(a, s) }) {
		return false
	}
	select {
	case w := <-won:
		return w
	case <-a.core.done:
		return false
	}
}

func (c *Dispatcher) first(a *attempt, s Stream) bool {
	q := a.req
	if a.aborted || q.answer == nil {
		return false // it counts as out until its connection is closed, and its end is reported then
	}
	a.first, q.streamed = true, true
	a.timer.Stop()
	a.to.heard = c.now()
	c.counters.Served++
	c.reply(q, Answer{Kind: Served, Stream: s})
	c.handle(routing.FirstToken{Request: q.id, Attempt: a.number, Endpoint: a.to.ID, Elapsed: c.now() - a.sent})
	return true
}

// Ended implements Events.
func (a *attempt) Ended(o AttemptResult) { a.core.post(func() { a.core.finish(a, o) }) }

func (a *attempt) name() string {
	if a.to == nil {
		return "none"
	}
	return a.to.Name
}

// finish takes an attempt's one outcome.
func (c *Dispatcher) finish(a *attempt, o AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	if a.aborted && o.Outcome == routing.ConnectionReset {
		o.Outcome = a.as
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	q := a.req
	q.ran.note(a, o)
	server := routing.EndpointID(0)
	if a.to != nil {
		server = a.to.ID
	}
	switch o.Outcome {
	case routing.Served, routing.Errored, routing.QueueFull, routing.StateMissing, routing.PrefillDone:
		a.to.heard = c.now()
	case routing.TimedOut, routing.Cancelled, routing.ConnectionReset:
		q.loose = true
		if a.to.reads && a.to.heard < a.sent {
			c.follow(a)
		}
	}
	c.counters.outcome(o.Outcome)
	switch o.Outcome {
	case routing.Served, routing.PrefillDone, routing.QueueFull:
	default:
		slog.Info("attempt_lost", "id", q.Call.ID, "attempt", a.number, "server", a.name(),
			"outcome", outcomeName(o.Outcome), "after", c.now()-a.sent, "first", a.first)
	}
	if a.first && o.Outcome != routing.Served {
		c.counters.BrokenStreams++
	}
	c.handle(routing.AttemptEnded{
		Request: q.id, Attempt: a.number, Endpoint: server, Outcome: o.Outcome, Elapsed: c.now() - a.sent,
		CachedTokens: o.CachedTokens, StreamStarted: o.StreamStarted, Final: q.answer == nil, Load: o.Load,
	})
	if q.left && q.answer != nil && !q.runs() {
		c.endLeft(q) // nothing is out that could still be read to its end
	}
	c.forget(q)
}
