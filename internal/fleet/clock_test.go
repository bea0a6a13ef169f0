package fleet

import (
	"testing"
	"time"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/testutil"
)

// A process that restarts after its machine's wall clock was set back must count as a later incarnation of its name.
// Its clock gives it a lower incarnation, so it must take a higher one than the one that other members report for its
// name.
func TestComesBackAfterTheClockWasSetBack(t *testing.T) {
	text := configJSON("f", testKey, 20, 21, 22)
	one, two := startNode(t, text, 20, nil), startNode(t, text, 21, nil)
	awaitState(t, one, "n21", membership.Alive)
	awaitState(t, two, "n20", membership.Alive)
	former := two.info.Incarnation
	crash(two)
	awaitState(t, one, "n21", membership.Unreachable)
	machine := testutil.NewFakeSystem()
	machine.StepClock(-time.Hour)
	restarted := startNodeOn(t, machine, text, 21, nil)
	awaitState(t, one, "n21", membership.Alive)
	awaitState(t, restarted, "n20", membership.Alive)
	testutil.Eventually(t, "a higher incarnation than the former one", func() bool {
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		return restarted.info.Incarnation > former
	})
}
