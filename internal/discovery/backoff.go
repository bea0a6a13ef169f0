package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	eachFirst = 50 * time.Millisecond  // for each dispatcher of the fleet: the span of a pause,
	eachMost  = 400 * time.Millisecond // and of the longest

	// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before. At the
	// worst a call goes out just before that and is given up after quiet. With a pause of this length behind it, 1 s is left
	// for the call that brings the change and for a slow machine, and 500 ms in which it binds: so no pause may be longer,
	// however large the fleet is or however often it has failed.
	mostPause = 2 * time.Second
	mostFleet = 1 << 16 // so that no settings make a span overflow
)

// backoff draws the pauses between attempts at discovery. Where it has to be asked it serves all dispatchers with a
// fixed capacity and loses all of them at once: with a fixed pause they would come back in step, be turned away
// together and keep it full for good. So each pause is drawn from a span that grows with the fleet and doubles while
// attempts fail, up to mostPause: a larger fleet then asks more often, but still spread evenly over the span.
type backoff struct {
	rng   *rand.Rand
	fleet func() float64 // how many dispatchers there are with a part like this one's
	fails int            // attempts in a row that ended
	agent time.Duration  // the pause where an agent of this machine answers at no cost; 0: there is none
}

func newBackoff(seed uint64, fleet func() float64) *backoff {
	return &backoff{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), fleet: fleet}
}

func (b *backoff) next() time.Duration {
	b.fails++
	if b.agent > 0 {
		return b.agent
	}
	fleet := time.Duration(min(max(b.fleet(), 1), mostFleet))
	span := min(fleet*min(eachFirst<<min(max(b.fails-2, 0), 10), eachMost), mostPause)
	return time.Duration(b.rng.Int64N(int64(span)))
}

// reset is called when discovery has spoken.
func (b *backoff) reset() { b.fails = 0 }
