package routing

import (
	"slices"
	"time"
)

// activeSubset is which servers a router looks at: all, or a subset. What it knows of the others it keeps.
type activeSubset struct {
	active        []*replica // by id
	subset        []EndpointID
	limited       bool          // near is the subset's
	fallbackUntil time.Duration // until then near is all, since the subset is not well; 0: it is
	// Most ready servers by role: of all, and of the subset.
	maxReadyAll, maxReadySubset [roleCount]int
}

// assignSubset takes a subset.
func (r *Router) assignSubset(e SubsetAssigned) {
	subset := slices.Clone(e.Endpoints)
	slices.Sort(subset)
	r.subset, r.maxReadySubset, r.fallbackUntil = subset, [roleCount]int{}, 0
	r.updateActive()
}

// updateActive works out near, after the roster or the subset has changed. A subset without a reader or a writer is none.
func (r *Router) updateActive() {
	r.active, r.limited = r.replicas, false
	raiseMaxReady(&r.maxReadyAll, r.replicas)
	r.maxReady = r.maxReadyAll
	if len(r.subset) == 0 || r.fallbackUntil > 0 {
		return
	}
	var near []*replica
	for _, s := range r.replicas {
		if _, ok := slices.BinarySearch(r.subset, s.ID); ok {
			near = append(near, s)
		}
	}
	ready := [roleCount]int{}
	raiseMaxReady(&ready, near)
	if ready[Combined] == 0 && min(ready[Prefill], ready[Decode]) == 0 {
		return
	}
	raiseMaxReady(&r.maxReadySubset, near)
	r.active, r.limited, r.maxReady = near, true, r.maxReadySubset
}

// raiseMaxReady raises the most of each role to what is ready now.
func raiseMaxReady(most *[roleCount]int, servers []*replica) {
	count := [roleCount]int{}
	for _, s := range servers {
		if s.State == Ready {
			count[s.role]++
		}
	}
	for i := range most {
		most[i] = max(most[i], count[i])
	}
}

// toggleFallback looks at all servers where a survey found less than half of the subset well, and back at the subset after a
// while; it reports whether the survey is to be made anew.
func (r *Router) toggleFallback() bool {
	switch {
	case r.fallbackUntil > 0 && r.now >= r.fallbackUntil:
		r.fallbackUntil = 0
	case r.limited && r.subsetUnhealthy():
		r.fallbackUntil = r.now + fallbackDuration
	default:
		return false
	}
	r.updateActive()
	return true
}

// subsetUnhealthy reports whether too few of the subset's readers or writers are well, by the survey that was just made.
func (r *Router) subsetUnhealthy() bool {
	writers := 0.0
	for _, s := range r.active {
		if s.role != Prefill && s.State == Ready {
			writers += r.effectiveWeight(s)
		}
	}
	return r.totalCapacity.prefillCapacity < minHealthyFraction*r.totalCapacity.readyPrefillCapacity || r.totalCapacity.decodeCapacity < minHealthyFraction*writers
}
