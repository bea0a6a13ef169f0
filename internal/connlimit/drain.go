package connlimit

import (
	"sync/atomic"
	"time"
)

const (
	// drainAcceptFor is for how long after the beginning of an operator's drain requests are still accepted. New
	// connections come until the load balancer has noticed, 0.3 s, and two seconds before the operator looks nothing
	// new may begin.
	drainAcceptFor = 1900 * time.Millisecond
	// drainDeadline is when only connections with an answer under way remain. Half a second later the operator looks.
	drainDeadline = 3500 * time.Millisecond
	// drainQuietTimeout is for how long a draining limiter waits for a connection without an open request to send
	// something, until drainDeadline is near.
	drainQuietTimeout = 2 * time.Second
)

// Drain is the state of an operator's drain. From its beginning each answer is the last on its connection, and nothing
// is read after it; requests that come later than drainAcceptFor are rejected; and from drainDeadline on a connection
// remains only while an answer is under way. The zero value is a drain that has not begun. Its methods may be called
// from any goroutine.
type Drain struct {
	begun atomic.Pointer[time.Time] // nil: not draining
}

// Begin begins the drain. It returns false if it is active already.
func (d *Drain) Begin(now time.Time) bool { return d.begun.CompareAndSwap(nil, &now) }

// End ends the drain. It returns false if none is active.
func (d *Drain) End() bool { return d.begun.Swap(nil) != nil }

// Active reports whether the drain is active.
func (d *Drain) Active() bool { return d.begun.Load() != nil }

// elapsed is the time since the drain began; 0 if none is active.
func (d *Drain) elapsed(now time.Time) time.Duration {
	begun := d.begun.Load()
	if begun == nil {
		return 0
	}
	return now.Sub(*begun)
}

// accepts reports whether a request that has come whole may still be accepted.
func (d *Drain) accepts(now time.Time) bool { return d.elapsed(now) < drainAcceptFor }

// quietTimeout is for how long a connection without an open request may be silent. It shrinks as drainDeadline nears,
// and remains long enough for a client that has just connected to get a rejection.
func (d *Drain) quietTimeout(now time.Time) time.Duration {
	return max(min(drainQuietTimeout, drainDeadline-d.elapsed(now)), evictSilentAfter)
}
