package history_test

import (
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
)

const ms = time.Millisecond

var rules = history.Rules{AnswerSlack: 58 * ms, DrainWithin: 550 * ms, ReleaseAfter: 650 * ms, OverloadMultiple: 2.5,
	OverloadWindow: 2 * time.Second, InitialCapacity: 0.34, NonIdempotent: []string{"filing"}}

// event returns an event of dispatcher 0 on a healthy link, with the fields that change sets.
func event(at time.Duration, kind history.Kind, change func(*history.Event)) history.Event {
	e := history.Event{At: at, Kind: kind, Request: "a", Group: "g", Class: "filing", Replica: "r", LinkHealthy: true}
	if change != nil {
		change(&e)
	}
	return e
}

func status(n int) func(*history.Event) { return func(e *history.Event) { e.Status = n } }

func until(d time.Duration) func(*history.Event) { return func(e *history.Event) { e.Until = d } }

// weight sets the weight, and the time until which the event applies.
func weight(w float64, d time.Duration) func(*history.Event) {
	return func(e *history.Event) { e.Weight, e.Until = w, d }
}

func processDown(why string, until time.Duration) func(*history.Event) {
	return func(e *history.Event) { e.Class, e.Until = why, until }
}

func onFaultyLink(e *history.Event) { e.LinkHealthy = false }

// Guards against limits and exemptions of the checker that are too wide or too narrow: each rule has histories at its
// limit, without a violation, and histories just past it, with one.
func TestCheckReportsEachRuleAtItsLimit(t *testing.T) {
	request := event(100*ms, history.RequestSent, until(1100*ms))
	pause := event(50*ms, history.ProcessDown, until(1000*ms))
	// The initial capacity is 3.4 requests per second, so the budget of the first 2 s is 17 requests.
	start := event(0, history.ReplicaStarted, weight(10, 13*time.Second))
	burst := func(n int) []history.Event {
		out := []history.Event{start}
		for i := range n {
			out = append(out, event(time.Duration(i+1)*ms, history.AttemptArrived, weight(1, 0)))
		}
		return out
	}
	for _, c := range []struct {
		name   string
		rule   string // broken rule, or "" if none is broken
		events []history.Event
	}{
		{"in time", "", []history.Event{request, event(1158*ms, history.ResponseReceived, status(502))}},
		{"too late", history.RuleSingleResponse, []history.Event{
			request,
			event(1159*ms, history.ResponseReceived, status(502)),
		}},
		{"too late over a faulty link", "", []history.Event{request, event(1159*ms, history.ResponseReceived, onFaultyLink)}},
		{"too late while the process was paused", "", []history.Event{
			pause,
			request,
			event(1159*ms, history.ResponseReceived, nil),
		}},
		{"a stream outlasts the deadline", "", []history.Event{
			request,
			event(900*ms, history.FirstEventReceived, nil),
			event(9*time.Second, history.ResponseReceived, status(200)),
		}},
		{"answered twice", history.RuleSingleResponse, []history.Event{
			request,
			event(200*ms, history.ResponseReceived, nil),
			event(201*ms, history.ResponseReceived, nil),
		}},
		{"bytes behind the final response", history.RuleSingleResponse, []history.Event{
			request,
			event(200*ms, history.ResponseReceived, nil),
			event(201*ms, history.ExtraBytesReceived, nil),
		}},
		{"a foreign response", history.RuleSingleResponse, []history.Event{
			request,
			event(200*ms, history.ForeignDataReceived, nil),
		}},
		{"never answered", history.RuleSingleResponse, []history.Event{request, event(1300*ms, history.ClientGaveUp, nil)}},
		{"never answered by a killed process", "", []history.Event{
			request,
			event(300*ms, history.ProcessDown, nil),
			event(1300*ms, history.ClientGaveUp, nil),
		}},
		{"killed and restarted before the request", history.RuleSingleResponse, []history.Event{
			event(50*ms, history.ProcessDown, until(90*ms)),
			request,
			event(1300*ms, history.ClientGaveUp, nil),
		}},

		{"executed once", "", []history.Event{
			event(1*ms, history.ExecutionStarted, nil),
			event(2*ms, history.ResponseReceived, status(502)),
		}},
		{"executed twice", history.RuleSingleExecution, []history.Event{
			event(1*ms, history.ExecutionStarted, nil),
			event(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Request, e.Replica = "b", "s" }),
		}},
		{"another group is executed", "", []history.Event{
			event(1*ms, history.ExecutionStarted, nil),
			event(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Group = "h" }),
		}},
		{"an idempotent class is executed twice", "", []history.Event{
			event(1*ms, history.ExecutionStarted, func(e *history.Event) { e.Class = "question" }),
			event(2*ms, history.ExecutionStarted, func(e *history.Event) { e.Class = "question" }),
		}},
		{"refused after its execution", history.RuleSingleExecution, []history.Event{
			event(1*ms, history.ExecutionStarted, nil),
			event(2*ms, history.ResponseReceived, status(429)),
		}},
		{"refused before its execution", "", []history.Event{
			event(1*ms, history.ResponseReceived, status(429)),
			event(2*ms, history.ExecutionStarted, nil),
		}},

		{"at the limit after a withdrawal", "", []history.Event{
			event(0, history.EndpointWithdrawn, nil),
			event(550*ms, history.AttemptArrived, nil),
		}},
		{"past the limit after a withdrawal", history.RuleOrderlyDrain, []history.Event{
			event(0, history.EndpointWithdrawn, nil),
			event(551*ms, history.AttemptArrived, nil),
		}},
		{"past the limit, withdrawn twice", history.RuleOrderlyDrain, []history.Event{
			event(0, history.EndpointWithdrawn, nil),
			event(500*ms, history.EndpointWithdrawn, nil),
			event(551*ms, history.AttemptArrived, nil),
		}},
		{"withdrawn for another dispatcher", "", []history.Event{
			event(0, history.EndpointWithdrawn, func(e *history.Event) { e.Dispatcher = 1 }),
			event(551*ms, history.AttemptArrived, nil),
		}},
		{"ready again", "", []history.Event{
			event(0, history.EndpointWithdrawn, nil),
			event(300*ms, history.EndpointReady, nil),
			event(900*ms, history.AttemptArrived, nil),
		}},
		{"withdrawn during a pause, at the limit after it", "", []history.Event{
			pause,
			event(100*ms, history.EndpointWithdrawn, nil),
			event(1550*ms, history.AttemptArrived, nil),
		}},
		{"withdrawn during a pause, past the limit after it", history.RuleOrderlyDrain, []history.Event{
			pause,
			event(100*ms, history.EndpointWithdrawn, nil),
			event(1551*ms, history.AttemptArrived, nil),
		}},

		{"a cold replica within its budget", "", burst(18)},
		{"a cold replica over its budget", history.RuleSlowStart, burst(20)},
		{"a warm replica", "", append([]history.Event{event(0, history.ReplicaStarted, weight(10, 1))}, burst(20)[1:]...)},

		{"released in time", "", []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(653*ms, history.StateReleased, nil),
		}},
		{"released too late", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(654*ms, history.StateReleased, nil),
		}},
		{"reserved while an attempt is outstanding", "", []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(5*ms, history.AttemptArrived, nil),
			event(900*ms, history.StateReleased, nil),
		}},
		{"an attempt delayed by a faulty link", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(900*ms, history.AttemptArrived, func(e *history.Event) { e.SentAt = 500 * ms }),
			event(901*ms, history.StateReleased, nil),
		}},
		{"an attempt whose last byte was delayed by a faulty link", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(500*ms, history.AttemptArrived, func(e *history.Event) { e.LastByteAt = 900 * ms }),
			event(901*ms, history.StateReleased, nil),
		}},
		{"an attempt over a faulty link exempts no later one", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, onFaultyLink),
			event(2*ms, history.AttemptEnded, onFaultyLink),
			event(3*ms, history.AttemptArrived, nil),
			event(4*ms, history.StateReserved, nil),
			event(5*ms, history.AttemptEnded, nil),
			event(656*ms, history.StateReleased, onFaultyLink),
		}},
		{"the prefill's end could not be delivered", "", []history.Event{
			request,
			event(101*ms, history.AttemptArrived, nil),
			event(102*ms, history.StateReserved, nil),
			event(103*ms, history.AttemptEnded, onFaultyLink),
			event(1750*ms, history.StateReleased, nil),
		}},
		{"the prefill's end could not be delivered, past the client's deadline", history.RuleReservationRelease, []history.Event{
			request,
			event(101*ms, history.AttemptArrived, nil),
			event(102*ms, history.StateReserved, nil),
			event(103*ms, history.AttemptEnded, onFaultyLink),
			event(1751*ms, history.StateReleased, nil),
		}},
		{"paused meanwhile, at the limit after it", "", []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(4*ms, history.ProcessDown, processDown(history.DownPaused, 500*ms)),
			event(1150*ms, history.StateReleased, nil),
		}},
		{"paused meanwhile, past the limit after it", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(4*ms, history.ProcessDown, processDown(history.DownPaused, 500*ms)),
			event(1151*ms, history.StateReleased, nil),
		}},
		{"never released by a process that ended by itself", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(4*ms, history.ProcessDown, processDown(history.DownEnded, 0)),
			event(9000*ms, history.LoadPolled, nil),
		}},
		{"never released", history.RuleReservationRelease, []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(9000*ms, history.LoadPolled, nil),
		}},
		{"never released by a killed process", "", []history.Event{
			event(1*ms, history.AttemptArrived, nil),
			event(2*ms, history.StateReserved, nil),
			event(3*ms, history.AttemptEnded, nil),
			event(4*ms, history.ProcessDown, nil),
			event(9000*ms, history.LoadPolled, nil),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := history.Check(c.events, rules)
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule) {
				t.Errorf("violations %v, want rule %q", got, c.rule)
			}
		})
	}
}
