package faultbench

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// playedSeeds returns the seeds from 1 to defaultCount, or to the number in RAMPSPREAD_DEPLOYMENTS.
func playedSeeds(t *testing.T, defaultCount int) (out []uint64) {
	n, err := strconv.Atoi(cmp.Or(os.Getenv("RAMPSPREAD_DEPLOYMENTS"), strconv.Itoa(defaultCount)))
	if err != nil {
		t.Fatal(err)
	}
	for s := range n {
		out = append(out, uint64(s+1))
	}
	return out
}

// Deployments drawn from fixed seeds are played with drains while watches are lost, hanging replicas, kills, SIGTERM
// and moves of discovery. No rule may be broken and nothing may crash. The checker sees only what the simulated parties
// saw on their sockets; to show that this is enough, the test also adds a violation of each kind to the same history
// and requires that the checker reports it.
func TestDrawnDeployments(t *testing.T) {
	for _, seed := range playedSeeds(t, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			drawn := scenario.DrawShort(seed)
			r, err := Play(context.Background(), drawn, Options{Program: programPath, Dispatchers: 3, Seed: seed, Deployment: seed, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Errorf("%s: %s", describeFaults(drawn), b)
			}
			if r.Crashes > 0 || r.Requests == 0 || r.ByStatus["served"] == 0 {
				t.Errorf("%s: %d crashes, %d requests, %v", describeFaults(drawn), r.Crashes, r.Requests, r.ByStatus)
			}
			plan := deployment.Draw(drawn.Zones, seed)
			if n := countEvents(r.events, history.LoadPolled); !plan.LoadPolls && n > 0 {
				t.Errorf("%d load polls although the settings allow none", n)
			}
			checkMutatedHistories(t, r.events, plan)
		})
	}
}

func describeFaults(s *scenario.Scenario) string {
	var out bytes.Buffer
	for _, f := range s.Faults {
		fmt.Fprintf(&out, "%s%s at %.1f, ", f.Action, f.Links, f.At)
	}
	return out.String()
}

func countEvents(events []history.Event, kind history.Kind) (n int) {
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// checkMutatedHistories adds events that break one rule to a history without violations, for one rule after the other,
// and requires that the checker reports the violation. The history's length seeds the choice of the events that are
// copied.
func checkMutatedHistories(t *testing.T, events []history.Event, plan *deployment.Deployment) {
	t.Helper()
	rules := plan.Rules(func(string) int { return 0 })
	rng := rand.New(rand.NewPCG(uint64(len(events)), 1))
	wentDown := func(d int) bool {
		return slices.ContainsFunc(events, func(e history.Event) bool { return e.Kind == history.ProcessDown && e.Dispatcher == d })
	}
	pickEvent := func(what string, ok func(e history.Event) bool) (history.Event, bool) {
		var candidates []history.Event
		for _, e := range events {
			if ok(e) {
				candidates = append(candidates, e)
			}
		}
		if len(candidates) == 0 {
			t.Logf("the history has no event to make %s from", what)
			return history.Event{}, false
		}
		return candidates[rng.IntN(len(candidates))], true
	}
	copyLater := func(e history.Event, d time.Duration, kind history.Kind) history.Event {
		e.At, e.SentAt, e.Kind, e.LinkHealthy = e.At+d, 0, kind, true
		return e
	}
	// afterExemptions is the delay of the copied events, long enough that no fault excuses a violation at that time.
	afterExemptions := time.Minute
	for rule, mutate := range map[string]func() ([]history.Event, bool){
		history.RuleOrderlyDrain: func() ([]history.Event, bool) {
			withdrawn, ok := pickEvent("a send to a draining replica", func(e history.Event) bool { return e.Kind == history.EndpointWithdrawn })
			secondWithdrawal := copyLater(withdrawn, afterExemptions, history.EndpointWithdrawn)
			return []history.Event{secondWithdrawal, copyLater(secondWithdrawal, rules.DrainWithin+rules.Slack+1, history.AttemptArrived)}, ok
		},
		history.RuleSingleExecution: func() ([]history.Event, bool) {
			execution, ok := pickEvent("a second execution", func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && slices.Contains(rules.NonIdempotent, e.Class)
			})
			return []history.Event{copyLater(execution, afterExemptions, history.ExecutionStarted)}, ok
		},
		history.RuleSingleResponse: func() ([]history.Event, bool) {
			sent, ok := pickEvent("a lost response", func(e history.Event) bool { return e.Kind == history.RequestSent && !wentDown(e.Dispatcher) })
			lost := copyLater(sent, afterExemptions, history.RequestSent)
			lost.Request, lost.Until = "lost", lost.At+time.Second
			return []history.Event{lost, copyLater(lost, 2*time.Second, history.ClientGaveUp)}, ok
		},
		history.RuleReservationRelease: func() ([]history.Event, bool) {
			reservation, ok := pickEvent("a reservation held too long", func(e history.Event) bool { return e.Kind == history.StateReserved && !wentDown(e.Dispatcher) })
			reservation.Request = "pinned"
			attempt := copyLater(reservation, afterExemptions, history.AttemptArrived)
			return []history.Event{attempt, copyLater(attempt, 1, history.StateReserved), copyLater(attempt, 2, history.AttemptEnded),
				copyLater(attempt, 3+rules.ReleaseAfter+rules.Slack, history.StateReleased)}, ok
		},
	} {
		added, ok := mutate()
		if !ok {
			continue
		}
		got := history.Check(append(slices.Clone(events), added...), rules)
		if !slices.ContainsFunc(got, func(b history.Violation) bool { return b.Rule == rule && b.At >= added[0].At }) {
			t.Errorf("the checker does not report a violation of %s", rule)
		}
	}
}
