package tokenbucket

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// roundingSlack is the tolerance for rounding errors in sums of floating-point token counts.
const roundingSlack = 1e-9

// The number of tokens spent never exceeds the initial tokens plus the tokens accrued at the rate, even if the rate
// changes at each step.
func TestBucketLetsThroughNoMoreThanItsRateAndInitialTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bucket, now, accrued, spent := Bucket{}, time.Hour, 0.0, 0.0
		capacity := rapid.Float64Range(1, 5).Draw(t, "capacity")
		for i := range 50 {
			elapsed := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "elapsed"))
			rate := rapid.Float64Range(0, 20).Draw(t, "rate")
			if now += elapsed; i > 0 {
				accrued += rate * elapsed.Seconds()
			}
			if bucket.Fill(now, rate, capacity) >= 1 {
				bucket.Spend()
				spent++
			}
		}
		if spent > accrued+capacity+roundingSlack {
			t.Fatalf("%v tokens spent, but only %.2f accrued and %.2f initial tokens", spent, accrued, capacity)
		}
	})
}
