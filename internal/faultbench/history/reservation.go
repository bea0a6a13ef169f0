package history

import (
	"slices"
	"time"
)

// reservationChecker checks RuleReservationRelease on the states that replicas hold for requests. An attempt that has
// not completely arrived is not outstanding and does not stop the time limit. The operators' rules: "A call counts when
// its last byte has come to a running replica, answered or not"; "While connections fail to come up, the time keeps
// running."
type reservationChecker struct {
	*checker
	requests     map[string]Event        // RequestSent events by request ID
	reservations map[string]*reservation // current reservations by request ID
	outstanding  map[string]int          // number of attempts that have arrived and not ended, by request ID
}

// reservation is a state that a replica holds, with the StateReserved event that reported it.
type reservation struct {
	Event
	idleSince time.Duration // time by which the dispatcher knows that the last attempt has ended
}

// checkReservations checks RuleReservationRelease: "While no attempt of a request is outstanding, a state ... held
// for it is taken up by a SEND or relinquished by DROP_STATE within familyInfo.releaseWithinMs". A state that is still
// reserved at the end of the history is checked as of that time.
func (c *checker) checkReservations() {
	r := reservationChecker{c, map[string]Event{}, map[string]*reservation{}, map[string]int{}}
	end := time.Duration(0)
	for _, e := range sortedByLastByte(c.events) {
		end = e.At
		r.applyEvent(e)
	}
	for _, reserved := range r.reservations {
		r.checkRelease(reserved, end)
	}
}

// sortedByLastByte returns a copy of events, sorted by time. The copy's AttemptArrived events have the time of their
// last byte.
func sortedByLastByte(events []Event) []Event {
	events = slices.Clone(events)
	for i, e := range events {
		if e.Kind == AttemptArrived {
			events[i].At = max(e.At, e.LastByteAt)
		}
	}
	return sortedByTime(events)
}

// applyEvent updates the reservations, and checks a reservation when a new attempt arrives or the state is released.
func (r *reservationChecker) applyEvent(e Event) {
	reserved := r.reservations[e.Request]
	switch e.Kind {
	case RequestSent:
		r.requests[e.Request] = e
	case AttemptArrived:
		if reserved != nil {
			r.checkRelease(reserved, e.At)
		}
		r.outstanding[e.Request]++
	case AttemptEnded:
		r.outstanding[e.Request]--
		if reserved != nil {
			reserved.idleSince = r.endKnownAt(e)
		}
	case StateReserved:
		r.reservations[e.Request] = &reservation{Event: e, idleSince: e.At}
	case StateReleased:
		if reserved != nil {
			r.checkRelease(reserved, e.At)
			delete(r.reservations, e.Request)
		}
	}
}

// endKnownAt returns the time by which a dispatcher knows that an attempt has ended. If a fault may hide the end, the
// attempt counts as outstanding until the client's deadline, because its outcome has not been delivered ("while no
// attempt of a request is outstanding").
func (r *reservationChecker) endKnownAt(e Event) time.Duration {
	if e.LinkHealthy {
		return e.At
	}
	request, ok := r.requests[e.Request]
	if !ok { // the dispatcher assigned the ID itself, as the chat API does
		return e.At + r.rules.LongestDeadline
	}
	return max(e.At, request.Until)
}

// checkRelease reports a state that had been reserved for too long at the time at. A process that was killed is exempt,
// because it releases nothing ("What a stopped instance left is freed some seconds later"). For a process that was
// paused, the time limit starts when it resumes. A process that ended by itself is not exempt, because it had time to
// release the state.
func (r *reservationChecker) checkRelease(reserved *reservation, at time.Duration) {
	since := reserved.idleSince
	for _, d := range r.downtimes[reserved.Dispatcher] {
		if d.At > at || d.Until != 0 && d.Until < reserved.At {
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
	limit := r.rules.ReleaseAfter + r.rules.Slack
	if r.outstanding[reserved.Request] == 0 && at > since+limit {
		e := Event{At: at, Request: reserved.Request, Replica: reserved.Replica, Dispatcher: reserved.Dispatcher}
		r.report(RuleReservationRelease, e, "held for %v with no attempt out", at-since)
	}
}
