// Package play drives tests' simulations. It knows nothing of the program, so the tests of any package may use it.
package play

import "testing"

// Steps takes so many steps of a simulation, and returns what one of them found wrong; empty: nothing.
func Steps(steps int, step func() (wrong string)) (wrong string) {
	for range steps {
		if wrong = step(); wrong != "" {
			return wrong
		}
	}
	return ""
}

// Caught fails the test if a checker finds nothing wrong with a built-in fault over so many seeds. Play returns what it found.
func Caught(t testing.TB, fault string, first, seeds uint64, play func(seed uint64) (wrong string)) {
	t.Helper()
	for seed := first; seed < first+seeds; seed++ {
		if wrong := play(seed); wrong != "" {
			t.Logf("%s: seed %d: %s", fault, seed, wrong)
			return
		}
	}
	t.Errorf("%s was not caught", fault)
}

// Due takes the messages that are due out of a simulated net's queue, in order.
func Due[M any](queue *[]M, due func(M) bool) (out []M) {
	var later []M
	for _, m := range *queue {
		if due(m) {
			out = append(out, m)
		} else {
			later = append(later, m)
		}
	}
	*queue = later
	return out
}
