package subset

import "math"

// capacities returns how many of the given number of dispatchers each unit is assigned to, in proportion to its weight, in
// whole numbers that add up to slots, or to dispatchers for each unit if that is less. Each unit is rounded with an offset
// of its own (systematic rounding), so that one dispatcher or unit more changes the few capacities that it must, and not
// the order of all remainders.
func capacities(names []string, weights []float64, dispatchers, slots int) []int {
	slots = min(slots, dispatchers*len(names))
	offsets := make([]float64, len(names))
	for i, name := range names {
		offsets[i] = roundingOffset(name)
	}
	r := rounding{
		quotas:  quotas(weights, dispatchers, slots),
		offsets: offsets,
		limit:   dispatchers,
		out:     make([]int, len(names)),
	}
	r.roundTo(slots)
	return r.out
}

// quotas divides the slots among units in proportion to their weights, at most limit for each. What a heavy unit cannot
// take goes to the others.
func quotas(weights []float64, limit, slots int) []float64 {
	out := make([]float64, len(weights))
	full := make([]bool, len(weights))
	for fillQuotas(out, full, weights, float64(limit), float64(slots)) {
	}
	return out
}

// fillQuotas divides what full units leave of the slots among the others. It marks those that would exceed the limit as
// full, and reports whether there are any, so that the division must be repeated.
func fillQuotas(out []float64, full []bool, weights []float64, limit, slots float64) (repeat bool) {
	remaining, weightSum := slots, 0.0
	for i, w := range weights {
		if full[i] {
			remaining -= limit
		} else {
			weightSum += w
		}
	}
	for i, w := range weights {
		if full[i] {
			out[i] = limit
			continue
		}
		if out[i] = remaining * w / weightSum; out[i] > limit {
			full[i], repeat = true, true
		}
	}
	return repeat
}

// The shift that makes rounded quotas add up is found by bisection in this range, which is wider than any rounding error.
const (
	maxShift       = 2.0
	bisectionSteps = 60 // until the bounds are next to each other in float64
)

// rounding rounds quotas to whole numbers.
type rounding struct {
	quotas  []float64
	offsets []float64 // by quota, from 0 up to 1
	limit   int       // of each number
	out     []int
}

// roundTo rounds the quotas to numbers that add up to total, with the least shift that reaches it.
func (r *rounding) roundTo(total int) {
	low, high := -maxShift, maxShift
	for range bisectionSteps {
		if middle := (low + high) / 2; r.roundShifted(middle) < total {
			low = middle
		} else {
			high = middle
		}
	}
	// Two offsets may be as good as equal: the excess is then taken from the first units in order.
	excess := r.roundShifted(high) - total
	for i := 0; excess > 0 && i < len(r.out); i++ {
		if r.quotas[i]+r.offsets[i]+low < float64(r.out[i]) && r.out[i] > 0 {
			r.out[i]--
			excess--
		}
	}
}

// roundShifted rounds each quota, plus its offset and a shift common to all, down, and returns the sum.
func (r *rounding) roundShifted(shift float64) (sum int) {
	for i, q := range r.quotas {
		r.out[i] = min(max(int(math.Floor(q+r.offsets[i]+shift)), 0), r.limit)
		sum += r.out[i]
	}
	return sum
}
