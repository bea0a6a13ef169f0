package routing

import (
	"testing"
	"time"
)

// releaseDelay plays a request up to its writes, each of which fails to connect after the same time, and returns how long after its
// read the state was let go; the second result is false if it never was.
func (b *harness) releaseDelay(id RequestID, class int, each time.Duration) (time.Duration, bool) {
	b.completePrefill(id, class)
	var due []scheduledTimer
	held := b.now
	failAt, attempt, writer := held+each, 1, b.r.requests[id].endpoint
	due = append(due, timersOf(b.last, b.now)...)
	for b.now < held+2*time.Second {
		next := failAt
		at := -1
		for i, d := range due {
			if d.at < next {
				next, at = d.at, i
			}
		}
		var acts []Action
		if at >= 0 {
			timer := due[at]
			due = append(due[:at], due[at+1:]...)
			acts = b.handle(timer.at-b.now, TimerFired{timer.id})
		} else {
			acts = b.handle(failAt-b.now, AttemptEnded{Request: id, Attempt: attempt, Endpoint: writer, Outcome: ConnectFailed, Elapsed: each})
			failAt = held + time.Hour
		}
		due = append(due, timersOf(acts, b.now)...)
		for _, a := range acts {
			switch a := a.(type) {
			case Release:
				return b.now - held, true
			case Send:
				attempt++
				writer, failAt = a.Endpoint, b.now+each
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

// The time for which a state may be held runs on while sends do not arrive: neither an attempt that is out without a word nor one that
// could not connect stops it or begins it anew.
func TestReservationIsReleasedWithinTTL(t *testing.T) {
	for name, each := range map[string]time.Duration{"no word": time.Hour, "connections fail late": 200 * ms, "connections fail": 80 * ms} {
		t.Run(name, func(t *testing.T) {
			for class := range 2 {
				b := newHarness(t, nil)
				within := b.r.cfg.ReservationTTL
				if took, ok := b.releaseDelay(1, class, each); !ok || took > within {
					t.Errorf("class %d: let go %t, after %v, want within %v", class, ok, took, within)
				}
			}
		})
	}
}
