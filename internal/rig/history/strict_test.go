package history_test

import (
	"testing"
	"time"

	"rampspread/internal/rig/history"
)

// For each stricter rule, histories that keep it just so and ones that break it just so.
func TestEachStrictRule(t *testing.T) {
	came := func(at time.Duration, replica string) history.Event {
		return ev(at, history.AttemptArrived, func(e *history.Event) { e.Replica = replica })
	}
	ended := func(at time.Duration, replica string) history.Event {
		return ev(at, history.AttemptEnded, func(e *history.Event) { e.Replica = replica })
	}
	told := func(d time.Duration) history.Event {
		return ev(600*ms, history.AttemptArrived, func(e *history.Event) { e.AnnouncedTimeout = d })
	}
	streams := func(late int) (out []history.Event) {
		for i := range 40 {
			lag := 300 * ms
			if i < late {
				lag++
			}
			out = append(out, ev(time.Second, history.ResponseReceived, func(e *history.Event) { e.Status, e.MaxEventDelay = 200, lag }))
		}
		return out
	}
	asked := ev(100*ms, history.RequestSent, until(1100*ms))
	closed := ev(100*ms, history.ClientClosed, nil)
	paused := ev(50*ms, history.ProcessDown, until(1000*ms))
	for _, c := range []struct {
		name   string
		rule   string // broken; "": none
		events []history.Event
	}{
		{"begun in time after the close", "", []history.Event{closed, came(200*ms, "r")}},
		{"begun late", history.RuleNoAttemptAfterClose, []history.Event{closed, came(201*ms, "r")}},
		{"begun as it woke", "", []history.Event{closed, paused, came(1100*ms, "r")}},
		{"begun long after it woke", history.RuleNoAttemptAfterClose, []history.Event{closed, paused, came(1101*ms, "r")}},
		{"tells what is left", "", []history.Event{asked, told(650 * ms)}},
		{"tells more", history.RuleAnnouncedTimeout, []history.Event{asked, told(651 * ms)}},
		{"tells more, and was stopped", "", []history.Event{paused, asked, told(900 * ms)}},
		{"one after the other", "", []history.Event{came(1*ms, "r"), ended(2*ms, "r"), came(3*ms, "s"), ended(4*ms, "s")}},
		{"a copy beside it", history.RuleNoParallelAttempts, []history.Event{came(1*ms, "r"), came(3*ms, "s"), ended(4*ms, "r"), ended(9*ms, "s")}},
		{"closed before it was read", "", []history.Event{asked, ev(200*ms, history.ConnectionDropped, nil)}},
		{"closed after it was sent on", history.RuleNoDroppedRequest, []history.Event{asked, came(150*ms, "r"), ev(200*ms, history.ConnectionDropped, nil)}},
		{"few events are held back", "", streams(2)},
		{"many are", history.RuleEventDelay, streams(3)},
		{"half a request is ended in time", "", []history.Event{ev(1, history.PartialRequestEnded, func(e *history.Event) { e.Elapsed = 3 * time.Second })}},
		{"half a request stays", history.RulePartialRequest, []history.Event{ev(1, history.PartialRequestEnded, func(e *history.Event) { e.Elapsed = 3*time.Second + 1 })}},
	} {
		got := history.CheckStrict(c.events, rules)
		if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule) {
			t.Errorf("%s: %v, want %q", c.name, got, c.rule)
		}
	}
}
