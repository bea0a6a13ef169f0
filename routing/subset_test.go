package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newLargeHarness is a router with many readers (from 1 on) and writers (from 1001 on), ten of a cell.
func newLargeHarness(t testing.TB, n int) *harness {
	cfg := testConfig()
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{r: r, now: time.Hour}
	b.T, _ = t.(*testing.T)
	var list []Endpoint
	for i := range n / 2 {
		list = append(list, Endpoint{ID: EndpointID(1 + i), Kind: 0, State: Ready, Cell: i / 5}, Endpoint{ID: EndpointID(1001 + i), Kind: 1, State: Ready, Cell: i / 5})
	}
	b.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	return b
}

func subsetOfCells(cells ...int) (s SubsetAssigned) {
	for _, c := range cells {
		for i := range 5 {
			s.Endpoints = append(s.Endpoints, EndpointID(1+5*c+i), EndpointID(1001+5*c+i))
		}
	}
	return s
}

// serveRequest plays one request from its arrival to its answer and returns where it went.
func (b *harness) serveRequest(id RequestID) (reader, writer EndpointID, ok bool) {
	send := func(acts []Action) (EndpointID, bool) {
		for _, a := range acts {
			if s, ok := a.(Send); ok {
				return s.Endpoint, true
			}
		}
		return 0, false
	}
	if reader, ok = send(b.handle(ms, RequestArrived{Request: id, Tenant: -1, Session: Key(id), PromptTokens: 1000, TimeLeft: 4 * time.Second})); !ok {
		return 0, 0, false
	}
	if writer, ok = send(b.handle(20*ms, AttemptEnded{Request: id, Endpoint: reader, Outcome: PrefillDone, Elapsed: 20 * ms})); !ok {
		return reader, 0, false
	}
	b.handle(30*ms, FirstToken{Request: id, Attempt: 1, Endpoint: writer, Elapsed: 30 * ms})
	b.handle(100*ms, AttemptEnded{Request: id, Attempt: 1, Endpoint: writer, Outcome: Served, Elapsed: 130 * ms, Final: true})
	return reader, writer, true
}

// A router keeps to its subset, uses all of it, and goes back to all when it is told none.
func TestRouterUsesExactlyItsSubset(t *testing.T) {
	b := newLargeHarness(t, 200)
	subset := subsetOfCells(2, 7)
	b.handle(0, subset)
	used := map[EndpointID]bool{}
	for id := RequestID(1); id <= 300; id++ {
		r, w, ok := b.serveRequest(id)
		if !ok || !slices.Contains(subset.Endpoints, r) || !slices.Contains(subset.Endpoints, w) {
			t.Fatalf("request %d went to %d and %d, %t", id, r, w, ok)
		}
		used[r], used[w] = true, true
	}
	if len(used) != 20 {
		t.Errorf("%d of 20 were used", len(used))
	}
	b.handle(0, SubsetAssigned{})
	for id := RequestID(1001); id <= 1100; id++ {
		r, _, _ := b.serveRequest(id)
		used[r] = true
	}
	if len(used) < 60 {
		t.Errorf("%d servers used without a subset", len(used))
	}
}

// Where less than half of a subset is well, by failures or by the list, the router looks at all; and back when it is well.
func TestUnhealthySubsetFallsBackToAllReplicas(t *testing.T) {
	for _, by := range []string{"list", "failures"} {
		b := newLargeHarness(t, 100)
		subset := subsetOfCells(1, 4)
		b.handle(0, subset)
		b.serveRequest(1)
		for _, id := range subset.Endpoints {
			if by == "list" {
				b.handle(0, EndpointUpdate{Endpoints: []Endpoint{{ID: id, State: Gone}}})
				continue
			}
			for range 6 {
				s := b.r.byID[id]
				b.r.recordFailure(s, 0, transportFailureWeight)
			}
		}
		for id := RequestID(10); id < 40; id++ {
			r, w, ok := b.serveRequest(id)
			if !ok || slices.Contains(subset.Endpoints, r) || slices.Contains(subset.Endpoints, w) {
				t.Fatalf("%s: request %d went to %d and %d, %t", by, id, r, w, ok)
			}
		}
		if by == "list" {
			var back []Endpoint
			for _, id := range subset.Endpoints {
				kind := 0
				if id > 1000 {
					kind = 1
				}
				back = append(back, Endpoint{ID: id, Kind: kind, State: Ready, Cell: int((id - 1) % 1000 / 5)})
			}
			b.handle(0, EndpointUpdate{Endpoints: back})
		} else {
			b.handle(2*time.Minute, TimerFired{}) // failures fade
		}
		b.serveRequest(50) // it finds that all is well
		r, w, ok := b.serveRequest(51)
		if !ok || !slices.Contains(subset.Endpoints, r) || !slices.Contains(subset.Endpoints, w) {
			t.Errorf("%s: back it went to %d and %d, %t", by, r, w, ok)
		}
	}
}

// A subset without a writer, or of servers that are not there, is none.
func TestSubsetWithoutARoleIsIgnored(t *testing.T) {
	for _, s := range []SubsetAssigned{{Endpoints: []EndpointID{1, 2, 3}}, {Endpoints: []EndpointID{777}}} {
		b := newLargeHarness(t, 100)
		b.handle(0, s)
		if _, _, ok := b.serveRequest(1); !ok || b.r.limited {
			t.Errorf("%v: narrow %t", s, b.r.limited)
		}
	}
}

// Routers with subsets of their own together send a cold server no more than those that look at all would: the part that a
// router may send counts against its own subset.
func TestSlowStartShareCountsSubsetOnly(t *testing.T) {
	all, near := newLargeHarness(t, 200), newLargeHarness(t, 200)
	near.handle(0, subsetOfCells(0, 1))
	even := func(b *harness) float64 { return 1 / float64(b.r.maxReady[Prefill]) }
	// Ten routers with a tenth of the cells each, or ten with all.
	if one, of := even(near), even(all); one*10/100 > of+1e-9 {
		t.Errorf("a router with a tenth of the readers counts %v of its requests for one, a router with all %v", one, of)
	}
	if near.r.maxReady[Prefill] != 10 || all.r.maxReady[Prefill] != 100 {
		t.Errorf("%v and %v readers count", near.r.maxReady, all.r.maxReady)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ servers, cells int }{{10, 0}, {100, 0}, {1000, 0}, {100, 4}, {1000, 4}} {
		b.Run(fmt.Sprintf("%d-servers-%d-kept", c.servers, c.cells*10), func(b *testing.B) {
			w := newLargeHarness(b, c.servers)
			if c.cells > 0 {
				w.handle(0, subsetOfCells(0, 3, 5, 8))
			}
			id := RequestID(0)
			for b.Loop() {
				id++
				if _, _, ok := w.serveRequest(id); !ok {
					b.Fatal("not served")
				}
			}
		})
	}
}
