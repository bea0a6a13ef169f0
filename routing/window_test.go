package routing

import (
	"testing"
	"time"
)

// A request that may have run is not sent again so late that a process that is held up for 0.15 s would write it when the servers no
// longer drop its repeats.
func TestRepeatsAllowForAHoldUp(t *testing.T) {
	for left, again := range map[time.Duration]bool{100 * ms: false, 500 * ms: true} {
		b := newHarness(t, func(c *Config) { c.Classes[2].DedupWindow = 3 * time.Second })
		_, writer := b.completePrefill(1, 2)
		acts := b.handle(3*time.Second-left, AttemptEnded{Request: 1, Attempt: 1, Endpoint: writer, Outcome: ConnectionReset, Elapsed: 3*time.Second - left})
		if containsAction[Send](acts) != again {
			t.Errorf("with %v of the window left: %+v", left, acts)
		}
	}
}
