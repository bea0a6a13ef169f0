// Package scenario describes what the fault-injection bench plays: the traffic, the replicas and the faults of a run.
// It parses and checks scenario files, holds the built-in scenarios, and draws short ones from a seed. It has no state.
package scenario

import (
	"fmt"
	"strings"
	"time"

	"rampspread/internal/cli"
)

// Scenario is one run of a fleet: its traffic, its replicas and the faults that are injected. All times are in seconds
// since the traffic's start.
type Scenario struct {
	Name            string  `json:"name"`
	About           string  `json:"about"`
	Seconds         float64 `json:"seconds"` // duration of the traffic
	Rate            float64 `json:"rate"`    // requests a second
	Zones           int     `json:"zones"`
	PrefillReplicas int     `json:"readers"`
	DecodeReplicas  int     `json:"writers"`
	// HotFactor is how many times as many connections the first dispatcher gets as any other one; 0 means 1.
	HotFactor int `json:"hot"`
	// Weights are the replicas' relative capacities, assigned by index and repeated from the first if there are fewer
	// weights than replicas; if empty, all capacities are equal.
	Weights []float64 `json:"weights"`
	Faults  []Fault   `json:"faults"`
}

// Bounds of a scenario, since the bench runs on one machine.
const (
	MaxDispatchers = 250 // the bench's address range has room for this many
	MaxSeconds     = 3600
	maxRate        = 500
	maxReplicas    = 3200
	maxZones       = 9
	maxHotFactor   = 20
)

// Parse reads a scenario strictly: unknown keys and impossible values are errors.
func Parse(text []byte) (*Scenario, error) {
	var s Scenario
	if err := cli.DecodeStrict(text, &s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return &s, nil
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/\\ \n"):
		return fmt.Errorf("name %q is no file's name", s.Name)
	case !(s.Seconds >= 5 && s.Seconds <= MaxSeconds):
		return fmt.Errorf("seconds %v are not from 5 to %d", s.Seconds, MaxSeconds)
	case !(s.Rate > 0 && s.Rate <= maxRate):
		return fmt.Errorf("rate %v is not over 0, up to %d", s.Rate, maxRate)
	case s.Zones < 1 || s.Zones > maxZones:
		return fmt.Errorf("zones %d are not from 1 to %d", s.Zones, maxZones)
	case s.PrefillReplicas < 1 || s.DecodeReplicas < 1 || s.PrefillReplicas+s.DecodeReplicas > maxReplicas:
		return fmt.Errorf("%d readers and %d writers are not from 1 each to %d in all", s.PrefillReplicas, s.DecodeReplicas, maxReplicas)
	case s.HotFactor < 0 || s.HotFactor > maxHotFactor:
		return fmt.Errorf("hot %d is not from 0 to %d", s.HotFactor, maxHotFactor)
	}
	for _, w := range s.Weights {
		if !(w >= 0.1 && w <= 10) {
			return fmt.Errorf("weight %v is not from 0.1 to 10", w)
		}
	}
	for i, f := range s.Faults {
		if err := f.Check(s); err != nil {
			return fmt.Errorf("fault %d: %w", i, err)
		}
	}
	return nil
}

// Seconds converts a scenario's time to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
