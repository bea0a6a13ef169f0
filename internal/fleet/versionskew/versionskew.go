// Package versionskew detects members that act on an older endpoint list, or on other settings, than most of the fleet,
// and decides what they may still do: first they are refreshed, then restricted, then fenced.
//
// The algorithm compares each member with a majority (the median of the list versions), never with the newest single
// report. So a member that reports a wrong version, or that alone has a newer list because of a partition, does not
// make the other members count as lagging. The state of a member depends on how long it has lagged, with hysteresis on
// recovery, as in a failure detector with timeouts. At most a fraction of the fleet is fenced. If at least half of the
// members lag, for instance behind the version that a majority once had, no further member is fenced. If no majority
// has the same settings, no member counts as lagging because of its settings. In both cases the source is at fault and
// not the members, and the Assessment reports the fault.
//
// The package does no I/O and has no clock. A Detector is not safe for concurrent use.
package versionskew

import (
	"fmt"
	"time"
)

// State determines what a member may still do.
//
// A member moves from Current towards Fenced depending on how long it has lagged, and from any state back to Current
// once it has caught up. Detector.nextState implements the transitions.
type State int

// The states, in order of severity.
const (
	Current    State = iota
	Lagging          // the member should refresh its list
	Restricted       // in addition, it carries out no task for the fleet, and nothing that needs more than its own quota
	Fenced           // in addition, it accepts no clients
)

var stateNames = [...]string{"level", "behind", "restricted", "shut out"}

// String returns the name of the state as shown to operators.
func (s State) String() string { return stateNames[s] }

// Reasons why a member lags, as shown to operators.
const (
	reasonList     = "list"
	reasonSettings = "settings"
)

// maxFencedBound is the exclusive upper bound of Limits.MaxFencedFraction, so that a majority is never fenced.
const maxFencedBound = 0.5

// Limits holds the durations and the fraction on which the decisions of a Detector depend.
type Limits struct {
	// SettleTime is how long a majority must have had a version before the version counts. A change takes this long to
	// reach all members.
	SettleTime time.Duration
	// RestrictAfter and FenceAfter are how long a member must have lagged before it is restricted or fenced.
	RestrictAfter, FenceAfter time.Duration
	// RecoverAfter is how long a restricted or fenced member must have been current before it is released.
	RecoverAfter time.Duration
	// MaxFencedFraction is the largest fraction of the fleet that is fenced at once, apart from overrides by an
	// operator. A fleet of fewer than 1/MaxFencedFraction members fences none.
	MaxFencedFraction float64
}

// DefaultLimits are the limits that members use unless the configuration sets others.
var DefaultLimits = Limits{
	SettleTime:        1500 * time.Millisecond,
	RestrictAfter:     3 * time.Second,
	FenceAfter:        10 * time.Second,
	RecoverAfter:      2 * time.Second,
	MaxFencedFraction: 0.25,
}

// Validate returns an error if the limits are inconsistent or out of range.
func (l Limits) Validate() error {
	if l.SettleTime <= 0 || l.RestrictAfter < l.SettleTime || l.FenceAfter < l.RestrictAfter || l.RecoverAfter <= 0 ||
		!(l.MaxFencedFraction > 0 && l.MaxFencedFraction < maxFencedBound) {
		// The message has the names of the settings that operators use, which differ from the names of the fields.
		return fmt.Errorf("straggler: limits {Settle:%v Restrict:%v Out:%v Back:%v Part:%v}: "+
			"want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5",
			l.SettleTime, l.RestrictAfter, l.FenceAfter, l.RecoverAfter, l.MaxFencedFraction)
	}
	return nil
}

// Report holds the list version and the settings digest that a member publishes.
type Report struct {
	Name           string
	ListVersion    uint64
	SettingsDigest uint64
}

// MemberStatus is the state of a member as a Detector sees it.
type MemberStatus struct {
	Report
	State        State
	Reason       string        // list or settings; empty if the member does not lag
	Since        time.Duration // when State last changed
	LaggingSince time.Duration // when the member began to lag; meaningless if it does not lag
}

// Assessment is the state of the whole fleet at one time.
type Assessment struct {
	ListVersion    uint64 // newest version that a majority has had for SettleTime; 0 if there is none
	SettingsDigest uint64 // digest that a majority has; 0 if there is none
	// Fault tells operators why members that have lagged for long are not fenced, or that no majority has the same
	// settings. It is empty otherwise.
	Fault   string
	Members map[string]MemberStatus
}
