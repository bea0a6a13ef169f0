package fleet

import (
	"testing"
	"time"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/testkit"
)

// A process that starts after its machine's wall clock was set back is taken for a later life of its name all the same: the others tell it
// of the former one's number, and it takes a higher one.
func TestComesBackAfterTheClockWasSetBack(t *testing.T) {
	text := configJSON("f", testKey, 20, 21, 22)
	one, two := startNode(t, text, 20, nil), startNode(t, text, 21, nil)
	awaitState(t, one, "n21", membership.Alive)
	awaitState(t, two, "n20", membership.Alive)
	former := two.info.Incarnation
	two.cancel()
	<-two.done
	two.gossip.Shutdown() // dies without a word
	awaitState(t, one, "n21", membership.Unreachable)
	machine := testkit.NewMachine()
	machine.Step(-time.Hour)
	again := startNodeOn(t, machine, text, 21, nil)
	awaitState(t, one, "n21", membership.Alive)
	awaitState(t, again, "n20", membership.Alive)
	testkit.Eventually(t, "a higher number than the former life's", func() bool {
		again.mu.Lock()
		defer again.mu.Unlock()
		return again.info.Incarnation > former
	})
}
