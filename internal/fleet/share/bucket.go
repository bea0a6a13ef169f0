package share

import "time"

// Bucket is a budget of acts that a rate fills, which may change at any time. Its zero value is one that is full when it is
// first asked.
type Bucket struct {
	tokens float64
	at     time.Duration
	begun  bool
}

// Fill lets what came since the last time in, at a rate a second, up to most, and returns how many acts are left.
func (b *Bucket) Fill(now time.Duration, rate, most float64) float64 {
	if !b.begun {
		b.begun, b.tokens = true, most
	} else {
		b.tokens = min(b.tokens+rate*max(now-b.at, 0).Seconds(), most)
	}
	b.at = max(now, b.at)
	return b.tokens
}

// Add lets more in, up to most.
func (b *Bucket) Add(n, most float64) { b.tokens = min(b.tokens+n, max(most, b.tokens)) }

// Spend takes one act, down to none.
func (b *Bucket) Spend() { b.tokens = max(b.tokens-1, 0) }

// Left is how many acts were left when it was last asked.
func (b *Bucket) Left() float64 { return b.tokens }

// Rate is how much comes in a second of late, from a count that only grows. Its zero value has seen nothing.
type Rate struct {
	count int64
	at    time.Duration
	rate  float64
	begun bool
}

// rateFade is how long what came counts, on the mean.
const rateFade = 2 * time.Second

// Observe takes the count at a time and returns the rate.
func (r *Rate) Observe(now time.Duration, count int64) float64 {
	if !r.begun {
		r.begun, r.count, r.at = true, count, now
		return 0
	}
	if past := now - r.at; past > 0 {
		latest := float64(max(count-r.count, 0)) / past.Seconds()
		part := min(float64(past)/float64(rateFade), 1)
		r.rate += part * (latest - r.rate)
		r.count, r.at = count, now
	}
	return r.rate
}
