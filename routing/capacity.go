package routing

import "math"

// minCapacity prevents divisions by 0.
const minCapacity = 1e-9

// cellCapacity holds the capacity of a cell's active replicas for one decision, in effective weights.
type cellCapacity struct {
	prefillCapacity      float64 // capacity of healthy prefill replicas
	decodeCapacity       float64 // capacity of healthy replicas that decode
	readyPrefillCapacity float64 // capacity of ready prefill replicas, even unhealthy; gives the cell's share of prefills
	minDecodeWaitMS      float64 // least wait among healthy replicas that decode
}

// sumCapacity computes the capacity of each cell and of all cells for a decision about a class, after it has brought
// the latency models up to date. If toggleFallback then switches between the subset and all replicas, sumCapacity
// computes the capacity again for the new set.
func (r *Router) sumCapacity(class int) {
	empty := cellCapacity{minDecodeWaitMS: math.Inf(1)}
	for _, replica := range r.active {
		*replica.cell = empty
	}
	r.totalCapacity = empty
	r.prefillModel.solve(r.now)
	r.decodeModel.solve(r.now)
	for _, replica := range r.active {
		weight := r.effectiveWeight(replica)
		if replica.role == Prefill && replica.State == Ready {
			replica.cell.readyPrefillCapacity += weight
			r.totalCapacity.readyPrefillCapacity += weight
		}
		if !r.healthy(replica, class) {
			continue
		}
		if replica.role == Prefill {
			replica.cell.prefillCapacity += weight
			r.totalCapacity.prefillCapacity += weight
			continue
		}
		replica.cell.decodeCapacity += weight
		r.totalCapacity.decodeCapacity += weight
		waitMS := r.decodeWaitMS(replica)
		replica.cell.minDecodeWaitMS = min(replica.cell.minDecodeWaitMS, waitMS)
		r.totalCapacity.minDecodeWaitMS = min(r.totalCapacity.minDecodeWaitMS, waitMS)
	}
	if r.toggleFallback() {
		r.sumCapacity(class)
	}
}

// cellPreference returns two figures for a cell, under the assumption that all replicas are used evenly. preference is
// the factor for the weight of the cell's prefill replicas; it is below 1 if the cell has too few decode replicas.
// decodeCapacityRatio is the fraction of the requests prefilled in the cell that its decode replicas can then take; it
// is above 1 if the cell has spare decode capacity. Both figures are computed from the weights of healthy replicas and
// not from observed loads, because one router among many sees few of a cell's replicas busy. They do harm if the
// weights on the endpoint list are meaningless.
func (r *Router) cellPreference(c *cellCapacity) (preference, decodeCapacityRatio float64) {
	ratio := math.Inf(1)
	if c.prefillCapacity > 0 && r.totalCapacity.decodeCapacity > 0 {
		ratio = c.decodeCapacity / r.totalCapacity.decodeCapacity * r.totalCapacity.prefillCapacity / c.prefillCapacity
	}
	preference = clamp(ratio, minCellPreference, 1)
	return preference, ratio / preference
}
