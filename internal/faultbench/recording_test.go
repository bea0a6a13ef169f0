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

// recordingsEnv is the environment variable with the folder to which TestRecordHistories writes. Without it the test is
// skipped.
const recordingsEnv = "RAMPSPREAD_RECORDINGS"

// TestRecordHistories plays scenarios, soaks and soaks of the program's mutants one after the other, and writes their
// histories for the golden test of package history. The histories in the testdata of that package are not recorded
// again, since they show whether a change of the checker changes its verdicts. Violations found while recording are
// only logged: a mutant may break rules, but need not do so with every seed.
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

// recordedSeeds are the seeds of soaks with a fleet, with replicas that start and drain, and with a drawn deployment in
// which some replicas drop repeated requests.
var recordedSeeds = []uint64{3, 7, 22}

// mutantSeeds lists, for each mutant, the seeds of soaks with faults that may make it break a rule. The first history
// that breaks a rule is written, or the last one if none does.
var mutantSeeds = map[string][]uint64{
	"an attempt after the client's close":         {11, 29, 25},
	"a resend of what may have run":               {8, 19, 30},
	"a send after a drain was told":               {7, 23, 22},
	"a write that counts as out once it was sent": {34, 3, 8},
	"a drain that goes on taking requests":        {13, 4, 33},
	"a close over a read request":                 {20, 37, 7},
}

// recordSoak records a soak and returns the number of broken rules.
func recordSoak(t *testing.T, path, program string, seed uint64, mutant string) int {
	t.Helper()
	o := SoakOptions{Program: program, Dispatchers: 5, Seed: seed, Seconds: 15, Dir: t.TempDir()}
	s, _, err := drawPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	return record(t, path, s, soakOptions(o), mutant)
}

// record plays a scenario, writes its history and rules, and returns the number of broken rules.
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
	rules := plan.Rules(func(name string) int { return c.ReplicaByName(name).Zone })
	rules.RandomArrivals = o.Strict
	var replicas []string
	for _, r := range c.Replicas {
		replicas = append(replicas, r.Name)
	}
	r := &historytest.Recording{Events: report.events, Play: historytest.Play{Scenario: s.Name, Seed: o.Seed, Dispatchers: o.Dispatchers,
		Seconds: s.Seconds, Mutant: mutant, Options: o.describe(), Strict: o.Strict, Rules: historytest.StoredRules(rules, replicas)}}
	if err := historytest.Write(path+".jsonl.gz", r); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d events, %d rules broken, %s", filepath.Base(path), len(report.events), report.RulesBroken, o.describe())
	for _, b := range report.violations {
		t.Log(b)
	}
	return report.RulesBroken
}
