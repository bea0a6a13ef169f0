package dispatch

import (
	"log/slog"
	"time"

	"rampspread/routing"
)

// attempt is one call of a request that was sent, or was to be sent, to a server.
type attempt struct {
	dispatcher      *Dispatcher
	request         *request
	number          int
	endpoint        *endpointRecord
	sentAt          time.Duration
	upstreamAttempt Attempt
	timeoutTimer    *time.Timer
	first           bool
	ended           bool

	aborted      bool
	abortOutcome routing.Outcome // what it then ended as, if it may have run
}

// FirstToken implements Events.
func (a *attempt) FirstToken(s Stream) bool {
	won := make(chan bool, 1)
	if !a.dispatcher.post(func() { won <- a.dispatcher.firstToken(a, s) }) {
		return false
	}
	select {
	case w := <-won:
		return w
	case <-a.dispatcher.stopped:
		return false
	}
}

func (c *Dispatcher) firstToken(a *attempt, s Stream) bool {
	q := a.request
	if a.aborted || q.answer == nil {
		return false // it counts as out until its connection is closed, and its end is reported then
	}
	a.first, q.streamStarted = true, true
	a.timeoutTimer.Stop()
	a.endpoint.lastResponse = c.now()
	c.counters.Served++
	c.reply(q, Answer{Kind: Served, Stream: s})
	c.handleEvent(routing.FirstToken{Request: q.id, Attempt: a.number, Endpoint: a.endpoint.ID, Elapsed: c.now() - a.sentAt})
	return true
}

// Ended implements Events.
func (a *attempt) Ended(o AttemptResult) {
	a.dispatcher.post(func() { a.dispatcher.attemptEnded(a, o) })
}

func (a *attempt) endpointName() string {
	if a.endpoint == nil {
		return "none"
	}
	return a.endpoint.Name
}

// attemptEnded takes an attempt's one outcome.
func (c *Dispatcher) attemptEnded(a *attempt, o AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	if a.aborted && o.Outcome == routing.ConnectionReset {
		o.Outcome = a.abortOutcome
	}
	if a.timeoutTimer != nil {
		a.timeoutTimer.Stop()
	}
	q := a.request
	q.execution.recordEnd(a, o)
	server := routing.EndpointID(0)
	if a.endpoint != nil {
		server = a.endpoint.ID
	}
	switch o.Outcome {
	case routing.Served, routing.Errored, routing.QueueFull, routing.StateMissing, routing.PrefillDone:
		a.endpoint.lastResponse = c.now()
	case routing.TimedOut, routing.Cancelled, routing.ConnectionReset:
		q.lostAttempt = true
		if a.endpoint.prefillOnly && a.endpoint.lastResponse < a.sentAt {
			c.followLostPrefill(a)
		}
	}
	c.counters.countOutcome(o.Outcome)
	switch o.Outcome {
	case routing.Served, routing.PrefillDone, routing.QueueFull:
	default:
		slog.Info("attempt_lost", "id", q.Call.ID, "attempt", a.number, "server", a.endpointName(),
			"outcome", outcomeName(o.Outcome), "after", c.now()-a.sentAt, "first", a.first)
	}
	if a.first && o.Outcome != routing.Served {
		c.counters.BrokenStreams++
	}
	c.handleEvent(routing.AttemptEnded{
		Request: q.id, Attempt: a.number, Endpoint: server, Outcome: o.Outcome, Elapsed: c.now() - a.sentAt,
		CachedTokens: o.CachedTokens, StreamStarted: o.StreamStarted, Final: q.answer == nil, Load: o.Load,
	})
	if q.left && q.answer != nil && !q.hasExecutingAttempt() {
		c.answerDisconnected(q) // nothing is out that could still be read to its end
	}
	c.forget(q)
}
