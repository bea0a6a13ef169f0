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

// Real processes that share budgets, with faults between them: what the replicas counted stays within the budgets, and the
// quotas that the processes show never add up to more than the whole.
func TestBudgetsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		dispatchers int
		length      float64
		shows       func(r *Report) bool
		long        bool // outside CI: go test ./internal/faultbench -args -bench.long
	}{
		{"retry-storm", 3, 11, func(r *Report) bool { return r.RepeatsPerRequest > 0 }, false},
		{"cut-half", 5, 11, func(r *Report) bool { return r.MinQuotaSum < 0.9 }, false}, // a voter's slice is on the other side
		{"kill-most", 4, 10, func(r *Report) bool { return countDowntimes(r) == 3 }, false},
		{"hot-dispatcher", 4, 9, func(r *Report) bool { return r.MaxQuota > 0.4 }, true},
		{"cold-wave", 5, 11, func(r *Report) bool { return r.MaxSlowStartLoad > 0 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.long && !*includeLong {
				t.Skip("outside CI")
			}
			t.Parallel()
			s := shortScenario(t, c.name, c.length, 4)
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: c.dispatchers, Seed: 2, Fleet: true, Budgets: true, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			if r.Crashes > 0 || r.ByStatus["served"] == 0 || !c.shows(r) {
				t.Errorf("%d crashes, %v, %+v", r.Crashes, r.ByStatus, r.FleetTotals)
			}
			if r.MaxQuotaSum > 1.0001 || r.MaxQuotaSum < 0.8 {
				t.Errorf("dispatchers acted by at most %.4f of the whole", r.MaxQuotaSum)
			}
			// So much comes at once besides: 10 s of questions, and one of each life of a dispatcher; 5 s of the spare repeats, and
			// one of each.
			lives := float64(c.dispatchers + countDowntimes(r))
			if most := budgets.PollsPerReplica*3 + lives/totalsWindow.Seconds(); r.MaxOwnPollRate > most {
				t.Errorf("a replica was asked %.2f times a second, at most %.2f", r.MaxOwnPollRate, most)
			}
			tries := float64(r.Attempts)
			if most := budgets.RetriesPerRequest*tries + lives + budgets.RetriesPerSecond*(5+s.Seconds); r.RepeatsPerRequest*tries > most {
				t.Errorf("%.0f repeats of %.0f tries, at most %.0f", r.RepeatsPerRequest*tries, tries, most)
			}
		})
	}
}

// A process that was paused has no more than its floor when it resumes, until the voters have granted to it anew, and one
// that was killed leaves its quota to the others.
func TestQuotasAfterPausesAndKills(t *testing.T) {
	t.Parallel()
	r := startWithBudgets(t, 4, 0)
	all := func(want float64, who ...int) func() bool {
		return func() bool {
			sum := 0.0
			for d, p := range r.quotaFractions() {
				if slices.Contains(who, d) {
					sum += p
				}
			}
			return sum > want && sum <= 1.0001
		}
	}
	testutil.Eventually(t, "the whole to be used", all(0.95, 0, 1, 2, 3))
	ctx := context.Background()
	r.dispatchers[3].Pause(ctx, 2*time.Second)
	if s, err := r.Quota(3); err != nil || s.Fraction > s.MinFraction*1.0001 && s.RemainingS <= 0 {
		t.Errorf("it woke with %+v, %v", s, err)
	}
	testutil.Eventually(t, "the whole to be used again", all(0.95, 0, 1, 2, 3))
	r.dispatchers[3].Kill()
	// The dead one's part of the floor is nobody's.
	testutil.Eventually(t, "the others to have the pool", all(0.95-budgets.Floor/4, 0, 1, 2))
	r.dispatchers[0].Kill() // a voter: a third of the pool goes with it
	testutil.Eventually(t, "two to have what two voters lend", func() bool {
		p := r.quotaFractions()
		sum := p[1] + p[2]
		return sum > 0.55 && sum < 2*budgets.Floor/4+(1-budgets.Floor)*2/3+0.001
	})
}

// startWithBudgets starts dispatchers that share budgets, and route to subsets where readers are given, without traffic.
func startWithBudgets(t *testing.T, n, readers int) *Run {
	t.Helper()
	r := &Run{scenario: &scenario.Scenario{Name: "shared", Zones: 1, PrefillReplicas: max(1, 3*readers), DecodeReplicas: max(1, 3*readers)}, history: history.NewRecorder(), dir: t.TempDir(),
		options: Options{Program: programPath, Dispatchers: n, Seed: 1, Fleet: true, Budgets: true, Subsets: readers}}
	t.Cleanup(r.close)
	if err := r.begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	return r
}

// Processes route to subsets that share the replicas evenly between dispatchers, through kills and a changed list.
func TestSubsetsShareReplicasEvenly(t *testing.T) {
	t.Parallel()
	r := startWithBudgets(t, 12, 8)
	even := func(members int) func() bool {
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
	testutil.Eventually(t, "replicas to be shared evenly", even(12))
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
	gone := before[0][0]
	for _, p := range r.cluster.Replicas {
		if p.Name == gone {
			r.discovery.Set(p, discovery.Gone, time.Time{})
		}
	}
	testutil.Eventually(t, fmt.Sprint("nobody to keep to ", gone), func() bool {
		for d := range r.dispatchers {
			if s, err := r.Subset(d); err != nil || slices.Contains(s.Subset, gone) {
				return false
			}
		}
		return true
	})
}

// With traffic, attempts go to the dispatcher's subset.
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
		if e.Kind == history.AttemptArrived && e.At > 4*time.Second { // until then each knew of too few others
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

// A surge is the worst window from a fault on, relative to the calm before it.
func TestHandshakeSurge(t *testing.T) {
	var made []time.Duration
	for i := range 24 { // from 4 to 10 s: 12 in 6 s, so 10 in 5 s
		made = append(made, time.Duration(i)*500*time.Millisecond)
	}
	calm := made[:20]
	if got := handshakeSurge(calm, 10*time.Second); got != 0 {
		t.Errorf("nothing came after the fault: %v", got)
	}
	for range 30 {
		calm = append(calm, 11*time.Second)
	}
	if got := handshakeSurge(calm, 10*time.Second); got != 3 {
		t.Errorf("30 against 10: %v", got)
	}
	if got := handshakeSurge([]time.Duration{11 * time.Second}, 10*time.Second); got != 1 {
		t.Errorf("no calm: %v", got)
	}
}
