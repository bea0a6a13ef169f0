package faultbench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// programPath is the path of the rampspread binary, which TestMain builds once for all tests of the package.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faultbench-")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "rampspread")
	if out, err := exec.Command("go", "build", "-o", programPath, "rampspread/cmd/rampspread").CombinedOutput(); err != nil {
		os.Stderr.Write(out)
		os.RemoveAll(dir)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// shortScenario returns a built-in scenario cut to its first seconds. Its faults begin shift seconds earlier and last
// at most 3 s; faults that would end after the cut are dropped.
func shortScenario(t *testing.T, name string, seconds, shift float64) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds = seconds
	for i := range s.Faults {
		f := &s.Faults[i]
		f.At -= shift
		f.Duration = min(f.Duration, 3)
	}
	s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return f.At+f.Duration > seconds })
	return s
}

// Faults injected into real processes must break no rule and crash nothing, and their effect must show in the history.
// Served shares are not checked, since they depend on the machine's load.
func TestProcessesUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name      string
		seconds   float64
		fleet     bool
		hasEffect func(r *Report) bool
	}{
		{"kill-most", 9, false, func(r *Report) bool { return countDowntimes(r) == 2 }},
		{"pause-one", 9, true, func(r *Report) bool { return countDowntimes(r) == 1 }},
		// Leased tasks: no load poll arrives under a lease that a later one has replaced, and other members take over
		// the leases of a killed holder.
		{"kill-holder", 12, true, func(r *Report) bool {
			return countDowntimes(r) == 2 && r.LeasedPollRate > 0.5 && r.StaleLeasePolls == 0 && r.MaxLeasedPollGapS < 6
		}},
		{"split-voters", 12, true, func(r *Report) bool { return r.LeasedPollRate > 0 && r.StaleLeasePolls == 0 }},
		{"cut-zone", 9, false, func(r *Report) bool { return countDowntimes(r) == 0 && r.ByStatus["served"] > 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(context.Background(), shortScenario(t, c.name, c.seconds, 5), Options{Program: programPath, Dispatchers: 3, Seed: 1, Fleet: c.fleet, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			if r.Crashes > 0 || r.Requests == 0 || r.ByStatus["served"] == 0 || !c.hasEffect(r) {
				t.Errorf("%d crashes, %d requests, %v, %+v", r.Crashes, r.Requests, r.ByStatus, r.FleetTotals)
			}
			checkLastLine(t, r, "scenario", "seed", "dispatchers", "asked", "served_share", "worst_10s", "recovery_s", "rules_broken", "crashes")
			dir := t.TempDir()
			if err := r.WriteFiles(dir); err != nil {
				t.Fatal(err)
			}
			if written, _ := filepath.Glob(dir + "/*"); len(written) != 3 {
				t.Errorf("wrote %v, want 3 files", written)
			}
		})
	}
}

// checkLastLine checks that the last line of a printed report is a JSON object with these keys, and returns the whole
// printed text.
func checkLastLine(t *testing.T, report interface{ Print(io.Writer) error }, keys ...string) string {
	t.Helper()
	var out bytes.Buffer
	if err := report.Print(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var last map[string]any
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		if _, ok := last[key]; !ok {
			t.Errorf("the last line has no %s", key)
		}
	}
	return out.String()
}

func countDowntimes(r *Report) (n int) {
	for _, e := range r.events {
		if e.Kind == history.ProcessDown && e.Until > 0 {
			n++
		}
	}
	return n
}

// The shell commands that the demo prints must work.
func TestDemo(t *testing.T) {
	d, err := StartDemo(context.Background(), Options{Program: programPath, Dispatchers: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for i, want := range []string{"data: [DONE]", "SUCCESS serving"} {
		out, err := exec.Command("bash", "-c", d.Commands()[i]).Output()
		if err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%s: %q, %v", d.Commands()[i], out, err)
		}
	}
}

// Recovery time is the time from the end of the last fault to the first of three consecutive windows that reach 95% of
// the served share before the faults.
func TestRecovery(t *testing.T) {
	ones := slices.Repeat([]float64{1}, 20)
	for _, c := range []struct {
		low  []int   // indexes of the windows in which the served share is 0.9 instead of 1
		want float64 // seconds, or -1 if that share is not reached
	}{{nil, 0}, {[]int{10, 11}, 2}, {[]int{10, 13}, 4}, {[]int{10, 13, 16, 18}, -1}} {
		perSecond := slices.Clone(ones)
		for _, i := range c.low {
			perSecond[i] = 0.9
		}
		got := recovery(perSecond, ones, ones, 8, 10*time.Second)
		if c.want < 0 && got != nil || c.want >= 0 && (got == nil || *got != c.want) {
			t.Errorf("%v: %v, want %v", c.low, got, c.want)
		}
	}
}
