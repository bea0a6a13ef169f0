package dispatch

import (
	"context"
	"log/slog"
	"time"

	"rampspread/internal/precondition"
	"rampspread/routing"
)

// noEndpointName is logged instead of an endpoint's name if there is no endpoint.
const noEndpointName = "none"

// attemptState is the state of an attempt, with these transitions:
//
//	attemptInFlight -> attemptStreaming   its stream has become the request's final answer (firstToken)
//	attemptInFlight -> attemptAborted     the dispatcher has aborted it (abortAttempt)
//	attemptInFlight, attemptStreaming, attemptAborted -> attemptEnded   its end has been reported (endAttempt)
//
// An aborted attempt counts as in flight until its connection is closed; its end is reported only then.
type attemptState uint8

const (
	attemptInFlight attemptState = iota
	attemptStreaming
	attemptAborted
	attemptEnded
)

// attempt is one attempt of a request at one endpoint, whether or not it could be sent. It is the AttemptObserver of
// the upstream attempt.
type attempt struct {
	dispatcher      *Dispatcher
	request         *request
	number          int             // index into the request's attempts
	endpoint        *endpointRecord // nil if the endpoint was not listed, so that the attempt was not sent
	sentAt          time.Duration
	upstreamAttempt Attempt     // nil if the attempt was not sent
	timeoutTimer    *time.Timer // nil if the attempt was not sent
	state           attemptState
	abortOutcome    routing.Outcome // outcome of an aborted attempt that ends with ConnectionReset
}

// FirstToken implements AttemptObserver.
func (a *attempt) FirstToken(s Stream) bool {
	accepted, err := query(context.Background(), a.dispatcher, func() bool { return a.dispatcher.firstToken(a, s) })
	return err == nil && accepted
}

// Ended implements AttemptObserver.
func (a *attempt) Ended(result AttemptResult) {
	a.dispatcher.post(func() { a.dispatcher.endAttempt(a, result) })
}

// beforeFirstToken reports whether the attempt has neither ended nor had its first token.
func (a *attempt) beforeFirstToken() bool {
	return a.state == attemptInFlight || a.state == attemptAborted
}

// executes reports whether the attempt executes the request if it reaches its endpoint. A prefill does not execute the
// request.
func (a *attempt) executes() bool { return a.endpoint != nil && !a.endpoint.prefillOnly }

// endpointName returns the name of the attempt's endpoint, for logs.
func (a *attempt) endpointName() string {
	if a.endpoint == nil {
		return noEndpointName
	}
	return a.endpoint.Name
}

// sendAttempt sends an attempt that the Router has decided on, if its preconditions hold. Otherwise the attempt ends as
// NotSent, and no endpoint has received anything.
func (d *Dispatcher) sendAttempt(action routing.Send) {
	req, endpoint := d.requests[action.Request], d.endpoints[action.Endpoint]
	if req == nil {
		return
	}
	now := d.now()
	timeout := req.deadline - now
	if action.Timeout > 0 {
		timeout = min(timeout, action.Timeout)
	}
	a := &attempt{dispatcher: d, request: req, number: len(req.attempts), endpoint: endpoint, sentAt: now}
	facts := d.attemptFacts(a, timeout)
	req.attempts = append(req.attempts, a)
	if reason := facts.Check(); reason != precondition.Allowed {
		d.endUnsent(a, reason)
		return
	}
	if a.number > 0 {
		slog.Info("further_attempt", "id", req.Call.ID, "attempt", a.number, "server", a.endpointName(),
			"may_have_run", req.execution.mayHaveRun)
	}
	d.counters.Attempts++
	a.upstreamAttempt = d.upstream.Send(AttemptSpec{
		Call:        req.Call,
		Target:      endpoint.EndpointAddress,
		Timeout:     timeout,
		ClientGone:  req.ClientGone,
		MayHaveRun:  facts.Executes && req.execution.mayHaveRun && facts.Idempotency == routing.IdempotentByKey,
		DedupWindow: facts.DedupWindow,
	}, a)
	a.timeoutTimer = time.AfterFunc(timeout, func() { d.post(func() { d.abortAttempt(a, routing.TimedOut) }) })
}

// attemptFacts returns the facts that decide whether an attempt may be sent. It must be called before the attempt is
// appended to its request's attempts.
func (d *Dispatcher) attemptFacts(a *attempt, timeout time.Duration) precondition.Attempt {
	req := a.request
	dedupWindow, inDedupScope := d.remainingDedupWindow(a)
	return precondition.Attempt{
		Answered:        req.answered(),
		ClientGone:      req.clientGone(),
		EndpointLeaving: a.endpoint == nil || a.endpoint.state != routing.Ready,
		RemainingTime:   timeout,
		AttemptInFlight: req.hasAttemptInFlight(),
		Executes:        a.executes(),
		MayHaveRun:      req.execution.mayHaveRun,
		Idempotency:     d.config.Classes[req.Class].Idempotency,
		InDedupScope:    inDedupScope,
		DedupWindow:     dedupWindow,
	}
}

// remainingDedupWindow returns how much longer the attempt's endpoint discards duplicates of the attempt that may have
// executed the request. inScope is false if the endpoint does not discard duplicates of that attempt, or if no attempt
// may have executed the request.
func (d *Dispatcher) remainingDedupWindow(a *attempt) (remaining time.Duration, inScope bool) {
	class, execution := d.config.Classes[a.request.Class], a.request.execution
	if execution.endpoint == nil || a.endpoint == nil {
		return 0, false
	}
	switch class.DedupScope {
	case routing.DedupScopeZone:
		inScope = a.endpoint.zone == execution.endpoint.zone
	case routing.DedupScopeCell:
		inScope = a.endpoint.cell == execution.endpoint.cell
	default:
		inScope = true
	}
	return execution.sentAt + class.DedupWindow - a.sentAt, inScope
}

// endUnsent ends an attempt whose preconditions do not hold.
func (d *Dispatcher) endUnsent(a *attempt, reason precondition.Reason) {
	req := a.request
	slog.Info("not_sent", "id", req.Call.ID, "attempt", a.number, "server", a.endpointName(), "reason", reason.String())
	switch reason {
	case precondition.AttemptInFlight, precondition.MayHaveRun, precondition.DedupWindowExpired:
		d.violations.Record(precondition.OperationSend, reason, req.Call.ID) // the Router should not have emitted Send
	}
	d.endAttempt(a, AttemptResult{Outcome: routing.NotSent})
	if reason == precondition.ClientDisconnected {
		d.clientDisconnected(req)
	}
}

// abortAttempt aborts an attempt in flight. The attempt counts as in flight until its connection is closed, since an
// attempt sent to another endpoint before that could be a second execution of the request.
func (d *Dispatcher) abortAttempt(a *attempt, outcome routing.Outcome) {
	if a.state != attemptInFlight {
		return
	}
	a.state, a.abortOutcome = attemptAborted, outcome
	a.upstreamAttempt.Abort()
}

// firstToken makes the attempt's stream the request's final answer. It returns false if the attempt was aborted or the
// request already has its final answer.
func (d *Dispatcher) firstToken(a *attempt, s Stream) (accepted bool) {
	req := a.request
	if a.state != attemptInFlight || req.answered() {
		return false // the attempt counts as in flight until its connection is closed and its end is reported
	}
	a.endpoint.lastResponse = d.now()
	if !d.reply(req, Answer{Kind: Served, Stream: s}) {
		d.handleEvent(routing.ClientGone{Request: req.id})
		d.withdrawPendingAttempts(req)
		return false
	}
	a.state = attemptStreaming
	a.timeoutTimer.Stop()
	req.Call.Body = nil // a stream that has begun is not sent again
	d.counters.Served++
	d.handleEvent(routing.FirstToken{
		Request: req.id, Attempt: a.number, Endpoint: a.endpoint.ID, Elapsed: d.now() - a.sentAt,
	})
	return true
}

// endAttempt records the outcome of an attempt. Calls after the first have no effect.
func (d *Dispatcher) endAttempt(a *attempt, result AttemptResult) {
	if a.state == attemptEnded {
		return
	}
	stateBefore := a.state
	a.state = attemptEnded
	if stateBefore == attemptAborted && result.Outcome == routing.ConnectionReset {
		result.Outcome = a.abortOutcome
	}
	if a.timeoutTimer != nil {
		a.timeoutTimer.Stop()
	}
	req := a.request
	req.execution.recordEnd(a, result.Outcome)
	d.recordResponse(a, result.Outcome)
	d.counters.countOutcome(result.Outcome)
	streamed := stateBefore == attemptStreaming
	d.logFailedAttempt(a, result.Outcome, streamed)
	if streamed && result.Outcome != routing.Served {
		d.counters.BrokenStreams++
	}
	var endpoint routing.EndpointID
	if a.endpoint != nil {
		endpoint = a.endpoint.ID
	}
	d.handleEvent(routing.AttemptEnded{
		Request: req.id, Attempt: a.number, Endpoint: endpoint, Outcome: result.Outcome, Elapsed: d.now() - a.sentAt,
		CachedTokens: result.CachedTokens, StreamStarted: result.StreamStarted, Final: req.answered(), Load: result.Load,
	})
	if req.state == requestCompleting && !req.hasExecutingAttempt() {
		d.answerDisconnected(req) // no attempt is in flight that could still complete the request
	}
	d.removeIfDone(req)
}

// recordResponse records whether an attempt's endpoint has responded. If the end of the attempt was not observed, its
// reservation may be made only later. If its endpoint may not have noticed the end, the reservation is released
// repeatedly.
func (d *Dispatcher) recordResponse(a *attempt, outcome routing.Outcome) {
	switch outcome {
	case routing.Served, routing.ErrorResponse, routing.QueueFull, routing.PrefillResultMissing, routing.PrefillDone:
		a.endpoint.lastResponse = d.now()
	case routing.TimedOut, routing.Cancelled, routing.ConnectionReset:
		a.request.unobservedEnd = true
		if d.mayRunUnnoticed(a, outcome) {
			d.startLostAttemptReleases(a)
		}
	}
}

// logFailedAttempt logs an attempt that ended with an outcome other than Served, PrefillDone and QueueFull. streamed
// says whether the attempt had its first token.
func (d *Dispatcher) logFailedAttempt(a *attempt, outcome routing.Outcome, streamed bool) {
	switch outcome {
	case routing.Served, routing.PrefillDone, routing.QueueFull:
		return
	}
	slog.Info("attempt_lost", "id", a.request.Call.ID, "attempt", a.number, "server", a.endpointName(),
		"outcome", outcomeName(outcome), "elapsed", d.now()-a.sentAt, "first_token", streamed)
}
