package history

import "time"

// withdrawalKey identifies the withdrawal of one replica as sent to one dispatcher.
type withdrawalKey struct {
	dispatcher int
	replica    string
}

// checkDrains checks RuleOrderlyDrain: a dispatcher sends nothing to a replica later than Rules.DrainWithin after it
// was informed that the replica is draining or gone. The rule: "No SEND to a replica after rules.stopSendingWithinMs
// has elapsed since this instance was informed that it is 2 (draining) or 0 (gone)". An attempt counts from its first
// byte, so that a fault that delays the rest is not charged to the sender: "A request's time counts from its last byte.
// For drains, a send counts from its first."
func (c *checker) checkDrains() {
	withdrawn := map[withdrawalKey]time.Duration{} // time of the first withdrawal
	for _, e := range c.events {
		key := withdrawalKey{e.Dispatcher, e.Replica}
		switch e.Kind {
		case EndpointWithdrawn:
			if _, ok := withdrawn[key]; !ok {
				withdrawn[key] = e.At
			}
		case EndpointReady:
			delete(withdrawn, key)
		case AttemptArrived:
			since, ok := withdrawn[key]
			if !ok {
				continue
			}
			sentAt := e.firstByteAt()
			since = c.informedAt(e.Dispatcher, since, sentAt)
			if sentAt > since+c.rules.DrainWithin+c.rules.Slack {
				c.report(RuleOrderlyDrain, e, "%v after dispatcher %d knew", sentAt-since, e.Dispatcher)
			}
		}
	}
}

// informedAt returns when a dispatcher that was sent a list at since was informed of it, considering the downtimes that
// began before at: a process that was down at since, or later, counts as informed from the end of that downtime.
func (c *checker) informedAt(dispatcher int, since, at time.Duration) time.Duration {
	for _, d := range c.downtimes[dispatcher] {
		if d.At <= at && d.Until > since {
			since = d.Until
		}
	}
	return since
}
