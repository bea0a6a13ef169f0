package routing

// Held states. A read leaves a state at its reader, which must be taken or let go in time. The time runs
// while no attempt is known to have reached a running server: that something was sent does not tell, only an
// answer does.

import "time"

// releaseTimerFlag marks the TimerIDs that look after what a request holds; the others look for a server for it.
const releaseTimerFlag TimerID = 1 << 63

// reservation is what may be held for a request at some server.
type reservation struct {
	mayExist              bool          // something may be held, and is not known to have been let go
	since                 time.Duration // with may: when the time began to run
	timerSet              bool          // a timer is under way
	releasedWhileDecoding bool          // it was let go while a write was out: if that arrives later, it finds nothing
}

// releaseDeadline is when what is held for a request must be let go, if no attempt is known to have arrived by
// then.
func (r *Router) releaseDeadline(q *request) time.Duration {
	return q.reservation.since + time.Duration(reservationReleaseFraction*float64(r.cfg.ReservationTTL))
}

// updateReservation takes an attempt's end. One that did not arrive leaves the time running; of one that was given up
// or broke off nobody knows whether it did, and what it left.
func (q *request) updateReservation(now time.Duration, o Outcome, writes bool) {
	switch {
	case o == Served, o == StateMissing && writes:
		q.reservation.mayExist = false
	case o == PrefillDone, writes && o.reachedReplica():
		q.reservation.mayExist, q.reservation.since = true, now
	case o == TimedOut || o == ConnectionReset || o == Cancelled:
		if !q.reservation.mayExist {
			q.reservation.mayExist, q.reservation.since = true, now
		}
	}
}

// release lets go of all that is held for a request.
func (r *Router) release(q *request, why ReleaseReason) {
	q.reservation.mayExist = false
	r.emit(Release{q.Request, why})
}

// scheduleRelease sees to it that what may be held is let go in time, whatever becomes of the attempt that is out.
func (r *Router) scheduleRelease(q *request) {
	if !q.reservation.mayExist || q.reservation.timerSet {
		return
	}
	q.reservation.timerSet = true
	r.emit(SetTimer{max(r.releaseDeadline(q)-r.now, 0), TimerID(q.Request) | releaseTimerFlag})
}

// releaseIfExpired is called when the timer of watchHeld is due.
func (r *Router) releaseIfExpired(q *request) {
	q.reservation.timerSet = false
	if !q.reservation.mayExist {
		return
	}
	if r.now < r.releaseDeadline(q) {
		r.scheduleRelease(q)
		return
	}
	r.release(q, ReservationExpired)
	switch q.state {
	case awaitingDecode: // without a writer yet: it has to be read anew
		q.state, q.retrying, q.pendingPolls, q.selectionStart = awaitingPrefill, true, 0, r.now
		r.advance(q)
	case decoding:
		q.reservation.releasedWhileDecoding = true
	}
}
