package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// Two in five dispatchers are told an old list from 5 s on, on which replicas stand that leave at 6 s and go on answering whoever comes;
// at 9 s those two, or most of the fleet, are killed and lose all. With what members tell each other nothing is sent to what has
// left; without, the same day shows it.
func TestWithdrawnReplicasStayWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		ends bool
		kill scenario.Fault
	}{
		"without":            {false, scenario.Fault{At: 9, Action: "kill", Fraction: 0.4, SpareFirst: 3, Duration: 0.3, LoseState: true}},
		"stragglers restart": {true, scenario.Fault{At: 9, Action: "kill", Fraction: 0.4, SpareFirst: 3, Duration: 0.3, LoseState: true}},
		"most restart":       {true, scenario.Fault{At: 9, Action: "kill", Fraction: 0.8, SpareFirst: 1, Duration: 0.3, LoseState: true}},
		"one side of a cut":  {true, scenario.Fault{At: 9, Action: "split", Duration: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "stragglers restart" && !*includeLong {
				t.Skip("-rig.long")
			}
			t.Parallel()
			s := &scenario.Scenario{Name: "older", Seconds: 14, Rate: 30, Zones: 1, PrefillReplicas: 5, DecodeReplicas: 5, Faults: []scenario.Fault{
				{At: 5, Action: "discovery-stale", Fraction: 0.4, SpareFirst: 3, Duration: 8}, {At: 6, Action: "replica-leave", Fraction: 0.2, Duration: 7}, c.kill}}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 5, Seed: 3, Fleet: true, EndpointFilter: c.ends, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Good() || c.ends != (r.StaleAttempts == 0) {
				t.Errorf("%d stale acts, %v", r.StaleAttempts, r.violations)
			}
		})
	}
}

// All voters lose what they know at once, and one member that does not vote lives on: numbers of leases go on from what it tells, so
// the replicas see none fall back. On these two seeds they did, for the rest of the day.
func TestFencingTokensGrowAfterAllVotersLoseState(t *testing.T) {
	if !*includeLong {
		t.Skip("-rig.long")
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
			t.Errorf("%d probes under numbers that had fallen back, %.2f in all, %v", r.StaleLeasePolls, r.LeasedPollRate, r.violations)
		}
	}
}
