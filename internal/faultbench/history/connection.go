package history

import (
	"net/http"
	"time"
)

const (
	maxEventDelay         = 300 * time.Millisecond // that an event of a stream may be on its way
	minStreams            = 20                     // under which delayed events prove nothing
	minStreamsPerDelayed  = 20                     // one stream in so many may have a delayed event
	partialRequestTimeout = 3 * time.Second        // within which a client with half a request is owed an error or a close
)

// checkDroppedRequests judges RuleNoDroppedRequest: a request that was forwarded is not closed without a response.
// One that its dispatcher had not read may be ("If that close crosses a request that the dispatcher has not read, the
// client sends the request once more").
func (c *checker) checkDroppedRequests() {
	forwarded := map[string]time.Duration{} // when the first attempt arrived, by request
	for _, e := range c.events {
		switch e.Kind {
		case AttemptArrived:
			if _, ok := forwarded[e.Request]; !ok {
				forwarded[e.Request] = e.At
			}
		case ConnectionDropped:
			if at, ok := forwarded[e.Request]; ok && e.LinkHealthy && !c.wasDown(e.Dispatcher, at, e.At) {
				c.report(RuleNoDroppedRequest, e, "closed without an answer %v after it was sent on", e.At-at)
			}
		}
	}
}

// checkEventDelays judges RuleEventDelay: at most one stream in delayedOneIn has an event that reached its client
// over maxEventDelay after its replica wrote it ("the events of one replica's stream for this request, all of them,
// unchanged and as they come").
func (c *checker) checkEventDelays() {
	streams, delayed := 0, 0
	var last Event
	for _, e := range c.events {
		if e.Kind != ResponseReceived || e.Status != http.StatusOK || c.exempt(e) {
			continue
		}
		streams++
		if e.MaxEventDelay > maxEventDelay+c.rules.Slack {
			delayed++
			last = e
		}
	}
	if streams >= minStreams && delayed*minStreamsPerDelayed > streams {
		c.report(RuleEventDelay, last, "%d of %d streams have an event held back, this one for %v",
			delayed, streams, last.MaxEventDelay)
	}
}

// checkPartialRequests judges RulePartialRequest: a client that stops in the middle of a request gets an error or the
// close in time.
func (c *checker) checkPartialRequests() {
	for _, e := range c.events {
		if e.Kind == PartialRequestEnded && e.Elapsed > partialRequestTimeout+c.rules.Slack && !c.exempt(e) {
			c.report(RulePartialRequest, e, "half a request had no error and no close for %v", e.Elapsed)
		}
	}
}

// checkLingeringConnections judges RuleDrainEnds: four seconds after an operator's drain no connection of a client is
// idle, or has a request of the last two seconds.
func (c *checker) checkLingeringConnections() {
	for _, e := range c.events {
		if e.Kind == ConnectionLingers && !c.exempt(e) {
			c.report(RuleDrainEnds, e, "a connection is held %v after the drain: %s", e.Elapsed, e.Class)
		}
	}
}

// exempt tells whether what a client saw over the elapsed time of an event may come from a fault on its link, or from
// a process that was down.
func (c *checker) exempt(e Event) bool {
	return !e.LinkHealthy || c.wasDown(e.Dispatcher, e.At-e.Elapsed, e.At)
}
