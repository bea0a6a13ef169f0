package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"rampspread/internal/precondition"
	"rampspread/routing"
)

const (
	// defaultRetryAfter is the Retry-After of a rejection for which the Router has no estimate. A client that gets no
	// Retry-After might retry at once.
	defaultRetryAfter = 200 * time.Millisecond
	// deadlineGrace is the time that the Router has after the deadline to answer a request whose attempts have been
	// aborted.
	deadlineGrace = 8 * time.Millisecond
)

// requestState is the state of a request, with these transitions:
//
//	requestOpen -> requestCompleting   the client has disconnected; an attempt runs to completion (clientDisconnected)
//	requestOpen, requestCompleting -> requestServed     an attempt's stream is the final answer (firstToken)
//	requestOpen, requestCompleting -> requestAnswered   the final answer is not a stream (reply)
//
// removeIfDone removes a request in requestServed or requestAnswered once none of its attempts is in flight.
type requestState uint8

const (
	requestOpen       requestState = iota // no final answer yet, and the client is connected
	requestCompleting                     // no final answer yet, and the client has disconnected
	requestServed                         // the final answer is a stream
	requestAnswered                       // the final answer is not a stream
)

// request is an accepted request. It exists until it has its final answer and none of its attempts is in flight.
type request struct {
	Request
	id            routing.RequestID
	clientContext context.Context
	phase         atomic.Int32 // an answerPhase
	answer        chan Answer  // receives the one final answer; its buffer has one slot
	state         requestState
	execution     possibleExecution
	unobservedEnd bool          // the end of an attempt was not observed, so that its reservation may be made later
	reason        string        // reason for the rejection or failure, for logs
	deadline      time.Duration // on the Router's clock
	deadlineTimer *time.Timer
	attempts      []*attempt // in the order of the Router's decisions, indexed by attempt.number
}

// possibleExecution describes the first attempt that may have executed the request. It is the zero value if there is no
// such attempt.
type possibleExecution struct {
	mayHaveRun bool
	sentAt     time.Duration
	endpoint   *endpointRecord
}

// Accepted returns the number of requests accepted since the start. It may be called from any goroutine.
func (d *Dispatcher) Accepted() int64 { return d.accepted.Load() }

// AbandonPending gives every open request its final answer, releases its reservations, and rejects all requests that
// arrive afterwards. It is for a process that is about to be killed: no other process could release its reservations.
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

// acceptRequest adds a request to the table of open requests and passes it to the Router.
//
// It does nothing if the request has its answer already, since its deadline is over or its client has disconnected.
func (d *Dispatcher) acceptRequest(req *request) {
	if !req.phase.CompareAndSwap(phaseWaiting, phaseAccepted) {
		return
	}
	now := d.now()
	d.lastRequestID++
	req.id, req.deadline = d.lastRequestID, d.clockTime(req.Deadline)
	d.requests[req.id] = req
	d.counters.Accepted++
	d.accepted.Add(1)
	remaining := req.deadline - now
	// This timer guarantees an answer shortly after the deadline even if the Router gives none.
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

// deadlineReached aborts the attempts in flight. If the Router gives no answer within deadlineGrace, the request is
// then answered as Failed.
func (d *Dispatcher) deadlineReached(req *request) {
	for _, a := range req.attempts {
		d.abortAttempt(a, routing.TimedOut)
	}
	if req.answered() {
		return
	}
	time.AfterFunc(deadlineGrace, func() { d.post(func() { d.failAfterDeadline(req) }) })
}

// failAfterDeadline fails a request that the Router has not answered within deadlineGrace.
func (d *Dispatcher) failAfterDeadline(req *request) {
	if req.answered() {
		return
	}
	d.counters.DeadlineFailures++
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

// clientDisconnected ends a request whose client has disconnected. A RunToCompletion request gets no answer as long as
// an attempt that may execute it is in flight.
func (d *Dispatcher) clientDisconnected(req *request) {
	if req.phase.CompareAndSwap(phaseWaiting, phaseAnswered) {
		req.answer <- Answer{Kind: ClientDisconnected} // acceptRequest will find it answered
		req.done(false)
		return
	}
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

// answerDisconnected answers a request whose client has disconnected. The answer is ClientDisconnected, or Failed for a
// RunToCompletion request that may have been executed.
func (d *Dispatcher) answerDisconnected(req *request) {
	kind := ClientDisconnected
	if req.RunToCompletion && (req.execution.mayHaveRun || req.hasExecutingAttempt()) {
		kind = Failed
	}
	d.answerAndCancel(req, Answer{Kind: kind})
}

// rejectOrFail gives the final answer that the Router has decided on, unless the request already has one.
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

// answerAndCancel answers a request without a decision of the Router. The Router then cancels the attempts in flight,
// if the configuration lets it cancel attempts. Attempts that still wait for a connection are withdrawn in any case,
// since their result is no longer needed.
func (d *Dispatcher) answerAndCancel(req *request, answer Answer) {
	d.reply(req, answer)
	d.handleEvent(routing.ClientGone{Request: req.id})
	d.withdrawPendingAttempts(req)
	d.removeIfDone(req)
}

// reply gives a request its final answer, and reports whether the client gets it: Dispatch may have answered after the
// deadline. A second answer of the owner is recorded as a violation and dropped. reply does not wait, since the channel
// is buffered.
func (d *Dispatcher) reply(req *request, answer Answer) (delivered bool) {
	if reason := (precondition.FinalAnswer{Answered: req.answered()}).Check(); reason != precondition.Allowed {
		d.violations.Record(precondition.OperationAnswer, reason, req.Call.ID)
		return false
	}
	delivered = req.phase.CompareAndSwap(phaseAccepted, phaseAnswered)
	if !delivered {
		answer = Answer{Kind: Failed}
	}
	if answer.Kind == Served {
		req.state = requestServed
	} else {
		req.state = requestAnswered
		slog.Info("unserved", "id", req.Call.ID, "kind", answer.Kind, "reason", req.reason,
			"remaining", req.deadline-d.now(), "attempts", len(req.attempts))
	}
	if delivered {
		req.answer <- answer
	}
	return delivered
}

// removeIfDone removes a request from the table of open requests if it is answered and none of its attempts is in
// flight. While events are pending the check is deferred, since the Router may still release the request's reservations
// in response to them.
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
	if _, open := d.requests[req.id]; open {
		delete(d.requests, req.id)
		req.done(req.execution.mayHaveRun)
	}
	req.deadlineTimer.Stop() // it would keep the request and its body in memory until the deadline, maybe for an hour
}

// withdrawPendingAttempts withdraws the attempts of a request that still wait for a connection.
func (d *Dispatcher) withdrawPendingAttempts(req *request) {
	for _, a := range req.attempts {
		if a.beforeFirstToken() {
			a.upstreamAttempt.Withdraw()
		}
	}
}

// done tells the frontend that nothing of the request can run or be sent any more.
func (r *request) done(mayHaveRun bool) {
	if r.Done != nil {
		r.Done(mayHaveRun)
	}
}

// answered reports whether the request has its final answer.
func (r *request) answered() bool { return r.state == requestServed || r.state == requestAnswered }

// clientGone reports whether the request's client has disconnected: according to the request's state, to the client's
// context, or to the frontend's check Request.ClientGone.
func (r *request) clientGone() bool {
	return r.state == requestCompleting || r.clientContext.Err() != nil || r.ClientGone != nil && r.ClientGone()
}

// hasExecutingAttempt reports whether an attempt is in flight that may execute the request, which a prefill does not.
func (r *request) hasExecutingAttempt() bool {
	for _, a := range r.attempts {
		if a.state != attemptEnded && a.executes() {
			return true
		}
	}
	return false
}

// hasAttemptInFlight reports whether any attempt has not ended.
func (r *request) hasAttemptInFlight() bool {
	for _, a := range r.attempts {
		if a.state != attemptEnded {
			return true
		}
	}
	return false
}

// lastEndpointName returns the name of the last attempt's endpoint, for logs.
func (r *request) lastEndpointName() string {
	if len(r.attempts) == 0 {
		return noEndpointName
	}
	return r.attempts[len(r.attempts)-1].endpointName()
}

// recordEnd records an ended attempt if it is the first that may have executed the request.
func (e *possibleExecution) recordEnd(a *attempt, outcome routing.Outcome) {
	if !a.executes() || outcome.NeverRan() || e.mayHaveRun {
		return
	}
	*e = possibleExecution{mayHaveRun: true, sentAt: a.sentAt, endpoint: a.endpoint}
}
