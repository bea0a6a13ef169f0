package dispatch_test

import (
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// A step of the wall clock changes neither the age of an endpoint that was reported before the step nor the age of one
// that is first reported after it. A wrong age would end an endpoint's slow start too early or start it again.
func TestEndpointAgeSurvivesClockStep(t *testing.T) {
	const hour, shortAge, tolerance = time.Hour, 2 * time.Second, 500 * time.Millisecond
	for _, c := range []struct {
		name             string
		step             time.Duration // step of the wall clock
		reportedBefore   bool          // whether the endpoint is reported before the step and again after it
		age              time.Duration // age of the endpoint before the step
		startedAfterStep bool          // whether the endpoint starts after the step, by the stepped clock
		want             time.Duration
	}{
		{name: "reported before a step forward", step: hour, reportedBefore: true, age: shortAge, want: shortAge},
		{name: "reported before a step back", step: -hour, reportedBefore: true, age: shortAge, want: shortAge},
		{name: "started before a step forward, reported after it", step: hour, age: shortAge, want: shortAge},
		{name: "started before a step back, reported after it", step: -hour, age: shortAge, want: shortAge},
		{name: "started after a step forward", step: hour, startedAfterStep: true},
		{name: "started after a step back", step: -hour, startedAfterStep: true},
		{name: "past its slow start, reported before a step back", step: -hour, reportedBefore: true, age: 30 * hour, want: 30 * hour},
		{name: "no step", reportedBefore: true, age: shortAge, want: shortAge},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := testutil.NewFakeSystem()
			testStart := time.Now()
			_, dispatcher := startDispatcherWith(t, machine, func(*routing.Config) {})
			started := machine.Wall().Add(-c.age)
			reportAndGetAge := func() time.Duration {
				endpoint := readyEndpoint("r9", prefillKind)
				endpoint.Started = started
				dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{endpoint})
				snapshot, ok := dispatcher.Snapshot(t.Context(), 0)
				if !ok || len(snapshot.Endpoints) != 1 {
					t.Fatalf("Snapshot: %d endpoints, ok %t", len(snapshot.Endpoints), ok)
				}
				return snapshot.TakenAt - snapshot.Endpoints[0].Started
			}
			if c.reportedBefore {
				reportAndGetAge()
			}
			machine.StepClock(c.step)
			if c.startedAfterStep {
				started = machine.Wall()
			}
			for range 2 {
				if got := reportAndGetAge(); got < c.want || got > c.want+time.Since(testStart)+tolerance {
					t.Errorf("age %v, want %v", got, c.want)
				}
			}
		})
	}
}
