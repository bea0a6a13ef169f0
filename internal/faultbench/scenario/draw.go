package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// DrawShort draws a short scenario for a drawn deployment. Replicas are drained after watches were reset or fell
// silent, and three other faults are injected, such as hanging replicas, kills, restarts and moves of discovery.
func DrawShort(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0xda4))
	s := &Scenario{Name: fmt.Sprintf("drawn-%d", seed), Seconds: 13, Rate: 14,
		Zones: 1 + rng.IntN(3), PrefillReplicas: 4 + rng.IntN(3), DecodeReplicas: 4 + rng.IntN(3)}
	lostWatches := []Fault{
		{At: 2, Action: SilenceWatches, Fraction: 1},
		{At: 3.5, Action: ResetLinks, Links: "discovery", Fraction: 1},
		{At: 1.5, Action: SilenceDiscovery, Duration: 3},
	}
	s.Faults = append(s.Faults, lostWatches[seed%3],
		Fault{At: 3.6 + rng.Float64(), Action: DrainReplica, Fraction: 0.3, Duration: 7})
	otherFaults := []Fault{
		{At: 5, Action: HangReplica, Fraction: 0.25, Duration: 4},
		{At: 5, Action: Kill, Fraction: 0.4, Duration: 0.5},
		{At: 6, Action: Terminate, Duration: 0.3},
		{At: 5, Action: MoveDiscovery, Fraction: 1},
		{At: 4, Action: KillReplica, Fraction: 0.15, Duration: 3},
		{At: 6, Action: ResetLinks, Links: "replicas", Fraction: 0.7},
		{At: 4, Action: ImpairLinks, Links: "replicas", Direction: "to", DelayMS: 300, Fraction: 0.5, Duration: 4},
		{At: 5, Action: SlowReplica, Fraction: 0.2, Factor: 8, Duration: 4},
	}
	for _, i := range rng.Perm(len(otherFaults))[:3] {
		s.Faults = append(s.Faults, otherFaults[i])
	}
	slices.SortFunc(s.Faults, func(a, b Fault) int { return int(1000 * (a.At - b.At)) })
	return s
}
