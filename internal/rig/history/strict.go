package history

import (
	"slices"
	"time"
)

// The names of the stricter rules, which the soak judges by besides the others.
const (
	RuleNoAttemptAfterClose = "after_close"
	RuleAnnouncedTimeout    = "told_time"
	RuleNoParallelAttempts  = "second_copy"
	RuleNoDroppedRequest    = "drops_read"
	RuleEventDelay          = "held_back"
	RulePartialRequest      = "bad_client"
	RuleDrainEnds           = "drain_lasts"
)

const (
	closeGrace  = 100 * time.Millisecond // after a client's close, in which an attempt may still begin
	toldSlack   = 150 * time.Millisecond // of the time that an attempt tells its replica
	holdBackMin = 20                     // streams, under which held back events prove nothing
	holdBackOne = 20                     // one stream in so many may have an event held back
	// wakeSlack is how soon after a pause bytes count as sent in the moment in which the process was stopped.
	wakeSlack = 100 * time.Millisecond
)

// CheckStrict is every breach of the stricter rules in a history.
func CheckStrict(events []Event, r Rules) []Violation {
	c := newChecker(events, r)
	c.afterClose()
	c.toldTime()
	c.copies()
	c.dropped()
	c.heldBack()
	c.badClients()
	c.heldOpen()
	return c.out
}

// sentAt is when the bytes of an attempt came to the replica's machine.
func sentAt(e Event) time.Duration {
	if e.SentAt > 0 {
		return e.SentAt
	}
	return e.At
}

// justWoke tells whether a process was stopped and woke a moment before a time.
func (c *checker) justWoke(dispatcher int, at time.Duration) bool {
	return slices.ContainsFunc(c.down[dispatcher], func(d Event) bool {
		return d.At <= at && (d.Until == 0 || at <= d.Until+wakeSlack)
	})
}

// afterClose: no attempt begins over 0.1 s after its client has closed.
func (c *checker) afterClose() {
	closed := map[string]Event{}
	for _, e := range c.events {
		switch e.Kind {
		case ClientClosed:
			if _, ok := closed[e.Request]; !ok {
				closed[e.Request] = e
			}
		case AttemptArrived:
			left, ok := closed[e.Request]
			late := sentAt(e) - left.At
			if ok && left.LinkHealthy && late > closeGrace+c.rules.Slack && !c.justWoke(e.Dispatcher, sentAt(e)) {
				c.breach(RuleNoAttemptAfterClose, e, "begun %v after the client's close", late)
			}
		}
	}
}

// stopped tells whether a process was stopped at some time of a span for longer than the operators' figure for being held up: it cannot
// know then how long a request has waited for it to be read.
func (c *checker) stopped(dispatcher int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.down[dispatcher], func(d Event) bool {
		return d.At <= to && (d.Until == 0 || d.Until >= from && d.Until-d.At > toldSlack)
	})
}

// toldTime: an attempt tells its replica at most what is left to the client.
func (c *checker) toldTime() {
	asked := map[string]Event{}
	for _, e := range c.events {
		switch e.Kind {
		case RequestSent:
			asked[e.Request] = e
		case AttemptArrived:
			a, ok := asked[e.Request]
			left := a.Until - sentAt(e)
			if ok && e.AnnouncedTimeout > max(left, 0)+toldSlack+c.rules.Slack && !c.stopped(e.Dispatcher, a.At, sentAt(e)) {
				c.breach(RuleAnnouncedTimeout, e, "told %v of %v", e.AnnouncedTimeout, left)
			}
		}
	}
}

// copies: no two attempts of a request are out at once. The end of one shows at its replica a moment late.
func (c *checker) copies() {
	type attempt struct {
		came Event
		end  time.Duration
	}
	out := map[string][]*attempt{}
	for _, e := range c.events {
		switch e.Kind {
		case AttemptArrived:
			this := &attempt{came: e}
			for _, other := range out[e.Request] {
				switch {
				case other.end != 0 || other.came.Replica == e.Replica:
				case sentAt(e) < sentAt(other.came): // a fault held the earlier one back; it may be on a connection that is closed by now
					this.end = -e.At
				default:
					other.end = -e.At // open as this one came
				}
			}
			out[e.Request] = append(out[e.Request], this)
		case AttemptEnded:
			for _, a := range out[e.Request] {
				if a.came.Replica != e.Replica || a.end > 0 {
					continue
				}
				if next := -a.end; a.end < 0 && e.At-next > c.rules.Slack && a.came.LinkHealthy && e.LinkHealthy {
					c.breach(RuleNoParallelAttempts, a.came, "still out %v after the next attempt came", e.At-next)
				}
				a.end = e.At
				break
			}
		}
	}
}

// dropped: a request that was sent on is not closed without an answer. One that its dispatcher had not read may be.
func (c *checker) dropped() {
	came := map[string]time.Duration{}
	for _, e := range c.events {
		switch e.Kind {
		case AttemptArrived:
			if _, ok := came[e.Request]; !ok {
				came[e.Request] = e.At
			}
		case ConnectionDropped:
			if at, ok := came[e.Request]; ok && e.LinkHealthy && !c.blameless(e.Dispatcher, at, e.At) {
				c.breach(RuleNoDroppedRequest, e, "closed without an answer %v after it was sent on", e.At-at)
			}
		}
	}
}

// heldBack: at most one stream in 20 has an event that reached its client over 0.3 s after its replica wrote it.
func (c *checker) heldBack() {
	streams, late := 0, 0
	var last Event
	for _, e := range c.events {
		if e.Kind != ResponseReceived || e.Status != 200 || !e.LinkHealthy || c.blameless(e.Dispatcher, e.At-e.Elapsed, e.At) {
			continue
		}
		if streams++; e.MaxEventDelay > maxLag+c.rules.Slack {
			late++
			last = e
		}
	}
	if streams >= holdBackMin && late*holdBackOne > streams {
		c.breach(RuleEventDelay, last, "%d of %d streams have an event held back, this one for %v", late, streams, last.MaxEventDelay)
	}
}

// heldOpen: four seconds after an operator's drain no connection of a client rests, or has a request of the last two seconds.
func (c *checker) heldOpen() {
	for _, e := range c.events {
		if e.Kind == ConnectionLingers && e.LinkHealthy && !c.blameless(e.Dispatcher, e.At-e.Elapsed, e.At) {
			c.breach(RuleDrainEnds, e, "a connection is held %v after the drain: %s", e.Elapsed, e.Class)
		}
	}
}

// maxLag is how long an event may be on its way.
const maxLag = 300 * time.Millisecond

// badClients: a client that stops in the middle of a request has its error or its connection's close in time.
func (c *checker) badClients() {
	for _, e := range c.events {
		if e.Kind == PartialRequestEnded && e.LinkHealthy && e.Elapsed > badWait+c.rules.Slack && !c.blameless(e.Dispatcher, e.At-e.Elapsed, e.At) {
			c.breach(RulePartialRequest, e, "half a request had no error and no close for %v", e.Elapsed)
		}
	}
}

// badWait is what a bad client is owed an error or a close within.
const badWait = 3 * time.Second
