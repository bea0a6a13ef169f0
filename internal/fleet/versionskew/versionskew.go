// Package versionskew detects members that act on an older endpoint list, or on other settings, than most of the fleet,
// and decides what they may still do: first they are refreshed, then restricted, then fenced.
//
// The algorithm compares each member with a majority (the median of the list versions), never with the newest single
// report: a member that reports a wrong version, or is alone with a newer list behind a partition, makes no other
// lagging. A member's state then follows from how long it has lagged, with hysteresis on the way back, as in a failure
// detector with timeouts. At most a fraction of the fleet is fenced. If most members lag behind what was once the
// majority's, or no settings are the majority's, no further member is fenced and the Assessment says so: then the source
// is at fault, and not the members.
//
// The package does no I/O and has no clock. A Detector is not safe for concurrent use.
package versionskew

import (
	"fmt"
	"time"
)

// State is what a member may still do.
//
// A member moves from Current up to Fenced, by the time for which it has lagged, and from any state back to Current,
// when it has caught up. Detector.nextState has the transitions.
type State int

// The states, in order of severity.
const (
	Current    State = iota
	Lagging          // it is to refresh its list
	Restricted       // besides, it carries out no task for the fleet, and nothing that needs more than its own quota
	Fenced           // besides, it accepts no clients
)

var stateNames = [...]string{"level", "behind", "restricted", "shut out"}

// String is the state's name as shown to operators.
func (s State) String() string { return stateNames[s] }

// Reasons for which a member lags, as operators read them.
const (
	reasonList     = "list"
	reasonSettings = "settings"
)

// maxFencedBound is below what fraction MaxFencedFraction must be, so that a majority is never fenced.
const maxFencedBound = 0.5

// Limits are the times and the fraction by which a Detector decides.
type Limits struct {
	// Settle is for how long a majority must have had a version until it counts: a change takes that long to reach all.
	Settle time.Duration
	// RestrictAfter and FenceAfter are how long a member has lagged when it is restricted or fenced.
	RestrictAfter, FenceAfter time.Duration
	// RecoverAfter is for how long a restricted or fenced member must have been current before it is released.
	RecoverAfter time.Duration
	// MaxFencedFraction is the largest fraction of the fleet that is fenced at once; in a fleet of fewer members than
	// 1/MaxFencedFraction, none is.
	MaxFencedFraction float64
}

// DefaultLimits are the limits that members use where the configuration sets no others.
var DefaultLimits = Limits{
	Settle:            1500 * time.Millisecond,
	RestrictAfter:     3 * time.Second,
	FenceAfter:        10 * time.Second,
	RecoverAfter:      2 * time.Second,
	MaxFencedFraction: 0.25,
}

// Validate returns an error if the limits can't work.
func (l Limits) Validate() error {
	if l.Settle <= 0 || l.RestrictAfter < l.Settle || l.FenceAfter < l.RestrictAfter || l.RecoverAfter <= 0 ||
		!(l.MaxFencedFraction > 0 && l.MaxFencedFraction < maxFencedBound) {
		// These are the names of the settings that operators read, whatever the fields are called.
		return fmt.Errorf("straggler: limits {Settle:%v Restrict:%v Out:%v Back:%v Part:%v}: "+
			"want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5",
			l.Settle, l.RestrictAfter, l.FenceAfter, l.RecoverAfter, l.MaxFencedFraction)
	}
	return nil
}

// Report is what a member publishes about its versions.
type Report struct {
	Name           string
	ListVersion    uint64
	SettingsDigest uint64
}

// MemberStatus is a member as a Detector sees it.
type MemberStatus struct {
	Report
	State        State
	Reason       string        // list or settings; empty if it does not lag
	Since        time.Duration // of State
	LaggingSince time.Duration // meaningless if it does not lag
}

// Assessment is the state of the whole fleet at one time.
type Assessment struct {
	ListVersion    uint64 // version that a majority has had for Settle
	SettingsDigest uint64 // digest that a majority has; 0: none has one
	// Fault says, for operators, why no further member is fenced though some have lagged for long; empty if that is
	// not the case.
	Fault   string
	Members map[string]MemberStatus
}
