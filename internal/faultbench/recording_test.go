package faultbench

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history/historytest"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/faultbench/scenario"
)

// recordingsEnv names the folder that TestRecordHistories writes to. Without it the test is skipped.
const recordingsEnv = "RAMPSPREAD_RECORDINGS"

// TestRecordHistories plays scenarios, soaks and soaks of the program's mutants one after the other, and keeps their
// histories for the golden test of package history. Those in its testdata were made once; a checker that is changed
// is judged by them, so they aren't made anew. The judgements of the play itself are logged and nothing more: a
// mutant may break rules, and need not within one seed.
func TestRecordHistories(t *testing.T) {
	dir := os.Getenv(recordingsEnv)
	if dir == "" {
		t.Skip(recordingsEnv + " is not set")
	}
	for _, name := range []string{"kill-one", "roll", "cut-zone"} {
		t.Run(name, func(t *testing.T) {
			s, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			record(t, filepath.Join(dir, name), s, Options{Program: programPath, Dispatchers: 3, Seed: 1, RateFactor: 0.5}, "")
		})
	}
	for _, seed := range recordedSeeds {
		name := fmt.Sprintf("soak-%d", seed)
		t.Run(name, func(t *testing.T) {
			recordSoak(t, filepath.Join(dir, name), buildFaultsProgram(t, ""), seed, "")
		})
	}
	for name, changes := range programMutants {
		t.Run(name, func(t *testing.T) {
			program := buildFaultsProgram(t, writeOverlay(t, changes))
			path := filepath.Join(dir, "mutant-"+strings.ReplaceAll(strings.ReplaceAll(name, " ", "-"), "'", ""))
			for _, seed := range mutantSeeds[name] {
				if recordSoak(t, path, program, seed, name) > 0 {
					return
				}
			}
		})
	}
}

// recordedSeeds draw soaks with a fleet, with replicas that start and drain, and with a drawn deployment whose
// repeats some replicas drop.
var recordedSeeds = []uint64{3, 7, 22}

// mutantSeeds draw soaks with the faults that may show a mutant. The first history that breaks a rule is kept, or
// else the last.
var mutantSeeds = map[string][]uint64{
	"an attempt after the client's close":         {11, 29, 25},
	"a resend of what may have run":               {8, 19, 30},
	"a send after a drain was told":               {7, 23, 22},
	"a write that counts as out once it was sent": {34, 3, 8},
	"a drain that goes on taking requests":        {13, 4, 33},
	"a close over a read request":                 {20, 37, 7},
}

// recordSoak records a soak and says how many rules it broke.
func recordSoak(t *testing.T, path, program string, seed uint64, mutant string) int {
	t.Helper()
	o := SoakOptions{Program: program, Dispatchers: 5, Seed: seed, Seconds: 15, Dir: t.TempDir()}
	s, _, err := drawPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	return record(t, path, s, soakOptions(o), mutant)
}

// record plays a scenario, writes its history and rules, and says how many rules it broke.
func record(t *testing.T, path string, s *scenario.Scenario, o Options, mutant string) int {
	t.Helper()
	o.Dir = cmp.Or(o.Dir, t.TempDir())
	report, err := Play(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	plan := deployment.Default(s.Zones)
	if o.Deployment != 0 {
		plan = deployment.Draw(s.Zones, o.Deployment)
	}
	c := replica.NewCluster(nil, plan.Rules(nil), s, o.Seed)
	rules := plan.Rules(func(name string) int { return c.Named(name).Zone })
	rules.RandomArrivals = o.Strict
	var replicas []string
	for _, r := range c.Replicas {
		replicas = append(replicas, r.Name)
	}
	r := &historytest.Recording{Events: report.events, Play: historytest.Play{Scenario: s.Name, Seed: o.Seed, Dispatchers: o.Dispatchers,
		Seconds: s.Seconds, Mutant: mutant, Options: o.describe(), Strict: o.Strict, Rules: historytest.Stored(rules, replicas)}}
	if err := historytest.Write(path+".jsonl.gz", r); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d events, %d rules broken, %s", filepath.Base(path), len(report.events), report.RulesBroken, o.describe())
	for _, b := range report.violations {
		t.Log(b)
	}
	return report.RulesBroken
}
