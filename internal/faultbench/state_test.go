package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// All dispatchers are killed and restarted while discovery is silent. A dispatcher's state folder says which replicas
// were draining; the list in its configuration is older and does not. It must not send to them. The run without state
// folders is the control: there dispatchers do send to them, which proves that the test detects such attempts.
func TestEndpointListSurvivesRestart(t *testing.T) {
	t.Parallel()
	s := &scenario.Scenario{Name: "silent-restart", Seconds: 13, Rate: 14, Zones: 2, PrefillReplicas: 5, DecodeReplicas: 5, Faults: []scenario.Fault{
		{At: 2, Action: "replica-drain", Fraction: 0.3, Duration: 10}, {At: 4, Action: "discovery-silent", Duration: 6}, {At: 5, Action: "kill", Fraction: 1, Duration: 0.3}}}
	for name, state := range map[string]bool{"with a folder": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 3, Seed: 4, State: state, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			sentAfterDrain := 0
			for _, b := range r.violations {
				if b.Rule == history.RuleOrderlyDrain {
					sentAfterDrain++
				} else {
					t.Error(b)
				}
			}
			if r.Crashes > 0 || r.ByStatus["served"] == 0 || (sentAfterDrain == 0) != state {
				t.Errorf("%d attempts at draining replicas, %d crashes, %v", sentAfterDrain, r.Crashes, r.ByStatus)
			}
		})
	}
}

// All members of a fleet are killed at once. With state folders the fencing tokens must keep growing. Without state
// folders the tokens must start again from their first value, so that replicas are polled under lower tokens than
// before, which proves that the test can detect this. Before all are killed, members are killed one at a time, so that
// others take over their leases under higher tokens. Without a takeover all tokens could still have their first value.
func TestFencingTokensSurviveFleetRestart(t *testing.T) {
	t.Parallel()
	s := &scenario.Scenario{Name: "all-killed", Seconds: 17, Rate: 14, Zones: 2, PrefillReplicas: 4, DecodeReplicas: 4, Faults: []scenario.Fault{
		{At: 4, Action: "kill", Fraction: 0.34, Duration: 0.3}, {At: 6.5, Action: "kill", Fraction: 0.34, Duration: 0.3}, {At: 9, Action: "kill", Fraction: 1, Duration: 0.3}}}
	for name, state := range map[string]bool{"with folders": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 3, Seed: 6, Fleet: true, State: state, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			if r.Crashes > 0 || r.LeasedPollRate == 0 || (r.StaleLeasePolls == 0) != state {
				t.Errorf("%d load polls under a lower fencing token than before, %.1f a replica and second, %d crashes", r.StaleLeasePolls, r.LeasedPollRate, r.Crashes)
			}
		})
	}
}
