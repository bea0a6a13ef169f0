package history_test

import (
	"testing"
	"time"

	"rampspread/internal/rig/history"
)

const ms = time.Millisecond

var rules = history.Rules{AnswerSlack: 58 * ms, DrainWithin: 550 * ms, ReleaseAfter: 650 * ms, OverloadMultiple: 2.5,
	OverloadWindow: 2 * time.Second, InitialCapacity: 0.34, NonIdempotent: []string{"meldung"}}

// ev shortens the tables: an event of dispatcher 0 on a sound link.
func ev(at time.Duration, kind history.Kind, change func(*history.Event)) history.Event {
	e := history.Event{At: at, Kind: kind, Request: "a", Group: "g", Class: "meldung", Replica: "r", LinkHealthy: true}
	if change != nil {
		change(&e)
	}
	return e
}

func status(n int) func(*history.Event) { return func(e *history.Event) { e.Status = n } }

func until(d time.Duration) func(*history.Event) { return func(e *history.Event) { e.Until = d } }

func weight(w float64, d time.Duration) func(*history.Event) {
	return func(e *history.Event) { e.Weight, e.Until = w, d }
}

func down(why string, until time.Duration) func(*history.Event) {
	return func(e *history.Event) { e.Class, e.Until = why, until }
}

func unsound(e *history.Event) { e.LinkHealthy = false }

// For each rule, histories that keep it just so and ones that break it just so.
func TestEachRule(t *testing.T) {
	asked := ev(100*ms, history.RequestSent, until(1100*ms))
	paused := ev(50*ms, history.ProcessDown, until(1000*ms))
	cold := ev(0, history.ReplicaStarted, weight(10, 13*time.Second)) // 3.4 a second at first: 17 in the first 2 s
	burst := func(n int) []history.Event {
		out := []history.Event{cold}
		for i := range n {
			out = append(out, ev(time.Duration(i+1)*ms, history.AttemptArrived, weight(1, 0)))
		}
		return out
	}
	for _, c := range []struct {
		name   string
		rule   string // broken; "": none
		events []history.Event
	}{
		{"in time", "", []history.Event{asked, ev(1158*ms, history.ResponseReceived, status(502))}},
		{"too late", history.RuleSingleResponse, []history.Event{asked, ev(1159*ms, history.ResponseReceived, status(502))}},
		{"too late over a cut", "", []history.Event{asked, ev(1159*ms, history.ResponseReceived, unsound)}},
		{"too late, and it was paused", "", []history.Event{paused, asked, ev(1159*ms, history.ResponseReceived, nil)}},
		{"a stream may last", "", []history.Event{asked, ev(900*ms, history.FirstEventReceived, nil), ev(9*time.Second, history.ResponseReceived, status(200))}},
		{"answered twice", history.RuleSingleResponse, []history.Event{asked, ev(200*ms, history.ResponseReceived, nil), ev(201*ms, history.ResponseReceived, nil)}},
		{"bytes behind it", history.RuleSingleResponse, []history.Event{asked, ev(200*ms, history.ResponseReceived, nil), ev(201*ms, history.ExtraBytesReceived, nil)}},
		{"another's answer", history.RuleSingleResponse, []history.Event{asked, ev(200*ms, history.ForeignResponseReceived, nil)}},
		{"never answered", history.RuleSingleResponse, []history.Event{asked, ev(1300*ms, history.ClientGaveUp, nil)}},
		{"never answered by one that was killed", "", []history.Event{asked, ev(300*ms, history.ProcessDown, nil), ev(1300*ms, history.ClientGaveUp, nil)}},
		{"killed, but back by then", history.RuleSingleResponse, []history.Event{ev(50*ms, history.ProcessDown, until(90*ms)), asked, ev(1300*ms, history.ClientGaveUp, nil)}},

		{"runs once", "", []history.Event{ev(1*ms, history.ExecutionStarted, nil), ev(2*ms, history.ResponseReceived, status(502))}},
		{"runs twice", history.RuleSingleExecution, []history.Event{ev(1*ms, history.ExecutionStarted, nil),
			ev(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Request, e.Replica = "b", "s" })}},
		{"another group runs", "", []history.Event{ev(1*ms, history.ExecutionStarted, nil), ev(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Group = "h" })}},
		{"a question runs twice", "", []history.Event{ev(1*ms, history.ExecutionStarted, func(e *history.Event) { e.Class = "frage" }),
			ev(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Class = "frage" })}},
		{"refused after it ran", history.RuleSingleExecution, []history.Event{ev(1*ms, history.ExecutionStarted, nil), ev(2*ms, history.ResponseReceived, status(429))}},
		{"refused before it ran", "", []history.Event{ev(1*ms, history.ResponseReceived, status(429)), ev(2*ms, history.ExecutionStarted, nil)}},

		{"the last before a drain binds", "", []history.Event{ev(0, history.EndpointWithdrawn, nil), ev(550*ms, history.AttemptArrived, nil)}},
		{"after a drain", history.RuleOrderlyDrain, []history.Event{ev(0, history.EndpointWithdrawn, nil), ev(551*ms, history.AttemptArrived, nil)}},
		{"after a drain, told twice", history.RuleOrderlyDrain, []history.Event{ev(0, history.EndpointWithdrawn, nil), ev(500*ms, history.EndpointWithdrawn, nil), ev(551*ms, history.AttemptArrived, nil)}},
		{"another one's drain", "", []history.Event{ev(0, history.EndpointWithdrawn, func(e *history.Event) { e.Dispatcher = 1 }), ev(551*ms, history.AttemptArrived, nil)}},
		{"ready again", "", []history.Event{ev(0, history.EndpointWithdrawn, nil), ev(300*ms, history.EndpointReady, nil), ev(900*ms, history.AttemptArrived, nil)}},
		{"told while it was paused", "", []history.Event{paused, ev(100*ms, history.EndpointWithdrawn, nil), ev(1550*ms, history.AttemptArrived, nil)}},
		{"told while it was paused, long ago", history.RuleOrderlyDrain, []history.Event{paused, ev(100*ms, history.EndpointWithdrawn, nil), ev(1551*ms, history.AttemptArrived, nil)}},

		{"a cold one's budget", "", burst(18)},
		{"a cold one pushed over", history.RuleSlowStart, burst(20)},
		{"a warm one", "", append([]history.Event{ev(0, history.ReplicaStarted, weight(10, 1))}, burst(20)[1:]...)},

		{"held in time", "", []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil), ev(653*ms, history.StateReleased, nil)}},
		{"held too long", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil), ev(654*ms, history.StateReleased, nil)}},
		{"held while a send waits", "", []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(5*ms, history.AttemptArrived, nil), ev(900*ms, history.StateReleased, nil)}},
		{"the send was held back by a cut", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(900*ms, history.AttemptArrived, func(e *history.Event) { e.SentAt = 500 * ms }), ev(901*ms, history.StateReleased, nil)}},
		{"its last byte was held back by a cut", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(500*ms, history.AttemptArrived, func(e *history.Event) { e.LastByteAt = 900 * ms }), ev(901*ms, history.StateReleased, nil)}},
		{"an attempt over a cut excuses no later one", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, unsound), ev(2*ms, history.AttemptEnded, unsound),
			ev(3*ms, history.AttemptArrived, nil), ev(4*ms, history.StateReserved, nil), ev(5*ms, history.AttemptEnded, nil), ev(656*ms, history.StateReleased, unsound)}},
		{"the read's end could not come back", "", []history.Event{asked, ev(101*ms, history.AttemptArrived, nil), ev(102*ms, history.StateReserved, nil),
			ev(103*ms, history.AttemptEnded, unsound), ev(1750*ms, history.StateReleased, nil)}},
		{"the read's end could not come back, and its client's time was over", history.RuleReservationRelease, []history.Event{asked, ev(101*ms, history.AttemptArrived, nil),
			ev(102*ms, history.StateReserved, nil), ev(103*ms, history.AttemptEnded, unsound), ev(1751*ms, history.StateReleased, nil)}},
		{"paused meanwhile", "", []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(4*ms, history.ProcessDown, down(history.DownPaused, 500*ms)), ev(1150*ms, history.StateReleased, nil)}},
		{"paused meanwhile, long ago", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(4*ms, history.ProcessDown, down(history.DownPaused, 500*ms)), ev(1151*ms, history.StateReleased, nil)}},
		{"never let go by one that ended by itself", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil),
			ev(3*ms, history.AttemptEnded, nil), ev(4*ms, history.ProcessDown, down(history.DownEnded, 0)), ev(9000*ms, history.LoadPolled, nil)}},
		{"never let go", history.RuleReservationRelease, []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil), ev(9000*ms, history.LoadPolled, nil)}},
		{"never let go by one that died", "", []history.Event{ev(1*ms, history.AttemptArrived, nil), ev(2*ms, history.StateReserved, nil), ev(3*ms, history.AttemptEnded, nil),
			ev(4*ms, history.ProcessDown, nil), ev(9000*ms, history.LoadPolled, nil)}},
	} {
		got := history.Check(c.events, rules)
		if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule) {
			t.Errorf("%s: %v, want %q", c.name, got, c.rule)
		}
	}
}
