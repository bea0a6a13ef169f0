package history

import "time"

// withdrawalKey names what one dispatcher was sent about one replica.
type withdrawalKey struct {
	dispatcher int
	replica    string
}

// checkDrains judges RuleOrderlyDrain: "No SEND to a replica after rules.stopSendingWithinMs has elapsed since this
// instance was informed that it is 2 (draining) or 0 (gone)". "A request's time counts from its last byte. For
// drains, a send counts from its first.": what a fault held back after that byte is not the sender's.
func (c *checker) checkDrains() {
	withdrawn := map[withdrawalKey]time.Duration{} // since when
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

// informedAt is when a dispatcher that was sent something at since could know of it before at: a process that was
// paused knows it when it resumes.
func (c *checker) informedAt(dispatcher int, since, at time.Duration) time.Duration {
	for _, d := range c.downtimes[dispatcher] {
		if d.At <= at && d.Until > since {
			since = d.Until
		}
	}
	return since
}
