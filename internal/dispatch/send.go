package dispatch

import (
	"log/slog"
	"time"

	"rampspread/internal/precondition"
	"rampspread/routing"
)

// possibleExecution is what the attempts of a request may have done.
type possibleExecution struct {
	mayHaveRun bool
	sentAt     time.Duration   // when the first attempt that may have run was sent,
	endpoint   *endpointRecord // and where
}

// recordEnd takes an attempt's end.
func (e *possibleExecution) recordEnd(a *attempt, o AttemptResult) {
	if a.endpoint == nil || a.endpoint.prefillOnly || o.Outcome.NeverRan() || e.mayHaveRun {
		return
	}
	*e = possibleExecution{mayHaveRun: true, sentAt: a.sentAt, endpoint: a.endpoint}
}

// hasExecutingAttempt tells whether an attempt is out that may carry the request out.
func (q *request) hasExecutingAttempt() bool {
	for _, a := range q.attempts {
		if !a.ended && a.endpoint != nil && !a.endpoint.prefillOnly {
			return true
		}
	}
	return false
}

// hasAttemptInFlight tells whether an attempt has not ended.
func (q *request) hasAttemptInFlight() bool {
	for _, a := range q.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

// clientGone tells whether the request's client has left.
func (q *request) clientGone() bool {
	return q.left || q.clientContext.Err() != nil || q.ClientGone != nil && q.ClientGone()
}

// isPrefillKind tells whether servers of a kind read prompts only.
func (c *Dispatcher) isPrefillKind(kind int) bool {
	return kind >= 0 && kind < len(c.config.Kinds) && c.config.Kinds[kind].Role == routing.Prefill
}

// remainingDedupWindow is for how long yet a server drops repeats of what may have run; false: it does not drop them.
func (c *Dispatcher) remainingDedupWindow(q *request, to *endpointRecord, now time.Duration) (left time.Duration, alike bool) {
	class, on := c.config.Classes[q.Class], q.execution.endpoint
	if on == nil || to == nil {
		return 0, false
	}
	switch class.DedupScope {
	case routing.ScopeZone:
		alike = to.zone == on.zone
	case routing.ScopeCell:
		alike = to.cell == on.cell
	default:
		alike = true
	}
	return q.execution.sentAt + class.DedupWindow - now, alike
}

// attemptFacts are what there is to know of an attempt that the module wants.
func (c *Dispatcher) attemptFacts(q *request, to *endpointRecord, limit, now time.Duration) precondition.Attempt {
	window, alike := c.remainingDedupWindow(q, to, now)
	return precondition.Attempt{
		Answered:        q.answer == nil,
		ClientGone:      q.clientGone(),
		EndpointLeaving: to == nil || to.state != routing.Ready,
		TimeLeft:        limit,
		AttemptInFlight: q.hasAttemptInFlight(),
		Executes:        to != nil && !to.prefillOnly,
		MayHaveRun:      q.execution.mayHaveRun,
		Idempotency:     c.config.Classes[q.Class].Idempotency,
		InDedupScope:    alike,
		DedupWindow:     window,
	}
}

// sendAttempt makes an attempt, if it may be made. One that may not has ended before it began, which has cost no server anything.
func (c *Dispatcher) sendAttempt(s routing.Send) {
	q, to := c.requests[s.Request], c.endpoints[s.Endpoint]
	if q == nil {
		return
	}
	now := c.now()
	limit := q.deadline - now
	if s.Timeout > 0 {
		limit = min(limit, s.Timeout)
	}
	facts := c.attemptFacts(q, to, limit, now)
	a := &attempt{dispatcher: c, request: q, number: len(q.attempts), endpoint: to, sentAt: now}
	q.attempts = append(q.attempts, a)
	if why := facts.Check(); why != precondition.Allowed {
		c.endUnsent(a, why)
		return
	}
	if a.number > 0 {
		slog.Info("further_attempt", "id", q.Call.ID, "attempt", a.number, "server", a.endpointName(), "may_have_run", q.execution.mayHaveRun)
	}
	c.counters.Attempts++
	a.upstreamAttempt = c.upstream.Send(AttemptSpec{Call: q.Call, Target: to.Target, Timeout: limit, ClientGone: q.ClientGone,
		Retry: facts.Executes && q.execution.mayHaveRun && facts.Idempotency == routing.IdempotentByKey, DedupWindow: facts.DedupWindow}, a)
	a.timeoutTimer = time.AfterFunc(limit, func() { c.post(func() { c.abort(a, routing.TimedOut) }) })
}

// endUnsent ends an attempt that may not be made.
func (c *Dispatcher) endUnsent(a *attempt, why precondition.Reason) {
	q := a.request
	slog.Info("not_sent", "id", q.Call.ID, "attempt", a.number, "server", a.endpointName(), "why", why.String())
	switch why {
	case precondition.AttemptInFlight, precondition.MayHaveRun, precondition.DedupWindowExpired: // the module should not have wanted it
		c.violations.Record(precondition.OperationSend, why, q.Call.ID)
	}
	c.attemptEnded(a, AttemptResult{Outcome: routing.NotSent})
	if why == precondition.ClientDisconnected {
		c.clientDisconnected(q)
	}
}
