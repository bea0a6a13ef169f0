package routing

import (
	"testing"
	"time"
)

// releaseDelay runs a request up to its decode attempts, each of which fails to connect after attemptDuration. It
// returns how long after the prefill the reservation was released; the second result is false if it never was.
func (h *harness) releaseDelay(id RequestID, class int, attemptDuration time.Duration) (time.Duration, bool) {
	h.completePrefill(id, class)
	var timers []scheduledTimer
	reservedAt := h.now
	failAt, attempt, decode := reservedAt+attemptDuration, 1, h.r.requests[id].endpoint
	timers = append(timers, timersOf(h.lastActions, h.now)...)
	for h.now < reservedAt+2*time.Second {
		next := failAt
		at := -1
		for i, pending := range timers {
			if pending.at < next {
				next, at = pending.at, i
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
		if timer, ok := a.(SetTimer); ok {
			out = append(out, scheduledTimer{now + timer.After, timer.Timer})
		}
	}
	return out
}

// The TTL of a reservation keeps running while attempts do not arrive: neither an attempt without a response nor an
// attempt that could not connect stops or restarts it.
func TestReservationIsReleasedWithinTTL(t *testing.T) {
	for name, attemptDuration := range map[string]time.Duration{"no response": time.Hour, "connections fail late": 200 * ms, "connections fail": 80 * ms} {
		t.Run(name, func(t *testing.T) {
			for class := range 2 {
				h := newHarness(t, nil)
				ttl := h.r.cfg.ReservationTTL
				if took, ok := h.releaseDelay(1, class, attemptDuration); !ok || took > ttl {
					t.Errorf("class %d: released %t, after %v, want within %v", class, ok, took, ttl)
				}
			}
		})
	}
}
