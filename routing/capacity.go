package routing

import "math"

// minCapacity keeps divisors away from 0.
const minCapacity = 1e-9

// cellCapacity sums up a cell's active replicas for one decision, in effective weights.
type cellCapacity struct {
	prefillCapacity      float64 // of healthy prefill replicas
	decodeCapacity       float64 // of healthy replicas that decode
	readyPrefillCapacity float64 // of ready prefill replicas in any health: the cell's part of all prefills
	minDecodeWaitMS      float64 // least wait among healthy replicas that decode
}

// sumCapacity sums up the cells and the total for a decision about a class. It brings the latency models up to date
// and switches between the subset and all replicas, in which case it sums up again.
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

// cellPreference returns the weight of a cell's prefill replicas by what its decode replicas can bear, and the part of
// the requests prefilled there that its decode replicas can then take if all replicas are used evenly. One router among
// many sees few of a cell's replicas busy, so the endpoint list must tell that a cell has too few decode replicas. It
// could do harm where the weights of the endpoint list mean nothing.
func (r *Router) cellPreference(c *cellCapacity) (preference, bearable float64) {
	ratio := math.Inf(1)
	if c.prefillCapacity > 0 && r.totalCapacity.decodeCapacity > 0 {
		ratio = c.decodeCapacity / r.totalCapacity.decodeCapacity * r.totalCapacity.prefillCapacity / c.prefillCapacity
	}
	preference = clamp(ratio, minCellPreference, 1)
	return preference, ratio / preference
}
