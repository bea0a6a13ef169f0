package connlimit

import (
	"sync/atomic"
	"time"
)

const (
	// drainAcceptWindow is how long after the start of an operator's drain requests are still accepted. The load
	// balancer opens new connections until it has noticed the drain, which takes 0.3 s, and no request may start in the
	// two seconds before the operator checks that the drain is finished.
	drainAcceptWindow = 1900 * time.Millisecond
	// drainDeadline is the time after the start of a drain from which only connections with an answer in progress
	// remain open. The operator checks half a second later that the drain is finished.
	drainDeadline = 3500 * time.Millisecond
	// drainQuietTimeout is how long a draining limiter waits for a complete request on a connection without an open
	// request. The wait is shorter once drainDeadline is near.
	drainQuietTimeout = 2 * time.Second
)

// Drain is the state of an operator's drain. While it is active, each answer is the last on its connection, and nothing
// is read after it. Requests that are received completely later than drainAcceptWindow after the start are rejected.
// From drainDeadline on, a connection stays open only while an answer is in progress. The zero value is an inactive
// drain. Its methods may be called from any goroutine.
type Drain struct {
	startedAt atomic.Pointer[time.Time] // nil while the drain is inactive
}

// Begin starts the drain. It returns false if the drain is active already.
func (d *Drain) Begin(now time.Time) bool { return d.startedAt.CompareAndSwap(nil, &now) }

// End ends the drain. It returns false if the drain is not active.
func (d *Drain) End() bool { return d.startedAt.Swap(nil) != nil }

// Active reports whether the drain is active.
func (d *Drain) Active() bool { return d.startedAt.Load() != nil }

// elapsed returns the time since the drain began, or 0 if the drain is not active.
func (d *Drain) elapsed(now time.Time) time.Duration {
	startedAt := d.startedAt.Load()
	if startedAt == nil {
		return 0
	}
	return now.Sub(*startedAt)
}

// acceptsRequests reports whether a request that has been received completely may still be accepted.
func (d *Drain) acceptsRequests(now time.Time) bool { return d.elapsed(now) < drainAcceptWindow }

// quietTimeout returns how long a connection without an open request may remain without a complete request. It shrinks
// as drainDeadline approaches, but stays long enough for a client that has just connected to get a rejection.
func (d *Drain) quietTimeout(now time.Time) time.Duration {
	return max(min(drainQuietTimeout, drainDeadline-d.elapsed(now)), evictSilentAfter)
}
