// Package history records what the simulated clients, replicas and discovery servers of the fault-injection test
// bench saw on their sockets, on one clock, and checks the platform's rules over it afterwards.
//
// It is an offline history checker in the manner of Jepsen (jepsen.io): the recorder only collects, and the checker
// sees nothing of the dispatchers but their traffic and the faults that the bench did to their processes. Check
// judges by the rules of the platform's wire page, CheckStrict by stricter ones that the soak needs, and
// StaleAttempts counts attempts against newer endpoint lists. A fault exempts an event from a rule only by a sentence
// of the operators' pages, which is quoted where the exemption is granted.
//
// The package owns the Recorder's events. A Recorder is safe for concurrent use; the checks are functions of their
// arguments, which they don't change.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// checker judges one history. Each check method walks over the events in their order and reports the violations of
// one rule.
type checker struct {
	rules      Rules
	events     []Event         // by time
	downtimes  map[int][]Event // the ProcessDown events of each dispatcher, by time
	violations []Violation
}

// Check is every violation in a history, by time.
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

// CheckStrict is every violation of the stricter rules in a history, rule by rule.
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

// sortedByTime is a copy of events, by time.
func sortedByTime(events []Event) []Event {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// downtimes are the faults of each dispatcher's process.
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

// wasDown tells whether a process was down or paused at any time of a span: it is not to blame for what it did not do
// then ("Each request accepted by a live instance shall receive a single final response").
func (c *checker) wasDown(dispatcher int, from, to time.Duration) bool {
	for _, d := range c.downtimes[dispatcher] {
		if d.At <= to && (d.Until == 0 || d.Until >= from) {
			return true
		}
	}
	return false
}
