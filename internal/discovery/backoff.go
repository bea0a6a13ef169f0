package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// The span that a backoff is drawn from is this long for each dispatcher of the fleet: minSpanPerDispatcher after
	// the first failures, then doubled with each one up to maxSpanPerDispatcher. Raising them makes a fleet come back
	// more slowly and poll discovery less.
	minSpanPerDispatcher = 50 * time.Millisecond
	maxSpanPerDispatcher = 400 * time.Millisecond

	// failuresBeforeDoubling is how many failures in a row have the shortest span; maxDoublings only avoids an overflow.
	failuresBeforeDoubling = 2
	maxDoublings           = 10

	// maxBackoff bounds each backoff. A change counts as notified 6 s after discovery had it and could be reached,
	// whatever became of the calls before. At the worst a call goes out just before that and is given up after
	// silenceTimeout. With a backoff of this length behind it, 1 s remains for the call that brings the change and for a
	// slow machine, and 500 ms in which it binds: so no backoff may be longer, however large the fleet is or however
	// often discovery has failed.
	maxBackoff = 2 * time.Second

	maxFleetSize = 1 << 16 // so that no settings make a span overflow

	seedMask = 0x9e3779b97f4a7c15 // makes the generator's second word from the seed
)

// backoff draws the delays between attempts at discovery: randomized exponential backoff (full jitter) whose span also
// grows with the fleet. Where discovery has to be polled, it serves all dispatchers with a fixed capacity and loses all
// of them at once: with a fixed delay they would come back in step, be rejected together and keep it overloaded for
// good. So each delay is drawn from a span that grows with the fleet and doubles while attempts fail, up to maxBackoff:
// a larger fleet then polls more often, but still evenly over the span.
//
// It is used by one goroutine.
type backoff struct {
	rng       *rand.Rand
	fleetSize func() float64 // how many dispatchers share discovery with this one
	failures  int            // attempts in a row that ended
	agent     time.Duration  // the delay where an agent of this machine answers at no cost; 0: there is none
}

func newBackoff(seed uint64, fleetSize func() float64) *backoff {
	return &backoff{rng: rand.New(rand.NewPCG(seed, seed^seedMask)), fleetSize: fleetSize}
}

// next counts a failure and draws the delay until the next attempt.
func (b *backoff) next() time.Duration {
	b.failures++
	if b.agent > 0 {
		return b.agent
	}
	doublings := min(max(b.failures-failuresBeforeDoubling, 0), maxDoublings)
	perDispatcher := min(minSpanPerDispatcher<<doublings, maxSpanPerDispatcher)
	dispatchers := time.Duration(min(max(b.fleetSize(), 1), maxFleetSize))
	span := min(dispatchers*perDispatcher, maxBackoff)
	return time.Duration(b.rng.Int64N(int64(span)))
}

// reset is called when discovery has sent something.
func (b *backoff) reset() { b.failures = 0 }
