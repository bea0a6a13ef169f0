package history

import (
	"slices"
	"time"
)

const (
	// closeGrace is the time after a client's close within which an attempt may still start.
	closeGrace = 100 * time.Millisecond
	// timeoutSlack is the tolerance on the timeout that an attempt announces, and the length above which a pause
	// counts as a delay of the process.
	timeoutSlack = 150 * time.Millisecond
	// resumeSlack is the time after a pause within which arriving bytes may have been sent before the pause.
	resumeSlack = 100 * time.Millisecond
)

// checkAttemptsAfterClose checks RuleNoAttemptAfterClose: no attempt starts later than closeGrace after its client
// closed its connection ("A client that closes its connection has gone away"). The rule exempts a close over a faulty
// link, since the dispatcher may not see it, and an attempt of a process that was just paused, since its bytes may have
// been sent before the pause.
func (c *checker) checkAttemptsAfterClose() {
	closes := map[string]Event{} // first ClientClosed event by request
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
			if ok && closed.LinkHealthy && sinceClose > closeGrace+c.rules.Slack && !c.downOrJustResumed(e.Dispatcher, sentAt) {
				c.report(RuleNoAttemptAfterClose, e, "begun %v after the client's close", sinceClose)
			}
		}
	}
}

// downOrJustResumed reports whether a process was down or paused at a time, or resumed at most resumeSlack before it.
func (c *checker) downOrJustResumed(dispatcher int, at time.Duration) bool {
	return slices.ContainsFunc(c.downtimes[dispatcher], func(d Event) bool {
		return d.At <= at && (d.Until == 0 || at <= d.Until+resumeSlack)
	})
}

// checkAnnouncedTimeouts checks RuleAnnouncedTimeout: the timeout that an attempt announces to its replica does not
// exceed the client's remaining time.
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
			if ok && exceedsRemaining && !c.hadLongDowntime(e.Dispatcher, request.At, sentAt) {
				c.report(RuleAnnouncedTimeout, e, "told %v of %v", e.AnnouncedTimeout, remaining)
			}
		}
	}
}

// hadLongDowntime reports whether a process was down or paused at some time between from and to, and this downtime has
// no end or lasted for longer than timeoutSlack, the operators' limit for a delayed process. After such a pause the
// process cannot determine how long a request waited to be read.
func (c *checker) hadLongDowntime(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.downtimes[dispatcher], func(d Event) bool {
		return d.At <= to && (d.Until == 0 || d.Until >= from && d.Until-d.At > timeoutSlack)
	})
}

// attempt is an attempt that arrived at a replica.
type attempt struct {
	Event
	overlapStart time.Duration // time from which it overlapped another attempt, or 0 if it overlapped none
	ended        bool
}

// checkParallelAttempts checks RuleNoParallelAttempts: no two attempts at a request are outstanding at the same time
// ("It is a second copy if an earlier one is still out on an open connection"). A replica notices the end of an
// attempt with a short delay, which Rules.Slack covers.
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

// newAttempt returns the attempt that arrival reports. For each open attempt at another replica, it marks the earlier
// of the two as overlapping from the new attempt's arrival on. The earlier one is the one that was sent first.
func newAttempt(arrival Event, others []*attempt) *attempt {
	added := &attempt{Event: arrival}
	for _, other := range others {
		switch {
		case other.ended || other.overlapStart != 0 || other.Replica == arrival.Replica:
		case arrival.firstByteAt() < other.firstByteAt():
			// The new attempt was sent first, but a fault delayed it. Its connection may already be closed.
			added.overlapStart = arrival.At
		default:
			other.overlapStart = arrival.At
		}
	}
	return added
}

// endAttempt ends the first open attempt at the event's replica, and reports it if another attempt arrived more than
// Rules.Slack before this end. It exempts an attempt whose link was faulty at its arrival or its end, since the replica
// may not have seen the close.
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
