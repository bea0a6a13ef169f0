package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLatencyModelStaysBounded checks that no coefficient is NaN, negative or beyond its bound, whatever the samples
// are. The samples include none, one, equal ones, collinear inputs, a replica that is eight times slower and a jump in
// speed.
func TestLatencyModelStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newLatencyModel(rapid.Float64Range(0, maxMarginalCostMS).Draw(t, "prior"))
		now := time.Duration(0)
		collinear := rapid.Bool().Draw(t, "collinear")
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * ms
			kiloTokens := rapid.SampledFrom([]float64{0, 0.001, 1, 6, 60, 1e6}).Draw(t, "kiloTokens")
			ahead := kiloTokens
			if !collinear {
				ahead = rapid.Float64Range(0, 64).Draw(t, "ahead")
			}
			slowdown := rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "slowdown")
			inputs := latencyInputs{1, kiloTokens, ahead}
			model.add(now, inputs, min(slowdown*(30+80*kiloTokens), model.outlierLimit(inputs)))
			for i, coefficient := range model.coefficients {
				if !(coefficient >= 0 && coefficient <= model.maxCoefficients[i]) {
					t.Fatalf("coefficient %d is %v", i, coefficient)
				}
			}
			if predicted := model.predict(inputs); math.IsNaN(predicted) || predicted < 0 || math.IsInf(predicted, 0) {
				t.Fatalf("predicted %v", predicted)
			}
		}
	})
}

// TestLatencyModelMakesUpForABound checks that when a coefficient is held at 0, the other coefficients are solved for
// again instead of keeping values that fit a negative coefficient.
func TestLatencyModelMakesUpForABound(t *testing.T) {
	model := newLatencyModel(84)
	for i := range 400 { // all inputs are equal, so the samples fix only the sum of the terms
		model.add(time.Duration(i)*20*ms, latencyInputs{1, 2, 0}, 100)
	}
	if predicted := model.predict(latencyInputs{1, 2, 0}); math.Abs(predicted-100) > 3 {
		t.Errorf("predicted %.1f ms after samples of 100 ms, coefficients %v", predicted, model.coefficients)
	}
}

// TestTokenCostPriorComesFromTheObjectives checks the prior cost of 1,000 tokens: the least allowance per 1,000 prompt
// tokens of any class, or the paper's value if no objective grows with the prompt.
func TestTokenCostPriorComesFromTheObjectives(t *testing.T) {
	for _, c := range []struct {
		allowances []time.Duration
		want       float64
	}{
		{nil, initialPrefillPerKiloTokenMS},
		{[]time.Duration{0}, initialPrefillPerKiloTokenMS},
		{[]time.Duration{0, 84 * ms, 120 * ms}, 84},
		{[]time.Duration{time.Hour}, maxMarginalCostMS},
	} {
		var cfg Config
		for _, allowance := range c.allowances {
			cfg.Classes = append(cfg.Classes, Class{TTFTObjectivePer1K: allowance})
		}
		if got := cfg.priorPerKiloTokenMS(); got != c.want {
			t.Errorf("allowances %v: %v ms, want %v", c.allowances, got, c.want)
		}
	}
}
