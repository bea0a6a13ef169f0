package faultbench

import (
	"context"
	"testing"
)

// Two in five dispatchers are told an old list from 5 s on, on which replicas stand that leave at 6 s and go on answering whoever comes;
// at 9 s those two, or most of the fleet, are killed and lose all. With what members tell each other nothing is sent to what has
// left; without, the same day shows it.
func TestOlderListsReviveNothing(t *testing.T) {
	for name, c := range map[string]struct {
		ends bool
		kill Fault
	}{
		"without":            {false, Fault{At: 9, Do: "kill", Part: 0.4, Spare: 3, For: 0.3, Forget: true}},
		"stragglers restart": {true, Fault{At: 9, Do: "kill", Part: 0.4, Spare: 3, For: 0.3, Forget: true}},
		"most restart":       {true, Fault{At: 9, Do: "kill", Part: 0.8, Spare: 1, For: 0.3, Forget: true}},
		"one side of a cut":  {true, Fault{At: 9, Do: "split", For: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "stragglers restart" && !*long {
				t.Skip("-rig.long")
			}
			t.Parallel()
			s := &Scenario{Name: "older", Seconds: 14, Rate: 30, Zones: 1, Readers: 5, Writers: 5, Faults: []Fault{
				{At: 5, Do: "discovery-stale", Part: 0.4, Spare: 3, For: 8}, {At: 6, Do: "replica-leave", Part: 0.2, For: 7}, c.kill}}
			r, err := Play(context.Background(), s, Options{Program: program, Dispatchers: 5, Seed: 3, Fleet: true, Ends: c.ends, Unwatched: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Good() || c.ends != (r.StaleActs == 0) {
				t.Errorf("%d stale acts, %v", r.StaleActs, r.breaches)
			}
		})
	}
}

// All voters lose what they know at once, and one member that does not vote lives on: numbers of leases go on from what it tells, so
// the replicas see none fall back. On these two seeds they did, for the rest of the day.
func TestNumbersGoOnAfterAllVotersForgot(t *testing.T) {
	if !*long {
		t.Skip("-rig.long")
	}
	s, err := Load("restart-most-lost")
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{2, 7} {
		r, err := Play(context.Background(), s, Options{Program: program, Dispatchers: 9, Seed: seed, Fleet: true, Ends: true, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		if !r.Good() || r.Doubled > 0 || r.Duty < 1 {
			t.Errorf("%d probes under numbers that had fallen back, %.2f in all, %v", r.Doubled, r.Duty, r.breaches)
		}
	}
}
