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

// A process that follows a terminated or killed one must start with the state that the earlier process learned, and
// must break no rule.
func TestHandover(t *testing.T) {
	for _, action := range []string{"term", "kill"} {
		t.Run(action, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			s := &scenario.Scenario{Name: action, Seconds: 13, Rate: 30, Zones: 1, PrefillReplicas: 3, DecodeReplicas: 3, Faults: []scenario.Fault{{At: 7, Action: action, Fraction: 1, SpareFirst: 1, Duration: 0.5}}}
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
				t.Fatalf("no state was transferred: %s", text)
			}
			prefixes, _ := strconv.Atoi(string(m[1]))
			if prefixes < 10 || string(m[2]) != "6" || !r.Good() {
				t.Errorf("%d prefixes, %s endpoints, %v", prefixes, m[2], r.violations)
			}
		})
	}
}

// Most members are killed at once and lose their state. Those that start must take learned state from the few that have
// it, and pass it on, without overloading a donor and without breaking a rule. Members that are cut off must go on
// without it.
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
			if applied := r.BootstrapsApplied; applied < 1 || !cut && applied < 4 {
				t.Errorf("the last processes applied %v transfers of state", applied)
			}
		})
	}
}
