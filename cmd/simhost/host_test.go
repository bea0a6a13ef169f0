package main

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/simcodec"
	"rampspread/routing"
)

const conf = `{"az": 0, "balancers": 2,
	"classes": [{"effect": "retryable", "group": "all", "importance": 1, "promiseMs": 1000}],
	"familyInfo": {"dutyByKind": ["read", "write"], "releaseWithinMs": 500,
		"aimUsPer1000PromptTokens": [60000], "tokensByKind": [200000, 150000]},
	"limits": {"mostTries": 5, "cancelling": true, "retryAfter": true, "maxRetryAfterMs": 1000},
	"rules": {"coldFrom": 0.3, "coldMs": 9000, "fallMultiple": 2.5, "tipAfterMs": 3000}}`

func fleet(bank uint16, ids ...uint32) []any {
	var entries []simcodec.Entry
	for i, id := range ids {
		entries = append(entries, simcodec.Entry{Condition: 1, Bay: 1, PowerHint: 1, Worker: id, Shape: uint8(i % 2)})
	}
	return []any{simcodec.Directory{Bank: bank, Records: entries}}
}

// play feeds batches, 2 ms apart, and returns the actions of each.
func play(t *testing.T, batches ...[]any) [][]any {
	t.Helper()
	var in, out bytes.Buffer
	for i, events := range batches {
		b, err := simcodec.AppendBatch(nil, simcodec.Batch{Now: 1000 + 2*float64(i), Number: uint32(i), Events: events})
		if err != nil {
			t.Fatal(err)
		}
		in.Write(b)
	}
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	var got [][]any
	for range batches {
		r, err := simcodec.ReadReply(&out)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, r.Actions)
	}
	return got
}

func start(id uint16) []any {
	return []any{simcodec.Init{Router: id, Seed: 7, Conf: []byte(conf)}, simcodec.Fleet{Router: id, Form: 2, Bank: 1}}
}

func order(id uint16, op uint64) simcodec.Order {
	return simcodec.Order{Router: id, OpID: op, Talk: op, ExpiresInMs: 4000, InputLen: 500, MaxOut: 100}
}

func TestOneRequest(t *testing.T) {
	got := play(t, nil,
		append(fleet(1, 50, 60), start(3)...),
		[]any{order(3, 9)},
		[]any{simcodec.Response{Router: 3, OpID: 9, DelaySeenMs: 2, RC: 202, Worker: 50}},
		[]any{simcodec.Accepted{Router: 3, OpID: 9, Hop: 1, Worker: 60, DelaySeenMs: 2}},
		[]any{simcodec.Response{Router: 3, OpID: 9, DelaySeenMs: 90, Final: 1, Hop: 1, Worker: 60}})
	var to []uint32
	for _, actions := range got {
		for _, a := range actions {
			switch a := a.(type) {
			case simcodec.Send:
				to = append(to, a.Worker)
			case simcodec.Schedule: // once the prompt is read: whether its state has been taken
				if len(to) != 2 {
					t.Errorf("a timer after %d sends", len(to))
				}
			default:
				t.Errorf("%T", a)
			}
		}
	}
	if !reflect.DeepEqual(to, []uint32{50, 60}) {
		t.Errorf("sent to %v, want the reader then the writer", to)
	}
}

// A list number that is reused within one batch means the list that came last before each use.
func TestListNumberReused(t *testing.T) {
	events := append(fleet(1, 50, 60), start(3)...)
	events = append(events, fleet(1, 70, 80)...)
	events = append(events, start(4)...)
	got := play(t, append(events, order(3, 1), order(4, 2)))
	if a, b := got[0][0].(simcodec.Send), got[0][1].(simcodec.Send); a.Worker != 50 || b.Worker != 70 {
		t.Errorf("sent to %d and %d, want 50 and 70", a.Worker, b.Worker)
	}
}

// Instances act the same whether they share a process or not.
func TestSharedNothing(t *testing.T) {
	script := func(ids ...uint16) [][]any {
		batches := [][]any{fleet(1, 50, 60, 51, 61, 52, 62)}
		for _, id := range ids {
			batches[0] = append(batches[0], start(id)...)
		}
		for op := uint64(1); op < 40; op++ {
			var events []any
			for _, id := range ids {
				events = append(events, order(id, op*10+uint64(id)))
			}
			batches = append(batches, events)
		}
		return batches
	}
	of := func(id uint16, got [][]any) (out []simcodec.Send) {
		for _, actions := range got {
			for _, a := range actions {
				if s, ok := a.(simcodec.Send); ok && s.Router == id {
					out = append(out, s)
				}
			}
		}
		return out
	}
	both, one, two := play(t, script(1, 2)...), play(t, script(1)...), play(t, script(2)...)
	if len(of(1, one)) == 0 || !reflect.DeepEqual(of(1, both), of(1, one)) || !reflect.DeepEqual(of(2, both), of(2, two)) {
		t.Error("sharing a process changed the actions")
	}
}

func TestBadInput(t *testing.T) {
	for want, events := range map[string][]any{
		"router 5 was never started": {order(5, 1)},
		"unknown list number 9":      append(append(fleet(1, 50), start(3)...), simcodec.Fleet{Router: 3, Bank: 9}),
		"unknown outcome 99":         append(append(fleet(1, 50), start(3)...), simcodec.Response{Router: 3, RC: 99}),
		"settings":                   {simcodec.Init{Router: 3, Conf: []byte("{")}},
		"needs a class":              {simcodec.Init{Router: 3, Conf: []byte("{}")}},
	} {
		b, err := simcodec.AppendBatch(nil, simcodec.Batch{Number: 1, Events: events})
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err = serve(bytes.NewReader(b), &out)
		if err == nil || !strings.Contains(err.Error(), want) || out.Len() > 0 {
			t.Errorf("want %q: got %v and %d bytes", want, err, out.Len())
		}
	}
}

func TestConfig(t *testing.T) {
	s, err := config.ParseSettings([]byte(conf))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := s.Router()
	if err != nil {
		t.Fatal(err)
	}
	want := routing.Config{
		Classes: []routing.Class{{TTFTObjective: time.Second, TTFTObjectivePer1K: 60 * time.Millisecond, Weight: 1}},
		Kinds:   []routing.Kind{{Role: routing.Prefill}, {Role: routing.Decode}},
		Routers: 2, MaxAttempts: 5, MaxRetryAfter: time.Second, ReservationTTL: 500 * time.Millisecond,
		SlowStartInitial: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 2.5, CanCancel: true,
	}
	if !reflect.DeepEqual(cfg, want) {
		t.Errorf("got %+v, want %+v", cfg, want)
	}
	load := func(fields []string, values []float32) *routing.LoadReport {
		var s config.Settings
		s.Telemetry.Fields = fields
		return s.LoadReport(values)
	}
	l := load([]string{"inflight", "novel", "x0"}, []float32{3, 9, 0.5})
	if *l != (routing.LoadReport{Memory: 0.5, QueuedKiloTokens: -1, QueuedRequests: -1, SlotUtilization: -1}) {
		t.Errorf("load %+v", *l)
	}
	// A short report, one longer than its names, and none at all.
	if l := load([]string{"x1", "x0"}, []float32{2}); *l != (routing.LoadReport{Memory: -1, QueuedKiloTokens: 2, QueuedRequests: -1, SlotUtilization: -1}) {
		t.Errorf("short load %+v", *l)
	}
	if l := load([]string{"x0"}, []float32{0.1, 0.2, 0.3}); math.Abs(l.Memory-0.1) > 1e-6 || l.QueuedKiloTokens != -1 {
		t.Errorf("long load %+v", *l)
	}
	if load([]string{"x0"}, nil) != nil {
		t.Error("no values make a report")
	}
}
