// Package historytest reads and writes recordings: histories of runs of the fault-injection test bench, together with
// the rules that they were checked against. Golden tests compare the checker's results on these recordings, which were
// recorded once and are never recorded again.
//
// A recording is one gzip file of JSON lines. The first line describes the run and its rules, with the keys defined
// here; each further line is one event, in the stored form of a history. The package is for tests only. Its functions
// share no state.
package historytest

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"rampspread/internal/faultbench/history"
)

// Recording is the history of one run and what the checker needs to check it.
type Recording struct {
	Play   Play
	Events []history.Event // in the order in which they were recorded
}

// Play describes the run that was recorded. Durations are in nanoseconds.
type Play struct {
	Scenario    string  `json:"scenario"` // scenario name, or "soak"
	Seed        uint64  `json:"seed"`
	Dispatchers int     `json:"dispatchers"`
	Seconds     float64 `json:"seconds"`
	Mutant      string  `json:"mutant,omitempty"` // fault built into the program, or empty for the unmodified program
	Options     string  `json:"options"`
	Strict      bool    `json:"strict"` // the stricter rules were checked too
	Rules       Rules   `json:"rules"`
}

// Rules is the stored form of the checker's rules.
type Rules struct {
	AnswerSlack      time.Duration            `json:"answer_slack_ns"`
	DrainWithin      time.Duration            `json:"drain_within_ns"`
	ReleaseAfter     time.Duration            `json:"release_after_ns"`
	OverloadMultiple float64                  `json:"fall_multiple"`
	OverloadWindow   time.Duration            `json:"fall_span_ns"`
	InitialCapacity  float64                  `json:"cold_from"`
	LongestDeadline  time.Duration            `json:"longest_deadline_ns"`
	NonIdempotent    []string                 `json:"unsafe_classes"`
	Deduplicated     map[string]Deduplication `json:"keyed_classes"`
	Slack            time.Duration            `json:"slack_ns"`
	RandomArrivals   bool                     `json:"chance"`
}

// Deduplication is the stored form of a class whose repeats some replicas drop.
type Deduplication struct {
	Window      time.Duration     `json:"window_ns"`
	AllReplicas bool              `json:"all_replicas"`
	Domains     map[string]string `json:"domains"` // domain by replica; replicas of one domain drop each other's repeats
}

// HistoryRules converts the rules to the form that the checker takes.
func (r Rules) HistoryRules() history.Rules {
	out := history.Rules{
		AnswerSlack:      r.AnswerSlack,
		DrainWithin:      r.DrainWithin,
		ReleaseAfter:     r.ReleaseAfter,
		OverloadMultiple: r.OverloadMultiple,
		OverloadWindow:   r.OverloadWindow,
		InitialCapacity:  r.InitialCapacity,
		LongestDeadline:  r.LongestDeadline,
		NonIdempotent:    r.NonIdempotent,
		Deduplicated:     map[string]history.Deduplication{},
		Slack:            r.Slack,
		RandomArrivals:   r.RandomArrivals,
	}
	for class, d := range r.Deduplicated {
		out.Deduplicated[class] = history.Deduplication{Window: d.Window, AllReplicas: d.AllReplicas,
			SameDomain: func(a, b string) bool { return d.Domains[a] == d.Domains[b] }}
	}
	return out
}

// StoredRules converts rules to their stored form. The named replicas are those whose deduplication domains are stored.
func StoredRules(r history.Rules, replicas []string) Rules {
	out := Rules{
		AnswerSlack:      r.AnswerSlack,
		DrainWithin:      r.DrainWithin,
		ReleaseAfter:     r.ReleaseAfter,
		OverloadMultiple: r.OverloadMultiple,
		OverloadWindow:   r.OverloadWindow,
		InitialCapacity:  r.InitialCapacity,
		LongestDeadline:  r.LongestDeadline,
		NonIdempotent:    r.NonIdempotent,
		Deduplicated:     map[string]Deduplication{},
		Slack:            r.Slack,
		RandomArrivals:   r.RandomArrivals,
	}
	for class, d := range r.Deduplicated {
		out.Deduplicated[class] = Deduplication{d.Window, d.AllReplicas, domains(d, replicas)}
	}
	return out
}

// domains returns the deduplication domain of each replica. A domain has the name of its first replica.
func domains(d history.Deduplication, replicas []string) map[string]string {
	out := map[string]string{}
	for _, name := range replicas {
		firstInDomain := slices.IndexFunc(replicas, func(other string) bool { return other == name || d.SameDomain(other, name) })
		out[name] = replicas[firstInDomain]
	}
	return out
}

// Write writes a recording to a file.
func Write(path string, r *Recording) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	defer f.Close()
	compressed, err := gzip.NewWriterLevel(f, gzip.BestCompression)
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	if err := json.NewEncoder(compressed).Encode(r.Play); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	if err := history.Write(compressed, r.Events); err != nil {
		return err
	}
	if err := compressed.Close(); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// Read reads a recording from a file. An unknown key is an error.
func Read(path string) (*Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	defer f.Close()
	decompressed, err := gzip.NewReader(bufio.NewReader(f))
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	lines := json.NewDecoder(decompressed)
	lines.DisallowUnknownFields()
	out := &Recording{}
	if err := lines.Decode(&out.Play); err != nil {
		return nil, fmt.Errorf("recording %s: %w", path, err)
	}
	for {
		var e history.Event
		err := lines.Decode(&e)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("recording %s: %w", path, err)
		}
		out.Events = append(out.Events, e)
	}
}
