package main

import (
	"fmt"
	"io"
	"math"
	"time"

	"rampspread/decide"
	"rampspread/internal/wire"
)

// host keeps the routers of one process; they share nothing but the numbered directories.
type host struct {
	routers map[uint16]*instance
	banks   map[uint16][]decide.Server
	frame   []byte
	actions []decide.Action
}

// instance is one router with what its translation needs.
type instance struct {
	router *decide.Router
	fields []string // names of load report values
}

func newHost() *host {
	return &host{routers: map[uint16]*instance{}, banks: map[uint16][]decide.Server{}}
}

// next reads one batch and returns the encoded reply.
func (h *host) next(r io.Reader) ([]byte, error) {
	batch, err := wire.ReadBatch(r)
	if err != nil {
		return nil, err
	}
	reply := wire.Reply{Number: batch.Number}
	now := fromMS(batch.Now)
	for i, ev := range batch.Events {
		if reply.Actions, err = h.take(now, ev, reply.Actions); err != nil {
			return nil, fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
	}
	h.frame, err = wire.AppendReply(h.frame[:0], reply)
	return h.frame, err
}

// take hands one event to its router and appends the actions.
func (h *host) take(now time.Duration, ev any, out []any) ([]any, error) {
	switch e := ev.(type) {
	case wire.Directory:
		h.banks[e.Bank] = servers(e.Records)
		return out, nil
	case wire.Init:
		return out, h.start(e)
	case wire.Detach:
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

func (h *host) start(e wire.Init) error {
	s, err := wire.ParseSettings(e.Conf)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	cfg, err := config(s)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	r, err := decide.New(cfg, e.Seed)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	h.routers[e.Router] = &instance{router: r, fields: s.Telemetry.Fields}
	return nil
}

func routerOf(ev any) uint16 {
	switch e := ev.(type) {
	case wire.Fleet:
		return e.Router
	case wire.Order:
		return e.Router
	case wire.ClientGone:
		return e.Router
	case wire.Accepted:
		return e.Router
	case wire.Response:
		return e.Router
	case wire.Pong:
		return e.Router
	case wire.Reminder:
		return e.Router
	case wire.NeighbourSays:
		return e.Router
	case wire.SeatNews:
		return e.Router
	}
	return 0
}

// event translates; it returns nil for what the module has no use for.
func (h *host) event(in *instance, ev any) (decide.Event, error) {
	switch e := ev.(type) {
	case wire.Fleet:
		return h.roster(e)
	case wire.Order:
		return decide.Arrival{
			Request: decide.RequestID(e.OpID), Class: int(e.Priority), Tenant: int(e.Team),
			Session: decide.Key(e.Talk), Shared: decide.Key(e.SharedPrefix),
			Prompt: tokens(e.InputLen), SharedTokens: tokens(e.NPrefix), MaxOutput: tokens(e.MaxOut),
			TimeLeft: fromMS(e.ExpiresInMs),
		}, nil
	case wire.ClientGone:
		return decide.ClientGone{Request: decide.RequestID(e.OpID)}, nil
	case wire.Accepted:
		return decide.Started{
			Request: decide.RequestID(e.OpID), Attempt: int(e.Hop),
			Server: decide.ServerID(e.Worker), After: fromMS(e.DelaySeenMs),
		}, nil
	case wire.Response:
		o, err := outcome(e.RC, e.Detail)
		if err != nil {
			return nil, err
		}
		return decide.Ended{
			Request: decide.RequestID(e.OpID), Attempt: int(e.Hop), Server: decide.ServerID(e.Worker),
			Outcome: o, After: fromMS(e.DelaySeenMs), Kept: int(e.Detail), Final: e.Final != 0,
			Load: load(in.fields, e.Load),
		}, nil
	case wire.Reminder:
		return decide.Timer{ID: decide.TimerID(e.Ref)}, nil
	}
	return nil, nil
}

func (h *host) roster(e wire.Fleet) (decide.Event, error) {
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
	return decide.Roster{Full: e.Form != 0, Servers: list}, nil
}

func servers(entries []wire.Entry) []decide.Server {
	states := map[uint8]decide.ServerState{1: decide.Ready, 2: decide.Draining}
	out := make([]decide.Server, len(entries))
	for i, e := range entries {
		out[i] = decide.Server{
			ID: decide.ServerID(e.Worker), Zone: int(e.Zone), Cell: int(e.Bay), Kind: int(e.Shape),
			State: states[e.Condition], Weight: float64(e.PowerHint), Started: fromMS(e.LastStartMs),
		}
	}
	return out
}

// outcome translates an attempt's code; a note of 1 on 'full' means that there was no state.
func outcome(rc uint8, note uint32) (decide.Outcome, error) {
	switch rc {
	case 0:
		return decide.Served, nil
	case 1:
		return decide.Errored, nil
	case 2:
		if note == 1 {
			return decide.NoState, nil
		}
		return decide.Full, nil
	case 3:
		return decide.TimedOut, nil
	case 4:
		return decide.ConnectFailed, nil
	case 5:
		return decide.Reset, nil
	case 6:
		return decide.Cancelled, nil
	case 7:
		return decide.Moot, nil
	case 202:
		return decide.ReadDone, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", rc)
}

func load(fields []string, values []float32) *decide.Load {
	if len(values) == 0 {
		return nil
	}
	l := &decide.Load{Memory: -1, Waiting: -1}
	for i, v := range values {
		if i >= len(fields) {
			break
		}
		switch fields[i] {
		case "x0":
			l.Memory = float64(v)
		case "x1":
			l.Waiting = float64(v)
		}
	}
	return l
}

// action translates an action of one router.
func action(id uint16, a decide.Action) any {
	switch a := a.(type) {
	case decide.Send:
		return wire.Send{Router: id, OpID: uint64(a.Request), Worker: uint32(a.Server), PatienceMs: toMS(a.Timeout)}
	case decide.Release:
		return wire.DropState{Router: id, OpID: uint64(a.Request)}
	case decide.Refuse:
		return wire.Refuse{Router: id, OpID: uint64(a.Request), StayAwayMs: toMS(a.RetryAfter)}
	case decide.Fail:
		return wire.Surrender{Router: id, OpID: uint64(a.Request)}
	case decide.Cancel:
		return wire.Retract{Router: id, OpID: uint64(a.Request), Hop: uint16(a.Attempt)}
	case decide.Wake:
		return wire.Schedule{Router: id, SpanMs: toMS(a.After), Ref: uint64(a.ID)}
	}
	return wire.Die{Router: id, Message: fmt.Appendf(nil, "action %T is not translated", a)}
}

// config translates the settings; what is absent means what the wire says.
func config(s *wire.Settings) (decide.Config, error) {
	cfg := decide.Config{
		Zone: s.Az, Routers: s.Balancers, MaxAttempts: s.Limits.MostTries,
		ReleaseWithin: fromMS(s.FamilyInfo.ReleaseWithinMs),
		ColdFrom:      s.Rules.ColdFrom, ColdFor: fromMS(s.Rules.ColdMs),
		FallMultiple: s.Rules.FallMultiple,
		MayCancel:    s.Limits.Cancelling,
		LocalRead:    s.FamilyInfo.LocalRead,
	}
	if s.Limits.RetryAfter {
		cfg.MaxRetryAfter = fromMS(s.Limits.MaxRetryAfterMs)
	}
	effects := map[string]decide.Effect{"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe}
	groups := map[string]decide.Group{"": decide.GroupAll, "all": decide.GroupAll, "zone": decide.GroupZone,
		"cell": decide.GroupCell}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		group, known := groups[c.Group]
		if !ok || !known {
			return cfg, fmt.Errorf("class %d: unknown effect %q or group %q", i, c.Effect, c.Group)
		}
		class := decide.Class{Aim: fromMS(c.PromiseMs), Worth: c.Importance, Effect: effect, Group: group,
			Window: fromMS(c.WindowMs)}
		if i < len(s.FamilyInfo.AimUsPer1000PromptTokens) {
			class.AimPer1K = fromMS(s.FamilyInfo.AimUsPer1000PromptTokens[i] / 1000)
		}
		cfg.Classes = append(cfg.Classes, class)
	}
	roles := map[string]decide.Role{"read": decide.Reader, "write": decide.Writer, "both": decide.Mixed}
	for i, duty := range s.FamilyInfo.DutyByKind {
		role, ok := roles[duty]
		if !ok {
			return cfg, fmt.Errorf("kind %d: unknown duty %q", i, duty)
		}
		cfg.Kinds = append(cfg.Kinds, decide.Kind{Role: role})
	}
	for _, p := range s.Parties {
		cfg.TenantQuotas = append(cfg.TenantQuotas, p.QuotaPerS)
	}
	return cfg, nil
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func tokens(x float32) int {
	if !(x > 0) {
		return 0
	}
	return int(min(float64(x), 1e9))
}

// fromMS keeps to the range of a Duration whatever comes.
func fromMS(x float64) time.Duration {
	if math.IsNaN(x) {
		return 0
	}
	return time.Duration(min(max(x, -1e12), 1e12) * float64(time.Millisecond))
}
