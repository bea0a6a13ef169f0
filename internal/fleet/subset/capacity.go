package subset

import "math"

// capacities returns how many dispatchers each unit is assigned to, in proportion to the weight of the unit and up to
// the given number of dispatchers. The results are whole numbers that add up to slots, or to the number of dispatchers
// times the number of units if that is less. Each unit is rounded with its own offset (systematic rounding). So one
// dispatcher or unit more changes only the few capacities that must change; rounding the largest remainders up could
// change many, since the order of the remainders changes.
func capacities(names []string, weights []float64, dispatchers, slots int) []int {
	slots = min(slots, dispatchers*len(names))
	offsets := make([]float64, len(names))
	for i, name := range names {
		offsets[i] = roundingOffset(name)
	}
	r := rounding{
		fractionalSlots: fractionalSlots(weights, dispatchers, slots),
		offsets:         offsets,
		limit:           dispatchers,
		out:             make([]int, len(names)),
	}
	r.roundTo(slots)
	return r.out
}

// fractionalSlots divides the slots among the units in proportion to their weights, with at most limit slots for each
// unit. The other units get the slots that a heavy unit cannot take.
func fractionalSlots(weights []float64, limit, slots int) []float64 {
	out := make([]float64, len(weights))
	full := make([]bool, len(weights))
	for divideSlots(out, full, weights, float64(limit), float64(slots)) {
	}
	return out
}

// divideSlots divides the slots that the full units leave among the other units. It marks the units that would exceed
// the limit as full, and reports whether there are any, so that the division must be repeated.
func divideSlots(out []float64, full []bool, weights []float64, limit, slots float64) (repeat bool) {
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

// Range and steps of the bisection that finds the shift with which the rounded numbers of slots add up. The range is
// wider than any rounding error.
const (
	maxShift       = 2.0
	bisectionSteps = 60 // enough to make the two bounds adjacent float64 values
)

// rounding rounds the fractional numbers of slots of the units to whole numbers.
type rounding struct {
	fractionalSlots []float64
	offsets         []float64 // offset in [0, 1) of each unit
	limit           int       // maximum of each rounded number
	out             []int     // rounded number of slots of each unit
}

// roundTo rounds the numbers of slots so that they add up to total, with the smallest shift that reaches it.
func (r *rounding) roundTo(total int) {
	low, high := -maxShift, maxShift
	for range bisectionSteps {
		if middle := (low + high) / 2; r.roundShifted(middle) < total {
			low = middle
		} else {
			high = middle
		}
	}
	// Two offsets may be nearly equal, so that the sum exceeds the total. The excess is then taken from the first of
	// these units, in order.
	excess := r.roundShifted(high) - total
	for i := 0; excess > 0 && i < len(r.out); i++ {
		if r.fractionalSlots[i]+r.offsets[i]+low < float64(r.out[i]) && r.out[i] > 0 {
			r.out[i]--
			excess--
		}
	}
}

// roundShifted adds the offset of the unit and the common shift to each fractional number of slots, rounds the sum down
// to a number from 0 to limit, and returns the total of these numbers.
func (r *rounding) roundShifted(shift float64) (sum int) {
	for i, q := range r.fractionalSlots {
		r.out[i] = min(max(int(math.Floor(q+r.offsets[i]+shift)), 0), r.limit)
		sum += r.out[i]
	}
	return sum
}
