package history_test

import (
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
)

// Guards against limits and exemptions of the stricter rules that are too wide or too narrow: each rule has histories
// at its limit, without a violation, and histories just past it, with one.
func TestCheckStrictReportsEachRuleAtItsLimit(t *testing.T) {
	arrival := func(at time.Duration, replica string) history.Event {
		return event(at, history.AttemptArrived, func(e *history.Event) { e.Replica = replica })
	}
	end := func(at time.Duration, replica string) history.Event {
		return event(at, history.AttemptEnded, func(e *history.Event) { e.Replica = replica })
	}
	announcing := func(d time.Duration) history.Event {
		return event(600*ms, history.AttemptArrived, func(e *history.Event) { e.AnnouncedTimeout = d })
	}
	streams := func(delayed int) (out []history.Event) {
		for i := range 40 {
			delay := 300 * ms
			if i < delayed {
				delay++
			}
			out = append(out, event(time.Second, history.ResponseReceived, func(e *history.Event) {
				e.Status, e.MaxEventDelay = 200, delay
			}))
		}
		return out
	}
	request := event(100*ms, history.RequestSent, until(1100*ms))
	clientClose := event(100*ms, history.ClientClosed, nil)
	pause := event(50*ms, history.ProcessDown, until(1000*ms))
	for _, c := range []struct {
		name   string
		rule   string // broken rule, or "" if none is broken
		events []history.Event
	}{
		{"an attempt in time after the close", "", []history.Event{clientClose, arrival(200*ms, "r")}},
		{"an attempt too late after the close", history.RuleNoAttemptAfterClose, []history.Event{
			clientClose,
			arrival(201*ms, "r"),
		}},
		{"an attempt as the process resumed", "", []history.Event{clientClose, pause, arrival(1100*ms, "r")}},
		{"an attempt long after the process resumed", history.RuleNoAttemptAfterClose, []history.Event{
			clientClose,
			pause,
			arrival(1101*ms, "r"),
		}},
		{"announces the remaining time", "", []history.Event{request, announcing(650 * ms)}},
		{"announces more than the remaining time", history.RuleAnnouncedTimeout, []history.Event{
			request,
			announcing(651 * ms),
		}},
		{"announces more after a pause", "", []history.Event{pause, request, announcing(900 * ms)}},
		{"one attempt after the other", "", []history.Event{
			arrival(1*ms, "r"),
			end(2*ms, "r"),
			arrival(3*ms, "s"),
			end(4*ms, "s"),
		}},
		{"parallel attempts", history.RuleNoParallelAttempts, []history.Event{
			arrival(1*ms, "r"),
			arrival(3*ms, "s"),
			end(4*ms, "r"),
			end(9*ms, "s"),
		}},
		{"closed before it was forwarded", "", []history.Event{request, event(200*ms, history.ConnectionDropped, nil)}},
		{"closed after it was forwarded", history.RuleNoDroppedRequest, []history.Event{
			request,
			arrival(150*ms, "r"),
			event(200*ms, history.ConnectionDropped, nil),
		}},
		{"few delayed streams", "", streams(2)},
		{"many delayed streams", history.RuleEventDelay, streams(3)},
		{"a partial request ended in time", "", []history.Event{
			event(1, history.PartialRequestEnded, func(e *history.Event) { e.Elapsed = 3 * time.Second }),
		}},
		{"a partial request ended too late", history.RulePartialRequest, []history.Event{
			event(1, history.PartialRequestEnded, func(e *history.Event) { e.Elapsed = 3*time.Second + 1 }),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := history.CheckStrict(c.events, rules)
			if c.rule == "" && len(got) > 0 || c.rule != "" && (len(got) != 1 || got[0].Rule != c.rule) {
				t.Errorf("violations %v, want rule %q", got, c.rule)
			}
		})
	}
}
