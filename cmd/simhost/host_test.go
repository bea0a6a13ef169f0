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

// classJSON is the only class of settingsJSON.
const classJSON = `{"name": "question", "effect": "retryable", "group": "all", "importance": 1, "promiseMs": 1000,
	"hardLimitMs": 4000, "windowMs": 0}`

// settingsJSON holds the settings of each instance.
const settingsJSON = `{"az": 0, "balancers": 2, "discovery": "push", "kinds": ["scan", "compose"], "parties": [], "zones": [],
	"classes": [` + classJSON + `],
	"familyInfo": {"dutyByKind": ["read", "write"], "releaseWithinMs": 500, "localRead": false,
		"aimUsPer1000PromptTokens": [60000], "tokensByKind": [200000, 150000]},
	"limits": {"mostTries": 5, "cancelling": true, "retryAfter": true, "maxRetryAfterMs": 1000, "connIdleMs": 15000,
		"connectTimeoutMs": 250, "mostHeld": 20000, "probing": false},
	"rules": {"coldFrom": 0.3, "coldMs": 9000, "fallMultiple": 2.5, "tipAfterMs": 3000, "answerSlackMs": 8, "stopSendingWithinMs": 500},
	"telemetry": {"fields": []}}`

// directoryEvents returns the event that defines a directory. Its replicas are alternately prefill and decode replicas.
func directoryEvents(bank uint16, ids ...uint32) []any {
	var entries []simcodec.Entry
	for i, id := range ids {
		entries = append(entries, simcodec.Entry{Condition: 1, Bay: 1, PowerHint: 1, Worker: id, Shape: uint8(i % 2)})
	}
	return []any{simcodec.Directory{Bank: bank, Records: entries}}
}

// runBatches passes batches to a new host, 2 ms apart, and returns the actions of each batch.
func runBatches(t *testing.T, batches ...[]any) [][]any {
	t.Helper()
	var in, out bytes.Buffer
	for i, events := range batches {
		batch, err := simcodec.AppendBatch(nil, simcodec.Batch{Now: 1000 + 2*float64(i), Number: uint32(i), Events: events})
		if err != nil {
			t.Fatal(err)
		}
		in.Write(batch)
	}
	if err := serve(&in, &out); err != nil {
		t.Fatal(err)
	}
	var actions [][]any
	for range batches {
		reply, err := simcodec.ReadReply(&out)
		if err != nil {
			t.Fatal(err)
		}
		actions = append(actions, reply.Actions)
	}
	return actions
}

// startEvents returns the events that start an instance with directory 1.
func startEvents(id uint16) []any {
	return []any{simcodec.Init{Router: id, Seed: 7, Conf: []byte(settingsJSON)}, simcodec.Fleet{Router: id, Form: formCached, Bank: 1}}
}

func orderEvent(id uint16, request uint64) simcodec.Order {
	return simcodec.Order{Router: id, OpID: request, Talk: request, ExpiresInMs: 4000, InputLen: 500, MaxOut: 100}
}

func TestRequestGoesToPrefillThenDecode(t *testing.T) {
	got := runBatches(t, nil,
		append(directoryEvents(1, 50, 60), startEvents(3)...),
		[]any{orderEvent(3, 9)},
		[]any{simcodec.Response{Router: 3, OpID: 9, DelaySeenMs: 2, RC: outcomePrefillDone, Worker: 50}},
		[]any{simcodec.Accepted{Router: 3, OpID: 9, Hop: 1, Worker: 60, DelaySeenMs: 2}},
		[]any{simcodec.Response{Router: 3, OpID: 9, DelaySeenMs: 90, Final: 1, Hop: 1, Worker: 60}})
	var sentTo []uint32
	for _, actions := range got {
		for _, a := range actions {
			switch a := a.(type) {
			case simcodec.Send:
				sentTo = append(sentTo, a.Worker)
			case simcodec.Schedule: // the timer after which the router checks that the prefill state has been fetched
				if len(sentTo) != 2 {
					t.Errorf("a timer after %d sends", len(sentTo))
				}
			default:
				t.Errorf("%T", a)
			}
		}
	}
	if !reflect.DeepEqual(sentTo, []uint32{50, 60}) {
		t.Errorf("sent to %v, want the prefill replica and then the decode replica", sentTo)
	}
}

// If a directory number is defined twice within one batch, each use of the number refers to the latest definition
// before it.
func TestReusedBankMeansLastDirectory(t *testing.T) {
	events := append(directoryEvents(1, 50, 60), startEvents(3)...)
	events = append(events, directoryEvents(1, 70, 80)...)
	events = append(events, startEvents(4)...)
	got := runBatches(t, append(events, orderEvent(3, 1), orderEvent(4, 2)))
	first, second := got[0][0].(simcodec.Send), got[0][1].(simcodec.Send)
	if first.Worker != 50 || second.Worker != 70 {
		t.Errorf("sent to %d and %d, want 50 and 70", first.Worker, second.Worker)
	}
}

// An instance returns the same actions whether it runs alone or shares a process with another instance.
func TestInstancesInOneProcessAreIndependent(t *testing.T) {
	makeBatches := func(ids ...uint16) [][]any {
		batches := [][]any{directoryEvents(1, 50, 60, 51, 61, 52, 62)}
		for _, id := range ids {
			batches[0] = append(batches[0], startEvents(id)...)
		}
		for request := uint64(1); request < 40; request++ {
			var events []any
			for _, id := range ids {
				events = append(events, orderEvent(id, request*10+uint64(id)))
			}
			batches = append(batches, events)
		}
		return batches
	}
	sendsOf := func(id uint16, batches [][]any) (sends []simcodec.Send) {
		for _, actions := range batches {
			for _, action := range actions {
				if send, ok := action.(simcodec.Send); ok && send.Router == id {
					sends = append(sends, send)
				}
			}
		}
		return sends
	}
	both, onlyFirst, onlySecond := runBatches(t, makeBatches(1, 2)...),
		runBatches(t, makeBatches(1)...), runBatches(t, makeBatches(2)...)
	if len(sendsOf(1, onlyFirst)) == 0 || !reflect.DeepEqual(sendsOf(1, both), sendsOf(1, onlyFirst)) ||
		!reflect.DeepEqual(sendsOf(2, both), sendsOf(2, onlySecond)) {
		t.Error("sharing a process changed the actions")
	}
}

func TestServeFailsOnInvalidEvents(t *testing.T) {
	for want, events := range map[string][]any{
		"router 5 was never started": {orderEvent(5, 1)},
		"unknown list number 9":      append(append(directoryEvents(1, 50), startEvents(3)...), simcodec.Fleet{Router: 3, Bank: 9}),
		"unknown outcome 99":         append(append(directoryEvents(1, 50), startEvents(3)...), simcodec.Response{Router: 3, RC: 99}),
		"settings":                   {simcodec.Init{Router: 3, Conf: []byte("{")}},
		"missing settings.az":        {simcodec.Init{Router: 3, Conf: []byte("{}")}},
		"needs a class":              {simcodec.Init{Router: 3, Conf: []byte(strings.Replace(settingsJSON, classJSON, "", 1))}},
	} {
		batch, err := simcodec.AppendBatch(nil, simcodec.Batch{Number: 1, Events: events})
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err = serve(bytes.NewReader(batch), &out)
		if err == nil || !strings.Contains(err.Error(), want) || out.Len() > 0 {
			t.Errorf("want %q: got %v and %d bytes", want, err, out.Len())
		}
	}
}

func TestSettingsConfigureRouter(t *testing.T) {
	settings, err := config.ParseSettings([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	got, err := settings.Router()
	if err != nil {
		t.Fatal(err)
	}
	want := routing.Config{
		Classes: []routing.Class{{TTFTObjective: time.Second, TTFTObjectivePer1K: 60 * time.Millisecond, Weight: 1}},
		Kinds:   []routing.Kind{{Role: routing.Prefill}, {Role: routing.Decode}},
		Routers: 2, MaxAttempts: 5, MaxRetryAfter: time.Second, ReservationTTL: 500 * time.Millisecond,
		SlowStartInitial: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 2.5, CanCancel: true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A load report may have fewer or more values than the settings have fields, or none. Values of unknown fields are
// ignored.
func TestLoadReportByFields(t *testing.T) {
	loadReport := func(fields []string, values []float32) *routing.LoadReport {
		var settings config.Settings
		settings.Telemetry.Fields = fields
		return settings.LoadReport(values)
	}
	got := loadReport([]string{"inflight", "novel", "x0"}, []float32{3, 9, 0.5})
	if *got != (routing.LoadReport{Memory: 0.5, QueuedKiloTokens: -1, QueuedRequests: -1, SlotUtilization: -1}) {
		t.Errorf("load %+v", *got)
	}
	got = loadReport([]string{"x1", "x0"}, []float32{2})
	if *got != (routing.LoadReport{Memory: -1, QueuedKiloTokens: 2, QueuedRequests: -1, SlotUtilization: -1}) {
		t.Errorf("short load %+v", *got)
	}
	got = loadReport([]string{"x0"}, []float32{0.1, 0.2, 0.3})
	if math.Abs(got.Memory-0.1) > 1e-6 || got.QueuedKiloTokens != -1 {
		t.Errorf("long load %+v", *got)
	}
	if loadReport([]string{"x0"}, nil) != nil {
		t.Error("no values make a report")
	}
}
