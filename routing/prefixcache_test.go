package routing

import (
	"testing"
	"time"
)

func TestCachedPrefixAttractsRequest(t *testing.T) {
	h := newHarness(t, nil)
	h.r.recordPrefix(77, 2, 900)
	arrival := RequestArrived{Request: 1, Tenant: -1, Session: 77, PromptTokens: 1000, RemainingTime: 4 * time.Second}
	if got := h.sentTo(h.handle(ms, arrival)); got != 2 {
		t.Errorf("went to %d, want the replica that has the session cached", got)
	}
	h.handle(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: 2, State: Ready, Started: h.now}}})
	if n := h.r.expectedCachedTokens(h.r.byID[2], &request{RequestArrived: arrival}, notPrefixReplicaRank); n != 0 {
		t.Errorf("%d tokens are expected at a replica that has restarted", n)
	}
}

// Routers that do not communicate and have different seeds must send a session, and a prefix that is not popular, to
// the same prefill replica, so that the prefix is found in the cache.
func TestRoutersAgreeOnPrefillReplicaOfAPrefix(t *testing.T) {
	prefillReplica := func(seed uint64, id RequestID, session Key) EndpointID {
		cfg := testConfig()
		cfg.Routers = 200
		r, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		r.Handle(time.Hour, EndpointUpdate{Full: true, Endpoints: mixedEndpoints(60)}, nil)
		for _, a := range r.Handle(time.Hour, RequestArrived{Request: id, Tenant: -1, Session: session, SharedPrefix: 7,
			SharedPrefixTokens: 2000, PromptTokens: 2500, RemainingTime: 4 * time.Second}, nil) {
			if s, ok := a.(Send); ok {
				return s.Endpoint
			}
		}
		t.Fatal("the request was not sent")
		return 0
	}
	for seed := range uint64(20) {
		if a, b := prefillReplica(seed, 1, 5), prefillReplica(seed+100, 2, 6); a != b {
			t.Errorf("seeds %d and %d send the same prefix to %d and %d", seed, seed+100, a, b)
		}
	}
}

// A popular prefix is sent to more replicas.
func TestPopularPrefixSpreadsOverReplicas(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Routers = 100 })
	list := mixedEndpoints(60)
	for i := range list {
		list[i].Zone = 0
	}
	h.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	sends := map[EndpointID]int{}
	for id := range RequestID(300) {
		arrival := RequestArrived{Request: id + 1, Tenant: -1, Session: Key(1000 + id), PromptTokens: 2500, RemainingTime: 4 * time.Second}
		if id%2 == 0 {
			arrival.SharedPrefix, arrival.SharedPrefixTokens = 7, 2000
		}
		prefillReplica := h.sentTo(h.handle(300*ms, arrival))
		if arrival.SharedPrefix != 0 && id > 100 {
			sends[prefillReplica]++
		}
		h.handle(30*ms, AttemptEnded{Request: id + 1, Endpoint: prefillReplica, Outcome: PrefillDone, Elapsed: 30 * ms, CachedTokens: 2000, Final: true})
	}
	if len(sends) < 8 {
		t.Errorf("half of all requests went to %d of 20 prefill replicas", len(sends))
	}
}

// Requests that exceed the capacity of a cell's only decode replica go to cells with spare decode capacity.
func TestCellWithLittleDecodeCapacitySpills(t *testing.T) {
	h := newHarness(t, nil)
	var list []Endpoint
	for i := range 10 {
		endpoint := Endpoint{ID: EndpointID(10 + i), Cell: i / 5, State: Ready, Weight: 1}
		if i == 4 || i > 5 { // cell 0: four prefill replicas, one decode; cell 1: one prefill, four decode
			endpoint.Kind = 1
		}
		list = append(list, endpoint)
	}
	h.handle(0, EndpointUpdate{Full: true, Endpoints: list})
	decodes := map[EndpointID]int{}
	for id := range RequestID(500) {
		_, decodeReplica := h.completePrefill(id+1, 0)
		h.handle(20*ms, FirstToken{Request: id + 1, Attempt: 1, Endpoint: decodeReplica, Elapsed: 20 * ms})
		h.handle(ms, AttemptEnded{Request: id + 1, Attempt: 1, Endpoint: decodeReplica, Outcome: Served, Final: true})
		decodes[decodeReplica]++
	}
	if decodes[14] > 175 || decodes[14] < 50 {
		t.Errorf("the only decode replica of the cell got %d of 500, an even share is 100", decodes[14])
	}
}

// TestPolledRequestsCountOnOwnPrefillsOnly checks which cached tokens are expected. For a request whose replica is
// selected by estimates, a low rank is enough to expect the shared prefix in the cache. For a request whose replica is
// selected by polling it is not; only what this router has sent counts.
func TestPolledRequestsCountOnOwnPrefillsOnly(t *testing.T) {
	h := newHarness(t, nil)
	req := &request{RequestArrived: RequestArrived{SharedPrefix: 5, SharedPrefixTokens: 700, PromptTokens: 1000}}
	if got := h.r.expectedCachedTokens(h.r.byID[1], req, 0); got != 700 {
		t.Errorf("by estimates: %d tokens", got)
	}
	req.pollCandidates = []EndpointID{1, 2}
	if got := h.r.expectedCachedTokens(h.r.byID[1], req, 0); got != 0 {
		t.Errorf("by polled loads: %d tokens", got)
	}
	h.r.recordPrefix(5, 1, 700)
	if got := h.r.expectedCachedTokens(h.r.byID[1], req, 0); got != 700 {
		t.Errorf("after a prefill of this router: %d tokens", got)
	}
	req.attempts = 1
	if got := h.r.expectedCachedTokens(h.r.byID[2], req, 0); got != 700 {
		t.Errorf("after a failure, by estimates: %d tokens", got)
	}
}
