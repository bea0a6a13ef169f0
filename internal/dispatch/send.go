package dispatch

import (
	"log/slog"
	"time"

	"rampspread/internal/precondition"
	"rampspread/routing"
)

// effect is what the attempts of a request may have done.
type effect struct {
	mayHave bool
	at      time.Duration // when the first attempt that may have run was sent,
	on      *listed       // and where
}

// note takes an attempt's end.
func (e *effect) note(a *attempt, o AttemptResult) {
	if a.to == nil || a.to.reads || o.Outcome.NeverRan() || e.mayHave {
		return
	}
	*e = effect{mayHave: true, at: a.sent, on: a.to}
}

// runs tells whether an attempt is out that may carry the request out.
func (q *request) runs() bool {
	for _, a := range q.attempts {
		if !a.ended && a.to != nil && !a.to.reads {
			return true
		}
	}
	return false
}

// out tells whether an attempt has not ended.
func (q *request) out() bool {
	for _, a := range q.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

// gone tells whether the request's client has left.
func (q *request) gone() bool {
	return q.left || q.client.Err() != nil || q.ClientGone != nil && q.ClientGone()
}

// reads tells whether servers of a kind read prompts only.
func (c *Dispatcher) reads(kind int) bool {
	return kind >= 0 && kind < len(c.config.Kinds) && c.config.Kinds[kind].Role == routing.Prefill
}

// window is for how long yet a server drops repeats of what may have run; false: it does not drop them.
func (c *Dispatcher) window(q *request, to *listed, now time.Duration) (left time.Duration, alike bool) {
	class, on := c.config.Classes[q.Class], q.ran.on
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
	return q.ran.at + class.DedupWindow - now, alike
}

// sendFacts are what there is to know of an attempt that the module wants.
func (c *Dispatcher) sendFacts(q *request, to *listed, limit, now time.Duration) precondition.Attempt {
	window, alike := c.window(q, to, now)
	return precondition.Attempt{
		Answered:        q.answer == nil,
		ClientGone:      q.gone(),
		EndpointLeaving: to == nil || to.state != routing.Ready,
		TimeLeft:        limit,
		AttemptInFlight: q.out(),
		Executes:        to != nil && !to.reads,
		MayHaveRun:      q.ran.mayHave,
		Idempotency:     c.config.Classes[q.Class].Idempotency,
		InDedupScope:    alike,
		DedupWindow:     window,
	}
}

// send makes an attempt, if it may be made. One that may not has ended before it began, which has cost no server anything.
func (c *Dispatcher) send(s routing.Send) {
	q, to := c.requests[s.Request], c.list[s.Endpoint]
	if q == nil {
		return
	}
	now := c.now()
	limit := q.deadline - now
	if s.Timeout > 0 {
		limit = min(limit, s.Timeout)
	}
	facts := c.sendFacts(q, to, limit, now)
	a := &attempt{core: c, req: q, number: len(q.attempts), to: to, sent: now}
	q.attempts = append(q.attempts, a)
	if why := facts.Check(); why != precondition.Allowed {
		c.notSent(a, why)
		return
	}
	if a.number > 0 {
		slog.Info("further_attempt", "id", q.Call.ID, "attempt", a.number, "server", a.name(), "may_have_run", q.ran.mayHave)
	}
	c.counters.Attempts++
	a.call = c.servers.Send(AttemptSpec{Call: q.Call, Target: to.Target, Timeout: limit, ClientGone: q.ClientGone,
		Retry: facts.Executes && q.ran.mayHave && facts.Idempotency == routing.IdempotentByKey, DedupWindow: facts.DedupWindow}, a)
	a.timer = time.AfterFunc(limit, func() { c.post(func() { c.abort(a, routing.TimedOut) }) })
}

// notSent ends an attempt that may not be made.
func (c *Dispatcher) notSent(a *attempt, why precondition.Reason) {
	q := a.req
	slog.Info("not_sent", "id", q.Call.ID, "attempt", a.number, "server", a.name(), "why", why.String())
	switch why {
	case precondition.AttemptInFlight, precondition.MayHaveRun, precondition.DedupWindowExpired: // the module should not have wanted it
		c.audit.Record(precondition.OperationSend, why, q.Call.ID)
	}
	c.finish(a, AttemptResult{Outcome: routing.NotSent})
	if why == precondition.ClientDisconnected {
		c.left(q)
	}
}
