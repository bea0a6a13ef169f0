package routing

import (
	"math"
	"testing"
)

// placementRouter returns a router with prefill replicas with the IDs 1 to count, except those for which skip returns
// true, in cells of five with a decode replica each.
func placementRouter(t *testing.T, count int, skip func(EndpointID) bool) *Router {
	t.Helper()
	r, err := New(testConfig(), 1)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range count {
		id := EndpointID(i + 1)
		if !skip(id) {
			endpoints = append(endpoints, Endpoint{ID: id, Cell: i / 5, State: Ready})
		}
		if i%5 == 0 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(1_000_000 + i), Kind: 1, Cell: i / 5, State: Ready})
		}
	}
	r.Handle(1, EndpointUpdate{Full: true, Endpoints: endpoints}, nil)
	r.sumCapacity(0)
	return r
}

// lowestRankedReplica returns the replica with the lowest rank for a request.
func (r *Router) lowestRankedReplica(req *request) EndpointID {
	best, lowest := EndpointID(0), math.Inf(1)
	for _, replica := range r.active {
		if replica.role != Prefill {
			continue
		}
		if rank := r.rendezvousRank(replica, req, r.prefixReplicaCount(req)); rank < lowest {
			best, lowest = replica.ID, rank
		}
	}
	return best
}

// TestRoutersAgreeOnPlacement checks that routers whose endpoint lists differ by a few of 1,000 replicas place almost
// all prefixes at the same replica. The fraction of prefixes that move when replicas leave or join must be close to the
// fraction that those replicas had.
func TestRoutersAgreeOnPlacement(t *testing.T) {
	const replicas, prefixes = 1000, 1000
	for _, missing := range []int{0, 1, 10, 100} {
		complete := placementRouter(t, replicas, func(EndpointID) bool { return false })
		reduced := placementRouter(t, replicas, func(id EndpointID) bool { return int(id)%replicas < missing })
		moved := 0
		for i := range prefixes {
			req := &request{RequestArrived: RequestArrived{Session: Key(7*i + 1), SharedPrefix: Key(i + 1), SharedPrefixTokens: 100}}
			if complete.lowestRankedReplica(req) != reduced.lowestRankedReplica(req) {
				moved++
			}
		}
		missingShare := float64(missing) / replicas
		if share := float64(moved) / prefixes; share > 1.5*missingShare+0.005 || missing > 0 && share < missingShare/2-0.005 {
			t.Errorf("%d of %d replicas differ: %.4f of the prefixes moved, %.4f at least", missing, replicas, share, missingShare)
		}
	}
}

// TestSessionsOfAPrefixKeepTheirReplica checks that all routers send the requests of one session of a popular prefix to
// one replica, and the sessions of that prefix to several replicas.
func TestSessionsOfAPrefixKeepTheirReplica(t *testing.T) {
	first := placementRouter(t, 100, func(EndpointID) bool { return false })
	second := placementRouter(t, 100, func(EndpointID) bool { return false })
	used := map[EndpointID]bool{}
	for session := range Key(200) {
		for _, r := range []*Router{first, second} { // both count the same arrivals and so agree on the replica count
			r.countArrival(&request{RequestArrived: RequestArrived{SharedPrefix: 5}})
		}
		if session < 50 {
			continue
		}
		req := &request{RequestArrived: RequestArrived{Session: session + 1, SharedPrefix: 5, SharedPrefixTokens: 100}}
		used[first.lowestRankedReplica(req)] = true
		if first.lowestRankedReplica(req) != second.lowestRankedReplica(req) {
			t.Errorf("session %d has two replicas", session)
		}
	}
	if len(used) < 20 {
		t.Errorf("a prefix that all requests share is placed at %d of 100 replicas", len(used))
	}
}
