package routing

import (
	"slices"
	"time"
)

// activeSubset is the set of replicas that a router uses: all replicas, or an assigned subset. Subsetting bounds the
// number of connections and lets each router see more of each replica that it uses. The router keeps its state of the
// other replicas.
type activeSubset struct {
	active        []*replica    // sorted by ID
	subset        []EndpointID  // IDs of the assigned subset, sorted; empty if none is assigned
	usingSubset   bool          // whether active is the subset
	fallbackUntil time.Duration // time until which an unhealthy subset is replaced by all replicas; 0 if none
	// Largest number of replicas that were ready at once, by role: among all replicas, and among the subset.
	maxReadyAll, maxReadySubset [roleCount]int
}

// assignSubset applies an assigned subset; an empty one means all replicas.
func (r *Router) assignSubset(e SubsetAssigned) {
	subset := slices.Clone(e.Endpoints)
	slices.Sort(subset)
	r.subset, r.maxReadySubset, r.fallbackUntil = subset, [roleCount]int{}, 0
	r.updateActive()
}

// updateActive recomputes the active replicas after a change of the endpoint list or the subset. A subset is ignored
// during a fallback (toggleFallback), or if it has no ready Combined replica and lacks a ready Prefill or a ready
// Decode replica.
func (r *Router) updateActive() {
	r.active, r.usingSubset = r.replicas, false
	raiseMaxReady(&r.maxReadyAll, r.replicas)
	r.maxReady = r.maxReadyAll
	if len(r.subset) == 0 || r.fallbackUntil > 0 {
		return
	}
	var active []*replica
	for _, replica := range r.replicas {
		if _, ok := slices.BinarySearch(r.subset, replica.ID); ok {
			active = append(active, replica)
		}
	}
	ready := countReady(active)
	if ready[Combined] == 0 && min(ready[Prefill], ready[Decode]) == 0 {
		return
	}
	raiseMaxReady(&r.maxReadySubset, active)
	r.active, r.usingSubset, r.maxReady = active, true, r.maxReadySubset
}

// countReady returns the number of ready replicas by role.
func countReady(replicas []*replica) (count [roleCount]int) {
	for _, replica := range replicas {
		if replica.State == Ready {
			count[replica.role]++
		}
	}
	return count
}

// raiseMaxReady raises each maximum by role to the number of replicas that are ready now.
func raiseMaxReady(maxima *[roleCount]int, replicas []*replica) {
	count := countReady(replicas)
	for role := range maxima {
		maxima[role] = max(maxima[role], count[role])
	}
}

// toggleFallback switches to all replicas if sumCapacity found too little of the subset healthy, and back to the subset
// after fallbackDuration. It reports whether it switched, in which case the capacity has to be computed again.
func (r *Router) toggleFallback() bool {
	switch {
	case r.fallbackUntil > 0 && r.now >= r.fallbackUntil:
		r.fallbackUntil = 0
	case r.usingSubset && r.subsetUnhealthy():
		r.fallbackUntil = r.now + fallbackDuration
	default:
		return false
	}
	r.updateActive()
	return true
}

// subsetUnhealthy reports whether too little of the subset's prefill or decode capacity is healthy, according to the
// latest result of sumCapacity.
func (r *Router) subsetUnhealthy() bool {
	readyDecodeCapacity := 0.0
	for _, replica := range r.active {
		if replica.role != Prefill && replica.State == Ready {
			readyDecodeCapacity += r.effectiveWeight(replica)
		}
	}
	return r.totalCapacity.prefillCapacity < minHealthyFraction*r.totalCapacity.readyPrefillCapacity ||
		r.totalCapacity.decodeCapacity < minHealthyFraction*readyDecodeCapacity
}
