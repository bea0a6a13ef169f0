package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// Processes are restarted during other faults: they are killed again while they start, or they start while a zone is
// cut off, or while discovery is silent and then delayed. No rule may be broken, nothing may crash, and requests must
// be served again at the end. RAMPSPREAD_DEPLOYMENTS sets the number of seeds, which is one in CI.
func TestRestartsDuringOtherFaults(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"kill-twice", "restart-in-cut", "late-discovery"} {
		for _, seed := range playedSeeds(t, 1) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s, err := scenario.Load(name)
				if err != nil {
					t.Fatal(err)
				}
				r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 3, Seed: seed, Dir: t.TempDir()})
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range r.violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				finalShare := 0.0
				for _, share := range r.PerSecond[len(r.PerSecond)-4:] {
					finalShare += share / 4
				}
				t.Logf("seed %d: served %.3f, worst 10 s %.3f, recovery %.1f s, %.1f times the calm handshakes, %v", seed, r.ServedShare, r.Worst10S, secondsOrMinusOne(r.RecoveryS), r.HandshakeSurge, r.ByStatus)
				if r.Crashes > 0 || finalShare < 0.3 {
					t.Errorf("seed %d: %d crashes, %.2f served in the last 4 s", seed, r.Crashes, finalShare)
				}
			})
		}
	}
}

// secondsOrMinusOne returns *x, or -1 if x is nil.
func secondsOrMinusOne(x *float64) float64 {
	if x == nil {
		return -1
	}
	return *x
}
