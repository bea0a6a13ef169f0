package routing

import (
	"math"
	"time"
)

// decayedMean is an exponentially decayed mean: a sample's weight falls by a factor e in each time constant. It is
// pooled with a prior, which counts for some samples, so that few samples give a value near the prior.
type decayedMean struct {
	sum          float64 // of the samples, decayed to updatedAt
	samples      float64 // their number, decayed alike
	updatedAt    time.Duration
	timeConstant time.Duration
}

// decayFactor returns the part of the samples' weight at updatedAt that remains. It returns early where there are no
// samples, as of most replicas of a large list: an exponential for each of them at each decision would be most of what
// the router does.
func (m *decayedMean) decayFactor(now time.Duration) float64 {
	if m.samples == 0 && m.sum == 0 {
		return 0
	}
	return decay(now-m.updatedAt, m.timeConstant)
}

// add takes a sample.
func (m *decayedMean) add(now time.Duration, x float64) {
	factor := m.decayFactor(now)
	m.sum, m.samples, m.updatedAt = m.sum*factor+x, m.samples*factor+1, now
}

// count returns the decayed number of samples.
func (m *decayedMean) count(now time.Duration) float64 { return m.samples * m.decayFactor(now) }

// mean returns the mean of the samples and a prior that counts for priorSamples samples, more than 0.
func (m *decayedMean) mean(now time.Duration, prior, priorSamples float64) float64 {
	factor := m.decayFactor(now)
	return (m.sum*factor + priorSamples*prior) / (m.samples*factor + priorSamples)
}

// ewma is an exponentially weighted moving average that also decays towards 0 while there are no samples.
type ewma struct {
	value        float64 // at updatedAt
	updatedAt    time.Duration
	timeConstant time.Duration
}

// current returns the value, decayed to now. It is short enough to be inlined, since most replicas have no failures.
func (a *ewma) current(now time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.decayed(now)
}

func (a *ewma) decayed(now time.Duration) float64 {
	return a.value * decay(now-a.updatedAt, a.timeConstant)
}

// update moves the average to the sample x by a fraction weight of the distance.
func (a *ewma) update(now time.Duration, x, weight float64) {
	value := a.current(now)
	a.value, a.updatedAt = value+weight*(x-value), now
}

// decay returns the part of a weight that remains after some time.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// clamp returns x bounded to [low, high], and low for NaN.
func clamp(value, low, high float64) float64 {
	if !(value > low) {
		return low
	}
	return min(value, high)
}

// toMS converts to milliseconds.
func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMS converts from milliseconds.
func fromMS(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
