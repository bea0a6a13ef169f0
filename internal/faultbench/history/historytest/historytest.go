// Package historytest reads and writes recordings: histories of plays of the fault-injection test bench, together
// with the rules that they were judged by. Golden tests hold the checker's judgements to recordings that were made
// once and are never made anew.
//
// A recording is one gzip file of JSON lines. The first line has the play and its rules, by keys that are fixed here;
// each other line is one event, in the stored form of a history. The package is for tests only. Its functions share
// no state.
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
	Domains     map[string]string `json:"domains"` // by replica: those of one domain drop each other's repeats
}

// HistoryRules is the form that the checker takes.
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

// Stored is the stored form of rules over the named replicas.
func Stored(r history.Rules, replicas []string) Rules {
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

// domains names each replica's deduplication domain by the domain's first replica.
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
