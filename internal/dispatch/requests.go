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
	lostAttempt   bool   // the end of an attempt was not observed, so that its reservation may show only later
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
	q := &request{Request: req, clientContext: client, answer: answer}
	if !d.post(func() { d.acceptRequest(q) }) {
		return Answer{Kind: Failed}
	}
	select {
	case a := <-answer:
		return a
	case <-client.Done():
		d.post(func() { d.clientDisconnected(q) })
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
		for _, q := range d.requests {
			if !q.answered() {
				d.abandonRequest(q)
			}
		}
	})
}

func (d *Dispatcher) acceptRequest(q *request) {
	now := d.now()
	d.lastRequestID++
	q.id, q.deadline = d.lastRequestID, d.clockTime(q.Deadline)
	d.requests[q.id] = q
	d.counters.Accepted++
	d.accepted.Add(1)
	remaining := q.deadline - now
	// The guard behind the Router: whatever it does, the client is answered by the deadline.
	q.deadlineTimer = time.AfterFunc(remaining, func() { d.post(func() { d.deadlineReached(q) }) })
	if d.abandoned {
		d.abandonRequest(q)
		return
	}
	if q.clientGone() {
		d.clientDisconnected(q)
		return
	}
	d.handleEvent(routing.RequestArrived{
		Request: q.id, Class: q.Class, Tenant: q.Tenant, Session: q.Session, SharedPrefix: q.SharedPrefix,
		PromptTokens: q.PromptTokens, SharedPrefixTokens: q.SharedPrefixTokens, MaxOutputTokens: q.MaxOutputTokens,
		RemainingTime: remaining,
	})
}

// deadlineReached aborts the attempts in flight, and answers the request if the Router does not within deadlineGrace.
func (d *Dispatcher) deadlineReached(q *request) {
	for _, a := range q.attempts {
		d.abortAttempt(a, routing.TimedOut)
	}
	if q.answered() {
		return
	}
	time.AfterFunc(deadlineGrace, func() { d.post(func() { d.failAfterDeadline(q) }) })
}

func (d *Dispatcher) failAfterDeadline(q *request) {
	if q.answered() {
		return
	}
	d.counters.DeadlineForced++
	d.terminate(q, Answer{Kind: Failed})
}

// abandonRequest rejects a request that was never sent, and fails any other.
func (d *Dispatcher) abandonRequest(q *request) {
	answer := Answer{Kind: Failed}
	if len(q.attempts) == 0 {
		answer = Answer{Kind: Rejected, RetryAfter: defaultRetryAfter}
	}
	d.counters.countUnserved(answer.Kind)
	d.terminate(q, answer)
}

// clientDisconnected ends a request whose client has disconnected. A RunToCompletion request stays unanswered while an
// attempt is in flight that may execute it.
func (d *Dispatcher) clientDisconnected(q *request) {
	if q.state != requestOpen {
		return
	}
	d.counters.ClientGone++
	if q.RunToCompletion && q.hasExecutingAttempt() {
		q.state = requestCompleting
		d.withdrawPendingAttempts(q)
		return
	}
	d.answerDisconnected(q)
}

// answerDisconnected gives a request whose client has disconnected its final answer, which for a RunToCompletion
// request says whether it may have been executed.
func (d *Dispatcher) answerDisconnected(q *request) {
	kind := ClientDisconnected
	if q.RunToCompletion && (q.execution.mayHaveRun || q.hasExecutingAttempt()) {
		kind = Failed
	}
	d.terminate(q, Answer{Kind: kind})
}

// rejectOrFail gives the final answer that the Router has decided on, unless the request has one already.
func (d *Dispatcher) rejectOrFail(id routing.RequestID, reason routing.Reason, answer Answer) {
	q := d.requests[id]
	if q == nil || q.answered() {
		return
	}
	d.counters.countUnserved(answer.Kind)
	q.reason = string(reason)
	d.reply(q, answer)
	d.forget(q)
}

// terminate answers a request without a decision of the Router, which then cancels the attempts in flight where they
// may be cancelled. An attempt that still waits for its connection must not begin in any case: nobody waits for its
// answer.
func (d *Dispatcher) terminate(q *request, answer Answer) {
	d.reply(q, answer)
	d.handleEvent(routing.ClientGone{Request: q.id})
	d.withdrawPendingAttempts(q)
	d.forget(q)
}

// reply gives the one final answer. It does not wait, since the channel is buffered.
func (d *Dispatcher) reply(q *request, answer Answer) {
	if reason := (precondition.FinalAnswer{Answered: q.answered()}).Check(); reason != precondition.Allowed {
		d.violations.Record(precondition.OperationAnswer, reason, q.Call.ID)
		return
	}
	if answer.Kind == Served {
		q.state = requestServed
	} else {
		q.state = requestAnswered
		slog.Info("unserved", "id", q.Call.ID, "kind", answer.Kind, "reason", q.reason,
			"remaining", q.deadline-d.now(), "attempts", len(q.attempts))
	}
	q.answer <- answer
}

// forget drops an answered request once none of its attempts is in flight. It waits until the Router has handled all
// pending events, since a release of the request may still follow from them.
func (d *Dispatcher) forget(q *request) {
	if !q.answered() {
		return
	}
	if len(d.pendingEvents) > 0 {
		d.pendingForget = append(d.pendingForget, q)
		return
	}
	if q.hasAttemptInFlight() {
		return
	}
	delete(d.requests, q.id)
	q.deadlineTimer.Stop() // it would retain the request and its body until a deadline that may be an hour away
}

// withdrawPendingAttempts withdraws the attempts of a request that still wait for their connection.
func (d *Dispatcher) withdrawPendingAttempts(q *request) {
	for _, a := range q.attempts {
		if a.beforeFirstToken() {
			a.upstreamAttempt.Withdraw()
		}
	}
}

// answered reports whether the request has its final answer.
func (q *request) answered() bool { return q.state == requestServed || q.state == requestAnswered }

// clientGone reports whether the request's client has disconnected.
func (q *request) clientGone() bool {
	return q.state == requestCompleting || q.clientContext.Err() != nil || q.ClientGone != nil && q.ClientGone()
}

// hasExecutingAttempt reports whether an attempt is in flight that may execute the request: one that does more than
// prefill.
func (q *request) hasExecutingAttempt() bool {
	for _, a := range q.attempts {
		if a.state != attemptEnded && a.executes() {
			return true
		}
	}
	return false
}

// hasAttemptInFlight reports whether an attempt has not ended.
func (q *request) hasAttemptInFlight() bool {
	for _, a := range q.attempts {
		if a.state != attemptEnded {
			return true
		}
	}
	return false
}

// lastEndpointName is the name of the last attempt's endpoint, for logs.
func (q *request) lastEndpointName() string {
	if len(q.attempts) == 0 {
		return noEndpointName
	}
	return q.attempts[len(q.attempts)-1].endpointName()
}

// recordEnd takes an attempt's end. Only the first attempt that may have executed the request counts.
func (e *possibleExecution) recordEnd(a *attempt, outcome routing.Outcome) {
	if !a.executes() || outcome.NeverRan() || e.mayHaveRun {
		return
	}
	*e = possibleExecution{mayHaveRun: true, sentAt: a.sentAt, endpoint: a.endpoint}
}
