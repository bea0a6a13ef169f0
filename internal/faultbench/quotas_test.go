package faultbench

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"rampspread/internal/faultbench/discovery"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/testutil"
)

var includeLong = flag.Bool("bench.long", false, "play what takes too long for CI too")

// Real processes share budgets while faults are injected. The load polls and retries that the replicas count must stay
// within the budgets, and the quotas that the processes report must never add up to more than the whole.
func TestBudgetsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		dispatchers int
		seconds     float64
		hasEffect   func(r *Report) bool
		long        bool // not run in CI; run it by go test ./internal/faultbench -args -bench.long
	}{
		{"retry-storm", 3, 11, func(r *Report) bool { return r.RepeatsPerRequest > 0 }, false},
		{"cut-half", 5, 11, func(r *Report) bool { return r.MinQuotaSum < 0.9 }, false}, // a voter is on the other side of the cut
		{"kill-most", 4, 10, func(r *Report) bool { return countDowntimes(r) == 3 }, false},
		{"hot-dispatcher", 4, 9, func(r *Report) bool { return r.MaxQuota > 0.4 }, true},
		{"cold-wave", 5, 11, func(r *Report) bool { return r.MaxSlowStartLoad > 0 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.long && !*includeLong {
				t.Skip("outside CI")
			}
			t.Parallel()
			s := shortScenario(t, c.name, c.seconds, 4)
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: c.dispatchers, Seed: 2, Fleet: true, Budgets: true, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			if r.Crashes > 0 || r.ByStatus["served"] == 0 || !c.hasEffect(r) {
				t.Errorf("%d crashes, %v, %+v", r.Crashes, r.ByStatus, r.FleetTotals)
			}
			if r.MaxQuotaSum > 1.0001 || r.MaxQuotaSum < 0.8 {
				t.Errorf("the quotas added up to at most %.4f, want 0.8 to 1", r.MaxQuotaSum)
			}
			// Unused budget may be spent at once: 10 s of load polls and 5 s of retries. The worst 5 s may therefore
			// hold the load polls of 15 s, three times the rate of the budget. Besides, each incarnation of a
			// dispatcher may make one load poll and one retry.
			incarnations := float64(c.dispatchers + countDowntimes(r))
			if limit := budgets.PollsPerReplica*3 + incarnations/totalsWindow.Seconds(); r.MaxOwnPollRate > limit {
				t.Errorf("a replica was polled %.2f times a second, want at most %.2f", r.MaxOwnPollRate, limit)
			}
			attempts := float64(r.Attempts)
			if limit := budgets.RetriesPerRequest*attempts + incarnations + budgets.RetriesPerSecond*(5+s.Seconds); r.RepeatsPerRequest*attempts > limit {
				t.Errorf("%.0f retries of %.0f attempts, want at most %.0f", r.RepeatsPerRequest*attempts, attempts, limit)
			}
		})
	}
}

// A process that resumes after a pause must have no more than its minimum quota until the voters grant it a new one.
// The quota of a killed process must go to the other members.
func TestQuotasAfterPausesAndKills(t *testing.T) {
	t.Parallel()
	r := startWithBudgets(t, 4, 0)
	sumOver := func(want float64, indexes ...int) func() bool {
		return func() bool {
			sum := 0.0
			for d, p := range r.quotaFractions() {
				if slices.Contains(indexes, d) {
					sum += p
				}
			}
			return sum > want && sum <= 1.0001
		}
	}
	testutil.Eventually(t, "the quotas to add up to the whole", sumOver(0.95, 0, 1, 2, 3))
	ctx := context.Background()
	r.dispatchers[3].Pause(ctx, 2*time.Second)
	if s, err := r.Quota(3); err != nil || s.Fraction > s.MinFraction*1.0001 && s.RemainingS <= 0 {
		t.Errorf("after the pause it has %+v, %v", s, err)
	}
	testutil.Eventually(t, "the quotas to add up to the whole again", sumOver(0.95, 0, 1, 2, 3))
	r.dispatchers[3].Kill()
	// The minimum quota of the killed dispatcher stays unused.
	testutil.Eventually(t, "the others to have the remaining quotas", sumOver(0.95-budgets.Floor/4, 0, 1, 2))
	r.dispatchers[0].Kill() // a voter, which grants a third of the quotas above the minimum
	testutil.Eventually(t, "the remaining two to have what two voters grant", func() bool {
		p := r.quotaFractions()
		sum := p[1] + p[2]
		return sum > 0.55 && sum < 2*budgets.Floor/4+(1-budgets.Floor)*2/3+0.001
	})
}

// startWithBudgets starts n dispatchers that share budgets, without traffic. If minSubset is not 0, they route to
// subsets of at least that many prefill replicas.
func startWithBudgets(t *testing.T, n, minSubset int) *Run {
	t.Helper()
	r := &Run{scenario: &scenario.Scenario{Name: "shared", Zones: 1, PrefillReplicas: max(1, 3*minSubset), DecodeReplicas: max(1, 3*minSubset)}, history: history.NewRecorder(), dir: t.TempDir(),
		options: Options{Program: programPath, Dispatchers: n, Seed: 1, Fleet: true, Budgets: true, Subsets: minSubset}}
	t.Cleanup(r.close)
	if err := r.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return r
}

// The subsets of all dispatchers must use the replicas evenly, be the same after a kill and restart, and not contain a
// replica that has left the endpoint list.
func TestSubsetsShareReplicasEvenly(t *testing.T) {
	t.Parallel()
	r := startWithBudgets(t, 12, 8)
	sharedEvenly := func(members int) func() bool {
		return func() bool {
			count := map[string]int{}
			for d := range r.dispatchers {
				s, err := r.Subset(d)
				if err != nil && members == len(r.dispatchers) || err == nil && (len(s.Subset) == 0 || s.Members != members) {
					return false
				}
				for _, name := range s.Subset {
					count[name]++
				}
			}
			low, high := len(r.dispatchers), 0
			for _, p := range r.cluster.Replicas {
				low, high = min(low, count[p.Name]), max(high, count[p.Name])
			}
			return high-low <= 1
		}
	}
	testutil.Eventually(t, "replicas to be shared evenly", sharedEvenly(12))
	before := map[int][]string{}
	for d := range r.dispatchers {
		s, _ := r.Subset(d)
		before[d] = s.Subset
	}
	r.dispatchers[11].Kill()
	r.dispatchers[11].restartWithoutState(context.Background())
	testutil.Eventually(t, "the same subsets after a restart", func() bool {
		for d := range r.dispatchers {
			if s, err := r.Subset(d); err != nil || !slices.Equal(s.Subset, before[d]) {
				return false
			}
		}
		return true
	})
	removed := before[0][0]
	for _, p := range r.cluster.Replicas {
		if p.Name == removed {
			r.discovery.Set(p, discovery.Gone, time.Time{})
		}
	}
	testutil.Eventually(t, fmt.Sprint("no subset to contain ", removed), func() bool {
		for d := range r.dispatchers {
			if s, err := r.Subset(d); err != nil || slices.Contains(s.Subset, removed) {
				return false
			}
		}
		return true
	})
}

// Each dispatcher must send its attempts to its subset: to at most 40 of the 96 replicas.
func TestRequestsGoToTheSubset(t *testing.T) {
	t.Parallel()
	s := shortScenario(t, "wide", 8, 6)
	s.Faults = nil
	r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 12, Seed: 3, Fleet: true, Budgets: true, Subsets: 8, SkipViews: true, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	to := map[int]map[string]bool{}
	for _, e := range r.events {
		if e.Kind == history.AttemptArrived && e.At > 4*time.Second { // before, each dispatcher saw too few members
			if to[e.Dispatcher] == nil {
				to[e.Dispatcher] = map[string]bool{}
			}
			to[e.Dispatcher][e.Replica] = true
		}
	}
	for d, replicas := range to {
		if len(replicas) > 40 {
			t.Errorf("dispatcher %d sent to %d of 96 replicas", d, len(replicas))
		}
	}
	if len(to) < 10 || !r.Good() {
		t.Errorf("%d dispatchers sent, %d rules broken", len(to), r.RulesBroken)
	}
}

// A surge is the largest number of handshakes in 5 s after a fault, divided by the mean number in 5 s before the fault.
func TestHandshakeSurge(t *testing.T) {
	var opened []time.Duration
	for i := range 24 { // those from 4 to 10 s count: 12 in 6 s, which is 10 in 5 s
		opened = append(opened, time.Duration(i)*500*time.Millisecond)
	}
	calm := opened[:20]
	if got := handshakeSurge(calm, 10*time.Second); got != 0 {
		t.Errorf("no handshakes after the fault: got %v, want 0", got)
	}
	for range 30 {
		calm = append(calm, 11*time.Second)
	}
	if got := handshakeSurge(calm, 10*time.Second); got != 3 {
		t.Errorf("30 handshakes against 10 before: got %v, want 3", got)
	}
	if got := handshakeSurge([]time.Duration{11 * time.Second}, 10*time.Second); got != 1 {
		t.Errorf("no handshakes before the fault: got %v, want 1", got)
	}
}
