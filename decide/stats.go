package decide

// Arithmetic without a decision or tuned value: fading means, a fading least-squares fit, a keyed draw.

import (
	"math"
	"time"
)

// evidence is a fading mean that leans on its pool's value, given as so many samples, where it is thin.
type evidence struct {
	sum, n float64
	at     time.Duration
	fade   time.Duration
}

// left is the part of the evidence that has not faded. Of most servers of a large list there is none: an exponential for each of them at
// each decision would be most of what the router does.
func (e *evidence) left(now time.Duration) float64 {
	if e.n == 0 && e.sum == 0 {
		return 0
	}
	return faded(now-e.at, e.fade)
}

func (e *evidence) add(now time.Duration, x float64) {
	f := e.left(now)
	e.sum, e.n, e.at = e.sum*f+x, e.n*f+1, now
}

func (e *evidence) count(now time.Duration) float64 { return e.n * e.left(now) }

func (e *evidence) mean(now time.Duration, pool, weight float64) float64 {
	f := e.left(now)
	return (e.sum*f + weight*pool) / (e.n*f + weight)
}

// level is an average that fades towards zero.
type level struct {
	value float64
	at    time.Duration
	fade  time.Duration
}

func (l *level) now(now time.Duration) float64 {
	if l.value == 0 {
		return 0
	}
	return l.value * faded(now-l.at, l.fade)
}

// move takes the level a part of the way to x.
func (l *level) move(now time.Duration, x, part float64) {
	v := l.now(now)
	l.value, l.at = v+part*(x-v), now
}

// faded is what is left of a weight after some time.
func faded(age, fade time.Duration) float64 { return math.Exp(-float64(age) / float64(fade)) }

// fit is a fading least-squares fit of a time in ms to three inputs. Its prior coefficients weigh as
// some samples, so inputs that do not vary leave the rest where they were; bounds hold whatever comes.
type fit struct {
	a                    [3][3]float64
	b, coef, prior, most [3]float64
	weight               float64
	at, fade             time.Duration
}

func (f *fit) predict(x [3]float64) float64 { return f.coef[0]*x[0] + f.coef[1]*x[1] + f.coef[2]*x[2] }

func (f *fit) add(now time.Duration, x [3]float64, y float64) {
	left := faded(now-f.at, f.fade)
	f.at = now
	for i := range x {
		for j := range x {
			f.a[i][j] = f.a[i][j]*left + x[i]*x[j]
		}
		f.b[i] = f.b[i]*left + x[i]*y
	}
	f.solve(now)
}

// solve sets the coefficients from what is left of the samples.
func (f *fit) solve(now time.Duration) {
	left := faded(now-f.at, f.fade)
	m, v := f.a, f.b
	for i := range v {
		for j := range v {
			m[i][j] *= left
		}
		m[i][i] += f.weight
		v[i] = v[i]*left + f.weight*f.prior[i]
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
		f.coef[i] = clamp(v[i], 0, f.most[i])
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

// draw is an exponential variate that hangs on the key and the server alone.
func draw(key Key, id ServerID) float64 {
	x := uint64(key) ^ (uint64(id)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return -math.Log((float64((x^x>>31)>>11) + 0.5) / (1 << 53))
}
