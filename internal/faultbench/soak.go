package faultbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
)

// SoakOptions configures a soak.
type SoakOptions struct {
	Program      string // path of the binary of rampspread-faults
	Dispatchers  int
	Seed         uint64
	Seconds      float64
	QuietSeconds float64 // seconds without a fault at the start; 0 means 2.5
	// Pressure adds clients that hold the dispatchers' memory and descriptors or take their time.
	Pressure bool
	MemoryMB int      // limit of a dispatcher; 0 means one drawn from the seed with Pressure, and 192 without
	Faults   []string // kinds of fault to draw from; all if empty
	// Dir is the folder for the processes' files and logs. If it is empty, Soak uses a temporary folder and removes it
	// if nothing was wrong.
	Dir string
	Log *slog.Logger
}

// SoakReport is the result of a soak. Its JSON encoding is the last line that Print writes.
type SoakReport struct {
	Seed        uint64         `json:"seed"`
	RulesBroken int            `json:"rules_broken"`
	Crashes     int            `json:"crashes"`
	Violations  int            `json:"violations"` // number of violations that the program's own checks logged
	Faults      map[string]int `json:"faults"`     // number of faults in the plan, by kind
	Requests    int            `json:"asked"`
	Served      float64        `json:"served_share"`
	ByStatus    map[string]int `json:"by_status"`
	ByRule      map[string]int `json:"by_rule,omitempty"`
	Options     string         `json:"options"`

	text bytes.Buffer // one line for each violation, and the folder with the files if it is kept
}

// Good reports whether no rule was broken, no process crashed and the program logged no violation.
func (r *SoakReport) Good() bool { return r.RulesBroken == 0 && r.Crashes == 0 && r.Violations == 0 }

// Print writes the violations, and as its last line one JSON object.
func (r *SoakReport) Print(w io.Writer) error {
	if _, err := w.Write(r.text.Bytes()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// soakOptions draws the options with which a soak runs its dispatchers.
func soakOptions(o SoakOptions) Options {
	rng := rand.New(rand.NewPCG(o.Seed, 0x0b7))
	run := Options{Program: o.Program, Dispatchers: o.Dispatchers, Seed: o.Seed, Dir: o.Dir, Log: o.Log, Strict: true, Sockets: 256,
		Handover: rng.IntN(2) == 0, SkipViews: true, MemoryMB: o.MemoryMB, MeasureUsage: o.Pressure, CheckLimits: o.Pressure}
	switch rng.IntN(3) {
	case 0:
		run.Deployment = o.Seed
	case 1:
		run.Fleet, run.IdempotentRequests, run.State = o.Dispatchers >= 3, o.Dispatchers >= 3, true
	}
	if o.Pressure && o.MemoryMB == 0 {
		run.MemoryMB = drawMemory(o.Seed)
	}
	if o.Pressure {
		run.Sockets = 1024
	}
	return run
}

// Memory limits in MB that a soak with pressure draws from: the least and the most of the operators' pages, and one
// between.
const (
	leastMemoryMB  = 32
	middleMemoryMB = 64
)

func drawMemory(seed uint64) int {
	limits := []int{leastMemoryMB, middleMemoryMB, defaultMemoryMB}
	return limits[rand.New(rand.NewPCG(seed, pressureStream+1)).IntN(len(limits))]
}

// describe returns a text with the options in which soaks differ.
func (o Options) describe() string {
	text := fmt.Sprintf("handover=%t fleet=%t filings=%t deployment=%d", o.Handover, o.Fleet, o.IdempotentRequests, o.Deployment)
	if o.CheckLimits {
		text += fmt.Sprintf(" memory_mb=%d", o.MemoryMB)
	}
	return text
}

// Soak plays a drawn plan of overlapping faults, and checks the rules against what the simulated parties saw on their
// sockets.
func Soak(ctx context.Context, o SoakOptions) (*SoakReport, error) {
	plan, faultCounts, err := drawPlan(o)
	if err != nil {
		return nil, err
	}
	run := soakOptions(o)
	temporary := o.Dir == ""
	if temporary {
		if run.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	report, err := Play(ctx, plan, run)
	if err != nil {
		return nil, err
	}
	out := &SoakReport{Seed: o.Seed, RulesBroken: report.RulesBroken, Crashes: report.Crashes, Faults: faultCounts, Requests: report.Requests,
		Served: report.ServedShare, ByStatus: report.ByStatus, ByRule: map[string]int{}, Options: strings.TrimSpace(run.describe() + " " + plan.About)}
	for _, b := range report.violations {
		out.ByRule[b.Rule]++
		fmt.Fprintln(&out.text, b)
	}
	if f := report.Idempotency; f != nil && f.ExecutedTwice > 0 {
		out.RulesBroken += f.ExecutedTwice
		out.ByRule["filing_twice"] = f.ExecutedTwice
	}
	if out.Violations, err = countViolations(run.Dir, &out.text); err != nil {
		return nil, err
	}
	if temporary && out.Good() {
		os.RemoveAll(run.Dir)
		return out, nil
	}
	fmt.Fprintln(&out.text, "files:", run.Dir)
	return out, writeHistory(run.Dir, plan, report.events)
}

// writeHistory writes the plan and the history of a soak to the folder with the processes' logs.
func writeHistory(dir string, plan *scenario.Scenario, events []history.Event) error {
	text, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "plan.json"), text, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	defer f.Close()
	return history.Write(f, events)
}

// countViolations counts the violations that the dispatchers' own checks have logged, and copies their log lines.
func countViolations(dir string, to io.Writer) (n int, err error) {
	logs, err := filepath.Glob(filepath.Join(dir, "n*.log"))
	if err != nil {
		return 0, fmt.Errorf("soak: %w", err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return n, fmt.Errorf("soak: %w", err)
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte("event=violation ")) {
				n++
				fmt.Fprintf(to, "%s: %s", filepath.Base(path), line)
			}
		}
	}
	return n, nil
}
