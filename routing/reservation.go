package routing

import "time"

// reservation is what may be reserved for a request at some replica: a prefill result at its prefill replica, or a
// slot. It must be used or released within Config.ReservationTTL. The time runs while no attempt is known to have
// reached a running replica; that an attempt was sent does not prove that, only a response does.
type reservation struct {
	mayExist              bool          // something may be reserved and is not known to have been released
	since                 time.Duration // if mayExist: when the time began to run
	timerSet              bool          // a release timer is pending
	releasedWhileDecoding bool          // released while a decode attempt was out, which may then find no prefill result
}

// releaseTimerFlag marks the TimerIDs of release timers; timers without it let a request look for a replica again.
const releaseTimerFlag TimerID = 1 << 63

// releaseDeadline returns when a request's reservation must be released unless an attempt is known to have arrived by
// then.
func (r *Router) releaseDeadline(req *request) time.Duration {
	return req.reservation.since + time.Duration(reservationReleaseFraction*float64(r.cfg.ReservationTTL))
}

// updateReservation takes the end of an attempt that was out in a state, prefilling or decoding. An attempt that did
// not arrive leaves the time running. Of one that timed out or broke off it is unknown whether it arrived and what it
// reserved.
func (req *request) updateReservation(now time.Duration, o Outcome, during requestState) {
	decode := during == decoding
	switch {
	case o == Served, o == StateMissing && decode:
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
func (r *Router) release(req *request, why ReleaseReason) {
	req.reservation.mayExist = false
	r.emit(Release{req.Request, why})
}

// scheduleRelease sets the timer by which the reservation is released in time whatever becomes of the attempt that is
// out.
func (r *Router) scheduleRelease(req *request) {
	if !req.reservation.mayExist || req.reservation.timerSet {
		return
	}
	req.reservation.timerSet = true
	r.emit(SetTimer{max(r.releaseDeadline(req)-r.now, 0), TimerID(req.Request) | releaseTimerFlag})
}

// releaseIfExpired handles the timer of scheduleRelease.
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
