package main

import (
	"fmt"
	"io"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/simcodec"
	"rampspread/routing"
)

// host keeps the routers of one process; they share nothing but the numbered directories.
type host struct {
	routers map[uint16]*instance
	banks   map[uint16][]routing.Endpoint
	frame   []byte
	actions []routing.Action
}

// instance is one router with what its translation needs.
type instance struct {
	router   *routing.Router
	settings *config.Settings
}

func newHost() *host {
	return &host{routers: map[uint16]*instance{}, banks: map[uint16][]routing.Endpoint{}}
}

// next reads one batch and returns the encoded reply.
func (h *host) next(r io.Reader) ([]byte, error) {
	batch, err := simcodec.ReadBatch(r)
	if err != nil {
		return nil, err
	}
	reply := simcodec.Reply{Number: batch.Number}
	now := config.FromMS(batch.Now)
	for i, ev := range batch.Events {
		if reply.Actions, err = h.take(now, ev, reply.Actions); err != nil {
			return nil, fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
	}
	h.frame, err = simcodec.AppendReply(h.frame[:0], reply)
	return h.frame, err
}

// take hands one event to its router and appends the actions.
func (h *host) take(now time.Duration, ev any, out []any) ([]any, error) {
	switch e := ev.(type) {
	case simcodec.Directory:
		h.banks[e.Bank] = servers(e.Records)
		return out, nil
	case simcodec.Init:
		return out, h.start(e)
	case simcodec.Detach:
		if h.routers[e.Router] == nil {
			return nil, fmt.Errorf("router %d was never started", e.Router)
		}
		delete(h.routers, e.Router)
		return out, nil
	}
	id := routerOf(ev)
	in := h.routers[id]
	if in == nil {
		return nil, fmt.Errorf("router %d was never started", id)
	}
	event, err := h.event(in, ev)
	if err != nil || event == nil {
		return out, err
	}
	h.actions = in.router.Handle(now, event, h.actions[:0])
	for _, a := range h.actions {
		out = append(out, action(id, a))
	}
	return out, nil
}

func (h *host) start(e simcodec.Init) error {
	s, err := config.ParseSettings(e.Conf)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	cfg, err := s.Router()
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	r, err := routing.New(cfg, e.Seed)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	h.routers[e.Router] = &instance{router: r, settings: s}
	return nil
}

func routerOf(ev any) uint16 {
	switch e := ev.(type) {
	case simcodec.Fleet:
		return e.Router
	case simcodec.Order:
		return e.Router
	case simcodec.ClientGone:
		return e.Router
	case simcodec.Accepted:
		return e.Router
	case simcodec.Response:
		return e.Router
	case simcodec.Pong:
		return e.Router
	case simcodec.Reminder:
		return e.Router
	case simcodec.NeighbourSays:
		return e.Router
	case simcodec.SeatNews:
		return e.Router
	}
	return 0
}

// event translates; it returns nil for what the module has no use for.
func (h *host) event(in *instance, ev any) (routing.Event, error) {
	switch e := ev.(type) {
	case simcodec.Fleet:
		return h.roster(e)
	case simcodec.Order:
		return routing.RequestArrived{
			Request: routing.RequestID(e.OpID), Class: int(e.Priority), Tenant: int(e.Team),
			Session: routing.Key(e.Talk), SharedPrefix: routing.Key(e.SharedPrefix),
			PromptTokens: tokens(e.InputLen), SharedPrefixTokens: tokens(e.NPrefix), MaxOutputTokens: tokens(e.MaxOut),
			TimeLeft: config.FromMS(e.ExpiresInMs),
		}, nil
	case simcodec.ClientGone:
		return routing.ClientGone{Request: routing.RequestID(e.OpID)}, nil
	case simcodec.Accepted:
		return routing.FirstToken{
			Request: routing.RequestID(e.OpID), Attempt: int(e.Hop),
			Endpoint: routing.EndpointID(e.Worker), Elapsed: config.FromMS(e.DelaySeenMs),
		}, nil
	case simcodec.Response:
		o, err := outcome(e.RC, e.Detail)
		if err != nil {
			return nil, err
		}
		return routing.AttemptEnded{
			Request: routing.RequestID(e.OpID), Attempt: int(e.Hop), Endpoint: routing.EndpointID(e.Worker),
			Outcome: o, Elapsed: config.FromMS(e.DelaySeenMs), CachedTokens: int(e.Detail), Final: e.Final != 0,
			Load: in.settings.LoadReport(e.Load),
		}, nil
	case simcodec.Reminder:
		return routing.TimerFired{ID: routing.TimerID(e.Ref)}, nil
	}
	return nil, nil
}

func (h *host) roster(e simcodec.Fleet) (routing.Event, error) {
	if e.Form == 3 {
		return nil, nil
	}
	if e.Form > 3 {
		return nil, fmt.Errorf("unknown list form %d", e.Form)
	}
	list, ok := h.banks[e.Bank]
	if !ok {
		return nil, fmt.Errorf("unknown list number %d", e.Bank)
	}
	return routing.EndpointUpdate{Full: e.Form != 0, Endpoints: list}, nil
}

func servers(entries []simcodec.Entry) []routing.Endpoint {
	states := map[uint8]routing.EndpointState{1: routing.Ready, 2: routing.Draining}
	out := make([]routing.Endpoint, len(entries))
	for i, e := range entries {
		out[i] = routing.Endpoint{
			ID: routing.EndpointID(e.Worker), Zone: int(e.Zone), Cell: int(e.Bay), Kind: int(e.Shape),
			State: states[e.Condition], Weight: float64(e.PowerHint), Started: config.FromMS(e.LastStartMs),
		}
	}
	return out
}

// outcome translates an attempt's code; a note of 1 on 'full' means that there was no state.
func outcome(rc uint8, note uint32) (routing.Outcome, error) {
	switch rc {
	case 0:
		return routing.Served, nil
	case 1:
		return routing.Errored, nil
	case 2:
		if note == 1 {
			return routing.StateMissing, nil
		}
		return routing.QueueFull, nil
	case 3:
		return routing.TimedOut, nil
	case 4:
		return routing.ConnectFailed, nil
	case 5:
		return routing.ConnectionReset, nil
	case 6:
		return routing.Cancelled, nil
	case 7:
		return routing.NotSent, nil
	case 202:
		return routing.PrefillDone, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", rc)
}

// action translates an action of one router.
func action(id uint16, a routing.Action) any {
	switch a := a.(type) {
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
	return simcodec.Die{Router: id, Message: fmt.Appendf(nil, "action %T is not translated", a)}
}

func tokens(x float32) int {
	if !(x > 0) {
		return 0
	}
	return int(min(float64(x), 1e9))
}
