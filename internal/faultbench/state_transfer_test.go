package faultbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

var transferredState = regexp.MustCompile(`event=handover prefixes=(\d+) endpoints=(\d+)`)

// Processes that are restarted gracefully or killed start with the state that the earlier process learned; no rule is broken by it.
func TestHandover(t *testing.T) {
	for _, do := range []string{"term", "kill"} {
		t.Run(do, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			s := &scenario.Scenario{Name: do, Seconds: 13, Rate: 30, Zones: 1, PrefillReplicas: 3, DecodeReplicas: 3, Faults: []scenario.Fault{{At: 7, Action: do, Fraction: 1, SpareFirst: 1, Duration: 0.5}}}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 2, Seed: 1, Handover: true, Dir: dir})
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("n%d.log", 1)))
			if err != nil {
				t.Fatal(err)
			}
			m := transferredState.FindSubmatch(text)
			if m == nil {
				t.Fatalf("nothing was handed over: %s", text)
			}
			texts, _ := strconv.Atoi(string(m[1]))
			if texts < 10 || string(m[2]) != "6" || !r.Good() {
				t.Errorf("%d texts, %s servers, %v", texts, m[2], r.violations)
			}
		})
	}
}

// Most members are killed at once and lose their state: those that start learn from the few that know, and pass it on; no donor
// is overloaded and no rule is broken. When part of them is cut off they go on by themselves.
func TestBootstrapFromPeers(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(map[bool]string{false: "restart", true: "cut off"}[cut], func(t *testing.T) {
			t.Parallel()
			s := &scenario.Scenario{Name: "restart", Seconds: 14, Rate: 30, Zones: 1, PrefillReplicas: 3, DecodeReplicas: 3, Faults: []scenario.Fault{{At: 7, Action: "kill", Fraction: 0.8, SpareFirst: 1, Duration: 0.3, LoseState: true}}}
			if cut {
				s.Faults = append(s.Faults, scenario.Fault{At: 6.5, Action: "links", Links: "peers", Fraction: 0.4, Duration: 5})
			}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 5, Seed: 1, Fleet: true, Bootstrap: true, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Good() {
				t.Error(r.violations)
			}
			if taken := r.BootstrapsApplied; taken < 1 || !cut && taken < 4 {
				t.Errorf("%v gifts were taken by those that run at the end", taken)
			}
		})
	}
}
