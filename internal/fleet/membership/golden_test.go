package membership

import "testing"

// Operators are shown these names.
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
