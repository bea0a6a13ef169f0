package routing

import (
	"testing"
	"time"
)

// releaseDelay takes a request to its decode attempts, each of which fails to connect after attemptDuration, and returns
// how long after its prefill the reservation was released; the second result is false if it never was.
func (h *harness) releaseDelay(id RequestID, class int, attemptDuration time.Duration) (time.Duration, bool) {
	h.completePrefill(id, class)
	var timers []scheduledTimer
	reservedAt := h.now
	failAt, attempt, decode := reservedAt+attemptDuration, 1, h.r.requests[id].endpoint
	timers = append(timers, timersOf(h.last, h.now)...)
	for h.now < reservedAt+2*time.Second {
		next := failAt
		at := -1
		for i, d := range timers {
			if d.at < next {
				next, at = d.at, i
			}
		}
		var acts []Action
		if at >= 0 {
			timer := timers[at]
			timers = append(timers[:at], timers[at+1:]...)
			acts = h.handle(timer.at-h.now, TimerFired{timer.id})
		} else {
			acts = h.handle(failAt-h.now, AttemptEnded{Request: id, Attempt: attempt, Endpoint: decode, Outcome: ConnectFailed, Elapsed: attemptDuration})
			failAt = reservedAt + time.Hour
		}
		timers = append(timers, timersOf(acts, h.now)...)
		for _, a := range acts {
			switch a := a.(type) {
			case Release:
				return h.now - reservedAt, true
			case Send:
				attempt++
				decode, failAt = a.Endpoint, h.now+attemptDuration
			}
		}
	}
	return 0, false
}

type scheduledTimer struct {
	at time.Duration
	id TimerID
}

func timersOf(acts []Action, now time.Duration) (out []scheduledTimer) {
	for _, a := range acts {
		if w, ok := a.(SetTimer); ok {
			out = append(out, scheduledTimer{now + w.After, w.Timer})
		}
	}
	return out
}

// The time of a reservation runs on while attempts do not arrive: neither an attempt without a response nor one that
// could not connect stops or restarts it.
func TestReservationIsReleasedWithinTTL(t *testing.T) {
	for name, each := range map[string]time.Duration{"no response": time.Hour, "connections fail late": 200 * ms, "connections fail": 80 * ms} {
		t.Run(name, func(t *testing.T) {
			for class := range 2 {
				h := newHarness(t, nil)
				within := h.r.cfg.ReservationTTL
				if took, ok := h.releaseDelay(1, class, each); !ok || took > within {
					t.Errorf("class %d: released %t, after %v, want within %v", class, ok, took, within)
				}
			}
		})
	}
}
