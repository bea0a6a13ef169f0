package routing

import "time"

// latencyInputs are the inputs of a latencyModel: 1, thousands of tokens to process, own attempts ahead.
type latencyInputs [3]float64

// The indices of latencyInputs and of the coefficients that belong to them.
const (
	baseInput = iota
	kiloTokensInput
	aheadInput
)

// latencyModel is a linear model of a time in ms, fit by recursive least squares with exponential forgetting and
// ridge regularization towards a prior (S. Haykin, Adaptive Filter Theory). The prior counts for priorSamples samples,
// so that inputs that do not vary leave the other coefficients where they were. The coefficients are bounded whatever
// the samples are.
type latencyModel struct {
	normal          [3][3]float64 // decayed sum of products of the inputs
	moments         [3]float64    // decayed sum of inputs times results
	coefficients    [3]float64
	prior           [3]float64
	maxCoefficients [3]float64
	priorSamples    float64
	updatedAt       time.Duration
	timeConstant    time.Duration
}

// newLatencyModel returns a model with the paper's coefficients.
func newLatencyModel() latencyModel {
	prior := [3]float64{initialPrefillBaseMS, initialPrefillPerKiloTokenMS, initialStepMS}
	return latencyModel{
		coefficients:    prior,
		prior:           prior,
		maxCoefficients: [3]float64{maxPrefillBaseMS, maxMarginalCostMS, maxMarginalCostMS},
		priorSamples:    priorSamples,
		timeConstant:    modelTimeConstant,
	}
}

// predict returns the model's time for the inputs, in ms.
func (f *latencyModel) predict(x latencyInputs) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

// outlierLimit returns the largest sample, in ms, that is taken for the inputs.
func (f *latencyModel) outlierLimit(x latencyInputs) float64 {
	return outlierMultiple*f.predict(x) + outlierMarginMS
}

// add takes a sample of y ms.
func (f *latencyModel) add(now time.Duration, inputs latencyInputs, result float64) {
	factor := decay(now-f.updatedAt, f.timeConstant)
	f.updatedAt = now
	for i := range inputs {
		for j := range inputs {
			f.normal[i][j] = f.normal[i][j]*factor + inputs[i]*inputs[j]
		}
		f.moments[i] = f.moments[i]*factor + inputs[i]*result
	}
	f.solve(now)
}

// solve sets the coefficients from the samples, decayed to now, and the prior, by Gaussian elimination.
func (f *latencyModel) solve(now time.Duration) {
	factor := decay(now-f.updatedAt, f.timeConstant)
	matrix, vector := f.normal, f.moments
	for i := range vector {
		for j := range vector {
			matrix[i][j] *= factor
		}
		matrix[i][i] += f.priorSamples
		vector[i] = vector[i]*factor + f.priorSamples*f.prior[i]
	}
	for i := range vector {
		for j := i + 1; j < len(vector); j++ {
			multiple := matrix[j][i] / matrix[i][i]
			for k := i; k < len(vector); k++ {
				matrix[j][k] -= multiple * matrix[i][k]
			}
			vector[j] -= multiple * vector[i]
		}
	}
	for i := len(vector) - 1; i >= 0; i-- {
		for k := i + 1; k < len(vector); k++ {
			vector[i] -= matrix[i][k] * vector[k]
		}
		vector[i] /= matrix[i][i]
		f.coefficients[i] = clamp(vector[i], 0, f.maxCoefficients[i])
	}
}
