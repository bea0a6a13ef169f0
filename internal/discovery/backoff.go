package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// A backoff is drawn at random from a span whose length is the number of dispatchers in the fleet times one of
	// these durations: minSpanPerDispatcher after the first failures, then doubled with each failure up to
	// maxSpanPerDispatcher. Larger values make a fleet reconnect more slowly and poll discovery less.
	minSpanPerDispatcher = 50 * time.Millisecond
	maxSpanPerDispatcher = 400 * time.Millisecond

	// failuresBeforeDoubling is how many failures in a row use the shortest span. maxDoublings only prevents an
	// overflow.
	failuresBeforeDoubling = 2
	maxDoublings           = 10

	// maxBackoff is the upper limit of each backoff, for any fleet size and any number of failures. A dispatcher counts
	// as notified of a change 6 s after discovery had the change and could be reached, regardless of the results of
	// earlier calls. In the worst case a call is sent just before that moment, and is aborted after silenceTimeout.
	// A backoff of this length after it leaves 1 s for the call that fetches the change, also on a slow machine, and
	// the drain deadline of 500 ms in which the change must take effect.
	maxBackoff = 2 * time.Second

	maxFleetSize = 1 << 16 // prevents an overflow of the span for any settings

	seedMask = 0x9e3779b97f4a7c15 // derives the second word of the generator's seed from the first
)

// backoff draws the delays between attempts to reach discovery: randomized exponential backoff (full jitter) whose span
// also grows with the fleet. A polled discovery serves all dispatchers with a fixed capacity, and all of them lose it
// at the same moment. With a fixed delay they would all retry at the same time, be rejected together and keep discovery
// overloaded permanently. So each delay is drawn from a span that grows with the fleet and doubles while attempts fail,
// up to maxBackoff. Beyond that limit a larger fleet polls more often, but its calls are still spread evenly over the
// span.
//
// A backoff is used by one goroutine.
type backoff struct {
	rng        *rand.Rand
	fleetSize  func() float64 // number of dispatchers that share discovery, including this one
	failures   int            // number of calls of next since the last reset
	agentDelay time.Duration  // delay if discovery is an agent on this machine, which answers at no cost; else 0
}

func newBackoff(seed uint64, fleetSize func() float64) *backoff {
	return &backoff{rng: rand.New(rand.NewPCG(seed, seed^seedMask)), fleetSize: fleetSize}
}

// next counts a failure and draws the delay until the next attempt.
func (b *backoff) next() time.Duration {
	b.failures++
	if b.agentDelay > 0 {
		return b.agentDelay
	}
	doublings := min(max(b.failures-failuresBeforeDoubling, 0), maxDoublings)
	perDispatcher := min(minSpanPerDispatcher<<doublings, maxSpanPerDispatcher)
	dispatchers := time.Duration(min(max(b.fleetSize(), 1), maxFleetSize))
	span := min(dispatchers*perDispatcher, maxBackoff)
	return time.Duration(b.rng.Int64N(int64(span)))
}

// reset restores the shortest span. It is called when discovery has sent something, and after Watcher.MoveTo and
// Watcher.Refresh.
func (b *backoff) reset() { b.failures = 0 }
