package dispatch

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"rampspread/routing"
)

// loadPollTimeout is the time within which an endpoint must answer a load poll. The Router's own limit is shorter.
const loadPollTimeout = 200 * time.Millisecond

// handleEvent passes an event to the Router and executes the actions that it returns. An action may cause another call
// of handleEvent: the nested call only queues its event, and the outermost call handles the queued events in order.
func (d *Dispatcher) handleEvent(event routing.Event) {
	d.pendingEvents = append(d.pendingEvents, event)
	if len(d.pendingEvents) > 1 {
		return // the outermost call, further up the stack, handles the event
	}
	for len(d.pendingEvents) > 0 {
		d.actionBuffer = d.router.Handle(d.now(), d.pendingEvents[0], d.actionBuffer[:0])
		for _, action := range d.actionBuffer {
			d.executeAction(action)
		}
		d.pendingEvents = d.pendingEvents[1:]
	}
	d.pendingEvents = nil
	for _, req := range d.pendingRemovals {
		d.removeIfDone(req)
	}
	d.pendingRemovals = d.pendingRemovals[:0]
}

// executeAction executes one action of the Router.
func (d *Dispatcher) executeAction(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		d.sendAttempt(a)
	case routing.PollLoad:
		d.pollLoad(a.Endpoint)
	case routing.Release:
		d.releaseReservation(a.Request, a.Reason)
	case routing.Reject:
		d.rejectOrFail(a.Request, a.Reason, Answer{Kind: Rejected, RetryAfter: cmp.Or(a.RetryAfter, defaultRetryAfter)})
	case routing.Fail:
		d.rejectOrFail(a.Request, a.Reason, Answer{Kind: Failed})
	case routing.Cancel:
		if req := d.requests[a.Request]; req != nil && a.Attempt < len(req.attempts) {
			d.abortAttempt(req.attempts[a.Attempt], routing.Cancelled)
		}
	case routing.SetTimer:
		time.AfterFunc(a.After, func() { d.post(func() { d.handleEvent(routing.TimerFired{ID: a.Timer}) }) })
	case routing.PrefillObserved:
		d.logPrefill(a)
	default:
		slog.Warn("unknown_action", "type", fmt.Sprintf("%T", a))
	}
}

// pollLoad polls an endpoint for its load. If the endpoint is not listed, the poll reports no load. It does so on a new
// goroutine, since the owner must not post to its own mailbox.
func (d *Dispatcher) pollLoad(id routing.EndpointID) {
	onReport := func(load *routing.LoadReport) {
		d.post(func() { d.handleEvent(routing.LoadPolled{Endpoint: id, Load: load}) })
	}
	endpoint := d.endpoints[id]
	if endpoint == nil {
		go onReport(nil)
		return
	}
	d.counters.LoadPolls++
	d.upstream.PollLoad(endpoint.EndpointAddress, loadPollTimeout, onReport)
}

// logPrefill logs the result of a prefill attempt together with its estimate. The Router returns the action only if
// routing.Config.ObservePrefills is set.
func (d *Dispatcher) logPrefill(a routing.PrefillObserved) {
	id, server := "", ""
	if req := d.requests[a.Request]; req != nil {
		id = req.Call.ID
	}
	if endpoint := d.endpoints[a.Endpoint]; endpoint != nil {
		server = endpoint.Name
	}
	slog.Info("prefill_observed", "id", id, "server", server, "outcome", outcomeName(a.Outcome),
		"elapsed_ms", float64(a.Elapsed)/float64(time.Millisecond), "cached_tokens", a.CachedTokens,
		"session", uint64(a.Estimate.Session), "prefix", uint64(a.Estimate.SharedPrefix),
		"prompt_tokens", a.Estimate.PromptTokens, "prefix_tokens", a.Estimate.SharedPrefixTokens,
		"expected_cached_tokens", a.Estimate.CachedTokens, "expected_queue_ms", a.Estimate.QueueDelayMS,
		"expected_prefill_ms", a.Estimate.PrefillMS, "attempts_ahead", a.Estimate.AttemptsAhead,
		"load_queue", a.Estimate.Load.QueuedRequests, "load_slots", a.Estimate.Load.SlotUtilization,
		"load_memory", a.Estimate.Load.Memory, "load_backlog", a.Estimate.Load.QueuedKiloTokens)
}
