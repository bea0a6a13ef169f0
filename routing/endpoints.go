package routing

import (
	"cmp"
	"slices"
)

// updateEndpoints takes a change of the endpoint list. A replica that has gone is forgotten once none of its attempts
// is out.
func (r *Router) updateEndpoints(e EndpointUpdate) {
	if e.Full {
		for _, s := range r.replicas {
			s.State = Gone
		}
	}
	for _, endpoint := range e.Endpoints {
		r.updateEndpoint(endpoint)
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

// updateEndpoint takes one entry of the endpoint list. A new start of the replica's process resets what was learned.
func (r *Router) updateEndpoint(endpoint Endpoint) {
	s := r.byID[endpoint.ID]
	if s == nil {
		if endpoint.State == Gone {
			return
		}
		s = &replica{Endpoint: endpoint}
		s.resetStats(r)
		r.insertReplica(s)
	}
	if endpoint.Started != s.Started || endpoint.State == Gone {
		s.resetStats(r)
	}
	s.Endpoint = endpoint
	s.cell = getOrCreate(r.cells, endpoint.Cell)
	if endpoint.Kind >= 0 && endpoint.Kind < len(r.cfg.Kinds) {
		s.role = r.cfg.Kinds[endpoint.Kind].Role
	}
	if !(s.Weight > 0) { // NaN too
		s.Weight = 1
	}
}

// insertReplica adds a replica, in order of ID.
func (r *Router) insertReplica(s *replica) {
	r.byID[s.ID] = s
	at, _ := slices.BinarySearchFunc(r.replicas, s.ID, func(other *replica, id EndpointID) int {
		return cmp.Compare(other.ID, id)
	})
	r.replicas = slices.Insert(r.replicas, at, s)
}
