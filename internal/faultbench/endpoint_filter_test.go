package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// From 5 s on, discovery sends an old endpoint list to two of five dispatchers. At 6 s replicas leave the list but
// still answer. At 9 s those two dispatchers or most of the fleet are killed and lose their state, or the fleet is
// partitioned. With the endpoint filter nothing may be sent to the withdrawn replicas. Without it the scenario must
// show such attempts, which proves that the test can detect them.
func TestWithdrawnReplicasStayWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		filter bool
		kill   scenario.Fault
	}{
		"without":            {false, scenario.Fault{At: 9, Action: "kill", Fraction: 0.4, SpareFirst: 3, Duration: 0.3, LoseState: true}},
		"stragglers restart": {true, scenario.Fault{At: 9, Action: "kill", Fraction: 0.4, SpareFirst: 3, Duration: 0.3, LoseState: true}},
		"most restart":       {true, scenario.Fault{At: 9, Action: "kill", Fraction: 0.8, SpareFirst: 1, Duration: 0.3, LoseState: true}},
		"one side of a cut":  {true, scenario.Fault{At: 9, Action: "split", Duration: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "stragglers restart" && !*includeLong {
				t.Skip("-bench.long")
			}
			t.Parallel()
			s := &scenario.Scenario{Name: "older", Seconds: 14, Rate: 30, Zones: 1, PrefillReplicas: 5, DecodeReplicas: 5, Faults: []scenario.Fault{
				{At: 5, Action: "discovery-stale", Fraction: 0.4, SpareFirst: 3, Duration: 8}, {At: 6, Action: "replica-leave", Fraction: 0.2, Duration: 7}, c.kill}}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 5, Seed: 3, Fleet: true, EndpointFilter: c.filter, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Good() || c.filter != (r.StaleAttempts == 0) {
				t.Errorf("%d attempts at withdrawn replicas, %v", r.StaleAttempts, r.violations)
			}
		})
	}
}

// All voters lose their state at once, and one member without a vote survives. Fencing tokens must continue from those
// that this member has seen, so that no replica sees a lower token than before. With these two seeds the tokens once
// fell back and stayed lower until the scenario's end.
func TestFencingTokensGrowAfterAllVotersLoseState(t *testing.T) {
	if !*includeLong {
		t.Skip("-bench.long")
	}
	s, err := scenario.Load("restart-most-lost")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{2, 7} {
		r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 9, Seed: seed, Fleet: true, EndpointFilter: true, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Good() || r.StaleLeasePolls > 0 || r.LeasedPollRate < 1 {
			t.Errorf("%d load polls under a lower fencing token than before, %.2f a replica and second, %v", r.StaleLeasePolls, r.LeasedPollRate, r.violations)
		}
	}
}
