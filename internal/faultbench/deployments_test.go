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

// playedSeeds are the first seeds: a few, or as many as RAMPSPREAD_DEPLOYMENTS says.
func playedSeeds(t *testing.T, few int) (out []uint64) {
	n, err := strconv.Atoi(cmp.Or(os.Getenv("RAMPSPREAD_DEPLOYMENTS"), strconv.Itoa(few)))
	if err != nil {
		t.Fatal(err)
	}
	for s := range n {
		out = append(out, uint64(s+1))
	}
	return out
}

// Other deployments than the default one, drawn from fixed seeds, with drains while watches are lost, hanging replicas,
// kills, SIGTERM and moves: no rule is broken and nothing crashes. The checker knows only what the simulated parties saw on
// their sockets, and is shown to find a violation of each kind in that same history.
func TestDrawnDeployments(t *testing.T) {
	for _, seed := range playedSeeds(t, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := scenario.DrawDay(seed)
			r, err := Play(context.Background(), day, Options{Program: programPath, Dispatchers: 3, Seed: seed, Deployment: seed, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Errorf("%s: %s", describeFaults(day), b)
			}
			if r.Crashes > 0 || r.Requests == 0 || r.ByStatus["served"] == 0 {
				t.Errorf("%s: %d crashes, %d asked, %v", describeFaults(day), r.Crashes, r.Requests, r.ByStatus)
			}
			plan := deployment.Draw(day.Zones, seed)
			if n := countEvents(r.events, history.LoadPolled); !plan.LoadPolls && n > 0 {
				t.Errorf("%d probes where the settings allow none", n)
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

// checkMutatedHistories breaks one rule of each kind in a history that kept them, at a place drawn by its length, and
// expects the checker to find it.
func checkMutatedHistories(t *testing.T, events []history.Event, plan *deployment.Deployment) {
	t.Helper()
	rules := plan.Rules(func(string) int { return 0 })
	rng := rand.New(rand.NewPCG(uint64(len(events)), 1))
	blamed := func(d int) bool {
		return slices.ContainsFunc(events, func(e history.Event) bool { return e.Kind == history.ProcessDown && e.Dispatcher == d })
	}
	find := func(what string, ok func(e history.Event) bool) (history.Event, bool) {
		var at []history.Event
		for _, e := range events {
			if ok(e) {
				at = append(at, e)
			}
		}
		if len(at) == 0 {
			t.Logf("no place for %s on this day", what)
			return history.Event{}, false
		}
		return at[rng.IntN(len(at))], true
	}
	later := func(e history.Event, d time.Duration, kind history.Kind) history.Event {
		e.At, e.SentAt, e.Kind, e.LinkHealthy = e.At+d, 0, kind, true
		return e
	}
	long := time.Minute // after all that can excuse it
	for rule, mutate := range map[string]func() ([]history.Event, bool){
		history.RuleOrderlyDrain: func() ([]history.Event, bool) {
			told, ok := find("a send to a leaving server", func(e history.Event) bool { return e.Kind == history.EndpointWithdrawn })
			gone := later(told, long, history.EndpointWithdrawn)
			return []history.Event{gone, later(gone, rules.DrainWithin+rules.Slack+1, history.AttemptArrived)}, ok
		},
		history.RuleSingleExecution: func() ([]history.Event, bool) {
			ran, ok := find("a second run", func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && slices.Contains(rules.NonIdempotent, e.Class)
			})
			return []history.Event{later(ran, long, history.ExecutionStarted)}, ok
		},
		history.RuleSingleResponse: func() ([]history.Event, bool) {
			asked, ok := find("a lost answer", func(e history.Event) bool { return e.Kind == history.RequestSent && !blamed(e.Dispatcher) })
			lost := later(asked, long, history.RequestSent)
			lost.Request, lost.Until = "lost", lost.At+time.Second
			return []history.Event{lost, later(lost, 2*time.Second, history.ClientGaveUp)}, ok
		},
		history.RuleReservationRelease: func() ([]history.Event, bool) {
			held, ok := find("a state held too long", func(e history.Event) bool { return e.Kind == history.StateReserved && !blamed(e.Dispatcher) })
			held.Request = "pinned"
			came := later(held, long, history.AttemptArrived)
			return []history.Event{came, later(came, 1, history.StateReserved), later(came, 2, history.AttemptEnded),
				later(came, 3+rules.ReleaseAfter+rules.Slack, history.StateReleased)}, ok
		},
	} {
		added, ok := mutate()
		if !ok {
			continue
		}
		got := history.Check(append(slices.Clone(events), added...), rules)
		if !slices.ContainsFunc(got, func(b history.Violation) bool { return b.Rule == rule && b.At >= added[0].At }) {
			t.Errorf("the checker does not see a breach of %s", rule)
		}
	}
}
