// Package tokenbucket implements a token bucket for rate limiting. The rate and the capacity are arguments of each
// call, since both are derived from a quota that changes while requests are open. The package reads no clock: the
// caller passes the time.
package tokenbucket

import "time"

// Bucket is a token bucket (a leaky bucket as a meter). The first call of Fill fills the zero value to its capacity. A
// Bucket is not safe for concurrent use.
type Bucket struct {
	tokens      float64
	filledAt    time.Duration
	initialized bool
}

// Fill adds the tokens that have accrued since the previous call of Fill, at rate tokens per second and up to capacity,
// and returns the number of tokens in the bucket. It adds nothing if now is before the time of an earlier call.
func (b *Bucket) Fill(now time.Duration, rate, capacity float64) float64 {
	if !b.initialized {
		b.initialized = true
		b.tokens = capacity
	} else {
		accrued := rate * max(now-b.filledAt, 0).Seconds()
		b.tokens = min(b.tokens+accrued, capacity)
	}
	b.filledAt = max(now, b.filledAt)
	return b.tokens
}

// Add adds tokens to the bucket, up to capacity. A bucket that already contains more than capacity keeps its tokens.
func (b *Bucket) Add(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, max(capacity, b.tokens))
}

// Spend removes one token. A bucket with less than one token becomes empty.
func (b *Bucket) Spend() {
	b.tokens = max(b.tokens-1, 0)
}

// Take removes tokens. It may leave a debt, a negative number of tokens.
func (b *Bucket) Take(tokens float64) { b.tokens -= tokens }

// Tokens returns the number of tokens in the bucket. It adds none for the time since the last call of Fill.
func (b *Bucket) Tokens() float64 {
	return b.tokens
}
