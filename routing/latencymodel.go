package routing

import (
	"math"
	"time"
)

// latencyInputs are the inputs of a latencyModel: 1, thousands of tokens to process, and this router's own attempts
// ahead.
type latencyInputs [3]float64

// The indices of latencyInputs and of the corresponding coefficients.
const (
	baseInput = iota
	kiloTokensInput
	attemptsAheadInput
)

// latencyModel is a linear model of a duration in ms. It is fitted by recursive least squares with exponential
// forgetting and ridge regularization towards a prior (S. Haykin, Adaptive Filter Theory). The prior counts for
// priorSamples samples, so that inputs that do not vary leave the other coefficients unchanged. The coefficients are
// bounded whatever the samples are.
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

// newLatencyModel returns a model with the paper's coefficients, except the coefficient of the tokens.
func newLatencyModel(perKiloTokenMS float64) latencyModel {
	prior := [3]float64{initialPrefillBaseMS, perKiloTokenMS, initialPerAttemptAheadMS}
	return latencyModel{
		coefficients:    prior,
		prior:           prior,
		maxCoefficients: [3]float64{maxPrefillBaseMS, maxMarginalCostMS, maxMarginalCostMS},
		priorSamples:    priorSamples,
		timeConstant:    modelTimeConstant,
	}
}

// predict returns the predicted duration for the inputs, in ms.
func (f *latencyModel) predict(x latencyInputs) float64 {
	return f.coefficients[0]*x[0] + f.coefficients[1]*x[1] + f.coefficients[2]*x[2]
}

// outlierLimit returns the value, in ms, to which a sample for the inputs is limited.
func (f *latencyModel) outlierLimit(x latencyInputs) float64 {
	return outlierMultiple*f.predict(x) + outlierMarginMS
}

// add adds a sample of resultMS for the inputs.
func (f *latencyModel) add(now time.Duration, inputs latencyInputs, resultMS float64) {
	factor := decay(now-f.updatedAt, f.timeConstant)
	f.updatedAt = now
	for i := range inputs {
		for j := range inputs {
			f.normal[i][j] = f.normal[i][j]*factor + inputs[i]*inputs[j]
		}
		f.moments[i] = f.moments[i]*factor + inputs[i]*resultMS
	}
	f.solve(now)
}

// solve computes the coefficients from the samples, decayed to now, and the prior. A coefficient that leaves its bounds
// is fixed at its bound and the others are solved for again, so that they compensate for it (an active-set step of
// bounded least squares).
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
	for range vector {
		solution := solveLinear(matrix, vector)
		bounded := true
		for i, coefficient := range solution {
			f.coefficients[i] = clamp(coefficient, 0, f.maxCoefficients[i])
			if f.coefficients[i] != coefficient {
				bounded = false
				matrix[i] = [3]float64{}
				matrix[i][i], vector[i] = 1, f.coefficients[i]
			}
		}
		if bounded {
			return
		}
	}
}

// solveLinear returns the solution of a system of linear equations by Gaussian elimination. No element of the diagonal
// may become 0; for a positive definite matrix none does.
func solveLinear(matrix [3][3]float64, vector [3]float64) [3]float64 {
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
	}
	return vector
}

// priorPerKiloTokenMS returns the prior cost of 1,000 uncached tokens: the least time that a class's latency objective
// allows for 1,000 prompt tokens, which reflects the speed of the replicas. If no class's objective grows with the
// prompt, it returns initialPrefillPerKiloTokenMS. The prior matters because a router that sees few prefills uses it
// most of the time.
func (cfg *Config) priorPerKiloTokenMS() float64 {
	prior := math.Inf(1)
	for _, class := range cfg.Classes {
		if class.TTFTObjectivePer1K > 0 {
			prior = min(prior, toMS(class.TTFTObjectivePer1K))
		}
	}
	if math.IsInf(prior, 1) {
		return initialPrefillPerKiloTokenMS
	}
	return min(prior, maxMarginalCostMS)
}
