package membership

import "testing"

// The names of the states are shown to operators, so they must be the same in all versions.
func TestGoldenStateNames(t *testing.T) {
	for state, want := range map[State]string{
		Unknown:     "unknown",
		Joining:     "joining",
		Alive:       "alive",
		Suspect:     "suspect",
		Unreachable: "unreachable",
		Left:        "left",
	} {
		if got := state.String(); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
}
