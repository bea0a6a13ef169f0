package routing

import "time"

// decayedMean is an exponentially decayed mean: a sample's weight falls by a factor e in each time constant. It is
// pooled with a prior that counts for some samples, so that few samples give a value near the prior.
type decayedMean struct {
	sum          float64 // sum of the samples, decayed to updatedAt
	samples      float64 // number of samples, decayed to updatedAt
	updatedAt    time.Duration
	timeConstant time.Duration
}

// decayFactor returns the fraction of the samples' weight at updatedAt that remains. It returns 0 at once if there are
// no samples, as for most replicas of a large endpoint list; computing an exponential for each of them at each decision
// would take most of the router's time.
func (m *decayedMean) decayFactor(now time.Duration) float64 {
	if m.samples == 0 && m.sum == 0 {
		return 0
	}
	return decay(now-m.updatedAt, m.timeConstant)
}

// add adds a sample.
func (m *decayedMean) add(now time.Duration, x float64) {
	factor := m.decayFactor(now)
	m.sum, m.samples, m.updatedAt = m.sum*factor+x, m.samples*factor+1, now
}

// count returns the decayed number of samples.
func (m *decayedMean) count(now time.Duration) float64 { return m.samples * m.decayFactor(now) }

// mean returns the mean of the samples and a prior that counts for priorSamples samples. priorSamples must be positive.
func (m *decayedMean) mean(now time.Duration, prior, priorSamples float64) float64 {
	factor := m.decayFactor(now)
	return (m.sum*factor + priorSamples*prior) / (m.samples*factor + priorSamples)
}

// ewma is an exponentially weighted moving average that also decays towards 0 while there are no samples.
type ewma struct {
	value        float64 // average at updatedAt
	updatedAt    time.Duration
	timeConstant time.Duration
}

// current returns the average, decayed to now. It is short enough to be inlined, because most replicas have no
// failures.
func (a *ewma) current(now time.Duration) float64 {
	if a.value == 0 {
		return 0
	}
	return a.decayed(now)
}

func (a *ewma) decayed(now time.Duration) float64 {
	return a.value * decay(now-a.updatedAt, a.timeConstant)
}

// update moves the average towards the sample x by the fraction weight of their difference.
func (a *ewma) update(now time.Duration, x, weight float64) {
	value := a.current(now)
	a.value, a.updatedAt = value+weight*(x-value), now
}

// decay returns the fraction of a weight that remains after the time age.
func decay(age, timeConstant time.Duration) float64 {
	return exponential(-float64(age) / float64(timeConstant))
}

// clamp returns value limited to [low, high], or low if value is NaN.
func clamp(value, low, high float64) float64 {
	if !(value > low) {
		return low
	}
	return min(value, high)
}

// toMS converts a duration to milliseconds.
func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMS converts milliseconds to a duration.
func fromMS(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
