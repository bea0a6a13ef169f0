package routing

import "math"

// The constants of exponential. log2E is 1/ln 2; ln2High and ln2Low add up to ln 2, and ln2High has so few bits that its
// product with a small integer is exact.
const (
	log2E   = 1.4426950408889634073599246810018920
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12

	// squarings is how often the result is squared after the argument was divided by two to the power of squarings.
	squarings = 4
	// maxScaledArgument is the largest absolute argument whose result is a normal float64.
	maxScaledArgument = 708

	exponentBias   = 1023 // of a float64
	exponentOffset = 52   // position of the exponent in a float64
)

// taylorCoefficients are 1/(n+1)! for n from 7 down to 0: the series of (e^x - 1)/x.
var taylorCoefficients = [...]float64{1.0 / 40320, 1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 1.0 / 2, 1}

// exponential returns e^x with the same bits on every machine. math.Exp does not: its algorithm depends on the processor,
// and routers that rank the same replicas on different machines must agree. The method is that of N. Shibata: Efficient
// Evaluation Methods of Elementary Functions Suitable for SIMD Computation, with each multiplication and addition of the
// series rounded once, as math.Exp computes it on amd64.
func exponential(x float64) float64 {
	if !(math.Abs(x) <= maxScaledArgument) {
		return math.Exp(x) // 0, infinite, NaN or close to it
	}
	power := math.RoundToEven(float64(x * log2E))
	x = math.FMA(-power, ln2High, x)
	x = math.FMA(-power, ln2Low, x)
	x /= 1 << squarings
	series := taylorCoefficients[0]
	for _, coefficient := range taylorCoefficients[1:] {
		series = math.FMA(series, x, coefficient)
	}
	minusOne := float64(x * series) // e^x - 1; squaring keeps its form: (y+1)² - 1 = y(y+2)
	for range squarings - 1 {
		minusOne = float64(minusOne * (minusOne + 2))
	}
	result := math.FMA(minusOne, minusOne+2, 1)
	return result * math.Float64frombits(uint64(int(power)+exponentBias)<<exponentOffset)
}
