package connlimit

import (
	"sync/atomic"
	"time"
)

const (
	// drainTakes is for how long after the begin of an operator's drain requests are still taken: new connections come until the front
	// has noticed, 0.3 s, and two seconds before the operator looks nothing new may begin.
	drainTakes = 1900 * time.Millisecond
	// drainEnds is when nothing is left of a drained front's connections but answers under way. Half a second later the operator looks.
	drainEnds = 3500 * time.Millisecond
	// drainQuiet is for how long a drained front waits for a connection without an open request to say something, until drainEnds is near.
	drainQuiet = 2 * time.Second
)

// Drain is an operator's drain. From its begin on each answer is the last on its connection and nothing more is read behind it; requests
// that come later than drainTakes are refused; and from drainEnds on no connection is kept but for an answer under way. Its methods may
// be called from any goroutine.
type Drain struct {
	begun atomic.Pointer[time.Time] // nil: there is none
}

// Begin begins the drain, and reports false if it lasts already.
func (d *Drain) Begin(now time.Time) bool { return d.begun.CompareAndSwap(nil, &now) }

// End ends the drain, and reports false if there is none.
func (d *Drain) End() bool { return d.begun.Swap(nil) != nil }

// Active reports whether the drain lasts.
func (d *Drain) Active() bool { return d.begun.Load() != nil }

// lasted is how long the drain has lasted; 0 without one.
func (d *Drain) lasted(now time.Time) time.Duration {
	begun := d.begun.Load()
	if begun == nil {
		return 0
	}
	return now.Sub(*begun)
}

// takes reports whether a request that has come whole may still be taken.
func (d *Drain) takes(now time.Time) bool { return d.lasted(now) < drainTakes }

// patience is for how long a connection without an open request may be silent. It shrinks as drainEnds nears, and stays long enough for a
// client that has just connected to be refused with an answer.
func (d *Drain) patience(now time.Time) time.Duration {
	return max(min(drainQuiet, drainEnds-d.lasted(now)), silentFor)
}
