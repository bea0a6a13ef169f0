package history

import (
	"net/http"
	"time"
)

const (
	maxEventDelay         = 300 * time.Millisecond // maximum time from a replica's write of a stream event to its receipt
	minStreams            = 20                     // minimum number of streams for a verdict on delayed events
	minStreamsPerDelayed  = 20                     // minimum number of streams for each one that has a delayed event
	partialRequestTimeout = 3 * time.Second        // maximum wait of a partial request for an error or a close
)

// checkDroppedRequests checks RuleNoDroppedRequest: the connection of a request that was forwarded is not closed
// without a response. It may be closed if the dispatcher had not read the request ("If that close crosses a request
// that the dispatcher has not read, the client sends the request once more").
func (c *checker) checkDroppedRequests() {
	forwarded := map[string]time.Duration{} // arrival of the first attempt, by request
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

// checkEventDelays checks RuleEventDelay: at most one stream in minStreamsPerDelayed has an event that reached its
// client later than maxEventDelay after its replica wrote it ("the events of one replica's stream for this request, all
// of them, unchanged and as they come").
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

// checkPartialRequests checks RulePartialRequest: a client that stops in the middle of a request gets an error or a
// closed connection within partialRequestTimeout.
func (c *checker) checkPartialRequests() {
	for _, e := range c.events {
		if e.Kind == PartialRequestEnded && e.Elapsed > partialRequestTimeout+c.rules.Slack && !c.exempt(e) {
			c.report(RulePartialRequest, e, "half a request had no error and no close for %v", e.Elapsed)
		}
	}
}

// checkLingeringConnections checks RuleDrainEnds: four seconds after an operator's drain no client connection is idle
// or has a request of the last two seconds. The bench records a ConnectionLingers event for each such connection.
func (c *checker) checkLingeringConnections() {
	for _, e := range c.events {
		if e.Kind == ConnectionLingers && !c.exempt(e) {
			c.report(RuleDrainEnds, e, "a connection is held %v after the drain: %s", e.Elapsed, e.Class)
		}
	}
}

// exempt reports whether a fault on the client's link or a process that was down during the elapsed time of an event
// may have caused what the client observed.
func (c *checker) exempt(e Event) bool {
	return !e.LinkHealthy || c.wasDown(e.Dispatcher, e.At-e.Elapsed, e.At)
}
