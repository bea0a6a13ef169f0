package versionskew

import (
	"testing"
	"time"
)

// The names of the states are shown to operators, so they must be the same in all versions.
func TestGoldenNames(t *testing.T) {
	for state, want := range map[State]string{
		Current:    "level",
		Lagging:    "behind",
		Restricted: "restricted",
		Fenced:     "shut out",
	} {
		if got := state.String(); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
}

// Operators read this error if the limits in their file are invalid, so its text must be the same in all versions.
func TestGoldenLimitsError(t *testing.T) {
	l := Limits{
		SettleTime:        2 * time.Second,
		RestrictAfter:     time.Second,
		FenceAfter:        90 * time.Second,
		RecoverAfter:      1500 * time.Millisecond,
		MaxFencedFraction: 0.125,
	}
	want := "straggler: limits {Settle:2s Restrict:1s Out:1m30s Back:1.5s Part:0.125}: " +
		"want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5"
	if err := l.Validate(); err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
