package routing

import (
	"testing"
	"time"
)

// harness drives one Router step by step. It has prefill replicas 1 and 2 and decode replicas 11 and 12 in cell 0, and
// decode replica 13 in cell 1.
type harness struct {
	*testing.T
	r           *Router
	now         time.Duration
	lastActions []Action // actions of the latest event
}

func newHarness(t *testing.T, change func(*Config)) *harness {
	t.Helper()
	cfg := testConfig()
	if change != nil {
		change(&cfg)
	}
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, r: r, now: time.Hour}
	h.handle(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: 1, Kind: 0, State: Ready}, {ID: 2, Kind: 0, State: Ready},
		{ID: 11, Kind: 1, State: Ready}, {ID: 12, Kind: 1, State: Ready},
		{ID: 13, Kind: 1, State: Ready, Cell: 1, Zone: 1}}})
	return h
}

func (h *harness) handle(dt time.Duration, ev Event) []Action {
	h.now += dt
	h.lastActions = h.r.Handle(h.now, ev, nil)
	return h.lastActions
}

func (h *harness) arrive(id RequestID, class int) []Action {
	return h.handle(ms, RequestArrived{Request: id, Class: class, Tenant: -1, Session: Key(id), PromptTokens: 1000, RemainingTime: 4 * time.Second})
}

// sentTo returns the replica of the first Send. It fails the test if there is none.
func (h *harness) sentTo(acts []Action) EndpointID {
	h.Helper()
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			return s.Endpoint
		}
	}
	h.Fatalf("no send in %+v", acts)
	return 0
}

func containsAction[A Action](acts []Action) bool {
	for _, a := range acts {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// completePrefill runs a request up to the end of its prefill and returns its prefill and decode replicas.
func (h *harness) completePrefill(id RequestID, class int) (prefill, decode EndpointID) {
	h.Helper()
	prefill = h.sentTo(h.arrive(id, class))
	decode = h.sentTo(h.handle(20*ms, AttemptEnded{Request: id, Endpoint: prefill, Outcome: PrefillDone, Elapsed: 20 * ms}))
	return prefill, decode
}

// mixedEndpoints returns n replicas in cells of five; every third is a prefill replica.
func mixedEndpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		endpoint := Endpoint{ID: EndpointID(10 + i), Kind: 1, Cell: i / 5, Zone: i / 5 % 3, State: Ready, Weight: 1}
		if i%3 == 0 {
			endpoint.Kind = 0
		}
		out = append(out, endpoint)
	}
	return out
}

// failPrefill sends a request to a prefill replica, fails the connection to it, and returns the resulting actions.
func (h *harness) failPrefill(id RequestID, class int) []Action {
	h.Helper()
	return h.handle(5*ms, AttemptEnded{Request: id, Endpoint: h.sentTo(h.arrive(id, class)), Outcome: ConnectFailed, Elapsed: 5 * ms})
}
