package main

import (
	"fmt"

	"rampspread/internal/config"
	"rampspread/internal/simcodec"
	"rampspread/routing"
)

// The values of Form in a Fleet event.
const (
	formDelta  = 0 // the directory contains only changed entries
	formFull   = 1 // the directory is the full list
	formCached = 2 // the directory is the full list that the instance had last; it may be outdated
	formFailed = 3 // discovery failed; there is no directory
)

// The values of Condition in a directory's entries. Any other value is treated as gone.
const (
	conditionReady    = 1
	conditionDraining = 2
)

// Outcomes of an attempt: the values of RC in a Response.
const (
	outcomeServed          = 0
	outcomeErrored         = 1
	outcomeQueueFull       = 2
	outcomeTimedOut        = 3
	outcomeConnectFailed   = 4
	outcomeConnectionReset = 5
	outcomeCancelled       = 6
	outcomeNotSent         = 7
	outcomePrefillDone     = 202
)

// detailStateMissing is the value of Detail that, with outcomeQueueFull, means that there was no prefill state to
// fetch.
const detailStateMissing = 1

// maxTokens limits token counts so that they fit in an int.
const maxTokens = 1e9

var endpointStates = map[uint8]routing.EndpointState{
	conditionReady:    routing.Ready,
	conditionDraining: routing.Draining,
}

// translateEvent translates an event of one instance. It returns nil for an event that the router does not use.
func (h *host) translateEvent(target *instance, event any) (routing.Event, error) {
	switch e := event.(type) {
	case simcodec.Fleet:
		return h.translateFleet(e)
	case simcodec.Order:
		return translateOrder(e), nil
	case simcodec.ClientGone:
		return routing.ClientGone{Request: routing.RequestID(e.OpID)}, nil
	case simcodec.Accepted:
		return routing.FirstToken{
			Request: routing.RequestID(e.OpID), Attempt: int(e.Hop),
			Endpoint: routing.EndpointID(e.Worker), Elapsed: config.FromMS(e.DelaySeenMs),
		}, nil
	case simcodec.Response:
		return translateResponse(target.settings, e)
	case simcodec.Reminder:
		return routing.TimerFired{ID: routing.TimerID(e.Ref)}, nil
	}
	return nil, nil
}

// translateFleet translates a Fleet event. It returns nil if discovery failed, since the endpoint list is unchanged
// then.
func (h *host) translateFleet(e simcodec.Fleet) (routing.Event, error) {
	if e.Form == formFailed {
		return nil, nil
	}
	if e.Form > formFailed {
		return nil, fmt.Errorf("unknown list form %d", e.Form)
	}
	list, ok := h.directories[e.Bank]
	if !ok {
		return nil, fmt.Errorf("unknown list number %d", e.Bank)
	}
	return routing.EndpointUpdate{Full: e.Form != formDelta, Endpoints: list}, nil
}

func translateOrder(e simcodec.Order) routing.Event {
	return routing.RequestArrived{
		Request: routing.RequestID(e.OpID), Class: int(e.Priority), Tenant: int(e.Team),
		Session: routing.Key(e.Talk), SharedPrefix: routing.Key(e.SharedPrefix),
		PromptTokens: tokenCount(e.InputLen), SharedPrefixTokens: tokenCount(e.NPrefix),
		MaxOutputTokens: tokenCount(e.MaxOut), RemainingTime: config.FromMS(e.ExpiresInMs),
	}
}

func translateResponse(settings *config.Settings, e simcodec.Response) (routing.Event, error) {
	outcome, err := translateOutcome(e.RC, e.Detail)
	if err != nil {
		return nil, err
	}
	return routing.AttemptEnded{
		Request: routing.RequestID(e.OpID), Attempt: int(e.Hop), Endpoint: routing.EndpointID(e.Worker),
		Outcome: outcome, Elapsed: config.FromMS(e.DelaySeenMs), CachedTokens: int(e.Detail), Final: e.Final != 0,
		Load: settings.LoadReport(e.Load),
	}, nil
}

// translateEntries translates the entries of a Directory.
func translateEntries(entries []simcodec.Entry) []routing.Endpoint {
	translated := make([]routing.Endpoint, len(entries))
	for i, entry := range entries {
		translated[i] = routing.Endpoint{
			ID: routing.EndpointID(entry.Worker), Zone: int(entry.Zone), Cell: int(entry.Bay), Kind: int(entry.Shape),
			State: endpointStates[entry.Condition], Weight: float64(entry.PowerHint),
			Started: config.FromMS(entry.LastStartMs),
		}
	}
	return translated
}

// translateOutcome translates the RC and Detail of a Response.
func translateOutcome(code uint8, detail uint32) (routing.Outcome, error) {
	switch code {
	case outcomeServed:
		return routing.Served, nil
	case outcomeErrored:
		return routing.ErrorResponse, nil
	case outcomeQueueFull:
		if detail == detailStateMissing {
			return routing.PrefillResultMissing, nil
		}
		return routing.QueueFull, nil
	case outcomeTimedOut:
		return routing.TimedOut, nil
	case outcomeConnectFailed:
		return routing.ConnectFailed, nil
	case outcomeConnectionReset:
		return routing.ConnectionReset, nil
	case outcomeCancelled:
		return routing.Cancelled, nil
	case outcomeNotSent:
		return routing.NotSent, nil
	case outcomePrefillDone:
		return routing.PrefillDone, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", code)
}

// translateAction translates an action of one instance. For an action that the adapter does not support it returns a
// Die, which reports that the instance has failed.
func translateAction(id uint16, action routing.Action) any {
	switch a := action.(type) {
	case routing.Send:
		return simcodec.Send{Router: id, OpID: uint64(a.Request), Worker: uint32(a.Endpoint), PatienceMs: config.ToMS(a.Timeout)}
	case routing.Release:
		return simcodec.DropState{Router: id, OpID: uint64(a.Request)}
	case routing.Reject:
		return simcodec.Refuse{Router: id, OpID: uint64(a.Request), StayAwayMs: config.ToMS(a.RetryAfter)}
	case routing.Fail:
		return simcodec.Surrender{Router: id, OpID: uint64(a.Request)}
	case routing.Cancel:
		return simcodec.Retract{Router: id, OpID: uint64(a.Request), Hop: uint16(a.Attempt)}
	case routing.SetTimer:
		return simcodec.Schedule{Router: id, SpanMs: config.ToMS(a.After), Ref: uint64(a.Timer)}
	}
	return simcodec.Die{Router: id, Message: fmt.Appendf(nil, "action %T is not translated", action)}
}

// tokenCount converts a token count from the wire. It returns 0 if the count is NaN or not positive.
func tokenCount(tokens float32) int {
	if !(tokens > 0) {
		return 0
	}
	return int(min(float64(tokens), maxTokens))
}
