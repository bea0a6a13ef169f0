package history_test

import (
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
)

// Guards against stale attempts that are missed because another dispatcher was sent the withdrawal or because an older
// list names the replica as ready, and against false reports after a newer list or shortly after a pause.
func TestStaleAttemptsCountFromTheNewestList(t *testing.T) {
	version := func(v uint64, dispatcher int) func(*history.Event) {
		return func(e *history.Event) { e.Version, e.Dispatcher = v, dispatcher }
	}
	withdrawn := event(time.Second, history.EndpointWithdrawn, version(5, 1))
	arrival := func(at time.Duration) history.Event { return event(at, history.AttemptArrived, nil) }
	for _, c := range []struct {
		name   string
		events []history.Event
		want   int
	}{
		{"within the limit", []history.Event{withdrawn, arrival(1400 * ms)}, 0},
		{"past the limit", []history.Event{withdrawn, arrival(1600 * ms)}, 1},
		{"withdrawn again", []history.Event{
			withdrawn,
			event(1500*ms, history.EndpointWithdrawn, version(6, 2)),
			arrival(1600 * ms),
		}, 1},
		{"ready and withdrawn by one version", []history.Event{
			event(500*ms, history.EndpointReady, version(5, 0)),
			withdrawn,
			arrival(1600 * ms),
		}, 1},
		{"withdrawn and ready by one version", []history.Event{
			withdrawn,
			event(1200*ms, history.EndpointReady, version(5, 0)),
			arrival(1600 * ms),
		}, 1},
		{"an older list", []history.Event{withdrawn, event(1200*ms, history.EndpointReady, version(4, 0)), arrival(1600 * ms)}, 1},
		{"a newer list", []history.Event{withdrawn, event(1200*ms, history.EndpointReady, version(6, 1)), arrival(1600 * ms)}, 0},
		{"just resumed", []history.Event{withdrawn, event(1100*ms, history.ProcessDown, until(1500*ms)), arrival(1600 * ms)}, 0},
		{"resumed long ago", []history.Event{
			withdrawn,
			event(1100*ms, history.ProcessDown, until(1500*ms)),
			arrival(2100 * ms),
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := len(history.StaleAttempts(c.events, 500*ms)); got != c.want {
				t.Errorf("%d stale attempts, want %d", got, c.want)
			}
		})
	}
}
