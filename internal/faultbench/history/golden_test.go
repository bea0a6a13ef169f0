package history_test

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/history/historytest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// minRecordings counts the recordings of three scenarios, of three soaks, and of one soak for each of six mutants of
// the program.
const minRecordings = 12

// Guards against unintended changes of the checker's verdicts: for each recording in testdata/recordings, the counts by
// rule and all violations must equal those in testdata/judgements.
func TestGoldenJudgements(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "recordings", "*.jsonl.gz"))
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) < minRecordings {
		t.Fatalf("%d recordings, want at least %d", len(paths), minRecordings)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl.gz")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := historytest.Read(path)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Events) == 0 {
				t.Fatal("no events")
			}
			var out strings.Builder
			for _, v := range variants {
				v.writeJudgement(t, &out, r)
			}
			compareWithGolden(t, filepath.Join("testdata", "judgements", name+".jsonl"), out.String())
		})
	}
}

// compareWithGolden compares a text with a file and prints only the first line that differs, since both are long.
func compareWithGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		g, w := lineAt(gotLines, i), lineAt(wantLines, i)
		if g != w {
			t.Errorf("%s: %d lines, want %d; first difference at line %d: got\n%s\nwant\n%s", path,
				len(gotLines), len(wantLines), i+1, g, w)
			return
		}
	}
}

// lineAt returns line i, or "(no line)" if there are fewer lines.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(no line)"
}

// variant is one combination of rules and modified events with which a recording is checked. Unmodified histories break
// few rules; the other variants break many, so that they exercise each rule and each exemption.
type variant struct {
	name   string
	rules  func(*historytest.Recording) history.Rules
	events func([]history.Event) []history.Event
}

var variants = []variant{
	{"as recorded", recordedRules, unchanged},
	{"without exemptions", recordedRules, withoutExemptions},
	{"tight rules", tightRules, unchanged},
	{"tight rules, without exemptions", tightRules, withoutExemptions},
	{"keyed classes", deduplicatedRules, unchanged},
	{"late ends", recordedRules, lateEnds},
	{"damaged", recordedRules, damaged},
	{"damaged, without exemptions", recordedRules, damagedWithoutExemptions},
}

func unchanged(events []history.Event) []history.Event { return slices.Clone(events) }

func recordedRules(r *historytest.Recording) history.Rules { return r.Play.Rules.HistoryRules() }

// tightRules returns rules with narrower limits than those the program must meet, under which no class may run twice.
func tightRules(r *historytest.Recording) history.Rules {
	rules := r.Play.Rules.HistoryRules()
	rules.Slack = -300 * time.Millisecond
	rules.AnswerSlack = -700 * time.Millisecond
	rules.DrainWithin = 350 * time.Millisecond
	rules.ReleaseAfter = 310 * time.Millisecond
	rules.OverloadMultiple /= 8
	rules.RandomArrivals = !rules.RandomArrivals
	rules.NonIdempotent = classesOf(r.Events)
	rules.Deduplicated = nil
	return rules
}

// deduplicatedRules returns rules under which, for a short window, each replica drops only its own repeats of any
// class.
func deduplicatedRules(r *historytest.Recording) history.Rules {
	rules := r.Play.Rules.HistoryRules()
	rules.NonIdempotent, rules.Deduplicated = nil, map[string]history.Deduplication{}
	for _, class := range classesOf(r.Events) {
		rules.Deduplicated[class] = history.Deduplication{
			Window:     20 * time.Millisecond,
			SameDomain: func(a, b string) bool { return a == b },
		}
	}
	rules.Slack = 0
	return rules
}

// classesOf returns the sorted classes of the requests that arrived at replicas.
func classesOf(events []history.Event) []string {
	classes := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.AttemptArrived {
			classes[e.Class] = true
		}
	}
	return slices.Sorted(maps.Keys(classes))
}

// withoutExemptions returns the events without anything that exempts an event from a rule: it removes process downtimes
// and marks all links as healthy.
func withoutExemptions(events []history.Event) []history.Event {
	events = slices.Clone(events)
	events = slices.DeleteFunc(events, func(e history.Event) bool { return e.Kind == history.ProcessDown })
	for i := range events {
		events[i].LinkHealthy = true
	}
	return events
}

// lateEnds delays the ends of some attempts, so that an attempt is still outstanding when the request's next one
// arrives.
func lateEnds(events []history.Event) []history.Event {
	events = slices.Clone(events)
	for i, e := range events {
		if e.Kind == history.AttemptEnded && i%3 == 0 {
			events[i].At += 400 * time.Millisecond
		}
	}
	return events
}

// damaged changes every 29th event (interval) to another kind, in the order of kinds, to break rules that no run
// breaks.
func damaged(events []history.Event) []history.Event {
	const interval = 29
	kinds := []history.Kind{
		history.ExtraBytesReceived, history.ForeignDataReceived, history.ClientGaveUp, history.ConnectionDropped,
		history.PartialRequestEnded, history.ConnectionLingers, history.ClientClosed, history.ResponseReceived,
		history.EndpointWithdrawn, history.EndpointReady, history.StateReserved, history.StateReleased, history.AttemptEnded,
		history.ExecutionStarted, history.AttemptArrived, history.ProcessDown, history.ReplicaStarted,
	}
	events = slices.Clone(events)
	for i := interval; i < len(events); i += interval {
		e := &events[i]
		e.Kind = kinds[i/interval%len(kinds)]
		e.Elapsed = cmp.Or(e.Elapsed, 4*time.Second)
		switch e.Kind {
		case history.ResponseReceived:
			e.Status, e.MaxEventDelay = 200, time.Second
			if i%2 == 0 {
				e.Status = 429
			}
		case history.EndpointWithdrawn, history.EndpointReady:
			e.Version = uint64(i)
		case history.AttemptArrived:
			e.AnnouncedTimeout = 20 * time.Second
		case history.ReplicaStarted:
			e.Weight, e.Until = 0.05, e.At+5*time.Second
		case history.ProcessDown:
			e.Until = e.At + 300*time.Millisecond
			e.Class = []string{history.DownKilled, history.DownEnded, history.DownPaused}[i%3]
		}
	}
	return events
}

// damagedWithoutExemptions applies damaged, then withoutExemptions.
func damagedWithoutExemptions(events []history.Event) []history.Event {
	return withoutExemptions(damaged(events))
}

// Types of the lines of the files in testdata/judgements. The JSON keys are part of the golden files.
type (
	countLine struct {
		Variant string         `json:"variant"`
		Check   string         `json:"check"`
		Counts  map[string]int `json:"counts"`
	}
	violationLine struct {
		Rule    string        `json:"rule"`
		At      time.Duration `json:"at_ns"`
		Request string        `json:"request,omitempty"`
		Replica string        `json:"replica,omitempty"`
		Text    string        `json:"text"`
		Line    string        `json:"line,omitempty"` // Violation.String, only in a check's first line
	}
	staleLine struct {
		Stale      string        `json:"stale"` // request ID
		At         time.Duration `json:"at_ns"`
		Dispatcher int           `json:"dispatcher"`
		Replica    string        `json:"replica"`
	}
)

// writeJudgement checks the recording in this variant and writes the results as JSON lines.
func (v variant) writeJudgement(t *testing.T, out *strings.Builder, r *historytest.Recording) {
	t.Helper()
	rules, events := v.rules(r), v.events(r.Events)
	original := slices.Clone(events)
	violations := history.Check(events, rules)
	if !slices.IsSortedFunc(violations, func(a, b history.Violation) int { return cmp.Compare(a.At, b.At) }) {
		t.Errorf("%s: the violations are not sorted by time", v.name)
	}
	slices.SortFunc(violations, func(a, b history.Violation) int { // the checker leaves violations of equal time unordered
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Text, b.Text))
	})
	v.writeViolations(t, out, "rules", violations)
	v.writeViolations(t, out, "strict rules", history.CheckStrict(events, rules))
	stale := history.StaleAttempts(events, rules.DrainWithin)
	writeLine(t, out, countLine{v.name, "stale", map[string]int{"stale": len(stale)}})
	for _, e := range stale {
		writeLine(t, out, staleLine{e.Request, e.At, e.Dispatcher, e.Replica})
	}
	if !slices.Equal(original, events) {
		t.Errorf("%s: the checker modified the events passed to it", v.name)
	}
}

func (v variant) writeViolations(t *testing.T, out *strings.Builder, check string, violations []history.Violation) {
	t.Helper()
	counts := map[string]int{}
	for _, violation := range violations {
		counts[violation.Rule]++
	}
	writeLine(t, out, countLine{v.name, check, counts})
	for i, violation := range violations {
		line := violationLine{Rule: violation.Rule, At: violation.At, Request: violation.Request, Replica: violation.Replica, Text: violation.Text}
		if i == 0 {
			line.Line = fmt.Sprint(violation)
		}
		writeLine(t, out, line)
	}
}

func writeLine(t *testing.T, out *strings.Builder, line any) {
	t.Helper()
	text, err := json.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "%s\n", text)
}
