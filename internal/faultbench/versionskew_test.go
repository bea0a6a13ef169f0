package faultbench

import (
	"context"
	"slices"
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// Detection time counts from the first list change that a dispatcher missed, or from the change of the settings.
// Fencing a dispatcher that was sent no old list must count as false, and work for a request that a dispatcher accepted
// long after its fencing must be counted.
func TestVersionSkewReport(t *testing.T) {
	const s = time.Second
	events := []history.Event{{At: 1 * s, Kind: history.StaleListServed, Dispatcher: 0, Until: 9 * s}, {At: 1 * s, Kind: history.StaleListServed, Class: staleSettings, Dispatcher: 1, Until: 9 * s},
		{At: 3 * s, Kind: history.EndpointWithdrawn, Dispatcher: 2}, {At: 5 * s, Kind: history.AdmissionChanged, Dispatcher: 0, Complete: true}, {At: 6 * s, Kind: history.AdmissionChanged, Dispatcher: 1, Complete: true},
		{At: 6 * s, Kind: history.AdmissionChanged, Dispatcher: 2, Complete: true}, {At: 6 * s, Kind: history.RequestSent, Request: "a", Dispatcher: 0}, {At: 7 * s, Kind: history.AttemptArrived, Request: "a", Dispatcher: 0},
		{At: 7 * s, Kind: history.RequestSent, Request: "b", Dispatcher: 0}, {At: 8 * s, Kind: history.AttemptArrived, Request: "b", Dispatcher: 0}, {At: 11 * s, Kind: history.AdmissionChanged, Dispatcher: 0}}
	if got := versionSkewReport(events); !slices.Equal(got.DetectionS, []float64{2, 5}) || !slices.Equal(got.ReadmissionS, []float64{2}) || got.FalselyFenced != 1 || got.WorkAfterFence != 1 {
		t.Errorf("%+v", got)
	}
}

// A dispatcher whose discovery is stuck must stop taking clients after a while, and take them again when its list is
// current, while the others go on. A dispatcher whose settings differ from most members' settings must also be fenced
// until its settings agree with theirs. If the discovery of most dispatchers is stuck, or one dispatcher is cut off or
// paused meanwhile, none may be fenced.
func TestVersionSkewFencing(t *testing.T) {
	for name, wantFenced := range map[string]int{"straggler-list": 1, "straggler-settings": 1, "all-behind": 0, "straggler-split": 0} {
		t.Run(name, func(t *testing.T) {
			if name != "straggler-list" && name != "all-behind" && !*includeLong {
				t.Skip("-bench.long")
			}
			t.Parallel()
			s, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 5, Seed: 1, Fleet: true, EndpointFilter: true, VersionSkew: true, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if g := r.VersionSkew; !r.Good() || r.StaleAttempts > 0 || len(g.DetectionS) != wantFenced || wantFenced > 0 && slices.Max(g.DetectionS) > 10 || len(g.ReadmissionS) != wantFenced || g.FalselyFenced > 0 || g.WorkAfterFence > 0 {
				t.Errorf("%+v, %d attempts at withdrawn replicas, %v", g, r.StaleAttempts, r.violations)
			}
		})
	}
}
