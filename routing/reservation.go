package routing

import "time"

// reservation is what may be reserved for a request at some replica: a prefill result at its prefill replica, or a
// slot. It must be used or released within Config.ReservationTTL. The TTL runs while no attempt is known to have
// reached a running replica. Sending an attempt does not prove that it arrived; only a response does.
type reservation struct {
	mayExist              bool          // something may be reserved and is not known to have been released
	since                 time.Duration // if mayExist: time from which the TTL is counted
	timerSet              bool          // a release timer is pending
	releasedWhileDecoding bool          // released during a decode attempt, which may then find no prefill result
}

// releaseTimerFlag marks the TimerIDs of release timers. Timers without it make a request continue its selection.
const releaseTimerFlag TimerID = 1 << 63

// releaseDeadline returns the time at which a request's reservation must be released unless an attempt is known to have
// arrived by then.
func (r *Router) releaseDeadline(req *request) time.Duration {
	return req.reservation.since + time.Duration(reservationReleaseFraction*float64(r.cfg.ReservationTTL))
}

// updateReservation applies the outcome of an attempt that was in flight in state priorState, prefilling or decoding.
// An attempt that did not arrive leaves the TTL running. If an attempt timed out or broke off, it is unknown whether
// it arrived and what it reserved.
func (req *request) updateReservation(now time.Duration, o Outcome, priorState requestState) {
	decode := priorState == decoding
	switch {
	case o == Served, o == PrefillResultMissing && decode:
		req.reservation.mayExist = false
	case o == PrefillDone, decode && o.reachedReplica():
		req.reservation.mayExist, req.reservation.since = true, now
	case o == TimedOut || o == ConnectionReset || o == Cancelled:
		if !req.reservation.mayExist {
			req.reservation.mayExist, req.reservation.since = true, now
		}
	}
}

// release releases everything that is reserved for a request.
func (r *Router) release(req *request, reason ReleaseReason) {
	req.reservation.mayExist = false
	r.emit(Release{req.Request, reason})
}

// scheduleRelease sets a timer for the release deadline of a request's reservation, unless there is no reservation or a
// timer is already pending. The timer fires whatever the outcome of the attempt in flight, so that the reservation is
// released in time.
func (r *Router) scheduleRelease(req *request) {
	if !req.reservation.mayExist || req.reservation.timerSet {
		return
	}
	req.reservation.timerSet = true
	r.emit(SetTimer{max(r.releaseDeadline(req)-r.now, 0), TimerID(req.Request) | releaseTimerFlag})
}

// releaseIfExpired is called when the timer of scheduleRelease fires. It releases the reservation if the release
// deadline has passed, and otherwise sets the timer again.
func (r *Router) releaseIfExpired(req *request) {
	req.reservation.timerSet = false
	if !req.reservation.mayExist {
		return
	}
	if r.now < r.releaseDeadline(req) {
		r.scheduleRelease(req)
		return
	}
	r.release(req, ReservationExpired)
	r.reservationExpired(req)
}
