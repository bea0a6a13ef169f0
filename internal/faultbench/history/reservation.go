package history

import (
	"slices"
	"time"
)

// reservationChecker judges RuleReservationRelease, by what replicas keep for requests. The operators' sentences bind
// it: "A call counts when its last byte has come to a running replica, answered or not", so an attempt that has not
// arrived is not outstanding and does not stop the clock; "While connections fail to come up, the time keeps
// running."
type reservationChecker struct {
	*checker
	requests     map[string]Event        // as their clients sent them, by ID
	reservations map[string]*reservation // by request
	outstanding  map[string]int          // attempts that have arrived and have not ended, by request
}

// reservation is a state that waits at a replica, as its StateReserved event reported it.
type reservation struct {
	Event
	idleSince time.Duration // the last attempt's end, as far as its dispatcher can know of it
}

// checkReservations judges RuleReservationRelease: "While no attempt of a request is outstanding, a state ... held
// for it is taken up by a SEND or relinquished by DROP_STATE within familyInfo.releaseWithinMs". What is still
// reserved at the end of the history is judged there.
func (c *checker) checkReservations() {
	r := reservationChecker{c, map[string]Event{}, map[string]*reservation{}, map[string]int{}}
	end := time.Duration(0)
	for _, e := range sortedByLastByte(c.events) {
		end = e.At
		r.applyEvent(e)
	}
	for _, s := range r.reservations {
		r.checkRelease(s, end)
	}
}

// sortedByLastByte orders events by when they happened, an attempt's arrival by its last byte.
func sortedByLastByte(events []Event) []Event {
	events = slices.Clone(events)
	for i, e := range events {
		if e.Kind == AttemptArrived {
			events[i].At = max(e.At, e.LastByteAt)
		}
	}
	return sortedByTime(events)
}

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

// endKnownAt is when a dispatcher knows at the latest that an attempt has ended. Where a fault may keep that from it,
// the attempt is outstanding for it until its client's deadline ("while no attempt of a request is outstanding": the
// outcome has not been delivered).
func (r *reservationChecker) endKnownAt(e Event) time.Duration {
	if e.LinkHealthy {
		return e.At
	}
	request, ok := r.requests[e.Request]
	if !ok { // the ID is its dispatcher's own, as on the chat front
		return e.At + r.rules.LongestDeadline
	}
	return max(e.At, request.Until)
}

// checkRelease reports a state that was reserved for too long until at. A process that was killed releases nothing ("What a
// stopped instance left is freed some seconds later"); one that was paused acts again when it resumes; one that ended
// by itself had time to.
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
