// Package simtest holds what the tests by deterministic simulation share: running the steps of a simulation, checking
// that its checker detects built-in faults, and taking messages from a simulated network. It imports no other package
// of the program, so that the tests of every package can use it. It has no state and starts no goroutine.
package simtest

import "testing"

// Run takes at most the given number of steps. It stops at the first step that returns a violation, and returns that
// violation, or "" if there is none.
func Run(steps int, step func() (violation string)) (violation string) {
	for range steps {
		if violation = step(); violation != "" {
			return violation
		}
	}
	return ""
}

// RequireDetected marks the test as failed unless a checker reports a violation for at least one of the seeds first to
// first+seeds-1 in a simulation with a built-in fault. Simulate returns the violation that it found, or "".
func RequireDetected(t testing.TB, fault string, first, seeds uint64, simulate func(seed uint64) (violation string)) {
	t.Helper()
	for seed := first; seed < first+seeds; seed++ {
		if violation := simulate(seed); violation != "" {
			t.Logf("%s: seed %d: %s", fault, seed, violation)
			return
		}
	}
	t.Errorf("%s was not detected", fault)
}

// TakeDue removes the messages that are due from the queue of a simulated network, and returns them in its order.
func TakeDue[M any](queue *[]M, isDue func(M) bool) (due []M) {
	var remaining []M
	for _, m := range *queue {
		if isDue(m) {
			due = append(due, m)
		} else {
			remaining = append(remaining, m)
		}
	}
	*queue = remaining
	return due
}
