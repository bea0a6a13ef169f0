package dispatch

import (
	"context"
	"log/slog"
	"time"
)

// answerGuard is the time after the deadline at which Dispatch answers without the owner, which may have too much to
// do. It leaves the owner the time to answer by itself.
const answerGuard = deadlineGrace + 22*time.Millisecond

// answerPhase says who may give a request's final answer. Whoever sets phaseAnswered gives it; the owner and Dispatch
// race for it after the deadline.
type answerPhase = int32

const (
	phaseWaiting  answerPhase = iota // the owner has not accepted the request yet
	phaseAccepted                    // the owner has accepted the request, and may have sent it
	phaseAnswered                    // the final answer has been given
)

// Dispatch accepts a request, waits for its final answer and returns it. If the client's context is done first,
// Dispatch notifies the owner and still waits for the owner's answer, which is ClientDisconnected in most cases. If Run
// ends before the answer, Dispatch returns Failed, or ClientDisconnected if the client's context was done before. If
// there is no answer answerGuard after the deadline, Dispatch returns Rejected for a request that the owner has not
// accepted, and Failed for any other.
func (d *Dispatcher) Dispatch(client context.Context, req Request) Answer {
	pending := &request{Request: req, clientContext: client, answer: make(chan Answer, 1)}
	guard := time.NewTimer(time.Until(req.Deadline) + answerGuard)
	defer guard.Stop()
	select {
	case d.arrivals <- pending:
	case <-d.stopped:
		return Answer{Kind: Failed}
	case <-client.Done():
		pending.done(false)
		return Answer{Kind: ClientDisconnected}
	case <-guard.C:
		return d.answerLate(pending)
	}
	select {
	case a := <-pending.answer:
		return a
	case <-guard.C:
		return d.answerLate(pending)
	case <-client.Done():
		return d.awaitDisconnected(pending, guard.C)
	case <-d.stopped:
		return Answer{Kind: Failed}
	}
}

// awaitDisconnected notifies the owner that the client has disconnected, and returns its answer. It waits no longer than
// for the guard.
func (d *Dispatcher) awaitDisconnected(req *request, guard <-chan time.Time) Answer {
	notify := d.mailbox
	for {
		select {
		case notify <- func() { d.clientDisconnected(req) }:
			notify = nil
		case a := <-req.answer:
			return a
		case <-guard:
			return d.answerLate(req)
		case <-d.stopped:
			return Answer{Kind: ClientDisconnected}
		}
	}
}

// answerLate returns the answer to a request that the owner has not answered in time. It may be called from any
// goroutine.
func (d *Dispatcher) answerLate(req *request) Answer {
	answer := Answer{Kind: Failed}
	switch {
	case req.phase.CompareAndSwap(phaseWaiting, phaseAnswered):
		answer = Answer{Kind: Rejected, RetryAfter: defaultRetryAfter}
		req.done(false)
	case !req.phase.CompareAndSwap(phaseAccepted, phaseAnswered):
		return <-req.answer // the owner was faster
	}
	d.lateAnswers.Add(1)
	slog.Info("answered_without_owner", "id", req.Call.ID, "kind", answer.Kind)
	return answer
}
