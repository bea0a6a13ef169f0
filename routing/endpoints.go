package routing

// The list of servers: which there are, what is known of each, and how they add up by cell.

import (
	"cmp"
	"math"
	"slices"
)

func (r *Router) updateEndpoints(e EndpointUpdate) {
	if e.Full {
		for _, s := range r.replicas {
			s.State = Gone
		}
	}
	for _, in := range e.Endpoints {
		r.updateEndpoint(in)
	}
	r.replicas = slices.DeleteFunc(r.replicas, func(s *replica) bool {
		if s.State != Gone || len(s.pending) > 0 || s.streams > 0 {
			return false
		}
		delete(r.byID, s.ID)
		return true
	})
	r.updateActive()
}

func (r *Router) updateEndpoint(in Endpoint) {
	s := r.byID[in.ID]
	if s == nil {
		if in.State == Gone {
			return
		}
		s = &replica{Endpoint: in}
		s.resetStats(r)
		r.byID[in.ID] = s
		at, _ := slices.BinarySearchFunc(r.replicas, in.ID, func(s *replica, id EndpointID) int {
			return cmp.Compare(s.ID, id)
		})
		r.replicas = slices.Insert(r.replicas, at, s)
	}
	if in.Started != s.Started || in.State == Gone {
		s.resetStats(r)
	}
	s.Endpoint = in
	s.cell = getOrCreate(r.cells, in.Cell)
	if in.Kind >= 0 && in.Kind < len(r.cfg.Kinds) {
		s.role = r.cfg.Kinds[in.Kind].Role
	}
	if !(s.Weight > 0) {
		s.Weight = 1
	}
}

// sumCapacity sums up the cells for a decision about a class, in two passes over the servers.
func (r *Router) sumCapacity(class int) {
	none := cellCapacity{minDecodeWaitMS: math.Inf(1)}
	for _, s := range r.active {
		*s.cell = none
	}
	r.totalCapacity = none
	r.prefillModel.solve(r.now)
	r.decodeModel.solve(r.now)
	for _, s := range r.active {
		weight := r.effectiveWeight(s)
		if s.role == Prefill && s.State == Ready {
			s.cell.readyPrefillCapacity += weight
			r.totalCapacity.readyPrefillCapacity += weight
		}
		if !r.healthy(s, class) {
			continue
		}
		if s.role == Prefill {
			s.cell.prefillCapacity += weight
			r.totalCapacity.prefillCapacity += weight
			continue
		}
		s.cell.decodeCapacity += weight
		r.totalCapacity.decodeCapacity += weight
		w := r.decodeWaitMS(s)
		s.cell.minDecodeWaitMS, r.totalCapacity.minDecodeWaitMS = min(s.cell.minDecodeWaitMS, w), min(r.totalCapacity.minDecodeWaitMS, w)
	}
	if r.toggleFallback() {
		r.sumCapacity(class)
	}
}

// cellPreference weighs a cell's readers by what its writers bear; room is the part of its readers' states that
// its writers can then take if all servers are used evenly. Few of a cell's servers are ever seen busy
// by one router among many, so the list must tell that a cell has too few writers. It could do harm
// where weights in the list mean nothing.
func (r *Router) cellPreference(c *cellCapacity) (pull, room float64) {
	bears := math.Inf(1)
	if c.prefillCapacity > 0 && r.totalCapacity.decodeCapacity > 0 {
		bears = c.decodeCapacity / r.totalCapacity.decodeCapacity * r.totalCapacity.prefillCapacity / c.prefillCapacity
	}
	pull = clamp(bears, minCellPreference, 1)
	return pull, bears / pull
}
