package testutil

import (
	"testing"
	"time"
)

const (
	conditionTimeout  = 20 * time.Second // long, so that a slow machine fails no test
	conditionInterval = 2 * time.Millisecond
)

// Eventually polls a condition every 2 ms until it holds, and ends the test if it does not hold within 20 s. The
// description names what is awaited.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(conditionInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", description)
}
