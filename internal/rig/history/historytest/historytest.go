// Package historytest reads and writes recordings: histories of plays of the fault-injection test bench, together with the rules that
// they were judged by. Golden tests hold the checker's judgements to recordings that were made once and are never made anew.
//
// A recording is one gzip file of JSON lines. The first line has the play and its rules, by keys that are fixed here; each other line is
// one event, in the stored form of a history. The package is for tests only. Its functions share no state.
package historytest

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"rampspread/internal/rig/history"
)

// Recording is one play's history and what the checker needs to judge it.
type Recording struct {
	Play   Play
	Events []history.Event // in the order in which they were recorded
}

// Play says what was played. Durations are in nanoseconds.
type Play struct {
	Scenario    string  `json:"scenario"` // a scenario's name, or "soak"
	Seed        uint64  `json:"seed"`
	Dispatchers int     `json:"dispatchers"`
	Seconds     float64 `json:"seconds"`
	Mutant      string  `json:"mutant,omitempty"` // the fault that was built into the program; none: the program as it is
	Options     string  `json:"options"`
	Strict      bool    `json:"strict"` // judged by the stricter rules too
	Rules       Rules   `json:"rules"`
}

// Rules are the checker's rules in a stored form.
type Rules struct {
	AnswerSlack  time.Duration    `json:"answer_slack_ns"`
	DrainWithin  time.Duration    `json:"drain_within_ns"`
	ReleaseAfter time.Duration    `json:"release_after_ns"`
	FallMultiple float64          `json:"fall_multiple"`
	FallSpan     time.Duration    `json:"fall_span_ns"`
	ColdFrom     float64          `json:"cold_from"`
	Longest      time.Duration    `json:"longest_deadline_ns"`
	Unsafe       []string         `json:"unsafe_classes"`
	Keyed        map[string]Keyed `json:"keyed_classes"`
	Slack        time.Duration    `json:"slack_ns"`
	Chance       bool             `json:"chance"`
}

// Keyed is the stored form of a class whose repeats some replicas drop.
type Keyed struct {
	Window  time.Duration     `json:"window_ns"`
	All     bool              `json:"all_replicas"`
	Domains map[string]string `json:"domains"` // by replica: those of one domain drop each other's repeats
}

// Checker is the form that the checker takes.
func (r Rules) Checker() history.Rules {
	out := history.Rules{AnswerSlack: r.AnswerSlack, DrainWithin: r.DrainWithin, ReleaseAfter: r.ReleaseAfter, OverloadMultiple: r.FallMultiple,
		OverloadWindow: r.FallSpan, InitialCapacity: r.ColdFrom, LongestDeadline: r.Longest, NonIdempotent: r.Unsafe, Slack: r.Slack, RandomArrivals: r.Chance,
		Deduplicated: map[string]history.Deduplication{}}
	for class, k := range r.Keyed {
		out.Deduplicated[class] = history.Deduplication{Window: k.Window, AllReplicas: k.All,
			SameDomain: func(a, b string) bool { return k.Domains[a] == k.Domains[b] }}
	}
	return out
}

// Stored is the stored form of rules over the named replicas.
func Stored(r history.Rules, replicas []string) Rules {
	out := Rules{AnswerSlack: r.AnswerSlack, DrainWithin: r.DrainWithin, ReleaseAfter: r.ReleaseAfter, FallMultiple: r.OverloadMultiple,
		FallSpan: r.OverloadWindow, ColdFrom: r.InitialCapacity, Longest: r.LongestDeadline, Unsafe: r.NonIdempotent, Slack: r.Slack, Chance: r.RandomArrivals,
		Keyed: map[string]Keyed{}}
	for class, k := range r.Deduplicated {
		domains := map[string]string{}
		for _, name := range replicas {
			domains[name] = name
			for _, earlier := range replicas {
				if k.SameDomain(earlier, name) {
					domains[name] = earlier
					break
				}
			}
		}
		out.Keyed[class] = Keyed{Window: k.Window, All: k.AllReplicas, Domains: domains}
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

// Read reads a recording from a file. A key that is not known is an error.
func Read(path string) (*Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	defer f.Close()
	text, err := gzip.NewReader(bufio.NewReader(f))
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	lines := json.NewDecoder(text)
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
