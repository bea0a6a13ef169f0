package routing

import (
	"cmp"
	"slices"
)

// updateEndpoints applies a change of the endpoint list. A replica that has gone is removed at the first change at
// which none of its attempts is in flight.
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

// updateEndpoint applies one entry of the endpoint list. It resets the learned state if the replica's process was
// restarted or the replica is gone.
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
	if !(replica.Weight > 0) { // also if Weight is NaN
		replica.Weight = 1
	}
}

// addReplica adds a replica without learned state, in order of ID.
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
