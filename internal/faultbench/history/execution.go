package history

import (
	"slices"
	"time"
)

// checkExecutions checks RuleSingleExecution for the classes that must not run twice: a group of requests is executed
// at most once, and is not refused after it may have run ("a further SEND or a REFUSE is permitted only when every
// prior attempt has an outcome establishing that it was never executed").
func (c *checker) checkExecutions() {
	executed := map[string]Event{} // first execution by group
	for _, e := range c.events {
		if !slices.Contains(c.rules.NonIdempotent, e.Class) {
			continue
		}
		first, ok := executed[e.Group]
		switch {
		case e.Kind == ExecutionStarted && ok:
			c.report(RuleSingleExecution, e, "group %s ran at %s %v before", e.Group, first.Replica, e.At-first.At)
		case e.Kind == ExecutionStarted:
			executed[e.Group] = e
		case e.Kind == ResponseReceived && ok && e.refused():
			c.report(RuleSingleExecution, e, "refused with %d after it began at %s", e.Status, first.Replica)
		}
	}
}

// attemptKey identifies the attempts at one request on one replica.
type attemptKey struct{ request, replica string }

func keyOf(e Event) attemptKey { return attemptKey{e.Request, e.Replica} }

// execution is the first execution of a request.
type execution struct {
	Event
	arrivedAt time.Duration // arrival of its attempt at the replica
}

// checkDeduplicatedExecutions checks RuleSingleExecution for the classes whose repeats some replicas drop: a request
// that has run is sent again only to replicas that drop its repeat, and only within the class's window; it is refused
// only if all replicas drop repeats. The rule: "subsequent sends shall be directed only to replicas within the same
// group as its replica ... and within classes[].windowMs of its send; a REFUSE is permitted only if the group is all".
func (c *checker) checkDeduplicatedExecutions() {
	executed := map[string]execution{} // first execution by request
	arrivals := map[attemptKey]time.Duration{}
	for _, e := range c.events {
		if e.Kind == AttemptArrived {
			arrivals[keyOf(e)] = e.At
		}
		class, ok := c.rules.Deduplicated[e.Class]
		if !ok {
			continue
		}
		first, ran := executed[e.Request]
		switch {
		case e.Kind == ExecutionStarted && !ran:
			executed[e.Request] = execution{e, arrivals[keyOf(e)]}
		case e.Kind == ExecutionStarted:
			c.checkRepeat(class, first, e, arrivals[keyOf(e)])
		case e.Kind == ResponseReceived && ran && !class.AllReplicas && e.refused():
			c.report(RuleSingleExecution, e, "refused with %d after it began at %s", e.Status, first.Replica)
		}
	}
}

// checkRepeat reports a further execution of a request if its replica does not drop it as a repeat.
func (c *checker) checkRepeat(class Deduplication, first execution, e Event, arrivedAt time.Duration) {
	switch {
	case !class.SameDomain(first.Replica, e.Replica):
		c.report(RuleSingleExecution, e, "ran at %s %v before, which does not drop its repeats",
			first.Replica, e.At-first.At)
	case arrivedAt > first.arrivedAt+class.Window+c.rules.Slack:
		c.report(RuleSingleExecution, e, "sent again %v after it was sent to %s, which drops repeats for %v",
			arrivedAt-first.arrivedAt, first.Replica, class.Window)
	}
}
