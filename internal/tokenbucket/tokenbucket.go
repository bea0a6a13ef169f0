// Package tokenbucket limits how often something may be done. The rate and the size of a bucket are arguments of each call, since
// both follow a quota that changes while requests are open. It has no clock: the caller passes the time.
package tokenbucket

import "time"

// Bucket is a token bucket (leaky bucket as a meter). The zero value is a bucket that is full at its first Fill. It is not safe for
// use by several goroutines at once.
type Bucket struct {
	tokens      float64
	filledAt    time.Duration
	initialized bool
}

// Fill adds the tokens that have accrued since the last call, at rate tokens per second and up to capacity, and returns the number of
// tokens in the bucket. A time before that of the last call adds nothing.
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

// Add puts tokens into the bucket, up to capacity. A bucket that holds more than capacity keeps what it has.
func (b *Bucket) Add(tokens, capacity float64) {
	b.tokens = min(b.tokens+tokens, max(capacity, b.tokens))
}

// Spend takes one token. A bucket with less than one token becomes empty.
func (b *Bucket) Spend() {
	b.tokens = max(b.tokens-1, 0)
}

// Tokens returns the number of tokens after the last call of another method.
func (b *Bucket) Tokens() float64 {
	return b.tokens
}
