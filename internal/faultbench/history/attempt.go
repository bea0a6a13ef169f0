package history

import (
	"slices"
	"time"
)

const (
	closeGrace = 100 * time.Millisecond // after a client's close, in which an attempt may still start
	// timeoutSlack is on the timeout that an attempt announces, and how long a pause is that holds a process up.
	timeoutSlack = 150 * time.Millisecond
	// resumeSlack is how soon after a pause bytes count as sent in the moment in which the process was paused.
	resumeSlack = 100 * time.Millisecond
)

// checkAttemptsAfterClose judges RuleNoAttemptAfterClose: no attempt starts over closeGrace after its client closed
// its connection ("A client that closes its connection has gone away"). A fault on the client's link may hide the
// close, and bytes of a process that was paused may have been sent before.
func (c *checker) checkAttemptsAfterClose() {
	closes := map[string]Event{} // the first, by request
	for _, e := range c.events {
		switch e.Kind {
		case ClientClosed:
			if _, ok := closes[e.Request]; !ok {
				closes[e.Request] = e
			}
		case AttemptArrived:
			closed, ok := closes[e.Request]
			sentAt := e.firstByteAt()
			sinceClose := sentAt - closed.At
			if ok && closed.LinkHealthy && sinceClose > closeGrace+c.rules.Slack && !c.justResumed(e.Dispatcher, sentAt) {
				c.report(RuleNoAttemptAfterClose, e, "begun %v after the client's close", sinceClose)
			}
		}
	}
}

// justResumed tells whether a process was paused at a time or resumed a moment before it.
func (c *checker) justResumed(dispatcher int, at time.Duration) bool {
	return slices.ContainsFunc(c.downtimes[dispatcher], func(d Event) bool {
		return d.At <= at && (d.Until == 0 || at <= d.Until+resumeSlack)
	})
}

// checkAnnouncedTimeouts judges RuleAnnouncedTimeout: an attempt announces to its replica at most the client's
// remaining time.
func (c *checker) checkAnnouncedTimeouts() {
	requests := map[string]Event{}
	for _, e := range c.events {
		switch e.Kind {
		case RequestSent:
			requests[e.Request] = e
		case AttemptArrived:
			request, ok := requests[e.Request]
			sentAt := e.firstByteAt()
			remaining := request.Until - sentAt
			exceedsRemaining := e.AnnouncedTimeout > max(remaining, 0)+timeoutSlack+c.rules.Slack
			if ok && exceedsRemaining && !c.hadLongPause(e.Dispatcher, request.At, sentAt) {
				c.report(RuleAnnouncedTimeout, e, "told %v of %v", e.AnnouncedTimeout, remaining)
			}
		}
	}
}

// hadLongPause tells whether a process was paused at some time of a span for longer than the operators' figure for
// being held up: it cannot know then how long a request has waited to be read.
func (c *checker) hadLongPause(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.downtimes[dispatcher], func(d Event) bool {
		return d.At <= to && (d.Until == 0 || d.Until >= from && d.Until-d.At > timeoutSlack)
	})
}

// attempt is one that arrived at a replica.
type attempt struct {
	Event
	overlapStart time.Duration // when it overlapped with another first, as that one arrived; 0: it did not
	ended        bool
}

// checkParallelAttempts judges RuleNoParallelAttempts: no two attempts of a request are outstanding at once ("It is a
// second copy if an earlier one is still out on an open connection"). The end of one shows at its replica a moment
// late.
func (c *checker) checkParallelAttempts() {
	attempts := map[string][]*attempt{} // by request
	for _, e := range c.events {
		switch e.Kind {
		case AttemptArrived:
			attempts[e.Request] = append(attempts[e.Request], newAttempt(e, attempts[e.Request]))
		case AttemptEnded:
			c.endAttempt(e, attempts[e.Request])
		}
	}
}

// newAttempt is the attempt that an event reports. The earlier of it and each open attempt at another replica is marked
// as overlapping.
func newAttempt(arrival Event, others []*attempt) *attempt {
	added := &attempt{Event: arrival}
	for _, other := range others {
		switch {
		case other.ended || other.overlapStart != 0 || other.Replica == arrival.Replica:
		case arrival.firstByteAt() < other.firstByteAt():
			// A fault held this one back, which was sent before; it may be on a connection that is closed by now.
			added.overlapStart = arrival.At
		default:
			other.overlapStart = arrival.At
		}
	}
	return added
}

// endAttempt ends the first open attempt at the event's replica, and reports it if another had arrived long before. A
// fault on either attempt's link may hide a close from the replica.
func (c *checker) endAttempt(end Event, attempts []*attempt) {
	i := slices.IndexFunc(attempts, func(a *attempt) bool { return a.Replica == end.Replica && !a.ended })
	if i < 0 {
		return
	}
	a := attempts[i]
	a.ended = true
	overlapDuration := end.At - a.overlapStart
	if a.overlapStart != 0 && overlapDuration > c.rules.Slack && a.LinkHealthy && end.LinkHealthy {
		c.report(RuleNoParallelAttempts, a.Event, "still out %v after the next attempt came", overlapDuration)
	}
}
