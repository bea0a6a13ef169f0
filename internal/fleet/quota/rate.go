package quota

import "time"

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
