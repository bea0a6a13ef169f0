package dispatch

import (
	"context"
	"log/slog"
	"time"

	"rampspread/internal/precondition"
	"rampspread/routing"
)

const (
	// defaultRetryAfter is the Retry-After of a rejected client for which the Router has no estimate: a client that
	// gets none may be back at once.
	defaultRetryAfter = 200 * time.Millisecond
	// deadlineGrace is how long the Router has at the deadline to answer by itself, once the request's attempts have
	// been aborted.
	deadlineGrace = 8 * time.Millisecond
)

// requestState is the state of a request on its way to its one final answer, with these transitions:
//
//	requestOpen -> requestServed       an attempt's stream goes to the client (firstToken)
//	requestOpen -> requestCompleting   the client has disconnected; an attempt runs to completion (clientDisconnected)
//	requestOpen, requestCompleting -> requestAnswered   any other final answer (reply)
//
// forget drops a request in requestServed or requestAnswered once none of its attempts is in flight.
type requestState uint8

const (
	requestOpen       requestState = iota // it has no final answer, and its client waits for one
	requestCompleting                     // it has no final answer, and its client has disconnected
	requestServed                         // its final answer is a stream
	requestAnswered                       // its final answer is any other
)

// request is a client's request from its acceptance until no attempt of it is in flight any more.
type request struct {
	Request
	id            routing.RequestID
	clientContext context.Context
	answer        chan Answer // buffered for the one final answer
	state         requestState
	execution     possibleExecution
	unobservedEnd bool   // the end of an attempt was not observed, so that its reservation may show only later
	reason        string // why it was rejected or failed, for logs
	deadline      time.Duration
	deadlineTimer *time.Timer
	attempts      []*attempt // in the order in which the Router wanted them; the index is the attempt's number
}

// possibleExecution is the first attempt of a request that may have executed it.
type possibleExecution struct {
	mayHaveRun bool
	sentAt     time.Duration
	endpoint   *endpointRecord
}

// Dispatch accepts a request and returns its one final answer. If the client's context ends first, the answer is
// ClientDisconnected, or one that was already on its way. Once Run has ended it is Failed, or ClientDisconnected where the
// client's context has ended too.
func (d *Dispatcher) Dispatch(client context.Context, req Request) Answer {
	answer := make(chan Answer, 1)
	pending := &request{Request: req, clientContext: client, answer: answer}
	if !d.post(func() { d.acceptRequest(pending) }) {
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-client.Done():
		d.post(func() { d.clientDisconnected(pending) })
	case <-d.stopped:
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-d.stopped:
		return Answer{Kind: ClientDisconnected}
	}
}

// Accepted is the number of requests accepted since the start. It may be called from any goroutine.
func (d *Dispatcher) Accepted() int64 { return d.accepted.Load() }

// AbandonPending gives every open request its final answer, releases what is reserved for it, and rejects all requests
// that come from now on: the process is about to be killed, and no other process can release what it leaves reserved.
func (d *Dispatcher) AbandonPending() {
	d.post(func() {
		d.abandoned = true
		for _, req := range d.requests {
			if !req.answered() {
				d.abandonRequest(req)
			}
		}
	})
}

func (d *Dispatcher) acceptRequest(req *request) {
	now := d.now()
	d.lastRequestID++
	req.id, req.deadline = d.lastRequestID, d.clockTime(req.Deadline)
	d.requests[req.id] = req
	d.counters.Accepted++
	d.accepted.Add(1)
	remaining := req.deadline - now
	// The guard behind the Router: whatever it does, the client is answered by the deadline.
	req.deadlineTimer = time.AfterFunc(remaining, func() { d.post(func() { d.deadlineReached(req) }) })
	if d.abandoned {
		d.abandonRequest(req)
		return
	}
	if req.clientGone() {
		d.clientDisconnected(req)
		return
	}
	d.handleEvent(routing.RequestArrived{
		Request: req.id, Class: req.Class, Tenant: req.Tenant, Session: req.Session, SharedPrefix: req.SharedPrefix,
		PromptTokens: req.PromptTokens, SharedPrefixTokens: req.SharedPrefixTokens, MaxOutputTokens: req.MaxOutputTokens,
		RemainingTime: remaining,
	})
}

// deadlineReached aborts the attempts in flight, and answers the request if the Router does not within deadlineGrace.
func (d *Dispatcher) deadlineReached(req *request) {
	for _, a := range req.attempts {
		d.abortAttempt(a, routing.TimedOut)
	}
	if req.answered() {
		return
	}
	time.AfterFunc(deadlineGrace, func() { d.post(func() { d.failAfterDeadline(req) }) })
}

func (d *Dispatcher) failAfterDeadline(req *request) {
	if req.answered() {
		return
	}
	d.counters.DeadlineForced++
	d.answerAndCancel(req, Answer{Kind: Failed})
}

// abandonRequest rejects a request that was never sent, and fails any other.
func (d *Dispatcher) abandonRequest(req *request) {
	answer := Answer{Kind: Failed}
	if len(req.attempts) == 0 {
		answer = Answer{Kind: Rejected, RetryAfter: defaultRetryAfter}
	}
	d.counters.countUnserved(answer.Kind)
	d.answerAndCancel(req, answer)
}

// clientDisconnected ends a request whose client has disconnected. A RunToCompletion request stays unanswered while an
// attempt is in flight that may execute it.
func (d *Dispatcher) clientDisconnected(req *request) {
	if req.state != requestOpen {
		return
	}
	d.counters.ClientGone++
	if req.RunToCompletion && req.hasExecutingAttempt() {
		req.state = requestCompleting
		d.withdrawPendingAttempts(req)
		return
	}
	d.answerDisconnected(req)
}

// answerDisconnected gives a request whose client has disconnected its final answer, which for a RunToCompletion
// request says whether it may have been executed.
func (d *Dispatcher) answerDisconnected(req *request) {
	kind := ClientDisconnected
	if req.RunToCompletion && (req.execution.mayHaveRun || req.hasExecutingAttempt()) {
		kind = Failed
	}
	d.answerAndCancel(req, Answer{Kind: kind})
}

// rejectOrFail gives the final answer that the Router has decided on, unless the request has one already.
func (d *Dispatcher) rejectOrFail(id routing.RequestID, reason routing.Reason, answer Answer) {
	req := d.requests[id]
	if req == nil || req.answered() {
		return
	}
	d.counters.countUnserved(answer.Kind)
	req.reason = string(reason)
	d.reply(req, answer)
	d.removeIfDone(req)
}

// answerAndCancel answers a request without a decision of the Router, which then cancels the attempts in flight where they
// may be cancelled. An attempt that still waits for its connection must not begin in any case: nobody waits for its
// answer.
func (d *Dispatcher) answerAndCancel(req *request, answer Answer) {
	d.reply(req, answer)
	d.handleEvent(routing.ClientGone{Request: req.id})
	d.withdrawPendingAttempts(req)
	d.removeIfDone(req)
}

// reply gives the one final answer. It does not wait, since the channel is buffered.
func (d *Dispatcher) reply(req *request, answer Answer) {
	if reason := (precondition.FinalAnswer{Answered: req.answered()}).Check(); reason != precondition.Allowed {
		d.violations.Record(precondition.OperationAnswer, reason, req.Call.ID)
		return
	}
	if answer.Kind == Served {
		req.state = requestServed
	} else {
		req.state = requestAnswered
		slog.Info("unserved", "id", req.Call.ID, "kind", answer.Kind, "reason", req.reason,
			"remaining", req.deadline-d.now(), "attempts", len(req.attempts))
	}
	req.answer <- answer
}

// removeIfDone drops an answered request once none of its attempts is in flight. It waits until the Router has handled all
// pending events, since a release of the request may still follow from them.
func (d *Dispatcher) removeIfDone(req *request) {
	if !req.answered() {
		return
	}
	if len(d.pendingEvents) > 0 {
		d.pendingRemovals = append(d.pendingRemovals, req)
		return
	}
	if req.hasAttemptInFlight() {
		return
	}
	delete(d.requests, req.id)
	req.deadlineTimer.Stop() // it would retain the request and its body until a deadline that may be an hour away
}

// withdrawPendingAttempts withdraws the attempts of a request that still wait for their connection.
func (d *Dispatcher) withdrawPendingAttempts(req *request) {
	for _, a := range req.attempts {
		if a.beforeFirstToken() {
			a.upstreamAttempt.Withdraw()
		}
	}
}

// answered reports whether the request has its final answer.
func (r *request) answered() bool { return r.state == requestServed || r.state == requestAnswered }

// clientGone reports whether the request's client has disconnected.
func (r *request) clientGone() bool {
	return r.state == requestCompleting || r.clientContext.Err() != nil || r.ClientGone != nil && r.ClientGone()
}

// hasExecutingAttempt reports whether an attempt is in flight that may execute the request: one that does more than
// prefill.
func (r *request) hasExecutingAttempt() bool {
	for _, a := range r.attempts {
		if a.state != attemptEnded && a.executes() {
			return true
		}
	}
	return false
}

// hasAttemptInFlight reports whether an attempt has not ended.
func (r *request) hasAttemptInFlight() bool {
	for _, a := range r.attempts {
		if a.state != attemptEnded {
			return true
		}
	}
	return false
}

// lastEndpointName is the name of the last attempt's endpoint, for logs.
func (r *request) lastEndpointName() string {
	if len(r.attempts) == 0 {
		return noEndpointName
	}
	return r.attempts[len(r.attempts)-1].endpointName()
}

// recordEnd takes an attempt's end. Only the first attempt that may have executed the request counts.
func (e *possibleExecution) recordEnd(a *attempt, outcome routing.Outcome) {
	if !a.executes() || outcome.NeverRan() || e.mayHaveRun {
		return
	}
	*e = possibleExecution{mayHaveRun: true, sentAt: a.sentAt, endpoint: a.endpoint}
}
