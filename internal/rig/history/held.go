package history

import (
	"slices"
	"time"
)

// holdChecker judges what replicas hold for requests. The operators' words bind it: a send that has not arrived is not out and does not
// stop the clock; a call counts when its last byte has come to a running replica, answered or not; while connections fail to come up,
// the time keeps running.
type holdChecker struct {
	*checker
	asked map[string]Event
	held  map[string]*hold
	out   map[string]int // attempts that have arrived and have not ended
}

// hold is a state that waits at a replica.
type hold struct {
	Event
	since time.Duration // the last attempt's end, as far as its dispatcher can know of it
}

// pinned: while none of a request's attempts is out, what is held for it is let go in time.
func (c *checker) pinned() {
	k := holdChecker{c, map[string]Event{}, map[string]*hold{}, map[string]int{}}
	end := time.Duration(0)
	for _, e := range byLastByte(c.events) {
		end = e.At
		k.take(e)
	}
	for _, h := range k.held {
		k.judge(h, end)
	}
}

// byLastByte orders events by when they happened, an attempt's coming by its last byte.
func byLastByte(events []Event) []Event {
	events = slices.Clone(events)
	for i, e := range events {
		if e.Kind == AttemptArrived {
			events[i].At = max(e.At, e.LastByteAt)
		}
	}
	return sorted(events)
}

func (k *holdChecker) take(e Event) {
	h := k.held[e.Request]
	switch e.Kind {
	case RequestSent:
		k.asked[e.Request] = e
	case AttemptArrived:
		if h != nil {
			k.judge(h, e.At)
		}
		k.out[e.Request]++
	case AttemptEnded:
		k.out[e.Request]--
		if h != nil {
			h.since = k.known(e)
		}
	case StateReserved:
		k.held[e.Request] = &hold{Event: e, since: e.At}
	case StateReleased:
		if h != nil {
			k.judge(h, e.At)
			delete(k.held, e.Request)
		}
	}
}

// known is when a dispatcher knows at the latest that an attempt has ended. Where a fault may keep that from it, the attempt is out for it
// until its client's time is over ("while no attempt of a request is outstanding": the outcome has not been delivered).
func (k *holdChecker) known(e Event) time.Duration {
	if e.LinkHealthy {
		return e.At
	}
	asked, ok := k.asked[e.Request]
	if !ok { // the id is its dispatcher's own, as on the chat front
		return e.At + k.rules.LongestDeadline
	}
	return max(e.At, asked.Until)
}

// judge breaks the rule if a state was held for too long until at. A process that was killed lets go of nothing ("what a stopped instance
// left is freed some seconds later"); one that was paused acts again when it wakes; one that ended by itself had time to.
func (k *holdChecker) judge(h *hold, at time.Duration) {
	since := h.since
	for _, d := range k.down[h.Dispatcher] {
		if d.At > at || d.Until != 0 && d.Until < h.At {
			continue
		}
		switch d.Class {
		case DownPaused:
			since = max(since, d.Until)
		case DownEnded:
		default:
			return
		}
	}
	limit := k.rules.ReleaseAfter + k.rules.Slack
	if k.out[h.Request] == 0 && at > since+limit {
		e := Event{At: at, Request: h.Request, Replica: h.Replica, Dispatcher: h.Dispatcher}
		k.breach(RuleReservationRelease, e, "held for %v with no attempt out", at-since)
	}
}
