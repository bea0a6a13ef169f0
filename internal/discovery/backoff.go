package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	eachFirst = 50 * time.Millisecond  // for each dispatcher of the fleet: the span of the first pause,
	eachMost  = 400 * time.Millisecond // and of the longest
)

// backoff draws the pauses between attempts at discovery. Discovery serves all dispatchers with a fixed capacity
// and loses all of them at once: with a fixed pause they would come back in step, be turned away together and
// keep it full for good. So each pause is drawn from a span that lets the fleet together ask a set number of
// times a second, and the span doubles while attempts fail.
type backoff struct {
	rng               *rand.Rand
	first, most, span time.Duration
}

func newBackoff(seed uint64, fleet int) *backoff {
	n := time.Duration(min(max(fleet, 1), 1000))
	return &backoff{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		first: n * eachFirst, most: n * eachMost, span: n * eachFirst}
}

func (b *backoff) next() time.Duration {
	pause := time.Duration(b.rng.Int64N(int64(b.span)))
	b.span = min(2*b.span, b.most)
	return pause
}

// reset is called when discovery has spoken.
func (b *backoff) reset() { b.span = b.first }
