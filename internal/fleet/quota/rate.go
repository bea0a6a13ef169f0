package quota

import "time"

// rateWindow is the time constant of the moving average.
const rateWindow = 2 * time.Second

// Rate is an exponential moving average of events per second, computed from a count that only grows. Its zero value has
// observed no count.
type Rate struct {
	count   int64         // last observed count
	at      time.Duration // time of the last observed count
	rate    float64       // events per second
	started bool
}

// Observe records the count at the time now and returns the rate. The first call returns 0.
func (r *Rate) Observe(now time.Duration, count int64) float64 {
	if !r.started {
		r.started, r.count, r.at = true, count, now
		return 0
	}
	if elapsed := now - r.at; elapsed > 0 {
		latest := float64(max(count-r.count, 0)) / elapsed.Seconds()
		weight := min(float64(elapsed)/float64(rateWindow), 1)
		r.rate += weight * (latest - r.rate)
		r.count, r.at = count, now
	}
	return r.rate
}
