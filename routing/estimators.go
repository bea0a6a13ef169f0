package routing

// Arithmetic without a decision or tuned value: fading means, a fading least-squares fit, a keyed draw.

import (
	"math"
	"time"
)

// decayedMean is a fading mean that leans on its pool's value, given as so many samples, where it is thin.
type decayedMean struct {
	sum, samples float64
	updatedAt    time.Duration
	timeConstant time.Duration
}

// decayFactor is the part of the evidence that has not faded. Of most servers of a large list there is none: an exponential for each of them at
// each decision would be most of what the router does.
func (e *decayedMean) decayFactor(now time.Duration) float64 {
	if e.samples == 0 && e.sum == 0 {
		return 0
	}
	return decay(now-e.updatedAt, e.timeConstant)
}

func (e *decayedMean) add(now time.Duration, x float64) {
	f := e.decayFactor(now)
	e.sum, e.samples, e.updatedAt = e.sum*f+x, e.samples*f+1, now
}

func (e *decayedMean) count(now time.Duration) float64 { return e.samples * e.decayFactor(now) }

func (e *decayedMean) mean(now time.Duration, pool, weight float64) float64 {
	f := e.decayFactor(now)
	return (e.sum*f + weight*pool) / (e.samples*f + weight)
}

// ewma is an average that fades towards zero.
type ewma struct {
	value        float64
	updatedAt    time.Duration
	timeConstant time.Duration
}

func (l *ewma) current(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * decay(now-l.updatedAt, l.timeConstant)
}

// update takes the level a part of the way to x.
func (l *ewma) update(now time.Duration, x, part float64) {
	v := l.current(now)
	l.value, l.updatedAt = v+part*(x-v), now
}

// decay is what is left of a weight after some time.
func decay(age, fade time.Duration) float64 { return math.Exp(-float64(age) / float64(fade)) }

// latencyModel is a fading least-squares latencyModel of a time in ms to three inputs. Its prior coefficients weigh as
// some samples, so inputs that do not vary leave the rest where they were; bounds hold whatever comes.
type latencyModel struct {
	normal                                        [3][3]float64
	moments, coefficients, prior, maxCoefficients [3]float64
	priorSamples                                  float64
	updatedAt, timeConstant                       time.Duration
}

func (f *latencyModel) predict(x [3]float64) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

func (f *latencyModel) add(now time.Duration, x [3]float64, y float64) {
	left := decay(now-f.updatedAt, f.timeConstant)
	f.updatedAt = now
	for i := range x {
		for j := range x {
			f.normal[i][j] = f.normal[i][j]*left + x[i]*x[j]
		}
		f.moments[i] = f.moments[i]*left + x[i]*y
	}
	f.solve(now)
}

// solve sets the coefficients from what is left of the samples.
func (f *latencyModel) solve(now time.Duration) {
	left := decay(now-f.updatedAt, f.timeConstant)
	m, v := f.normal, f.moments
	for i := range v {
		for j := range v {
			m[i][j] *= left
		}
		m[i][i] += f.priorSamples
		v[i] = v[i]*left + f.priorSamples*f.prior[i]
	}
	for i := range v {
		for j := i + 1; j < len(v); j++ {
			k := m[j][i] / m[i][i]
			for l := i; l < len(v); l++ {
				m[j][l] -= k * m[i][l]
			}
			v[j] -= k * v[i]
		}
	}
	for i := len(v) - 1; i >= 0; i-- {
		for l := i + 1; l < len(v); l++ {
			v[i] -= m[i][l] * v[l]
		}
		v[i] /= m[i][i]
		f.coefficients[i] = clamp(v[i], 0, f.maxCoefficients[i])
	}
}

func clamp(x, lo, hi float64) float64 {
	if !(x > lo) {
		return lo
	}
	return min(x, hi)
}

func toMS(d time.Duration) float64   { return float64(d) / float64(time.Millisecond) }
func fromMS(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// exponentialDraw is an exponential variate that hangs on the key and the server alone.
func exponentialDraw(key Key, id EndpointID) float64 {
	x := uint64(key) ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}
