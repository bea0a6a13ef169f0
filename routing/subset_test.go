package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newLargeHarness returns a harness with replicaCount replicas: prefill replicas with IDs from 1 and decode replicas
// with IDs from 1001, ten replicas in a cell.
func newLargeHarness(t testing.TB, replicaCount int) *harness {
	t.Helper()
	cfg := testConfig()
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{r: r, now: time.Hour}
	h.T, _ = t.(*testing.T)
	var list []Endpoint
	for i := range replicaCount / 2 {
		list = append(list,
			Endpoint{ID: EndpointID(1 + i), Kind: 0, State: Ready, Cell: i / 5},
			Endpoint{ID: EndpointID(1001 + i), Kind: 1, State: Ready, Cell: i / 5},
		)
	}
	h.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	return h
}

// subsetOfCells returns the assignment of all replicas of some cells of newLargeHarness.
func subsetOfCells(cells ...int) (s SubsetAssigned) {
	for _, c := range cells {
		for i := range 5 {
			s.Endpoints = append(s.Endpoints, EndpointID(1+5*c+i), EndpointID(1001+5*c+i))
		}
	}
	return s
}

// serveRequest runs one request from its arrival to its answer and returns its replicas.
func (h *harness) serveRequest(id RequestID) (prefill, decode EndpointID, ok bool) {
	send := func(acts []Action) (EndpointID, bool) {
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				return s.Endpoint, true
			}
		}
		return 0, false
	}
	if prefill, ok = send(h.handle(ms, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 1000, RemainingTime: 4 * time.Second})); !ok {
		return 0, 0, false
	}
	if decode, ok = send(h.handle(20*ms, AttemptEnded{Request: id, Endpoint: prefill, Outcome: PrefillDone, Elapsed: 20 * ms})); !ok {
		return prefill, 0, false
	}
	h.handle(30*ms, FirstToken{Request: id, Attempt: 1, Endpoint: decode, Elapsed: 30 * ms})
	h.handle(100*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: decode, Outcome: Served, Elapsed: 130 * ms, Final: true})
	return prefill, decode, true
}

// A router uses only its subset, and every replica of it. If its subset is empty, it uses all replicas.
func TestRouterUsesExactlyItsSubset(t *testing.T) {
	h := newLargeHarness(t, 200)
	subset := subsetOfCells(2, 7)
	h.handle(0, subset)
	used := map[EndpointID]bool{}
	for id := RequestID(1); id <= 300; id++ {
		prefillReplica, decodeReplica, ok := h.serveRequest(id)
		if !ok || !slices.Contains(subset.Endpoints, prefillReplica) || !slices.Contains(subset.Endpoints, decodeReplica) {
			t.Fatalf("request %d went to %d and %d, served: %t", id, prefillReplica, decodeReplica, ok)
		}
		used[prefillReplica], used[decodeReplica] = true, true
	}
	if len(used) != 20 {
		t.Errorf("%d of the subset's 20 replicas were used", len(used))
	}
	h.handle(0, SubsetAssigned{})
	for id := RequestID(1001); id <= 1100; id++ {
		replica, _, _ := h.serveRequest(id)
		used[replica] = true
	}
	if len(used) < 60 {
		t.Errorf("%d replicas used without a subset", len(used))
	}
}

// If less than half of a subset is healthy, because of failures or the endpoint list, the router uses all replicas. It
// returns to the subset once the subset is healthy again.
func TestUnhealthySubsetFallsBackToAllReplicas(t *testing.T) {
	for _, cause := range []string{"list", "failures"} {
		h := newLargeHarness(t, 100)
		subset := subsetOfCells(1, 4)
		h.handle(0, subset)
		h.serveRequest(1)
		for _, id := range subset.Endpoints {
			if cause == "list" {
				h.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: Gone}}})
				continue
			}
			for range 6 {
				s := h.r.byID[id]
				h.r.recordFailure(s, 0, transportFailureWeight)
			}
		}
		for id := RequestID(10); id < 40; id++ {
			r, decodeReplica, ok := h.serveRequest(id)
			if !ok || slices.Contains(subset.Endpoints, r) || slices.Contains(subset.Endpoints, decodeReplica) {
				t.Fatalf("%s: request %d went to %d and %d, served: %t", cause, id, r, decodeReplica, ok)
			}
		}
		if cause == "list" {
			var returned []Endpoint
			for _, id := range subset.Endpoints {
				kind := 0
				if id > 1000 {
					kind = 1
				}
				returned = append(returned, Endpoint{ID: id, Kind: kind, State: Ready, Cell: int((id - 1) % 1000 / 5)})
			}
			h.handle(0, EndpointUpdate{Endpoints: returned})
		} else {
			h.handle(2*time.Minute, TimerFired{}) // the failure levels decay
		}
		h.serveRequest(50) // its selection ends the fallback
		r, decodeReplica, ok := h.serveRequest(51)
		if !ok || !slices.Contains(subset.Endpoints, r) || !slices.Contains(subset.Endpoints, decodeReplica) {
			t.Errorf("%s: after the recovery a request went to %d and %d, served: %t", cause, r, decodeReplica, ok)
		}
	}
}

// A subset without a decode replica, or of unknown replicas, is ignored.
func TestSubsetWithoutARoleIsIgnored(t *testing.T) {
	for _, s := range []SubsetAssigned{{Endpoints: []EndpointID{1, 2, 3}}, {Endpoints: []EndpointID{777}}} {
		h := newLargeHarness(t, 100)
		h.handle(0, s)
		if _, _, ok := h.serveRequest(1); !ok || h.r.usingSubset {
			t.Errorf("%v: using the subset %t", s, h.r.usingSubset)
		}
	}
}

// Routers with subsets together send a replica in slow start no more than routers without subsets would: the share that
// a router may send is relative to the size of its own subset.
func TestSlowStartShareCountsSubsetOnly(t *testing.T) {
	withoutSubset, withSubset := newLargeHarness(t, 200), newLargeHarness(t, 200)
	withSubset.handle(0, subsetOfCells(0, 1))
	evenShare := func(h *harness) float64 { return 1 / float64(h.r.maxReady[Prefill]) }
	// Ten routers that use a tenth of the cells each are compared with ten that use all of them.
	if shareWithSubset, shareWithoutSubset := evenShare(withSubset), evenShare(withoutSubset); shareWithSubset*10/100 > shareWithoutSubset+1e-9 {
		t.Errorf("the share per replica is %v with a tenth of the replicas, %v with all", shareWithSubset, shareWithoutSubset)
	}
	if withSubset.r.maxReady[Prefill] != 10 || withoutSubset.r.maxReady[Prefill] != 100 {
		t.Errorf("%v and %v replicas count", withSubset.r.maxReady, withoutSubset.r.maxReady)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ replicas, cells int }{{10, 0}, {100, 0}, {1000, 0}, {100, 4}, {1000, 4}} {
		b.Run(fmt.Sprintf("%d-replicas-subset-%d", c.replicas, c.cells*10), func(b *testing.B) {
			h := newLargeHarness(b, c.replicas)
			if c.cells > 0 {
				h.handle(0, subsetOfCells(0, 3, 5, 8))
			}
			id := RequestID(0)
			for b.Loop() {
				id++
				if _, _, ok := h.serveRequest(id); !ok {
					b.Fatal("not served")
				}
			}
		})
	}
}
