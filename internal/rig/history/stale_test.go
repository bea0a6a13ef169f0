package history_test

import (
	"testing"
	"time"

	"rampspread/internal/rig/history"
)

// Work is stale from some time after a newer list ended its replica, whoever was told it; an older list does not bring it
// back, a newer one does, and one that was away counts from its return.
func TestStale(t *testing.T) {
	version := func(v uint64, dispatcher int) func(*history.Event) {
		return func(e *history.Event) { e.Version, e.Dispatcher = v, dispatcher }
	}
	told := ev(time.Second, history.EndpointWithdrawn, version(5, 1))
	came := func(at time.Duration) history.Event { return ev(at, history.AttemptArrived, nil) }
	for _, c := range []struct {
		name   string
		events []history.Event
		want   int
	}{
		{"within", []history.Event{told, came(1400 * ms)}, 0},
		{"behind", []history.Event{told, came(1600 * ms)}, 1},
		{"told anew", []history.Event{told, ev(1500*ms, history.EndpointWithdrawn, version(6, 2)), came(1600 * ms)}, 1},
		{"an older list", []history.Event{told, ev(1200*ms, history.EndpointReady, version(4, 0)), came(1600 * ms)}, 1},
		{"a newer list", []history.Event{told, ev(1200*ms, history.EndpointReady, version(6, 1)), came(1600 * ms)}, 0},
		{"away until", []history.Event{told, ev(1100*ms, history.ProcessDown, until(1500*ms)), came(1600 * ms)}, 0},
		{"back for long", []history.Event{told, ev(1100*ms, history.ProcessDown, until(1500*ms)), came(2100 * ms)}, 1},
	} {
		if got := len(history.StaleAttempts(c.events, 500*ms)); got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}
