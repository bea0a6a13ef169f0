package dispatch_test

import (
	"context"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

// A wall clock that is stepped makes no cold server warm and no warm one cold, whether the server was told before the step or after it.
func TestStartsWhenTheClockSteps(t *testing.T) {
	const hour, moment, slack = time.Hour, 2 * time.Second, 500 * time.Millisecond
	for _, c := range []struct {
		name   string
		step   time.Duration
		before bool          // told before the step, and again after it
		ago    time.Duration // when the server was started, before the list is first told,
		after  bool          // by the clock after the step
		want   time.Duration // its age
	}{
		{"told before a step forward", hour, true, moment, false, moment},
		{"told before a step back", -hour, true, moment, false, moment},
		{"started before a step forward, told after it", hour, false, moment, false, moment},
		{"started before a step back, told after it", -hour, false, moment, false, moment},
		{"started after a step forward", hour, false, 0, true, 0},
		{"started after a step back", -hour, false, 0, true, 0},
		{"warm, told before a step back", -hour, true, 30 * hour, false, 30 * hour},
		{"no step", 0, true, moment, false, moment},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := testkit.NewMachine()
			began := time.Now()
			_, router := startOn(t, machine, func(*routing.Config) {})
			started := machine.Wall().Add(-c.ago)
			list := func() []dispatch.Endpoint {
				return []dispatch.Endpoint{{Name: "r9", Kind: 0, State: routing.Ready, Weight: 1, Started: started}}
			}
			age := func() time.Duration {
				router.UpdateEndpoints(true, list())
				b, ok := router.Snapshot(context.Background(), 0)
				if !ok || len(b.Endpoints) != 1 {
					t.Fatalf("%d servers, %t", len(b.Endpoints), ok)
				}
				return b.TakenAt - b.Endpoints[0].Started
			}
			if c.before {
				age()
			}
			machine.Step(c.step)
			if c.after {
				started = machine.Wall()
			}
			for range 2 {
				if got := age(); got < c.want || got > c.want+time.Since(began)+slack {
					t.Errorf("it is %v old, want %v", got, c.want)
				}
			}
		})
	}
}
