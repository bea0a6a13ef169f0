package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// A dispatcher that is killed and restarts while discovery is silent knows from its state folder which replicas were
// draining; its configuration's list is older. Without a folder it sends to them, which shows that the scenario can tell.
func TestEndpointListSurvivesRestart(t *testing.T) {
	t.Parallel()
	day := &scenario.Scenario{Name: "silent-restart", Seconds: 13, Rate: 14, Zones: 2, PrefillReplicas: 5, DecodeReplicas: 5, Faults: []scenario.Fault{
		{At: 2, Action: "replica-drain", Fraction: 0.3, Duration: 10}, {At: 4, Action: "discovery-silent", Duration: 6}, {At: 5, Action: "kill", Fraction: 1, Duration: 0.3}}}
	for name, state := range map[string]bool{"with a folder": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(context.Background(), day, Options{Program: programPath, Dispatchers: 3, Seed: 4, State: state, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			sent := 0
			for _, b := range r.violations {
				if b.Rule == history.RuleOrderlyDrain {
					sent++
				} else {
					t.Error(b)
				}
			}
			if r.Crashes > 0 || r.ByStatus["served"] == 0 || (sent == 0) != state {
				t.Errorf("%d sends to servers that were leaving, %d crashes, %v", sent, r.Crashes, r.ByStatus)
			}
		})
	}
}

// All members of a fleet are killed at once. With state folders the fencing tokens grow on; without they start anew, and
// replicas are polled under lower tokens than before, which shows that the scenario can tell. The members killed one at a time
// before ensure that: whoever takes their leases over does so under higher tokens, where a calm hour may leave all at the first.
func TestFencingTokensSurviveFleetRestart(t *testing.T) {
	t.Parallel()
	day := &scenario.Scenario{Name: "all-killed", Seconds: 17, Rate: 14, Zones: 2, PrefillReplicas: 4, DecodeReplicas: 4, Faults: []scenario.Fault{
		{At: 4, Action: "kill", Fraction: 0.34, Duration: 0.3}, {At: 6.5, Action: "kill", Fraction: 0.34, Duration: 0.3}, {At: 9, Action: "kill", Fraction: 1, Duration: 0.3}}}
	for name, state := range map[string]bool{"with folders": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(context.Background(), day, Options{Program: programPath, Dispatchers: 3, Seed: 6, Fleet: true, State: state, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			if r.Crashes > 0 || r.LeasedPollRate == 0 || (r.StaleLeasePolls == 0) != state {
				t.Errorf("%d probes under numbers that fell back, %.1f a second in all, %d crashes", r.StaleLeasePolls, r.LeasedPollRate, r.Crashes)
			}
		})
	}
}
