// Package history records what the simulated clients, replicas and discovery servers of the fault-injection test bench
// observe on their sockets, on one clock, and afterwards checks the recorded history against the platform's rules.
//
// It is an offline history checker in the manner of Jepsen (jepsen.io): the recorder only collects events, and the
// checker sees only the traffic of the dispatchers and the faults that the bench injected into their processes. Check
// verifies the rules of the platform's wire page, CheckStrict verifies stricter rules that the soak needs, and
// StaleAttempts returns the attempts that ignore a newer endpoint list. A fault exempts an event from a rule only
// where a sentence of the operators' pages says so; the sentence is quoted where the exemption is granted.
//
// The package owns the Recorder's events. A Recorder is safe for concurrent use; the checks are functions of their
// arguments, which they don't modify.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// checker checks one history. Each check method iterates over the events by time and reports the violations of one
// rule.
type checker struct {
	rules      Rules
	events     []Event         // sorted by time
	downtimes  map[int][]Event // ProcessDown events by dispatcher, in the order in which they were recorded
	violations []Violation
}

// Check returns all violations of the platform's rules in a history, sorted by time.
func Check(events []Event, r Rules) []Violation {
	c := newChecker(events, r)
	c.checkResponses()
	c.checkExecutions()
	c.checkDeduplicatedExecutions()
	c.checkDrains()
	c.checkSlowStarts()
	c.checkReservations()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// CheckStrict returns all violations of the stricter rules in a history, grouped by rule.
func CheckStrict(events []Event, r Rules) []Violation {
	c := newChecker(events, r)
	c.checkAttemptsAfterClose()
	c.checkAnnouncedTimeouts()
	c.checkParallelAttempts()
	c.checkDroppedRequests()
	c.checkEventDelays()
	c.checkPartialRequests()
	c.checkLingeringConnections()
	return c.violations
}

func newChecker(events []Event, r Rules) *checker {
	return &checker{rules: r, events: sortedByTime(events), downtimes: downtimes(events)}
}

// sortedByTime returns a copy of events, sorted by time.
func sortedByTime(events []Event) []Event {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// downtimes returns the ProcessDown events of each dispatcher.
func downtimes(events []Event) map[int][]Event {
	out := map[int][]Event{}
	for _, e := range events {
		if e.Kind == ProcessDown {
			out[e.Dispatcher] = append(out[e.Dispatcher], e)
		}
	}
	return out
}

func (c *checker) report(rule string, e Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, e.At, e.Request, e.Replica, fmt.Sprintf(format, args...)})
}

// wasDown reports whether a process was down or paused at any time between from and to. A process is not required to
// act while it is down: "Each request accepted by a live instance shall receive a single final response".
func (c *checker) wasDown(dispatcher int, from, to time.Duration) bool {
	for _, d := range c.downtimes[dispatcher] {
		if d.At <= to && (d.Until == 0 || d.Until >= from) {
			return true
		}
	}
	return false
}
