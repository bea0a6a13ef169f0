package routing

import (
	"cmp"
	"slices"
)

// updateEndpoints takes a change of the endpoint list. A replica that has gone is forgotten once none of its attempts
// is out.
func (r *Router) updateEndpoints(event EndpointUpdate) {
	if event.Full {
		for _, replica := range r.replicas {
			replica.State = Gone
		}
	}
	for _, endpoint := range event.Endpoints {
		r.updateEndpoint(endpoint)
	}
	r.replicas = slices.DeleteFunc(r.replicas, func(replica *replica) bool {
		if replica.State != Gone || len(replica.pending) > 0 || replica.streams > 0 {
			return false
		}
		delete(r.byID, replica.ID)
		return true
	})
	r.updateActive()
}

// updateEndpoint takes one entry of the endpoint list. A new start of the replica's process resets what was learned.
func (r *Router) updateEndpoint(endpoint Endpoint) {
	replica := r.byID[endpoint.ID]
	if replica == nil {
		if endpoint.State == Gone {
			return
		}
		replica = r.addReplica(endpoint)
	}
	if endpoint.Started != replica.Started || endpoint.State == Gone {
		replica.resetStats(r)
	}
	replica.Endpoint = endpoint
	replica.cell = getOrCreate(r.cells, endpoint.Cell)
	if endpoint.Kind >= 0 && endpoint.Kind < len(r.cfg.Kinds) {
		replica.role = r.cfg.Kinds[endpoint.Kind].Role
	}
	if !(replica.Weight > 0) { // NaN too
		replica.Weight = 1
	}
}

// addReplica adds a replica of which nothing is known, in order of ID.
func (r *Router) addReplica(endpoint Endpoint) *replica {
	added := &replica{Endpoint: endpoint}
	added.resetStats(r)
	r.byID[added.ID] = added
	at, _ := slices.BinarySearchFunc(r.replicas, added.ID, func(other *replica, id EndpointID) int {
		return cmp.Compare(other.ID, id)
	})
	r.replicas = slices.Insert(r.replicas, at, added)
	return added
}
