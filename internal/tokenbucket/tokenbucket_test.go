package tokenbucket

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// roundingSlack is what sums of floating-point tokens may be off by.
const roundingSlack = 1e-9

// A bucket lets through no more than its rate and its initial tokens, however the rate changes.
func TestBucketLetsThroughNoMoreThanItsRateAndInitialTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bucket, now, accrued, spent := Bucket{}, time.Hour, 0.0, 0.0
		capacity := rapid.Float64Range(1, 5).Draw(t, "capacity")
		for i := range 50 {
			elapsed := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "past"))
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
			t.Fatalf("%v tokens spent, of %.2f accrued and %.2f at first", spent, accrued, capacity)
		}
	})
}
